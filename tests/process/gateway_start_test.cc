// Starts and reloads of a gateway with settings that a deployment may have.
#include <csignal>

#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "tests/support/child_process.h"
#include "tests/support/gateway_process.h"

namespace bergamotscale::tests {
namespace {

constexpr Millis kReadyTimeout = Millis(10'000);

std::string ReadLog(const GatewayProcess& gateway) {
  std::ifstream file(gateway.log_file());
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

struct StartBench {
  ScratchFolder folder_;
  StoreStandIn store_{LoopbackIp(1)};
  ServerStandIn app_{store_, "i-1", "app", LoopbackIp(2)};
  GatewayProcess gateway_{folder_.File(""), LoopbackIp(3), store_.address()};

  StartBench() { store_.Put("keyed.op", "config", MakeConfig(1)); }
};

struct Bound {
  std::string name_;
  std::string value_;
};

std::vector<Bound> FractionalBounds() {
  return {
      {"bounds.grace_s", "7.5"},           {"bounds.grace_s", "8.0"},
      {"bounds.budget_window_s", "2.5"},   {"bounds.budget_window_s", "10.0"},
      {"bounds.revoke_ms", "4500.5"},      {"bounds.drain_ms", "2000.0"},
      {"bounds.config_apply_ms", "1999.5"}};
}

// The process ended at each start with such a bound.
TEST_CASE("gateway start: it starts with bounds that are fractions") {
  StartBench bench;
  for (const Bound& bound : FractionalBounds()) {
    CAPTURE(bound.name_);
    CAPTURE(bound.value_);
    bench.gateway_.SetField(bound.name_, bound.value_);
    bench.gateway_.Start();
    CHECK(bench.gateway_.AwaitReady(kReadyTimeout));
    bench.gateway_.Signal(SIGKILL);
    bench.gateway_.AwaitEnd(Millis(2'000));
  }
}

TEST_CASE("gateway start: a reload takes bounds that are fractions") {
  StartBench bench;
  bench.gateway_.SetField("bounds.grace_s", "8");
  bench.gateway_.Start();
  REQUIRE(bench.gateway_.AwaitReady(kReadyTimeout));
  for (const Bound& bound : FractionalBounds()) {
    bench.gateway_.SetField(bound.name_, bound.value_);
    bench.gateway_.WriteSettings();
    bench.gateway_.Signal(SIGHUP);
    SleepFor(Millis(100));
    CHECK_FALSE(bench.gateway_.HasEnded());
  }
  CHECK(ReadLog(bench.gateway_).find("reload_failed") == std::string::npos);
  bench.gateway_.SetField("bounds.grace_s", "1.5");
  bench.gateway_.WriteSettings();
  bench.gateway_.Signal(SIGHUP);
  SleepFor(Millis(100));
  bench.gateway_.Signal(SIGTERM);
  CHECK(bench.gateway_.AwaitEnd(Millis(1'500)));
}

}  // namespace
}  // namespace bergamotscale::tests
