// Gateways before a store that is restored from a copy: what was confirmed
// stays in force, and what is written again comes into force.
#include <csignal>

#include <memory>
#include <string>

#include <doctest/doctest.h>

#include "tests/support/child_process.h"
#include "tests/support/gateway_process.h"

namespace bergamotscale::tests {
namespace {

constexpr Millis kReadyTimeout = Millis(10'000);
constexpr Millis kGrace = Millis(8'000);
// Within this time a configuration must be in force.
constexpr Millis kConfigDelay = Millis(2'000);
// After this time a key that was taken away must be rejected.
constexpr Millis kRevocationDelay = Millis(5'000);
constexpr int kStatusNone = 0;

std::string Replace(std::string text,
                    const std::string& from,
                    const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

// @return a configuration with the keys "key1" and "key2".
std::string MakeFirstConfig(int64_t version) {
  return Replace(MakeConfig(version), "[\"key1\"]", "[\"key1\",\"key2\"]");
}

// @return a configuration with the key "key1" and a route "/added/".
std::string MakeNextConfig(int64_t version) {
  const std::string route =
      "{\"name\":\"added\",\"host\":\"h.example\",\"path_prefix\":"
      "\"/added/\",\"kind\":\"safe\",\"timeout_ms\":1500,"
      "\"target_latency_ms\":300,\"priority\":1,\"service\":\"app\","
      "\"max_attempts\":1,\"public\":false}";
  return Replace(MakeConfig(version), "\"routes\":[",
                 "\"routes\":[" + route + ",");
}

// @return the status of a request on a new connection; kStatusNone without one.
int StatusOf(const GatewayProcess& gateway,
             const std::string& path,
             const std::string& key) {
  static int number = 0;
  CallerRequest request;
  request.path_ = path;
  request.key_ = key;
  request.id_ = "r" + std::to_string(++number);
  const auto wire = Wire::Open(gateway.address());
  return wire == nullptr ? kStatusNone : Exchange(*wire, request).status_;
}

// @return whether a request gets the status within the time.
bool AwaitStatus(const GatewayProcess& gateway,
                 const std::string& path,
                 const std::string& key,
                 int status,
                 Millis timeout) {
  const Millis until = SteadyNow() + timeout;
  while (SteadyNow() < until) {
    if (StatusOf(gateway, path, key) == status) {
      return true;
    }
    SleepFor(Millis(20));
  }
  return false;
}

class RestoreBench : public SmallSystem {
 public:
  bool Start() {
    store_.Put("keyed.op", "config", MakeFirstConfig(1));
    gateway_.Start();
    const bool is_ready = gateway_.AwaitReady(kReadyTimeout);
    SleepFor(Millis(200));
    return is_ready;
  }
  void Publish(const std::string& config) {
    store_.Put("keyed.op", "config", config);
  }
  // The store is away for a time and comes back from its copy.
  // @param written_again the configuration that it has when it is back; empty
  // for that of the copy.
  void RestoreStore(Millis away, const std::string& written_again) {
    store_.SetMode(StoreStandIn::Mode::kResetting);
    SleepFor(away);
    store_.RestoreCopy();
    if (!written_again.empty()) {
      Publish(written_again);
    }
    store_.SetMode(StoreStandIn::Mode::kServing);
  }
};

// The end of the log was back at the offset of the next read.
TEST_CASE("store restored: a version at a known offset comes into force") {
  RestoreBench bench;
  REQUIRE(bench.Start());
  bench.store_.TakeCopy();
  bench.Publish(MakeFirstConfig(2));
  SleepFor(Millis(300));
  bench.RestoreStore(Millis(1'000), MakeNextConfig(3));
  CHECK(AwaitStatus(bench.gateway_, "/added/1", "key1", 200, kConfigDelay));
  CHECK(AwaitStatus(bench.gateway_, "/read/1", "key2", 401, kConfigDelay));
}

// The version in force is not in the copy, and is never taken back.
TEST_CASE("store restored: a confirmed version stays in force") {
  RestoreBench bench;
  REQUIRE(bench.Start());
  bench.store_.TakeCopy();
  bench.Publish(MakeNextConfig(2));
  REQUIRE(AwaitStatus(bench.gateway_, "/added/1", "key1", 200, kConfigDelay));
  for (int restores = 0; restores < 2; ++restores) {
    bench.RestoreStore(Millis(500) * restores, "");
    const Millis until = SteadyNow() + Millis(1'500);
    while (SteadyNow() < until) {
      const int added = StatusOf(bench.gateway_, "/added/1", "key1");
      CHECK((added == 200 || added == 503));
      const int revoked = StatusOf(bench.gateway_, "/read/1", "key2");
      CHECK((revoked == 401 || revoked == 503));
      SleepFor(Millis(50));
    }
  }
  bench.Publish(MakeNextConfig(2));
  CHECK(AwaitStatus(bench.gateway_, "/added/1", "key1", 200, kConfigDelay));
  CHECK(AwaitStatus(bench.gateway_, "/read/1", "key2", 401, kConfigDelay));
}

// A key that a forgotten version had taken away was accepted again.
TEST_CASE("store restored: a version that it has forgotten proves nothing") {
  RestoreBench bench;
  REQUIRE(bench.Start());
  bench.store_.TakeCopy();
  bench.Publish(MakeFirstConfig(2));
  SleepFor(Millis(300));
  bench.RestoreStore(Millis(300), "");
  SleepFor(kRevocationDelay);
  CHECK(StatusOf(bench.gateway_, "/read/1", "key1") == 503);
  CHECK_FALSE(bench.gateway_.IsReady());
  bench.Publish(MakeFirstConfig(2));
  CHECK(AwaitStatus(bench.gateway_, "/read/1", "key1", 200, kConfigDelay));
}

// It served revoked keys and answered 404 for routes that its peers had.
TEST_CASE("store restored: a gateway that starts takes its peers' version") {
  RestoreBench bench;
  const std::string seeds =
      "[\"" + LoopbackIp(4) + ":8229\",\"" + LoopbackIp(5) + ":8229\"]";
  bench.gateway_.SetField("seeds", seeds);
  GatewayProcess other(bench.folder_.File(""), LoopbackIp(5),
                       bench.store_.address(), {{"seeds", seeds}});
  REQUIRE(bench.Start());
  other.Start();
  REQUIRE(other.AwaitReady(kReadyTimeout));
  bench.store_.TakeCopy();
  bench.Publish(MakeNextConfig(2));
  REQUIRE(AwaitStatus(bench.gateway_, "/added/1", "key1", 200, kConfigDelay));
  REQUIRE(AwaitStatus(other, "/added/1", "key1", 200, kConfigDelay));
  other.Signal(SIGKILL);
  other.AwaitEnd(kGrace);
  bench.RestoreStore(Millis(0), "");
  other.Start();
  int served = 0;
  const Millis until = SteadyNow() + Millis(3'000);
  while (SteadyNow() < until) {
    const int added = StatusOf(other, "/added/1", "key1");
    CHECK((added == 200 || added == 503 || added == kStatusNone));
    served += added == 200 ? 1 : 0;
    const int revoked = StatusOf(other, "/read/1", "key2");
    CHECK((revoked == 401 || revoked == 503 || revoked == kStatusNone));
    SleepFor(Millis(10));
  }
  CHECK(served > 0);
  bench.Publish(MakeNextConfig(2));
  CHECK(AwaitStatus(other, "/added/1", "key1", 200, kConfigDelay));
  CHECK(other.AwaitReady(kReadyTimeout));
}

// The registry had not been out of reach, so what it lacked was dropped.
TEST_CASE("store restored: a service whose upstream it lacks goes on") {
  RestoreBench bench;
  REQUIRE(bench.Start());
  bench.app_.Leave();
  bench.store_.TakeCopy();
  ServerStandIn late(bench.store_, "i-3", "app", LoopbackIp(6));
  REQUIRE(AwaitStatus(bench.gateway_, "/read/1", "key1", 200, kConfigDelay));
  bench.store_.RestoreCopy();
  const Millis until = SteadyNow() + Millis(2'500);
  while (SteadyNow() < until) {
    CHECK(StatusOf(bench.gateway_, "/read/1", "key1") == 200);
    SleepFor(Millis(20));
  }
}

}  // namespace
}  // namespace bergamotscale::tests
