// Gateways that share the request rate that a server has asked for.
#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

#include "tests/support/gateway_process.h"

namespace bergamotscale::tests {
namespace {

constexpr int kGateways = 6;
constexpr int kServers = 4;
constexpr int kCallers = 48;
constexpr Millis kReadyTimeout = Millis(10'000);
// The rule: from this time after a server first stated a limit, in each window
// it gets at most 1.5 times what the limit allows, and kExtraRequests.
constexpr Millis kSettleTime = Millis(3'000);
constexpr Millis kWindow = Millis(4'000);
constexpr double kMaxRatio = 1.5;
constexpr double kExtraRequests = 5;
// Requests that a gateway sends this soon after it was told don't count.
constexpr Millis kTellingTime = Millis(500);

// A server that may state a limit in its answers.
struct LimitedServer {
  std::mutex mutex_;
  std::vector<Millis> arrivals_;
  std::string stated_;  // the value of the header; none if empty
  Millis first_stated_at_;
  std::unique_ptr<ServerStandIn> server_;

  void State(const std::string& limit) {
    const std::lock_guard<std::mutex> lock(mutex_);
    stated_ = limit;
    first_stated_at_ = SteadyNow();
  }

  bool Run(const ServerCall& call, Wire& wire) {
    ServerCall answered = call;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      arrivals_.push_back(SteadyNow());
      if (!stated_.empty()) {
        answered.answer_headers_ = "Server-Limit: " + stated_ + "\r\n";
      }
    }
    return AnswerAsAsked(answered, wire);
  }

  int CountBetween(Millis begin, Millis end) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return static_cast<int>(
        std::count_if(arrivals_.begin(), arrivals_.end(),
                      [&](Millis at) { return at >= begin && at < end; }));
  }

  // @return the most arrivals in any window that the rule looks at. All
  // gateways get requests all the time, so each was soon told.
  int MostInWindow() {
    const std::lock_guard<std::mutex> lock(mutex_);
    const Millis from = first_stated_at_ + kTellingTime * 2;
    int most = 0;
    for (const Millis last : arrivals_) {
      if (last < first_stated_at_ + kSettleTime) {
        continue;
      }
      const Millis begin = std::max(last - kWindow, from);
      most = std::max(
          most, static_cast<int>(std::count_if(
                    arrivals_.begin(), arrivals_.end(),
                    [&](Millis at) { return at > begin && at <= last; })));
    }
    return most;
  }

  void CheckLimit(double limit) {
    const int most = MostInWindow();
    const double allowed = kMaxRatio * limit * 4 + kExtraRequests;
    MESSAGE("at most " << most << " requests in 4 s, allowed " << allowed);
    CHECK(most <= allowed);
  }
};

// @return the lines of a log that contain the text.
std::string LinesWith(const std::string& file, const std::string& text) {
  // The gateway writes its log at an interval.
  SleepFor(Millis(500));
  std::ifstream lines(file);
  std::string found;
  std::string line;
  while (std::getline(lines, line)) {
    found += line.find(text) == std::string::npos ? "" : line + "\n";
  }
  return found;
}

struct LimitBench {
  ScratchFolder folder_;
  StoreStandIn store_{LoopbackIp(1)};
  std::vector<std::unique_ptr<LimitedServer>> servers_;
  std::vector<std::unique_ptr<GatewayProcess>> gateways_;
  std::vector<std::thread> callers_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> served_{0};
  std::atomic<int> refused_{0};
  std::atomic<int> refused_without_time_{0};
  std::mutex mutex_;
  std::vector<std::string> lost_;  // what was seen of each lost request

  // @param service "llm" or "app".
  explicit LimitBench(const std::string& service, int gateways = kGateways) {
    store_.Put("keyed.op", "config", MakeConfig(1));
    for (int i = 0; i < kServers; ++i) {
      servers_.push_back(std::make_unique<LimitedServer>());
      LimitedServer* server = servers_.back().get();
      server->server_ = std::make_unique<ServerStandIn>(
          store_, "i-" + std::to_string(i), service, LoopbackIp(100 + i),
          [server](const ServerCall& call, Wire& wire, bool* /*did_run*/) {
            return server->Run(call, wire);
          });
    }
    std::string seeds;
    for (int i = 0; i < std::min(gateways, 3); ++i) {
      seeds += (i == 0 ? "\"" : ",\"") + LoopbackIp(10 + i) + ":8229\"";
    }
    for (int i = 0; i < gateways; ++i) {
      gateways_.push_back(std::make_unique<GatewayProcess>(
          folder_.File(""), LoopbackIp(10 + i), store_.address(),
          TemplateFields{{"seeds", "[" + seeds + "]"}}));
      gateways_.back()->Start();
    }
    for (const auto& gateway : gateways_) {
      REQUIRE(gateway->AwaitReady(kReadyTimeout));
    }
    // Time to find the peers.
    SleepFor(Millis(2'500));
    const std::string path = service == "llm" ? "/stream/1" : "/read/1";
    for (int i = 0; i < kCallers; ++i) {
      callers_.emplace_back([this, i, path] { RunCaller(i, path); });
    }
    SleepFor(Millis(1'000));
  }
  ~LimitBench() { StopCallers(); }

  void StopCallers() {
    stopping_ = true;
    for (std::thread& caller : callers_) {
      caller.join();
    }
    callers_.clear();
  }

  void CheckNoneLost() {
    for (const std::string& lost : lost_) {
      FAIL_CHECK(lost);
    }
  }

  void RunCaller(int number, const std::string& path) {
    const GatewayProcess& gateway =
        *gateways_[static_cast<size_t>(number) % gateways_.size()];
    std::unique_ptr<Wire> wire;
    for (int i = 0; !stopping_; ++i) {
      if (wire == nullptr) {
        wire = Wire::Open(gateway.address());
      }
      if (wire == nullptr) {
        SleepFor(Millis(20));
        continue;
      }
      CallerRequest request;
      request.path_ = path;
      request.id_ = "r" + std::to_string(number) + "-" + std::to_string(i);
      request.headers_ = "X-Work-Ms: 20\r\nX-Events: 2\r\nX-Pace-Ms: 10\r\n";
      const CallerAnswer answer = Exchange(*wire, request);
      if (!answer.is_whole_ || answer.closes_) {
        wire.reset();
      }
      Millis pause = Millis(10);
      if (answer.status_ == 200 && answer.is_whole_) {
        ++served_;
      } else if (answer.status_ == 503) {
        ++refused_;
        const double seconds =
            std::strtod(HeaderOf(answer.head_, "Retry-After").c_str(), nullptr);
        refused_without_time_ += seconds > 0 ? 0 : 1;
        pause = Millis(
            std::min<int64_t>(500, static_cast<int64_t>(seconds * 1'000)));
      } else {
        const std::lock_guard<std::mutex> lock(mutex_);
        lost_.push_back(
            request.id_ + " at " + gateway.log_file() + ": status " +
            std::to_string(answer.status_) +
            (answer.is_whole_ ? "" : ", cut off") + " after " +
            std::to_string((answer.ended_at_ - answer.sent_at_).count()) +
            " ms\n" + LinesWith(gateway.log_file(), request.id_ + " "));
      }
      SleepFor(pause);
    }
  }
};

// Nothing read the limit, so the server got as many requests as before.
void CheckOneLimitedServer(const std::string& service) {
  LimitBench bench(service);
  LimitedServer& limited = *bench.servers_[0];
  const int before =
      limited.CountBetween(SteadyNow() - Millis(500), SteadyNow());
  CHECK(before > 12);
  limited.State("1.2");
  SleepFor(Millis(14'000));
  bench.StopCallers();
  limited.CheckLimit(1.2);
  // The others take over, and the server still gets what it takes.
  bench.CheckNoneLost();
  CHECK(bench.refused_.load() == 0);
  CHECK(limited.CountBetween(limited.first_stated_at_ + kSettleTime,
                             SteadyNow()) > 4);
}

TEST_CASE("rate limit: six gateways together keep the limit of an engine") {
  CheckOneLimitedServer("llm");
}

TEST_CASE("rate limit: six gateways together keep the limit of a service") {
  CheckOneLimitedServer("app");
}

TEST_CASE("rate limit: where all servers state one, callers are told to wait") {
  constexpr double kLimit = 4;
  constexpr Millis kTime = Millis(12'000);
  LimitBench bench("app");
  for (const auto& server : bench.servers_) {
    server->State("4");
  }
  SleepFor(kSettleTime);
  const int served_before = bench.served_;
  SleepFor(kTime);
  const int served = bench.served_ - served_before;
  bench.StopCallers();
  for (const auto& server : bench.servers_) {
    server->CheckLimit(kLimit);
  }
  MESSAGE(served << " served, " << bench.refused_.load() << " refused");
  bench.CheckNoneLost();
  CHECK(bench.refused_.load() > 0);
  CHECK(bench.refused_without_time_.load() == 0);
  // Half of what the servers take, as some shares have no demand.
  CHECK(served >
        kLimit * kServers * static_cast<double>(kTime.count()) / 2'000);
}

TEST_CASE("rate limit: it ends when answers no longer state it") {
  LimitBench bench("app");
  LimitedServer& limited = *bench.servers_[0];
  limited.State("1.2");
  SleepFor(Millis(5'000));
  limited.State("");
  const Millis lifted = SteadyNow();
  SleepFor(Millis(12'000));
  bench.StopCallers();
  bench.CheckNoneLost();
  CHECK(limited.CountBetween(lifted + Millis(10'000), lifted + Millis(11'000)) >
        12);
}

TEST_CASE("rate limit: gateways that stop and start keep it together") {
  LimitBench bench("app");
  LimitedServer& limited = *bench.servers_[0];
  limited.State("2.5");
  for (size_t i = 0; i < 3; ++i) {
    SleepFor(Millis(1'500));
    bench.gateways_[i]->Signal(SIGTERM);
    CHECK(bench.gateways_[i]->AwaitEnd(Millis(8'000)));
    bench.gateways_[i]->Start();
    REQUIRE(bench.gateways_[i]->AwaitReady(kReadyTimeout));
  }
  SleepFor(Millis(3'000));
  bench.StopCallers();
  limited.CheckLimit(2.5);
}

}  // namespace
}  // namespace bergamotscale::tests
