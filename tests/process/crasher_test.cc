// A request that crashes every engine that executes it is retried many times.
// It must take down two engines at most, and no other request may fail.
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

constexpr milliseconds kRetryDelay(50);

// Restarts engines that have ended, as the platform does.
class EngineRestarter {
 public:
  EngineRestarter(Cluster& cluster, int engines)
      : cluster_(cluster), engines_(engines) {}

  void Check() {
    for (int number = 1; number <= engines_; ++number) {
      const std::string name = "engine-" + std::to_string(number);
      if (cluster_.WaitForExit(name, Millis(1)) != -1) {
        ++restarts_;
        cluster_.Start(name);
      }
    }
  }

  int restarts() const { return restarts_; }

 private:
  Cluster& cluster_;
  const int engines_;
  int restarts_ = 0;
};

// Sends the crashing request to all entries in turn.
void SendCrasher(const Cluster& cluster,
                 const std::string& content,
                 int first_entry,
                 int times) {
  for (int i = 0; i < times; ++i) {
    const int entry = 1 + (first_entry + i) % cluster.entries();
    Chat(cluster.Url("entry-" + std::to_string(entry)), content, false);
    std::this_thread::sleep_for(kRetryDelay);
  }
}

struct CrasherCase {
  // Callers that send the crashing request at the same time.
  int copies_ = 1;
  // How often each caller sends it.
  int times_ = 1;
  int engines_ = 4;
  int entries_ = 2;
};

void CheckCrasher(const CrasherCase& test_case) {
  ClusterOptions options;
  options.engines_ = test_case.engines_;
  options.entries_ = test_case.entries_;
  options.step_base_us_ = 5000;
  options.direct_engines_ = true;
  Cluster cluster(options);
  LoadOptions background;
  background.requests_ = 600;
  background.threads_ = 12;
  background.tokens_ = 40;
  ChatLoad load(cluster, background);
  std::this_thread::sleep_for(milliseconds(500));
  const std::string content = "[crash]" + ChatContent(1'000'000, 20);
  std::vector<std::future<void>> callers;
  callers.reserve(test_case.copies_);
  for (int copy = 0; copy < test_case.copies_; ++copy) {
    callers.push_back(std::async(std::launch::async, SendCrasher,
                                 std::cref(cluster), content, copy,
                                 test_case.times_));
  }
  EngineRestarter restarter(cluster, test_case.engines_);
  const auto end = steady_clock::now() + std::chrono::seconds(90);
  for (const std::future<void>& caller : callers) {
    while (caller.wait_for(milliseconds(5)) != std::future_status::ready &&
           steady_clock::now() < end) {
      restarter.Check();
    }
  }
  while (load.running() && steady_clock::now() < end) {
    restarter.Check();
  }
  load.Wait();
  restarter.Check();
  CHECK(restarter.restarts() >= 1);
  CHECK(restarter.restarts() <= 2);
  CHECK(load.correct() == background.requests_);
  CHECK(load.wrong() == 0);
  CHECK(load.failed() == 0);
}

TEST_CASE("crasher: one caller that retries takes down two engines at most") {
  CheckCrasher({/*copies_=*/1, /*times_=*/30});
}

TEST_CASE("crasher: concurrent copies take down two engines at most") {
  CheckCrasher({/*copies_=*/8, /*times_=*/10});
}

TEST_CASE("crasher: copies at four entries take down two engines at most") {
  CheckCrasher({/*copies_=*/8, /*times_=*/10, /*engines_=*/6, /*entries_=*/4});
}

}  // namespace
}  // namespace bergamotscale::testing
