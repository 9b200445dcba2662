// Entries with slow and fast links behind one load balancer.
#include "src/policy/caller_shedding.h"

#include <algorithm>
#include <cstdint>
#include <numeric>
#include <vector>

#include <doctest/doctest.h>

namespace bergamotscale::policy {
namespace {

constexpr Millis kStep = Millis(200);
constexpr Millis kDuration = Millis(30'000);
// The load balancer acts on an entry's readiness after this many steps.
constexpr size_t kProbeSteps = 10;

// A load balancer that spreads load evenly over the ready entries, or over all
// entries if none is ready.
class Zone {
 public:
  explicit Zone(const std::vector<int64_t>& links_kbps) {
    for (const int64_t kbps : links_kbps) {
      entries_.push_back({kbps, CallerShedding(kbps), {}});
    }
  }

  // @return the share of the load that the links could not carry.
  double Run(double load_kbps) {
    double lost = 0;
    double offered = 0;
    for (Millis now; now < kDuration; now += kStep) {
      const double each =
          load_kbps / static_cast<double>(std::max<size_t>(CountReady(), 1));
      for (Entry& entry : entries_) {
        const double received =
            entry.TakesCallers() || CountReady() == 0 ? each : 0;
        const auto link = static_cast<double>(entry.kbps_);
        lost += std::max(received - link, 0.0);
        offered += received;
        entry.busy_share_ = std::min(received / link, 1.0);
      }
      for (Entry& entry : entries_) {
        const bool is_shedding =
            entry.shedding_.Update(entry.busy_share_, Others(entry), now);
        entry.readiness_.push_back(!is_shedding);
        most_shedding_ =
            std::max(most_shedding_, entries_.size() - CountNotShedding());
      }
    }
    return lost / offered;
  }

  size_t most_shedding() const { return most_shedding_; }

 private:
  struct Entry {
    // Whether the load balancer sends callers to this entry.
    bool TakesCallers() const {
      return readiness_.size() < kProbeSteps ||
             readiness_[readiness_.size() - kProbeSteps];
    }
    int64_t kbps_;
    CallerShedding shedding_;
    std::vector<bool> readiness_;
    double busy_share_ = 0;
  };

  size_t CountReady() const {
    return static_cast<size_t>(
        std::count_if(entries_.begin(), entries_.end(),
                      [](const Entry& entry) { return entry.TakesCallers(); }));
  }
  size_t CountNotShedding() const {
    return static_cast<size_t>(std::count_if(
        entries_.begin(), entries_.end(),
        [](const Entry& entry) { return !entry.shedding_.is_shedding(); }));
  }
  PeerLinkSpeeds Others(const Entry& self) const {
    PeerLinkSpeeds others;
    for (const Entry& entry : entries_) {
      if (&entry != &self) {
        others.all_kbps_ += entry.kbps_;
        others.ready_kbps_ += entry.shedding_.is_shedding() ? 0 : entry.kbps_;
      }
    }
    return others;
  }

  std::vector<Entry> entries_;
  size_t most_shedding_ = 0;
};

const std::vector<int64_t> kSlowAndFast = {10'000, 10'000, 10'000,  10'000,
                                           10'000, 10'000, 200'000, 200'000};
const std::vector<int64_t> kEqualLinks = {10'000, 10'000, 10'000, 10'000};

TEST_CASE(
    "caller shedding: load that slow links can't carry goes to fast ones") {
  // An even spread gives each of the 8 links 20 of the 160 Mbit/s. The six
  // links of 10 Mbit/s lose half of theirs, three eighths of the total. A run
  // of 30 s includes four transitions.
  CHECK(Zone(kSlowAndFast).Run(160'000) < 0.375 / 2);
}

TEST_CASE("caller shedding: no entry sheds if all links can carry the load") {
  Zone zone(kSlowAndFast);
  CHECK(zone.Run(40'000) == 0);
  CHECK(zone.most_shedding() == 0);
}

TEST_CASE("caller shedding: entries with equal links never all shed at once") {
  Zone zone(kEqualLinks);
  zone.Run(60'000);
  CHECK(zone.most_shedding() <= kEqualLinks.size() / 2);
}

TEST_CASE("caller shedding: an entry without known peers keeps its callers") {
  CallerShedding alone(10'000);
  CHECK_FALSE(alone.Update(1, PeerLinkSpeeds(), Millis(0)));
  CallerShedding losing_peers(10'000);
  CHECK(losing_peers.Update(1, {200'000, 200'000}, Millis(0)));
  // It accepts callers again as soon as the others are gone.
  CHECK_FALSE(losing_peers.Update(1, PeerLinkSpeeds(), Millis(200)));
}

}  // namespace
}  // namespace bergamotscale::policy
