// Entries with slow and fast links under one balancer.
#include "src/policy/caller_shedding.h"

#include <algorithm>
#include <cstdint>
#include <numeric>
#include <vector>

#include <doctest/doctest.h>

namespace bergamotscale::policy {
namespace {

constexpr Millis kStep = Millis(200);
constexpr Millis kDay = Millis(30'000);
// The balancer follows what an entry says after so many steps.
constexpr size_t kProbeSteps = 10;

// A balancer that spreads load evenly over the entries that are ready, and all
// entries if none is.
class Zone {
 public:
  explicit Zone(const std::vector<int64_t>& links_kbps) {
    for (const int64_t kbps : links_kbps) {
      entries_.push_back({kbps, CallerShedding(kbps), {}});
    }
  }

  // @return the load that links could not carry, as a share of all.
  double Play(double load_kbps) {
    double lost = 0;
    double offered = 0;
    for (Millis now; now < kDay; now += kStep) {
      const double each =
          load_kbps / static_cast<double>(std::max<size_t>(CountReady(), 1));
      for (Entry& entry : entries_) {
        const double got = entry.TakesCallers() || CountReady() == 0 ? each : 0;
        const auto link = static_cast<double>(entry.kbps_);
        lost += std::max(got - link, 0.0);
        offered += got;
        entry.busy_share_ = std::min(got / link, 1.0);
      }
      for (Entry& entry : entries_) {
        const bool sheds =
            entry.shedding_.Update(entry.busy_share_, Others(entry), now);
        entry.said_.push_back(!sheds);
        most_shedding_ =
            std::max(most_shedding_, entries_.size() - CountSaid());
      }
    }
    return lost / offered;
  }

  size_t most_shedding() const { return most_shedding_; }

 private:
  struct Entry {
    // Whether the balancer sends callers.
    bool TakesCallers() const {
      return said_.size() < kProbeSteps || said_[said_.size() - kProbeSteps];
    }
    int64_t kbps_;
    CallerShedding shedding_;
    std::vector<bool> said_;
    double busy_share_ = 0;
  };

  size_t CountReady() const {
    return static_cast<size_t>(
        std::count_if(entries_.begin(), entries_.end(),
                      [](const Entry& entry) { return entry.TakesCallers(); }));
  }
  size_t CountSaid() const {
    return static_cast<size_t>(std::count_if(
        entries_.begin(), entries_.end(),
        [](const Entry& entry) { return !entry.shedding_.sheds(); }));
  }
  OtherLinks Others(const Entry& self) const {
    OtherLinks others;
    for (const Entry& entry : entries_) {
      if (&entry != &self) {
        others.all_kbps_ += entry.kbps_;
        others.ready_kbps_ += entry.shedding_.sheds() ? 0 : entry.kbps_;
      }
    }
    return others;
  }

  std::vector<Entry> entries_;
  size_t most_shedding_ = 0;
};

const std::vector<int64_t> kSlowAndFast = {10'000, 10'000, 10'000,  10'000,
                                           10'000, 10'000, 200'000, 200'000};
const std::vector<int64_t> kAlike = {10'000, 10'000, 10'000, 10'000};

TEST_CASE(
    "caller shedding: load that slow links can't carry goes to fast ones") {
  // Spread evenly, 160 Mbit/s are 20 for each link of 10, of which half is
  // lost, or three eighths of all; a day of 30 s has four times of change.
  CHECK(Zone(kSlowAndFast).Play(160'000) < 0.375 / 2);
}

TEST_CASE("caller shedding: what all links carry easily is not shed") {
  Zone zone(kSlowAndFast);
  CHECK(zone.Play(40'000) == 0);
  CHECK(zone.most_shedding() == 0);
}

TEST_CASE("caller shedding: entries that are alike never shed all at once") {
  Zone zone(kAlike);
  zone.Play(60'000);
  CHECK(zone.most_shedding() <= kAlike.size() / 2);
}

TEST_CASE(
    "caller shedding: an entry that hears of no other keeps its callers") {
  CallerShedding alone(10'000);
  CHECK_FALSE(alone.Update(1, OtherLinks(), Millis(0)));
  CallerShedding left_alone(10'000);
  CHECK(left_alone.Update(1, {200'000, 200'000}, Millis(0)));
  // It takes callers again as soon as the others are gone.
  CHECK_FALSE(left_alone.Update(1, OtherLinks(), Millis(200)));
}

}  // namespace
}  // namespace bergamotscale::policy
