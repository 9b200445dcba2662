// Tests how gateways share the request rates that upstreams ask for.
#include "src/policy/shared_rate_limits.h"

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

#include <doctest/doctest.h>

namespace bergamotscale::policy {
namespace {

const SharedRateLimits::Key kKey{InstanceId("i-1"), 5};
constexpr uint64_t kUpstream = 77;
// The rule: at most 1.5 times what the limit allows in 4 s, and 5 requests.
constexpr Millis kWindow = Millis(4'000);

double Allowed(double per_second) {
  return 1.5 * per_second * 4 + 5;
}

// Gateways with ids from 1 that all know each other.
std::vector<GatewayMembers> MakeMembers(int count, Millis now) {
  std::vector<GatewayMembers> all;
  for (int i = 1; i <= count; ++i) {
    all.emplace_back(i, true, now);
    for (int k = 1; k <= count; ++k) {
      all.back().OnSeen(k, now);
    }
  }
  return all;
}

TEST_CASE("rate shares: gateways that know each other share the whole limit") {
  const Millis now = GatewayMembers::kDiscoveryTime;
  for (const int count : {1, 2, 5, 6, 33}) {
    for (const double limit : {0.3, 1.1, 1.2, 4.0, 40.0}) {
      CAPTURE(count);
      CAPTURE(limit);
      auto members = MakeMembers(count, Millis(0));
      for (uint64_t upstream = 1; upstream <= 20; ++upstream) {
        double sum = 0;
        int holders = 0;
        for (GatewayMembers& own : members) {
          own = GatewayMembers(own.own(), count > 1, Millis(0));
          for (int k = 1; k <= count; ++k) {
            own.OnSeen(k, now);
          }
          const RateShare share = ComputeRateShare(limit, upstream, own, now);
          sum += share.per_second_;
          holders += share.per_second_ > 0 ? 1 : 0;
        }
        CHECK(sum == doctest::Approx(limit));
        CHECK(holders <= 2 * limit + 5);
      }
    }
  }
}

TEST_CASE("rate limits: a stated limit holds until a later answer lacks it") {
  SharedRateLimits limits;
  const GatewayMembers alone(1, false, Millis(0));
  CHECK(limits.Allows(kKey, Millis(0)));
  CHECK_FALSE(limits.OnStatement(kKey, kUpstream, {std::nullopt, Millis(0)},
                                 Millis(0)));
  CHECK(limits.OnStatement(kKey, kUpstream, {2.0, Millis(100)}, Millis(100)));
  // Nothing is sent before the first share is due.
  CHECK_FALSE(limits.Allows(kKey, Millis(100)));
  limits.UpdateShares(alone, Millis(100));
  CHECK_FALSE(limits.TryTake(kKey, Millis(100)));
  CHECK(*limits.TimeUntilAllowed(kKey, Millis(100)) == Millis(500));
  CHECK(limits.TryTake(kKey, Millis(600)));
  CHECK_FALSE(limits.TryTake(kKey, Millis(700)));
  // An answer to a request that was sent before the limit was known.
  CHECK_FALSE(limits.OnStatement(kKey, kUpstream, {std::nullopt, Millis(90)},
                                 Millis(800)));
  CHECK(limits.IsLimited(kKey));
  CHECK(limits.OnStatement(kKey, kUpstream, {std::nullopt, Millis(700)},
                           Millis(800)));
  CHECK(limits.Allows(kKey, Millis(800)));
  // Another incarnation has said nothing.
  CHECK(limits.Allows({InstanceId("i-1"), 6}, Millis(800)));
  // Other gateways are told for a time, and older notices are still refused.
  limits.Expire(Millis(20'000));
  CHECK(limits.Notices(Millis(20'000)).empty());
  CHECK_FALSE(limits.IsLimited(kKey));
  limits.Expire(Millis(601'000));
  CHECK(limits.empty());
}

TEST_CASE("rate limits: a limit that changes with each answer starves nobody") {
  SharedRateLimits limits;
  const GatewayMembers alone(1, false, Millis(0));
  int sent = 0;
  for (Millis now; now < Millis(10'000); now += Millis(10)) {
    const double limit = now.count() % 20 == 0 ? 1.2 : 1.3;
    limits.OnStatement(kKey, kUpstream, {limit, now}, now);
    limits.UpdateShares(alone, now);
    sent += limits.TryTake(kKey, now) ? 1 : 0;
  }
  CHECK(sent >= 11);
  CHECK(sent <= 13);
}

TEST_CASE("rate limits: zero and absurd limits are bounded") {
  const GatewayMembers alone(1, false, Millis(0));
  for (const double limit : {0.0, 1e-9, 1e300}) {
    SharedRateLimits limits;
    limits.OnStatement(kKey, kUpstream, {limit, Millis(0)}, Millis(0));
    limits.UpdateShares(alone, Millis(0));
    CHECK(limits.LimitOf(kKey) >= SharedRateLimits::kMinPerSecond);
    CHECK(limits.LimitOf(kKey) <= SharedRateLimits::kMaxPerSecond);
    CHECK(limits.TryTake(kKey, Millis(21'000)));
  }
}

TEST_CASE("rate limits: only what an upstream said itself is passed on") {
  SharedRateLimits limits;
  limits.OnStatement(kKey, kUpstream, {2.0, Millis(100), true}, Millis(150));
  CHECK(limits.Notices(Millis(200)).empty());
  limits.OnStatement(kKey, kUpstream, {2.0, Millis(300)}, Millis(300));
  const auto notices = limits.Notices(Millis(400));
  REQUIRE(notices.size() == 1);
  CHECK(notices[0].upstream_ == kUpstream);
  CHECK(notices[0].per_second_ == 2.0);
  CHECK(notices[0].age_ == Millis(100));
}

// A gateway that was frozen or cut off still reports the limits that it knew.
TEST_CASE("rate limits: an old notice brings back no limit that has ended") {
  SharedRateLimits limits;
  const GatewayMembers alone(1, false, Millis(0));
  limits.OnStatement(kKey, kUpstream, {2.0, Millis(0)}, Millis(0));
  limits.UpdateShares(alone, Millis(0));
  limits.OnStatement(kKey, kUpstream, {std::nullopt, Millis(5'000)},
                     Millis(6'000));
  for (const int64_t seconds : {10, 20, 60, 300}) {
    const Millis now = Millis(seconds * 1'000);
    CAPTURE(seconds);
    limits.Expire(now);
    // The frozen gateway was told at 1 s.
    CHECK_FALSE(
        limits.OnStatement(kKey, kUpstream, {2.0, Millis(1'000), true}, now));
    CHECK_FALSE(limits.IsLimited(kKey));
    // It is told of the end.
    const auto notices = limits.Notices(now);
    REQUIRE(notices.size() == 1);
    CHECK_FALSE(notices[0].per_second_.has_value());
  }
  limits.OnStatement(kKey, kUpstream, {2.0, Millis(301'000), true},
                     Millis(301'000));
  CHECK(limits.IsLimited(kKey));
}

// A gateway that no longer hears of a limit would never use the upstream again.
TEST_CASE("rate limits: a gateway without a share asks again after a time") {
  const Millis now = GatewayMembers::kDiscoveryTime;
  auto members = MakeMembers(8, Millis(0));
  int without_share = 0;
  std::vector<Millis> first;
  for (GatewayMembers& own : members) {
    for (int k = 1; k <= 8; ++k) {
      own.OnSeen(k, now);
    }
    SharedRateLimits limits;
    limits.OnStatement(kKey, kUpstream, {1.0, now}, now);
    limits.UpdateShares(own, now);
    if (limits.ShareOf(kKey).per_second_ > 0) {
      continue;
    }
    ++without_share;
    CHECK_FALSE(limits.TimeUntilAllowed(kKey, now).has_value());
    CHECK_FALSE(limits.Allows(kKey, now + Millis(29'000)));
    Millis at = now;
    while (!limits.Allows(kKey, at) && at < now + Millis(100'000)) {
      at += Millis(100);
    }
    first.push_back(at);
    CHECK(limits.TryTake(kKey, at));
    CHECK_FALSE(limits.Allows(kKey, at + Millis(20'000)));
  }
  CHECK(without_share == 5);
  std::sort(first.begin(), first.end());
  for (size_t i = 1; i < first.size(); ++i) {
    CHECK(first[i] - first[i - 1] >= Millis(3'900));
  }
  CHECK(first.back() < now + Millis(90'000));
}

TEST_CASE("gateway members: a gateway that is cut off takes no larger share") {
  auto members = MakeMembers(6, Millis(0));
  GatewayMembers& alone = members[0];
  GatewayMembers& majority = members[1];
  for (Millis now; now <= Millis(60'000); now += Millis(100)) {
    for (int k = 2; k <= 6; ++k) {
      majority.OnSeen(k, now);
    }
    alone.Expire(now);
    majority.Expire(now);
  }
  CHECK(alone.members().size() == 6);
  CHECK(majority.members().size() == 5);
  // It forgets them in the end.
  alone.Expire(GatewayMembers::kLongForgetTime + Millis(1));
  CHECK(alone.members().size() == 1);
  // Without a known peer, it still isn't alone.
  CHECK(alone.CountForShares(Millis(700'000)) == GatewayMembers::kAssumedCount);
}

TEST_CASE("gateway members: one that just started assumes others") {
  GatewayMembers fresh(1, true, Millis(0));
  CHECK(fresh.CountForShares(Millis(0)) == GatewayMembers::kAssumedCount);
  fresh.OnSeen(2, Millis(100));
  CHECK(fresh.CountForShares(Millis(200)) == GatewayMembers::kAssumedCount);
  CHECK(fresh.CountForShares(GatewayMembers::kDiscoveryTime) == 2);
  const GatewayMembers single(1, false, Millis(0));
  CHECK(single.CountForShares(Millis(0)) == 1);
}

// Gateways with a demand far above the limit, which exchange what they know.
class Fleet {
 public:
  Fleet(int count, double limit, uint64_t seed)
      : limit_(limit),
        random_(seed),
        limits_(count),
        told_at_(count, Millis(INT64_MAX / 2)) {
    for (int i = 0; i < count; ++i) {
      members_.emplace_back(i + 1, count > 1, Millis(0));
      cut_off_.push_back(false);
    }
  }

  // Lets a gateway forget everything, as a restart does.
  void Restart(size_t i) {
    limits_[i] = SharedRateLimits();
    members_[i] = GatewayMembers(members_[i].own(), members_.size() > 1, now_);
    told_at_[i] = Millis(INT64_MAX / 2);
  }
  void CutOff(size_t i, bool is_cut_off) { cut_off_[i] = is_cut_off; }

  // Plays the time up to `end`; demand comes in bursts.
  void Play(Millis end) {
    for (; now_ < end; now_ += Millis(5)) {
      Exchange();
      const bool is_burst = now_.count() / 500 % 3 == 0;
      for (size_t i = 0; i < limits_.size(); ++i) {
        limits_[i].UpdateShares(members_[i], now_);
        if (is_burst && limits_[i].TryTake(kKey, now_)) {
          // The rule counts gateways that were told half a second before.
          told_at_[i] = std::min(told_at_[i], now_);
          if (now_ - told_at_[i] >= Millis(500)) {
            sent_.push_back(now_);
          }
          limits_[i].OnStatement(kKey, kUpstream, {limit_, now_}, now_);
        }
      }
    }
  }

  // @return the most requests in a window that ends later than `from`.
  double MostInWindow(Millis from) const {
    double most = 0;
    for (const Millis last : sent_) {
      if (last >= from) {
        most = std::max(most, static_cast<double>(std::count_if(
                                  sent_.begin(), sent_.end(), [&](Millis at) {
                                    return at > last - kWindow && at <= last;
                                  })));
      }
    }
    return most;
  }
  size_t sent() const { return sent_.size(); }

 private:
  void Exchange() {
    std::uniform_int_distribution<int> lost(0, 9);
    for (size_t from = 0; from < limits_.size(); ++from) {
      if (now_.count() % 25 != 0 || cut_off_[from]) {
        continue;
      }
      for (size_t to = 0; to < limits_.size(); ++to) {
        if (from == to || cut_off_[to] || lost(random_) == 0) {
          continue;
        }
        members_[to].OnSeen(members_[from].own(), now_);
        for (const RateNotice& notice : limits_[from].Notices(now_)) {
          limits_[to].OnStatement(
              kKey, kUpstream, {notice.per_second_, now_ - notice.age_, true},
              now_);
        }
      }
    }
    for (GatewayMembers& members : members_) {
      members.Expire(now_);
    }
  }

  const double limit_;
  Millis now_;
  std::mt19937_64 random_;
  std::vector<SharedRateLimits> limits_;
  std::vector<Millis> told_at_;
  std::vector<GatewayMembers> members_;
  std::vector<bool> cut_off_;
  std::vector<Millis> sent_;
};

TEST_CASE("rate limits: fleets of any size keep a limit in each window") {
  for (const int count : {1, 5, 6, 33}) {
    for (const double limit : {0.5, 1.1, 1.2, 3.0, 20.0}) {
      for (const uint64_t seed : {1, 2, 3}) {
        CAPTURE(count);
        CAPTURE(limit);
        CAPTURE(seed);
        Fleet fleet(count, limit, seed);
        fleet.Play(Millis(60'000));
        CHECK(fleet.MostInWindow(Millis(3'000)) <= Allowed(limit));
        // What the upstream takes is used, less what idle times waste.
        CHECK(static_cast<double>(fleet.sent()) >= 60 * limit * 0.3);
      }
    }
  }
}

TEST_CASE("rate limits: gateways that are cut off or restart keep a limit") {
  for (const int count : {5, 6, 33}) {
    for (const double limit : {1.1, 3.0, 20.0}) {
      for (const uint64_t seed : {1, 2, 3}) {
        CAPTURE(count);
        CAPTURE(limit);
        CAPTURE(seed);
        Fleet fleet(count, limit, seed);
        fleet.Play(Millis(10'000));
        // Less than half of them lose sight of all others.
        for (int i = 0; i < (count - 1) / 2; ++i) {
          fleet.CutOff(i, true);
        }
        fleet.Play(Millis(30'000));
        for (int i = 0; i < (count - 1) / 2; ++i) {
          fleet.CutOff(i, false);
        }
        fleet.Play(Millis(40'000));
        for (int i = 0; i < 2; ++i) {
          fleet.Restart(i);
          fleet.Play(Millis(45'000 + i * 5'000));
        }
        CHECK(fleet.MostInWindow(Millis(3'000)) <= Allowed(limit));
      }
    }
  }
}

}  // namespace
}  // namespace bergamotscale::policy
