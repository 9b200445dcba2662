// Tests settings that change while a gateway runs.
#include "src/gateway/settings_reload.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <memory>
#include <string>
#include <utility>

#include <doctest/doctest.h>

namespace bergamotscale::gateway {
namespace {

// Runs a reloader on scripted settings and captures its log.
class ReloadBench {
 private:
  boost::asio::io_context io_;
  std::array<int, 2> pipe_{};
  std::unique_ptr<DecisionLog> log_;

 public:
  ReloadBench() {
    REQUIRE(pipe2(pipe_.data(), O_NONBLOCK) == 0);
    log_ = std::make_unique<DecisionLog>(pipe_[1], Clock::Wall());
    ReloadHooks hooks;
    hooks.read_ = [this]() -> Result<GatewaySettings> {
      if (!error_.empty()) {
        return Error(ErrorCode::kInvalidSettings, error_);
      }
      return file_;
    };
    hooks.on_change_ = [this](const GatewaySettings& settings) {
      ++changes_;
      in_force_ = settings;
    };
    reload_ = std::make_unique<SettingsReloader>(io_, file_, std::move(hooks),
                                                 &*log_);
    reload_->Start();
  }
  ~ReloadBench() {
    log_.reset();
    close(pipe_[0]);
    close(pipe_[1]);
  }
  ReloadBench(const ReloadBench&) = delete;
  ReloadBench& operator=(const ReloadBench&) = delete;

  void RunFor(std::chrono::milliseconds time) { io_.run_for(time); }

  std::string Logged() {
    log_->Flush();
    std::array<char, 4096> buffer{};
    const ssize_t count = read(pipe_[0], buffer.data(), buffer.size());
    return count > 0 ? std::string(buffer.data(), static_cast<size_t>(count))
                     : std::string();
  }

  GatewaySettings file_;
  std::string error_;
  GatewaySettings in_force_;
  int changes_ = 0;
  std::unique_ptr<SettingsReloader> reload_;
};

constexpr std::chrono::milliseconds kOverOneCheck(1'300);
constexpr std::chrono::milliseconds kOverTwoChecks(2'300);

TEST_CASE("settings reload: a change is applied without a signal") {
  ReloadBench bench;
  bench.file_.max_revocation_delay_ = Millis(1'500);
  bench.RunFor(kOverOneCheck);
  CHECK(bench.changes_ == 1);
  CHECK(bench.in_force_.max_revocation_delay_ == Millis(1'500));
  CHECK(bench.Logged().find("event=reload cause=\"file changed\" changed=1") !=
        std::string::npos);
}

TEST_CASE("settings reload: each reloadable field is compared") {
  const GatewaySettings former;
  GatewaySettings changed = former;
  changed.seed_peers_ = {"10.0.0.1:1"};
  CHECK_FALSE(HaveSameReloadableSettings(former, changed));
  changed = former;
  changed.max_config_delay_ = Millis(1);
  CHECK_FALSE(HaveSameReloadableSettings(former, changed));
  changed = former;
  changed.stop_grace_ = Millis(1);
  CHECK_FALSE(HaveSameReloadableSettings(former, changed));
  changed = former;
  changed.retries_.extra_ = 7;
  CHECK_FALSE(HaveSameReloadableSettings(former, changed));
  changed = former;
  changed.listen_callers_ = "10.0.0.1:2";
  CHECK(HaveSameReloadableSettings(former, changed));
}

TEST_CASE(
    "settings reload: invalid settings change nothing and are logged once") {
  ReloadBench bench;
  bench.file_.max_revocation_delay_ = Millis(1'500);
  bench.error_ = "revoke_ms: expected a number";
  bench.RunFor(kOverTwoChecks);
  CHECK(bench.changes_ == 0);
  const std::string logged = bench.Logged();
  const size_t first = logged.find("event=reload_failed");
  REQUIRE(first != std::string::npos);
  CHECK(logged.find("revoke_ms: expected a number") != std::string::npos);
  CHECK(logged.find("event=reload_failed", first + 1) == std::string::npos);
  bench.error_.clear();
  bench.reload_->OnSignal();
  CHECK(bench.changes_ == 1);
}

TEST_CASE("settings reload: unchanged settings are logged for signals only") {
  ReloadBench bench;
  bench.RunFor(kOverOneCheck);
  CHECK(bench.Logged().empty());
  bench.reload_->OnSignal();
  CHECK(bench.changes_ == 0);
  CHECK(bench.Logged().find("event=reload cause=signal changed=0") !=
        std::string::npos);
}

}  // namespace
}  // namespace bergamotscale::gateway
