#include "src/gateway/settings_reload.h"

#include <utility>

#include "src/core/chrono_time.h"

namespace bergamotscale::gateway {
namespace {

// Well below the time within which a change must be in force. The platform does
// not notify of changed files.
constexpr Millis kCheckInterval = Millis(1'000);

}  // namespace

SettingsReloader::SettingsReloader(boost::asio::io_context& io,
                                   GatewaySettings current,
                                   ReloadHooks hooks,
                                   DecisionLog* log)
    : timer_(io),
      current_(std::move(current)),
      hooks_(std::move(hooks)),
      log_(log) {}

void SettingsReloader::Start() {
  timer_.expires_after(ToChrono(kCheckInterval));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      CheckSettings("file changed", false);
      Start();
    }
  });
}

void SettingsReloader::OnSignal() {
  last_error_.clear();
  CheckSettings("signal", true);
}

void SettingsReloader::CheckSettings(const char* cause, bool log_unchanged) {
  const Result<GatewaySettings> read = hooks_.read_();
  if (!read.ok()) {
    if (read.error().Message() != last_error_) {
      last_error_ = read.error().Message();
      log_->Write(LogLine("reload_failed")
                      .Add("cause", cause)
                      .Add("reason", last_error_));
    }
    return;
  }
  last_error_.clear();
  const bool changed = !HaveSameReloadableSettings(read.value(), current_);
  if (changed) {
    current_ = read.value();
    hooks_.on_change_(current_);
  }
  if (changed || log_unchanged) {
    log_->Write(LogLine("reload")
                    .Add("cause", cause)
                    .Add("changed", int64_t{changed ? 1 : 0}));
  }
}

}  // namespace bergamotscale::gateway
