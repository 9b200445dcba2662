// Tests which requests wait for limited upstreams, and when others return.
#include "src/policy/rate_queue.h"

#include <list>
#include <vector>

#include <doctest/doctest.h>

namespace bergamotscale::policy {
namespace {

const GroupId kGroup("g");

RateForecast MakeForecast(double own_per_second, Millis next_in) {
  RateForecast forecast;
  forecast.own_per_second_ = own_per_second;
  forecast.mean_per_second_ = 1;
  forecast.next_in_ = next_in;
  return forecast;
}

TEST_CASE("rate queue: urgent requests wait only behind their equals") {
  RateQueue queue;
  const RateForecast forecast = MakeForecast(2, Millis(300));
  CHECK(*queue.ExpectedWait(kGroup, 1, forecast) == Millis(300));
  std::list<RateQueue::Ticket> tickets;
  for (const int priority : {0, 1, 1, 2, 2, 2}) {
    tickets.emplace_back(queue, kGroup, priority);
  }
  CHECK(*queue.ExpectedWait(kGroup, 0, forecast) == Millis(800));
  CHECK(*queue.ExpectedWait(kGroup, 1, forecast) == Millis(1'800));
  CHECK(*queue.ExpectedWait(kGroup, 2, forecast) == Millis(3'300));
  CHECK(*queue.ExpectedWait(GroupId("other"), 2, forecast) == Millis(300));
  tickets.clear();
  CHECK(*queue.ExpectedWait(kGroup, 2, forecast) == Millis(300));
}

TEST_CASE("rate queue: nothing waits at a gateway without a share") {
  RateQueue queue;
  RateForecast forecast;
  forecast.mean_per_second_ = 0.5;
  CHECK_FALSE(queue.ExpectedWait(kGroup, 0, forecast).has_value());
  CHECK(queue.ReserveReturn(kGroup, forecast, Millis(1'000)) == Millis(2'000));
}

TEST_CASE("rate queue: rejected requests don't return together") {
  RateQueue queue;
  const RateForecast forecast = MakeForecast(4, Millis(100));
  const std::list<RateQueue::Ticket> empty;
  const RateQueue::Ticket waiting(queue, kGroup, 0);
  Millis last = queue.ReserveReturn(kGroup, forecast, Millis(0));
  CHECK(last == Millis(350));
  for (int i = 0; i < 20; ++i) {
    const Millis next = queue.ReserveReturn(kGroup, forecast, Millis(0));
    CHECK(next - last == Millis(250));
    last = next;
  }
  for (int i = 0; i < 1'000; ++i) {
    last = queue.ReserveReturn(kGroup, forecast, Millis(0));
  }
  CHECK(last == RateQueue::kMaxReturn);
}

}  // namespace
}  // namespace bergamotscale::policy
