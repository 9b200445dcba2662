// A request that crashes every engine that runs it, sent again and again.
#include <atomic>
#include <chrono>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

#include "tests/process/chat_load.h"
#include "tests/process/cluster.h"

namespace bergamotscale::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kBetweenResends(50);

// Restarts engines that have ended, as the platform does.
class EngineKeeper {
 public:
  EngineKeeper(Cluster& cluster, int engines)
      : cluster_(cluster), engines_(engines) {}

  void Check() {
    for (int number = 1; number <= engines_; ++number) {
      const std::string name = "engine-" + std::to_string(number);
      if (cluster_.WaitForExit(name, Millis(1)) != -1) {
        ++down_;
        cluster_.Start(name);
      }
    }
  }

  int down() const { return down_; }

 private:
  Cluster& cluster_;
  const int engines_;
  int down_ = 0;
};

// Sends the crashing request to both entries in turn.
void SendCrasher(const Cluster& cluster,
                 const std::string& content,
                 int first_entry,
                 int times) {
  for (int i = 0; i < times; ++i) {
    const int entry = 1 + (first_entry + i) % cluster.entries();
    Chat(cluster.Url("entry-" + std::to_string(entry)), content, false);
    std::this_thread::sleep_for(kBetweenResends);
  }
}

struct CrasherCase {
  // Callers that send the crashing request at the same time.
  int copies_ = 1;
  // Times that each caller sends it.
  int times_ = 1;
  int engines_ = 4;
  int entries_ = 2;
};

void CheckCrasher(const CrasherCase& tried) {
  ClusterOptions options;
  options.engines_ = tried.engines_;
  options.entries_ = tried.entries_;
  options.step_base_us_ = 5000;
  options.direct_engines_ = true;
  Cluster cluster(options);
  LoadOptions neighbours;
  neighbours.requests_ = 600;
  neighbours.threads_ = 12;
  neighbours.tokens_ = 40;
  ChatLoad load(cluster, neighbours);
  std::this_thread::sleep_for(milliseconds(500));
  const std::string content = "[crash]" + ChatContent(1'000'000, 20);
  std::vector<std::future<void>> callers;
  callers.reserve(tried.copies_);
  for (int copy = 0; copy < tried.copies_; ++copy) {
    callers.push_back(std::async(std::launch::async, SendCrasher,
                                 std::cref(cluster), content, copy,
                                 tried.times_));
  }
  EngineKeeper keeper(cluster, tried.engines_);
  const auto end = steady_clock::now() + std::chrono::seconds(90);
  for (const std::future<void>& caller : callers) {
    while (caller.wait_for(milliseconds(5)) != std::future_status::ready &&
           steady_clock::now() < end) {
      keeper.Check();
    }
  }
  while (load.running() && steady_clock::now() < end) {
    keeper.Check();
  }
  load.Wait();
  keeper.Check();
  CHECK(keeper.down() >= 1);
  CHECK(keeper.down() <= 2);
  CHECK(load.whole() == neighbours.requests_);
  CHECK(load.wrong() == 0);
  CHECK(load.failed() == 0);
}

TEST_CASE("crasher: sent again and again it takes down two engines at most") {
  CheckCrasher({/*copies_=*/1, /*times_=*/30});
}

TEST_CASE("crasher: copies at once take down two engines at most") {
  CheckCrasher({/*copies_=*/8, /*times_=*/10});
}

TEST_CASE("crasher: copies at four entries take down two engines at most") {
  CheckCrasher({/*copies_=*/8, /*times_=*/10, /*engines_=*/6, /*entries_=*/4});
}

}  // namespace
}  // namespace bergamotscale::testing
