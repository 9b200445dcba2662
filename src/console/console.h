// The console: operators' forms over HTTP.
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
  // Where the HTTP library listens behind the guard, on loopback; port zero
  // stands for port_.
  std::string listener_address_ = "127.0.0.2";
  int listener_port_ = 0;
  std::string log_url_;
  // Who may log in while the configuration names no operators.
  std::vector<Operator> bootstrap_operators_;
};

void ReadConsoleSettings(settings::FieldReader& reader,
                         ConsoleSettings* settings);

// Thread safety: call from one thread.
class Console {
 public:
  explicit Console(const ConsoleSettings& settings);
  ~Console();
  Console(const Console&) = delete;
  Console& operator=(const Console&) = delete;

  Status Start();
  // Lets requests in flight finish. Idempotent.
  void Stop();

  std::string url() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::console

#endif  // BERGAMOTSCALE_SRC_CONSOLE_CONSOLE_H_
