// Tests which requests a stopping process still sends.
#include <doctest/doctest.h>

#include "src/policy/service_time.h"
#include "src/policy/stop_deadline.h"

namespace bergamotscale::policy {
namespace {

constexpr Millis kArrived = Millis(1'000);
constexpr Millis kListeningUntil = Millis(3'000);
constexpr Millis kEnds = Millis(7'700);
constexpr Millis kTimeout = Millis(1'500);

StopDeadline MakeStop() {
  StopDeadline stop;
  stop.Set(kListeningUntil, kEnds);
  return stop;
}

TEST_CASE("stop deadline: while the process runs, everything is allowed") {
  const StopDeadline stop;
  CHECK(stop.Allows(kArrived, Millis(60'000), Millis(60'000), Millis(5)));
  CHECK(stop.Cap(Millis(60'000), Millis(5)) == Millis(60'000));
}

// Orders that take 450 ms were passed on 300 ms before the process ended.
TEST_CASE("stop deadline: a request is sent only if it can end in time") {
  const StopDeadline stop = MakeStop();
  CHECK(stop.Allows(kArrived, Millis(450), kTimeout, kEnds - Millis(450)));
  CHECK_FALSE(
      stop.Allows(kArrived, Millis(450), kTimeout, kEnds - Millis(449)));
  // The caller waits for a shorter time than such requests usually take.
  CHECK(stop.Allows(kArrived, Millis(450), Millis(300), kEnds - Millis(300)));
  CHECK_FALSE(stop.Allows(kArrived, Millis(0), kTimeout, kEnds));
  CHECK(stop.Cap(kTimeout, kEnds - Millis(450)) == Millis(450));
}

TEST_CASE("stop deadline: a request of unknown length needs its whole time") {
  const StopDeadline stop = MakeStop();
  CHECK(stop.Allows(kArrived, std::nullopt, kTimeout, kEnds - kTimeout));
  CHECK_FALSE(
      stop.Allows(kArrived, std::nullopt, kTimeout, kEnds - Millis(1'499)));
  CHECK_FALSE(
      stop.Allows(kArrived, std::nullopt, Millis(10'000), kListeningUntil));
}

// Streams were sent because earlier ones had been short, and were cut off.
TEST_CASE("stop deadline: a request that arrives late needs its whole time") {
  const StopDeadline stop = MakeStop();
  CHECK_FALSE(stop.Allows(kListeningUntil, Millis(450), kTimeout,
                          kEnds - Millis(1'499)));
  CHECK(stop.Allows(kListeningUntil, Millis(450), kTimeout, kEnds - kTimeout));
  CHECK(stop.Allows(kListeningUntil - Millis(1), Millis(450), kTimeout,
                    kEnds - Millis(1'499)));
}

TEST_CASE("stop deadline: new callers that balancers still send are served") {
  const StopDeadline stop = MakeStop();
  const Millis last = kListeningUntil - Millis(1);
  CHECK(stop.Allows(kArrived, std::nullopt, Millis(10'000), last));
  CHECK(stop.Allows(kArrived, Millis(6'000), Millis(10'000), last));
  CHECK_FALSE(
      stop.Allows(kArrived, Millis(6'000), Millis(10'000), kListeningUntil));
}

// A resumable stream of 7 s was sent 4.4 s before the end, as most took under 3
// s (soak, planned stops only, seed 1).
TEST_CASE("service time: a few long streams count for the longest usual time") {
  ServiceTime times;
  CHECK_FALSE(times.LongestUsual("r").has_value());
  for (int i = 0; i < 400; ++i) {
    times.OnServed("r", Millis(i % 30 == 0 ? 7'000 : 800));
  }
  REQUIRE(times.LongestUsual("r").has_value());
  CHECK(*times.LongestUsual("r") >= Millis(7'000));
  // Long streams of the past are forgotten.
  for (int i = 0; i < 201; ++i) {
    times.OnServed("r", Millis(800));
  }
  CHECK(*times.LongestUsual("r") == Millis(1'000));
}

}  // namespace
}  // namespace bergamotscale::policy
