// Workloads: equal seeds give equal arrivals; rates, bursts and shares are
// kept.
#include <algorithm>
#include <map>
#include <string>

#include <doctest/doctest.h>

#include "src/emulator/answer.h"
#include "src/load/workload.h"

namespace bergamotscale::load {
namespace {

int64_t CountClass(const std::vector<Arrival>& arrivals, const char* name) {
  return std::count_if(
      arrivals.begin(), arrivals.end(),
      [name](const Arrival& each) { return each.class_ == ClassId(name); });
}

WorkloadOptions LongOptions(uint64_t seed) {
  WorkloadOptions options;
  options.seed_ = seed;
  options.length_ = Millis(200000);
  options.requests_per_second_ = 20;
  return options;
}

TEST_CASE("workload: equal seeds give equal arrivals, other seeds others") {
  const auto first = GenerateArrivals(LongOptions(7));
  const auto second = GenerateArrivals(LongOptions(7));
  const auto other = GenerateArrivals(LongOptions(8));
  REQUIRE(first.size() == second.size());
  for (size_t i = 0; i < first.size(); ++i) {
    REQUIRE(first[i].prompt_ == second[i].prompt_);
    REQUIRE(first[i].time_ == second[i].time_);
    REQUIRE(first[i].key_ == second[i].key_);
  }
  CHECK(first[0].prompt_ != other[0].prompt_);
}

TEST_CASE("workload: rate and shares are as configured, in order of time") {
  const auto arrivals = GenerateArrivals(LongOptions(1));
  CHECK(arrivals.size() > 3700);
  CHECK(arrivals.size() < 4300);
  CHECK(std::is_sorted(
      arrivals.begin(), arrivals.end(),
      [](const Arrival& a, const Arrival& b) { return a.time_ < b.time_; }));
  const double quick = CountClass(arrivals, "suggestion");
  CHECK(quick / arrivals.size() == doctest::Approx(0.6).epsilon(0.05));
}

TEST_CASE("workload: the engine's answer has the length that was drawn") {
  for (const Arrival& arrival : GenerateArrivals(LongOptions(2))) {
    REQUIRE(emulator::AnswerLength(arrival.model_, MakeEnginePrompt(arrival),
                                   Tokens(0)) == arrival.output_tokens_);
  }
}

TEST_CASE("workload: a burst adds arrivals to its class only, while it lasts") {
  WorkloadOptions options = LongOptions(3);
  const auto without_burst = GenerateArrivals(options);
  options.burst_ = Burst{ClassId("bulk"), Millis(50000), Millis(50000), 5};
  const auto with_burst = GenerateArrivals(options);
  CHECK(CountClass(without_burst, "suggestion") ==
        CountClass(with_burst, "suggestion"));
  CHECK(CountClass(without_burst, "order") == CountClass(with_burst, "order"));
  int64_t inside = 0;
  for (const Arrival& arrival : with_burst) {
    const bool during =
        arrival.time_ >= Millis(50000) && arrival.time_ < Millis(100000);
    inside += during && arrival.class_ == ClassId("bulk") ? 1 : 0;
  }
  CHECK(inside > 1100);  // 5 requests per second, times five, for 50 s
  CHECK(inside < 1400);
}

TEST_CASE(
    "workload: early leavers and crashing requests as many as configured") {
  WorkloadOptions options = LongOptions(4);
  options.early_leavers_ = 0.1;
  options.crashing_requests_ = 3;
  int64_t leavers = 0;
  int64_t crashing = 0;
  for (const Arrival& arrival : GenerateArrivals(options)) {
    leavers += arrival.leaves_at_.has_value() ? 1 : 0;
    crashing += arrival.crashes_engine_ ? 1 : 0;
    CHECK(emulator::HasCrashMarker(arrival.prompt_) == arrival.crashes_engine_);
  }
  CHECK(crashing == 3);
  CHECK(leavers > 270);
  CHECK(leavers < 410);
}

TEST_CASE("workload: capacity grows with engines and with the batch") {
  const emulator::EngineParameters engine;
  const double nine = CapacityOf(Mix::kStoves, engine, 9, 16);
  CHECK(nine == doctest::Approx(9 * CapacityOf(Mix::kStoves, engine, 1, 16)));
  CHECK(CapacityOf(Mix::kStoves, engine, 9, 32) > nine);
}

}  // namespace
}  // namespace bergamotscale::load
