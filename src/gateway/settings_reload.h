// Applies settings that change while the gateway runs.
#ifndef BERGAMOTSCALE_SRC_GATEWAY_SETTINGS_RELOAD_H_
#define BERGAMOTSCALE_SRC_GATEWAY_SETTINGS_RELOAD_H_

#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "bergamotscale/result.h"
#include "src/gateway/decision_log.h"
#include "src/gateway/settings.h"

namespace bergamotscale::gateway {

struct ReloadHooks {
  std::function<Result<GatewaySettings>()> read_;
  std::function<void(const GatewaySettings&)> on_change_;
};

// Reads the settings on a signal and at a fixed interval, because they may
// change without a signal. If they can't be read, the previous settings stay in
// force and the error is logged once.
// Thread safety: use from the thread of the io_context, which must not run
// after this object is destroyed.
class SettingsReloader {
 public:
  SettingsReloader(boost::asio::io_context& io,
                   GatewaySettings current,
                   ReloadHooks hooks,
                   DecisionLog* log);
  SettingsReloader(const SettingsReloader&) = delete;
  SettingsReloader& operator=(const SettingsReloader&) = delete;

  void Start();
  // Reads the settings now and logs the outcome, even if nothing has changed.
  void OnSignal();

 private:
  void CheckSettings(const char* cause, bool log_unchanged);

  boost::asio::steady_timer timer_;
  GatewaySettings current_;
  const ReloadHooks hooks_;
  DecisionLog* const log_;
  std::string last_error_;
};

}  // namespace bergamotscale::gateway

#endif  // BERGAMOTSCALE_SRC_GATEWAY_SETTINGS_RELOAD_H_
