#include <map>
#include <vector>

#include "src/policy/work_queue.h"
#include "tests/property.h"

namespace bergamotscale::policy {
namespace {

std::vector<ServiceClass> Classes() {
  std::vector<ServiceClass> classes(3);
  classes[0].name_ = ClassId("quote");
  classes[0].tier_ = Tier(1);
  classes[1].name_ = ClassId("order");
  classes[1].tier_ = Tier(2);
  classes[1].floor_percent_ = 5;
  classes[2].name_ = ClassId("plan");
  classes[2].tier_ = Tier(3);
  classes[2].floor_percent_ = 5;
  return classes;
}

QueueItem Item(uint64_t handle, int tier, int64_t due, int64_t output = 100) {
  QueueItem item;
  item.handle_ = handle;
  item.class_ = Classes()[tier - 1].name_;
  item.tier_ = Tier(tier);
  item.first_token_due_ = Millis(due);
  item.deadline_ = Millis(due + 60'000);
  item.prompt_tokens_ = Tokens(100);
  item.expected_output_ = Tokens(output);
  return item;
}

WorkQueue MakeQueue() {
  WorkQueue queue;
  queue.Configure(Classes());
  return queue;
}

constexpr SlotLimits kOneSlot{1, 0, 0};

TEST_CASE("queue: a lower tier doesn't make a higher one late") {
  testing::CheckProperty("tier order", [] {
    WorkQueue queue = MakeQueue();
    std::map<uint64_t, QueueItem> waiting;
    const int count = *rc::gen::inRange(1, 60);
    for (int i = 1; i <= count; ++i) {
      const QueueItem item =
          Item(i, *rc::gen::inRange(1, 4), *rc::gen::inRange(0, 5000));
      queue.Push(item, Millis(0));
      waiting[item.handle_] = item;
    }
    Millis now(0);
    while (!waiting.empty()) {
      now += Millis(*rc::gen::inRange(0, 300));
      const auto next = queue.PopNext(now, kOneSlot);
      RC_ASSERT(next.has_value());
      waiting.erase(next->handle_);
      for (const auto& [handle, item] : waiting) {
        RC_ASSERT(item.tier_ >= next->tier_ || item.first_token_due_ > now);
      }
      queue.RecordEnd(*next, Tokens(100));
    }
    RC_ASSERT(queue.size() == 0U);
    RC_ASSERT(queue.running() == 0);
  });
}

TEST_CASE("queue: within a class, requests that can be on time go first") {
  WorkQueue queue = MakeQueue();
  queue.Push(Item(1, 1, 10), Millis(0));
  queue.Push(Item(2, 1, 300), Millis(0));
  queue.Push(Item(3, 1, 200), Millis(0));
  QueueItem resumed = Item(4, 1, 0);
  resumed.resumed_ = true;
  queue.Push(resumed, Millis(50));
  const SlotLimits limits{9, 0, 0};
  std::vector<uint64_t> order;
  while (const auto next = queue.PopNext(Millis(100), limits)) {
    order.push_back(next->handle_);
  }
  CHECK(order == std::vector<uint64_t>{4, 3, 2, 1});
}

// Simulates one upstream whose top tier alone has demand for all slots.
struct SaturatedUpstream {
  void Step(int64_t now) {
    while (queue_.SizeOf(ClassId("quote")) < 20) {
      queue_.Push(Item(++handle_, 1, now + 500), Millis(now));
    }
    for (const int tier : {2, 3}) {
      const ClassId class_id = Classes()[tier - 1].name_;
      if (queue_.SizeOf(class_id) == 0) {
        queue_.Push(Item(++handle_, tier, now + 9000, 400), Millis(now));
      }
    }
    const int64_t output_per_step = 1;
    for (auto it = running_.begin(); it != running_.end();) {
      it->second -= output_per_step;
      work_[it->first.tier_.value()] += output_per_step;
      if (it->second <= 0) {
        queue_.RecordEnd(it->first, it->first.expected_output_);
        it = running_.erase(it);
      } else {
        ++it;
      }
    }
    while (const auto next = queue_.PopNext(Millis(now), limits_)) {
      running_.emplace_back(*next, next->expected_output_.count());
      urgent_peak_ = std::max(urgent_peak_, queue_.RunningOf(ClassId("quote")));
    }
  }

  WorkQueue queue_ = MakeQueue();
  SlotLimits limits_{16, 0, 2};
  uint64_t handle_ = 0;
  std::vector<std::pair<QueueItem, int64_t>> running_;
  std::map<int64_t, int64_t> work_;
  int urgent_peak_ = 0;
};

TEST_CASE("queue: floors are served and take no slot of a higher tier") {
  SaturatedUpstream upstream;
  for (int64_t now = 0; now < 100'000; now += 20) {
    upstream.Step(now);
  }
  const double total = static_cast<double>(
      upstream.work_[1] + upstream.work_[2] + upstream.work_[3]);
  CHECK(upstream.work_[2] / total > 0.04);
  CHECK(upstream.work_[3] / total > 0.04);
  CHECK(upstream.queue_.RunningOf(ClassId("quote")) == 16);
}

TEST_CASE("queue: counts stay right after reverted starts and withdrawals") {
  testing::CheckProperty("counts", [] {
    WorkQueue queue = MakeQueue();
    std::vector<QueueItem> popped;
    std::vector<uint64_t> pushed;
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5));
    uint64_t handle = 0;
    int64_t now = 0;
    for (const int step : steps) {
      now += 10;
      if (step <= 1) {
        QueueItem item = Item(++handle, 1 + step, now + 100);
        item.suspect_ = handle % 3 == 0;
        queue.Push(item, Millis(now));
        pushed.push_back(handle);
      } else if (step == 2 && !pushed.empty()) {
        queue.Withdraw(pushed.back(), Millis(now));
        pushed.pop_back();
      } else if (step == 3) {
        if (const auto next = queue.PopNext(Millis(now), {3, 1, 1})) {
          popped.push_back(*next);
        }
      } else if (!popped.empty()) {
        queue.RevertStart(popped.back());
        popped.pop_back();
      }
      int suspects = 0;
      for (const QueueItem& item : popped) {
        suspects += item.suspect_ ? 1 : 0;
      }
      RC_ASSERT(suspects <= 1);
      RC_ASSERT(queue.running() == static_cast<int>(popped.size()));
      RC_ASSERT(queue.running() <= 5);
    }
  });
}

TEST_CASE("queue: no suspect starts beside a running request that became one") {
  WorkQueue queue = MakeQueue();
  const SlotLimits limits{9, 0, 0};
  queue.Push(Item(1, 1, 1000), Millis(0));
  const auto first = queue.PopNext(Millis(0), limits);
  REQUIRE(first.has_value());
  const QueueItem marked = queue.MarkSuspect(*first);
  QueueItem other = Item(2, 1, 1000);
  other.suspect_ = true;
  queue.Push(other, Millis(0));
  CHECK_FALSE(queue.PopNext(Millis(1), limits).has_value());
  queue.RecordEnd(marked, Tokens(1));
  CHECK(queue.PopNext(Millis(2), limits).has_value());
}

TEST_CASE("queue: TakeExpired() removes only requests past their deadline") {
  WorkQueue queue = MakeQueue();
  queue.Push(Item(1, 1, 0), Millis(0));
  queue.Push(Item(2, 1, 1000), Millis(0));
  const std::vector<QueueItem> expired = queue.TakeExpired(Millis(60'000));
  REQUIRE(expired.size() == 1);
  CHECK(expired[0].handle_ == 1);
  CHECK(queue.size() == 1);
}

TEST_CASE("queue: a new queue's expected wait rejects no on-time request") {
  // 64 requests arrive at once, and 18 run at a time for 300 ms: the last
  // starts after 900 ms.
  constexpr int64_t kRunMillis = 300;
  const Millis max_wait(1425);
  const SlotLimits limits{16, 2, 0};
  WorkQueue queue = MakeQueue();
  std::vector<std::pair<QueueItem, int64_t>> running;
  const auto start = [&](int64_t now) {
    while (const auto next = queue.PopNext(Millis(now), limits)) {
      running.emplace_back(*next, now + kRunMillis);
    }
  };
  for (uint64_t handle = 1; handle <= 64; ++handle) {
    REQUIRE(queue.ExpectedWait(ClassId("quote"), Millis(0), limits) < max_wait);
    queue.Push(Item(handle, 1, 1900), Millis(0));
    start(0);
  }
  Millis longest;
  for (int64_t now = 0; now < 1000; now += 10) {
    for (auto it = running.begin(); it != running.end();) {
      if (it->second <= now) {
        queue.RecordEnd(it->first, Tokens(100));
        it = running.erase(it);
        start(now);
        it = running.begin();
      } else {
        ++it;
      }
      longest = std::max(
          longest, queue.ExpectedWait(ClassId("quote"), Millis(now), limits));
    }
  }
  CHECK(longest < max_wait);
  CHECK(queue.size() == 0);
}

TEST_CASE("queue: a higher tier's expected wait ignores lower tiers") {
  WorkQueue queue = MakeQueue();
  constexpr int64_t kIntervalMillis = 100;
  for (uint64_t handle = 1; handle <= 60; ++handle) {
    queue.Push(Item(handle, 3, 30'000), Millis(0));
  }
  int64_t now = 0;
  for (int starts = 1; starts <= 11; ++starts) {
    now += kIntervalMillis;
    const auto next = queue.PopNext(Millis(now), {1, 1, 0});
    REQUIRE(next.has_value());
    if (starts <= 10) {
      queue.RecordEnd(*next, Tokens(100));
    }
  }
  // 49 wait, and a slot becomes free every 100 ms.
  CHECK(queue.ExpectedWait(ClassId("quote"), Millis(now), {1, 1, 0}) ==
        Millis(0));
  CHECK(queue.ExpectedWait(ClassId("plan"), Millis(now), {1, 1, 0}) >
        Millis(4000));
}

}  // namespace
}  // namespace bergamotscale::policy
