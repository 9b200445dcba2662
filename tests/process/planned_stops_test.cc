// Planned stops and restarts of entries, sidecars and engines under load. Every
// request must get a complete answer.
#include <csignal>

#include <algorithm>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

#include "bergamotscale/clock.h"
#include "tests/process/chat_load.h"
#include "tests/process/cluster.h"

namespace bergamotscale::testing {
namespace {

using std::chrono::milliseconds;

constexpr Millis kStopTimeout(10000);
constexpr int kTokens = 100;

TEST_CASE("process: a leaving sidecar gets no new requests and loses none") {
  Cluster cluster;
  ChatLoad load(cluster, MakeUnlimitedLoad(kTokens));
  std::this_thread::sleep_for(milliseconds(1000));
  const Millis stopped = Clock::Wall().Now();
  cluster.Signal("sidecar-1", SIGTERM);
  CHECK(cluster.WaitForExit("sidecar-1", kStopTimeout) == 0);
  std::this_thread::sleep_for(milliseconds(3000));
  Millis last_start;
  for (const auto& record : cluster.FetchJournal("engine-1")) {
    last_start = std::max(last_start, Millis(record["start"].get<int64_t>()));
  }
  CHECK(last_start > Millis(0));
  CHECK(last_start - stopped < Millis(2000));
  StopAndCheckAnswers(load);
}

void CheckRollingRestart(const std::vector<std::string>& names) {
  Cluster cluster;
  ChatLoad load(cluster, MakeUnlimitedLoad(kTokens));
  for (const std::string& name : names) {
    CAPTURE(name);
    cluster.Signal(name, SIGTERM);
    CHECK_MESSAGE(cluster.WaitForExit(name, kStopTimeout) == 0, name);
    cluster.Start(name);
    REQUIRE_MESSAGE(cluster.WaitFor(name, "/healthz"), name);
    if (name.rfind("engine", 0) != 0) {
      CHECK_MESSAGE(cluster.WaitFor(name, "/readyz"), name);
    }
    std::this_thread::sleep_for(milliseconds(500));
  }
  StopAndCheckAnswers(load);
}

TEST_CASE("process: a rolling restart of entries and sidecars loses nothing") {
  CheckRollingRestart(
      {"entry-1", "entry-2", "sidecar-1", "sidecar-2", "sidecar-3"});
}

TEST_CASE("process: a rolling restart of engines loses nothing") {
  CheckRollingRestart({"engine-1", "engine-2", "engine-3"});
}

}  // namespace
}  // namespace bergamotscale::testing
