// The console: web forms with which operators edit the configuration.
#ifndef BERGAMOTSCALE_SRC_CONSOLE_CONSOLE_H_
#define BERGAMOTSCALE_SRC_CONSOLE_CONSOLE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "bergamotscale/config_document.h"
#include "bergamotscale/result.h"
#include "src/settings/field_reader.h"

namespace bergamotscale::console {

struct ConsoleSettings {
  std::string address_ = "127.0.0.1";
  int port_ = 0;
  // Loopback endpoint on which the HTTP library listens behind the guard. If
  // the port is zero, port_ is used.
  std::string listener_address_ = "127.0.0.2";
  int listener_port_ = 0;
  std::string log_url_;
  // Operators who may log in while the configuration has none.
  std::vector<Operator> bootstrap_operators_;
};

void ReadConsoleSettings(settings::FieldReader& reader,
                         ConsoleSettings* settings);

// Serves the console and follows the configuration in the log.
// Thread safety: use from one thread.
class Console {
 public:
  explicit Console(const ConsoleSettings& settings);
  ~Console();
  Console(const Console&) = delete;
  Console& operator=(const Console&) = delete;

  Status Start();
  // Waits a bounded time for requests in progress, then stops. Idempotent.
  void Stop();

  std::string url() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::console

#endif  // BERGAMOTSCALE_SRC_CONSOLE_CONSOLE_H_
