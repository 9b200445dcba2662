// Starts and reloads of a gateway with settings that a deployment may have.
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>

#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "tests/support/child_process.h"
#include "tests/support/gateway_process.h"

namespace bergamotscale::tests {
namespace {

constexpr Millis kReadyTimeout = Millis(10'000);
constexpr Millis kGrace = Millis(8'000);

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

  // @return a connection to the gateway, once it accepts any.
  std::unique_ptr<Wire> AwaitConnection() const {
    std::unique_ptr<Wire> wire;
    const Millis limit = SteadyNow() + kReadyTimeout;
    while (wire == nullptr && SteadyNow() < limit) {
      wire = Wire::Open(gateway_.address());
      SleepFor(Millis(1));
    }
    return wire;
  }

  // @return whether the gateway serves a request.
  bool AnswersReads() {
    CallerRequest read;
    read.path_ = "/read/1";
    read.id_ = "read";
    const auto wire = Wire::Open(gateway_.address());
    return wire != nullptr && tests::Exchange(*wire, read).status_ == 200;
  }
};

// Makes a gateway wait for its settings during its start.
class SettingsFifo {
 public:
  explicit SettingsFifo(GatewayProcess& gateway) : gateway_(gateway) {
    gateway.ReplaceSettingsByFifo();
  }
  ~SettingsFifo() { Release(); }
  SettingsFifo(const SettingsFifo&) = delete;
  SettingsFifo& operator=(const SettingsFifo&) = delete;

  // @return whether the gateway has begun to read its settings.
  bool AwaitReader() {
    const Millis until = SteadyNow() + kReadyTimeout;
    while (fd_ < 0 && SteadyNow() < until) {
      fd_ = gateway_.OpenSettingsFifo();
      SleepFor(Millis(1));
    }
    return fd_ >= 0;
  }

  // Lets the gateway read its settings.
  void Release() {
    if (fd_ >= 0) {
      if (!gateway_.HasEnded()) {
        gateway_.WriteSettings(fd_);
      }
      close(fd_);
      fd_ = -1;
    }
  }

 private:
  GatewayProcess& gateway_;
  int fd_ = -1;
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

// A signal that came before its handler was installed ended the process.
TEST_CASE("gateway start: a reload signal during the start doesn't end it") {
  StartBench bench;
  SettingsFifo settings(bench.gateway_);
  bench.gateway_.Start();
  REQUIRE(settings.AwaitReader());
  for (int i = 0; i < 3; ++i) {
    bench.gateway_.Signal(SIGHUP);
    SleepFor(Millis(20));
  }
  REQUIRE_FALSE(bench.gateway_.HasEnded());
  settings.Release();
  CHECK(bench.gateway_.AwaitReady(kReadyTimeout));
}

TEST_CASE("gateway start: a stop signal during the start ends it in order") {
  StartBench bench;
  SettingsFifo settings(bench.gateway_);
  bench.gateway_.Start();
  REQUIRE(settings.AwaitReader());
  bench.gateway_.Signal(SIGTERM);
  SleepFor(Millis(20));
  settings.Release();
  CHECK(bench.gateway_.AwaitEnd(kGrace));
  CHECK(bench.gateway_.status() == 0);
}

// A signal that came before main() ended the process.
TEST_CASE("gateway start: signals during its initializers don't end it") {
  constexpr Millis kInitializing = Millis(100);
  StartBench bench;
  bench.gateway_.Preload(std::string(BERGAMOTSCALE_BIN_DIR) +
                         "/libslow_initializer.so");
  bench.gateway_.Start();
  SleepFor(kInitializing);
  bench.gateway_.Signal(SIGHUP);
  SleepFor(Millis(20));
  REQUIRE_FALSE(bench.gateway_.HasEnded());
  CHECK(bench.gateway_.AwaitReady(kReadyTimeout));
  bench.gateway_.Signal(SIGTERM);
  CHECK(bench.gateway_.AwaitEnd(kGrace));
  bench.gateway_.Start();
  SleepFor(kInitializing);
  bench.gateway_.Signal(SIGTERM);
  CHECK(bench.gateway_.AwaitEnd(kGrace));
  CHECK(bench.gateway_.status() == 0);
}

// One failed bind ended the process.
TEST_CASE("gateway start: it waits for an address that is still in use") {
  StartBench bench;
  const GatewayProcess& gateway = bench.gateway_;
  struct UsedAddress {
    std::string address_;
    int type_ = SOCK_STREAM;
  };
  for (const UsedAddress& used :
       std::vector<UsedAddress>{{gateway.address(), SOCK_STREAM},
                                {gateway.ready_address(), SOCK_STREAM},
                                {gateway.operators_address(), SOCK_STREAM},
                                {gateway.peers_address(), SOCK_DGRAM}}) {
    CAPTURE(used.address_);
    auto holder = std::make_unique<AddressHolder>(used.address_, used.type_);
    REQUIRE(holder->is_held());
    bench.gateway_.Start();
    SleepFor(Millis(700));
    CHECK_FALSE(bench.gateway_.HasEnded());
    holder.reset();
    CHECK(bench.gateway_.AwaitReady(kReadyTimeout));
    CHECK(bench.AnswersReads());
    CHECK(bench.gateway_.AwaitMetrics(kReadyTimeout));
    bench.gateway_.Signal(SIGTERM);
    CHECK(bench.gateway_.AwaitEnd(kGrace));
    CHECK(bench.gateway_.status() == 0);
  }
}

// Requests that came before the configuration was known were rejected.
TEST_CASE("gateway start: callers are let in only once it can serve") {
  StartBench bench;
  bench.store_.SetMode(StoreStandIn::Mode::kSilent);
  bench.gateway_.Start();
  const Millis until = SteadyNow() + Millis(700);
  while (SteadyNow() < until) {
    CHECK(Wire::Open(bench.gateway_.address()) == nullptr);
    CHECK_FALSE(bench.gateway_.IsReady());
    SleepFor(Millis(20));
  }
  bench.store_.SetMode(StoreStandIn::Mode::kServing);
  const std::unique_ptr<Wire> wire = bench.AwaitConnection();
  REQUIRE(wire != nullptr);
  CHECK(tests::Exchange(*wire, MakeOrder("first", 5)).status_ == 200);
}

// During an outage of the store, callers learn when to come back.
TEST_CASE("gateway start: without the store, callers get a rejection") {
  StartBench bench;
  bench.store_.SetMode(StoreStandIn::Mode::kSilent);
  bench.gateway_.Start();
  const std::unique_ptr<Wire> wire = bench.AwaitConnection();
  REQUIRE(wire != nullptr);
  const CallerAnswer answer = tests::Exchange(*wire, MakeOrder("early", 5));
  CHECK(answer.status_ == 503);
  CHECK_FALSE(HeaderOf(answer.head_, "Retry-After").empty());
  CHECK_FALSE(bench.gateway_.IsReady());
}

// Metrics have a fixed port, which a second gateway on the machine can't have.
TEST_CASE("gateway start: it serves callers without its metrics address") {
  StartBench bench;
  const AddressHolder holder(bench.gateway_.operators_address(), SOCK_STREAM);
  REQUIRE(holder.is_held());
  bench.gateway_.Start();
  CHECK(bench.gateway_.AwaitReady(kReadyTimeout));
  CHECK(bench.AnswersReads());
  bench.gateway_.Signal(SIGTERM);
  CHECK(bench.gateway_.AwaitEnd(kGrace));
  CHECK(bench.gateway_.status() == 0);
}

// The template leaves no value behind "max_descriptors" then.
TEST_CASE("gateway start: it starts without a limit of descriptors") {
  StartBench bench;
  bench.gateway_.RemoveField("limits.max_fds");
  bench.gateway_.Start();
  CHECK(bench.gateway_.AwaitReady(kReadyTimeout));
}

// The file may change at any time, also while the process starts.
TEST_CASE("gateway start: it waits for settings that are being written") {
  StartBench bench;
  bench.gateway_.ReplaceSettingsByFifo();
  bench.gateway_.Start();
  int fifo = -1;
  while (fifo < 0 && !bench.gateway_.HasEnded()) {
    fifo = bench.gateway_.OpenSettingsFifo();
    SleepFor(Millis(1));
  }
  // What it reads first is empty.
  bench.gateway_.WriteSettings();
  close(fifo);
  SleepFor(Millis(300));
  CHECK_FALSE(bench.gateway_.HasEnded());
  CHECK(bench.gateway_.AwaitReady(kReadyTimeout));
}

// What collects a process's standard output by its descriptor saw no line.
TEST_CASE("gateway start: the log is written to standard output itself") {
  StartBench bench;
  bench.gateway_.Start();
  REQUIRE(bench.gateway_.AwaitReady(kReadyTimeout));
  CHECK(bench.gateway_.CountDescriptorsOfLog() == 2);
}

TEST_CASE("gateway start: signals while it ends change nothing") {
  StartBench bench;
  for (int i = 0; i < 5; ++i) {
    bench.gateway_.Start();
    REQUIRE(bench.gateway_.AwaitReady(kReadyTimeout));
    bench.gateway_.Signal(SIGTERM);
    const Millis until = SteadyNow() + kGrace;
    while (!bench.gateway_.HasEnded() && SteadyNow() < until) {
      bench.gateway_.Signal(i % 2 == 0 ? SIGHUP : SIGTERM);
      usleep(50);
    }
    CHECK(bench.gateway_.AwaitEnd(kGrace));
    CHECK(bench.gateway_.status() == 0);
  }
}

}  // namespace
}  // namespace bergamotscale::tests
