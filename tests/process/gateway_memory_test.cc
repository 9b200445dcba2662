// The memory of a gateway whose upstreams send without end and whose callers
// don't read.
#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

#include "tests/support/gateway_process.h"

namespace bergamotscale::tests {
namespace {

constexpr int kFaulty = 100;
constexpr int kSound = 60;
// Limits of a front machine and of a weak one.
constexpr int kMemoryLimitsMb[] = {260, 160};

struct MemoryBench : SmallSystem {
  std::vector<std::thread> callers_;
  std::atomic<int> unanswered_{0};

  // @param memory_mb not stated in the settings if missing.
  explicit MemoryBench(std::optional<int> memory_mb) {
    if (memory_mb.has_value()) {
      gateway_.SetField("limits.memory_mb", std::to_string(*memory_mb));
    } else {
      gateway_.RemoveField("limits.memory_mb");
    }
    REQUIRE(Start(Millis(300)));
  }

  // Sends a request in a thread of its own. @param reads_after how long the
  // caller doesn't read.
  void Send(const CallerRequest& request, Millis reads_after = Millis(0)) {
    callers_.emplace_back([this, request, reads_after] {
      const auto wire = Wire::Open(gateway_.address());
      const Millis began = SteadyNow();
      if (wire == nullptr || !wire->Write(request.Head() + request.body_)) {
        ++unanswered_;
        return;
      }
      SleepFor(reads_after);
      // A caller that didn't read may be cut off.
      const CallerAnswer answer = ReadAnswer(*wire, request, began);
      if (answer.status_ == 0 && reads_after == Millis(0)) {
        ++unanswered_;
      }
    });
  }

  // Sends sound requests one after another. @return how many were served.
  int SendSound() {
    int served = 0;
    for (int i = 0; i < kSound; ++i) {
      CallerRequest order;
      order.path_ = "/order/1";
      order.id_ = "sound" + std::to_string(i);
      order.headers_ = "X-Work-Ms: 20\r\n";
      order.body_ = std::string(600, 'o');
      const auto wire = Wire::Open(gateway_.address());
      served +=
          wire != nullptr && Exchange(*wire, order).status_ == 200 ? 1 : 0;
    }
    return served;
  }

  void CheckHeld(int memory_mb) {
    constexpr int64_t kBytesPerMb = 1'000'000;
    const int64_t peak = gateway_.PeakMemory().count();
    MESSAGE("peak of " << peak / kBytesPerMb << " of " << memory_mb << " MB");
    CHECK_FALSE(gateway_.HasEnded());
    CHECK(peak > 0);
    CHECK(peak < memory_mb * kBytesPerMb);
  }

  void Join() {
    for (std::thread& caller : callers_) {
      caller.join();
    }
    callers_.clear();
  }
};

CallerRequest MakeFaulty(const std::string& path, int number) {
  CallerRequest request;
  request.path_ = path;
  request.id_ = "faulty" + std::to_string(number);
  request.patience_ = Millis(3'000);
  return request;
}

// A hundred responses that each stayed within the limit of one response used up
// the memory of the machine.
TEST_CASE("gateway memory: bodies without end leave room for sound requests") {
  for (const int memory_mb : kMemoryLimitsMb) {
    MemoryBench bench(memory_mb);
    for (int i = 0; i < kFaulty; ++i) {
      CallerRequest request = MakeFaulty("/read/1", i);
      request.headers_ = "X-Endless: answer\r\n";
      bench.Send(request);
    }
    CHECK(bench.SendSound() == kSound);
    bench.Join();
    CHECK(bench.unanswered_ == 0);
    bench.CheckHeld(memory_mb);
  }
}

TEST_CASE("gateway memory: events without end leave room for sound requests") {
  for (const int memory_mb : kMemoryLimitsMb) {
    MemoryBench bench(memory_mb);
    for (int i = 0; i < kFaulty * 2; ++i) {
      CallerRequest request = MakeFaulty("/stream/1", i);
      request.headers_ = "X-Endless: event\r\n";
      bench.Send(request);
    }
    CHECK(bench.SendSound() == kSound);
    bench.Join();
    CHECK(bench.unanswered_ == 0);
    bench.CheckHeld(memory_mb);
  }
}

TEST_CASE("gateway memory: callers that don't read leave room for others") {
  for (const int memory_mb : kMemoryLimitsMb) {
    MemoryBench bench(memory_mb);
    for (int i = 0; i < kFaulty; ++i) {
      CallerRequest request = MakeFaulty("/read/1", i);
      request.headers_ = "X-Answer-Bytes: 4000000\r\n";
      bench.Send(request, Millis(2'500));
    }
    CHECK(bench.SendSound() == kSound);
    bench.Join();
    bench.CheckHeld(memory_mb);
  }
}

// Without a limit in the settings, nothing bounded the memory.
TEST_CASE("gateway memory: it is bounded if the settings state no limit") {
  constexpr int kCallers = 200;
  constexpr int kDefaultLimitMb = 256;
  MemoryBench bench(std::nullopt);
  for (int i = 0; i < kCallers; ++i) {
    CallerRequest request = MakeFaulty("/read/1", i);
    request.headers_ = "X-Endless: answer\r\n";
    bench.Send(request);
  }
  CHECK(bench.SendSound() == kSound);
  bench.Join();
  CHECK(bench.unanswered_ == 0);
  bench.CheckHeld(kDefaultLimitMb);
}

TEST_CASE("gateway memory: large uploads leave room for others") {
  for (const int memory_mb : kMemoryLimitsMb) {
    MemoryBench bench(memory_mb);
    for (int i = 0; i < kFaulty; ++i) {
      CallerRequest request = MakeFaulty("/read/1", i);
      request.headers_ = "X-Work-Ms: 1000\r\n";
      request.body_ = std::string(4'000'000, 'u');
      bench.Send(request);
    }
    CHECK(bench.SendSound() == kSound);
    bench.Join();
    bench.CheckHeld(memory_mb);
  }
}

}  // namespace
}  // namespace bergamotscale::tests
