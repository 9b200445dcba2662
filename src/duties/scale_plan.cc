#include "src/duties/scale_plan.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bergamotscale::duties {
namespace {

// A new server may take this much longer than the configuration says.
constexpr Millis kBootMargin = Millis(2'000);
// Against rounding errors.
constexpr double kEpsilon = 1e-9;

// What is planned for one zone.
struct ZonePlan {
  const ZoneLoad* load_ = nullptr;
  ScaleMemory::Zone* memory_ = nullptr;
  double servers_ = 0;  // needed for the demand, not rounded
  int needed_ = 0;
};

double UpdatePeak(double busy_servers, Millis now, ScaleMemory::Zone* memory) {
  auto& peaks = memory->peaks_;
  const double demand =
      std::isfinite(busy_servers) ? std::max(busy_servers, 0.0) : 0.0;
  while (!peaks.empty() && peaks.back().second <= demand) {
    peaks.pop_back();
  }
  peaks.emplace_back(now, demand);
  while (peaks.front().first + kPeakTime < now) {
    peaks.pop_front();
  }
  return peaks.front().second;
}

int Limit(double servers, const ScaleLimits& limits) {
  const double rounded = std::ceil(servers - kEpsilon);
  const double at_least =
      std::max(rounded, static_cast<double>(limits.min_replicas_));
  return static_cast<int>(
      std::min(at_least, static_cast<double>(limits.max_replicas_)));
}

// Moves demand that zones can't serve to those that have room.
void MoveOverflow(const ScaleLimits& limits, std::vector<ZonePlan>* plans) {
  double overflow = 0;
  double room = 0;
  const auto limit_of = [&limits](const ZonePlan& plan) {
    return plan.load_->is_draining_ ? 0.0
                                    : static_cast<double>(limits.max_replicas_);
  };
  for (const ZonePlan& plan : *plans) {
    overflow += std::max(0.0, plan.servers_ - limit_of(plan));
    room += std::max(0.0, limit_of(plan) - plan.servers_);
  }
  const double share = room > 0 ? std::min(1.0, overflow / room) : 0;
  for (ZonePlan& plan : *plans) {
    const double limit = limit_of(plan);
    plan.servers_ = plan.servers_ > limit
                        ? limit
                        : plan.servers_ + share * (limit - plan.servers_);
  }
}

// @return whether the zones that aren't being drained have what they need.
bool AreOthersReady(const std::vector<ZonePlan>& plans) {
  return std::all_of(plans.begin(), plans.end(), [](const ZonePlan& plan) {
    return plan.load_->is_draining_ || plan.load_->running_ >= plan.needed_;
  });
}

void UpdateDesired(const ZonePlan& plan, bool others_ready, Millis now) {
  ScaleMemory::Zone& memory = *plan.memory_;
  if (plan.needed_ >= memory.desired_) {
    memory.desired_ = plan.needed_;
    memory.excess_since_.reset();
    return;
  }
  if (plan.load_->is_draining_) {
    memory.desired_ = others_ready ? plan.needed_ : memory.desired_;
    return;
  }
  // Before, it is not known which bursts return.
  const bool knows_peaks = memory.known_since_ + kPeakTime <= now;
  memory.excess_since_ = memory.excess_since_.value_or(now);
  if (knows_peaks && *memory.excess_since_ + kExcessTime <= now) {
    --memory.desired_;
    memory.excess_since_ = now;
  }
}

// Leaving servers that the operator counts as desired ones are not replaced. If
// servers stay missing for longer than one takes to start, as many are ordered
// in addition.
void UpdateExtra(const ZoneLoad& load,
                 const ScaleLimits& limits,
                 Millis now,
                 ScaleMemory::Zone* memory) {
  memory->extra_ = std::min(memory->extra_, load.leaving_);
  const int missing = memory->desired_ - load.running_;
  if (missing <= 0 || load.leaving_ <= 0) {
    memory->short_since_.reset();
    return;
  }
  memory->short_since_ = memory->short_since_.value_or(now);
  if (*memory->short_since_ + limits.boot_ + kBootMargin <= now) {
    memory->extra_ = std::max(memory->extra_, std::min(missing, load.leaving_));
  }
}

}  // namespace

std::map<ZoneId, int> PlanReplicas(const std::vector<ZoneLoad>& zones,
                                   const ScaleLimits& limits,
                                   Millis now,
                                   ScaleMemory* memory) {
  std::map<ZoneId, ScaleMemory::Zone> known;
  known.swap(memory->zones_);
  std::vector<ZonePlan> plans;
  for (const ZoneLoad& load : zones) {
    const auto found = known.find(load.zone_);
    ScaleMemory::Zone zone;
    if (found != known.end()) {
      zone = std::move(found->second);
    } else {
      zone.known_since_ = now;
      zone.desired_ = Limit(load.running_, limits);
    }
    ScaleMemory::Zone& kept = memory->zones_[load.zone_] = std::move(zone);
    const double peak = UpdatePeak(load.busy_servers_, now, &kept);
    plans.push_back({&load, &kept, peak / kTargetLoad, 0});
  }
  MoveOverflow(limits, &plans);
  for (ZonePlan& plan : plans) {
    plan.needed_ = Limit(plan.servers_, limits);
  }
  const bool others_ready = AreOthersReady(plans);
  std::map<ZoneId, int> desired;
  for (const ZonePlan& plan : plans) {
    UpdateDesired(plan, others_ready, now);
    UpdateExtra(*plan.load_, limits, now, plan.memory_);
    // The configuration may have changed.
    plan.memory_->desired_ = Limit(plan.memory_->desired_, limits);
    desired[plan.load_->zone_] =
        Limit(plan.memory_->desired_ + plan.memory_->extra_, limits);
  }
  return desired;
}

}  // namespace bergamotscale::duties
