// Takes over settings that change while the gateway runs.
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

// Reads the settings again on request, and at a steady pace, as they may
// change without a signal. Settings that can't be read leave the former ones
// in force; their error is logged once.
// Thread safety: use from the thread of the io_context, which must not run on
// once this is destroyed.
class SettingsReload {
 public:
  SettingsReload(boost::asio::io_context& io,
                 GatewaySettings current,
                 ReloadHooks hooks,
                 DecisionLog* log);
  SettingsReload(const SettingsReload&) = delete;
  SettingsReload& operator=(const SettingsReload&) = delete;

  void Start();
  // Reads now and logs the outcome, also if nothing has changed.
  void OnSignal();

 private:
  void Check(const char* cause, bool log_unchanged);

  boost::asio::steady_timer timer_;
  GatewaySettings current_;
  const ReloadHooks hooks_;
  DecisionLog* const log_;
  std::string last_error_;
};

}  // namespace bergamotscale::gateway

#endif  // BERGAMOTSCALE_SRC_GATEWAY_SETTINGS_RELOAD_H_
