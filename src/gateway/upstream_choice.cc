#include "src/gateway/upstream_set_impl.h"

#include <algorithm>
#include <cmath>

namespace bergamotscale::gateway {
namespace {

// Interval of the number of engines reserved for short prompts.
constexpr Millis kPoolInterval = Millis(100);
// Interval of the check at which versions streams may begin.
constexpr Millis kVersionInterval = Millis(20);
// An instance that fails more of its calls is no engine for short prompts.
constexpr double kMaxPoolFailureShare = 0.25;

bool Contains(const std::vector<UpstreamKey>& keys, const UpstreamKey& key) {
  return std::find(keys.begin(), keys.end(), key) != keys.end();
}

}  // namespace

bool UpstreamSet::Impl::Choose(const GroupId& group,
                               const policy::PlacementRequest& request,
                               const std::vector<UpstreamKey>& tried,
                               Choice* choice) {
  const Millis now = boot_.Now();
  peer_loads_.Expire(now);
  if (now - versions_checked_at_ >= kVersionInterval) {
    CheckVersions(now);
  }
  const bool has_pool = request.engine_ && ReserveEngines(group, now);
  // Without a usable engine of its kind, a request goes to any.
  for (const VersionUse use : {VersionUse::kPreferred, VersionUse::kIfNeeded}) {
    for (const bool by_pool : {true, false}) {
      if ((has_pool || !by_pool) &&
          ChooseAmong(group, request, tried, {by_pool, use}, now, choice)) {
        return true;
      }
    }
    if (!request.begins_stream_) {
      break;
    }
  }
  return false;
}

bool UpstreamSet::Impl::Refresh(Choice* choice) {
  const Instance* instance = Find(choice->upstream_);
  const Millis now = boot_.Now();
  if (instance == nullptr || !TakesRequests(*instance, now) ||
      instance->health_.IsPaused(now)) {
    return false;
  }
  peer_loads_.Expire(now);
  DescribeLoad(*instance, now, choice);
  return true;
}

bool UpstreamSet::Impl::IsIn(const Instance& instance,
                             const policy::PlacementRequest& request,
                             const Subset& subset) {
  if (request.version_.has_value() &&
      instance.entry_.version_ != *request.version_) {
    return false;
  }
  return (!subset.by_pool_ || instance.reserved_ == request.short_prompt_) &&
         (!request.begins_stream_ || instance.use_ >= subset.use_);
}

bool UpstreamSet::Impl::ChooseAmong(const GroupId& group,
                                    const policy::PlacementRequest& request,
                                    const std::vector<UpstreamKey>& tried,
                                    const Subset& subset,
                                    Millis now,
                                    Choice* choice) {
  std::vector<policy::InstanceView> views;
  std::vector<const Instance*> candidates;
  for (auto& [id, instance] : instances_) {
    if (instance.entry_.group_ != group || !TakesRequests(instance, now) ||
        !IsIn(instance, request, subset)) {
      continue;
    }
    views.push_back(MakeInstanceView(instance, now));
    views.back().uncached_tokens_ = static_cast<double>(
        cache_estimate_.CountUncachedTokens(instance.id_hash_, request.shared_)
            .count());
    views.back().avoid_ =
        Contains(tried, KeyOf(instance)) || instance.health_.IsPaused(now);
    candidates.push_back(&instance);
  }
  const int best = policy::ChooseInstance(views, request, random_());
  if (best < 0) {
    return false;
  }
  const auto chosen = static_cast<size_t>(best);
  choice->upstream_ = KeyOf(*candidates[chosen]);
  choice->group_ = group;
  choice->version_ = candidates[chosen]->entry_.version_;
  choice->unread_tokens_ = views[chosen].uncached_tokens_ +
                           static_cast<double>(request.own_tokens_.count());
  DescribeLoad(*candidates[chosen], now, choice);
  choice->recomputes_cached_prefix_ = policy::IsCachedElsewhere(views, best);
  choice->short_prompt_ = request.short_prompt_;
  choice->paused_ = candidates[chosen]->health_.IsPaused(now);
  choice->lapsed_ =
      candidates[chosen]->entry_.registration_ == route::Registration::kLapsed;
  return true;
}

bool UpstreamSet::Impl::ReserveEngines(const GroupId& group, Millis now) {
  EngineGroup& engines = engine_groups_[group];
  if (now - engines.sized_at_ >= kPoolInterval) {
    engines.sized_at_ = now;
    SizePool(group, &engines, now);
  }
  int left = engines.pool_.size();
  for (Instance* instance : engines.order_) {
    instance->reserved_ = left > 0 && IsFitForPool(*instance, now);
    left -= instance->reserved_ ? 1 : 0;
  }
  return engines.pool_.size() > 0;
}

void UpstreamSet::Impl::SizePool(const GroupId& group,
                                 EngineGroup* engines,
                                 Millis now) {
  UpdateEstimates(engines, now);
  policy::PoolDemand demand;
  demand.running_ = engines->running_short_;
  demand.tokens_per_s_ = engines->pool_.TokensPerSecond(now);
  const ShortPromptLoad peers = peer_loads_.ShortPrompts(HashGroup(group));
  demand.running_ += peers.running_;
  demand.tokens_per_s_ += peers.tokens_per_s_;
  for (const Instance* instance : engines->order_) {
    demand.slots_ = std::max(demand.slots_, instance->entry_.slots_);
    demand.engines_ += IsFitForPool(*instance, now) ? 1 : 0;
  }
  demand.engine_tokens_per_ms_ = PoolTokensPerMs(*engines, now);
  demand.gap_target_ = engines->gap_target_;
  const int before = engines->pool_.size();
  const int size = engines->pool_.Update(demand, now);
  if (size != before && on_pool_change_) {
    on_pool_change_({group, size, demand, peer_loads_.MeanAge(now)});
  }
}

double UpstreamSet::Impl::Staleness(Millis now) const {
  return balances_stale_load_
             ? policy::ComputeStaleness(peer_loads_.MeanAge(now))
             : 0;
}

void UpstreamSet::Impl::UpdateEstimates(EngineGroup* engines, Millis now) {
  const double staleness = Staleness(now);
  double sum = 0;
  int known = 0;
  for (Instance* instance : engines->order_) {
    instance->peers_load_.OnReported(
        peer_loads_.Instance(instance->id_hash_).unread_tokens_, now);
    if (instance->speed_.is_known()) {
      sum += instance->speed_.tokens_per_ms();
      ++known;
    }
  }
  bool reorder = false;
  for (Instance* instance : engines->order_) {
    const bool was_fast = instance->speed_.is_fast();
    instance->speed_.Compare(sum / std::max(known, 1), staleness);
    instance->tokens_per_ms_ = policy::ChooseTokensPerMs(
        instance->speed_, engines->speed_.tokens_per_ms(), staleness);
    reorder = reorder || instance->speed_.is_fast() != was_fast;
  }
  if (reorder) {
    SortEngines(engines);
  }
}

double UpstreamSet::Impl::PoolTokensPerMs(const EngineGroup& engines,
                                          Millis now) const {
  const int size = std::max(engines.pool_.size(), 1);
  double sum = 0;
  int count = 0;
  for (const Instance* instance : engines.order_) {
    if (count < size && IsFitForPool(*instance, now)) {
      sum += instance->tokens_per_ms_;
      ++count;
    }
  }
  return count > 0 ? sum / count : engines.speed_.tokens_per_ms();
}

bool UpstreamSet::Impl::IsFitForPool(const Instance& instance,
                                     Millis now) const {
  return TakesRequests(instance, now) && !instance.health_.IsPaused(now) &&
         !rate_limits_.IsLimited(RateKey(instance)) &&
         instance.health_.FailureShare(now) < kMaxPoolFailureShare;
}

UpstreamSet::Impl::PeersUnread UpstreamSet::Impl::GetPeersUnread(
    const Instance& instance,
    Millis now) const {
  const Millis age = peer_loads_.MeanAge(now);
  PeersUnread unread;
  unread.reported_ = peer_loads_.Instance(instance.id_hash_).unread_tokens_;
  const double staleness = Staleness(now);
  unread.estimated_ =
      staleness > 0
          ? instance.peers_load_.Estimate(
                unread.reported_, instance.tokens_per_ms_, age, staleness)
          : unread.reported_;
  return unread;
}

void UpstreamSet::Impl::DescribeLoad(const Instance& instance,
                                     Millis now,
                                     Choice* choice) const {
  choice->running_ =
      instance.running_ + peer_loads_.Instance(instance.id_hash_).running_;
  // What peers may have sent since their reports doesn't make a request wait:
  // it would wait for engines that are idle.
  const PeersUnread peers = GetPeersUnread(instance, now);
  choice->unread_ahead_ =
      instance.unread_tokens_ + std::min(peers.reported_, peers.estimated_);
  choice->prefill_tokens_per_ms_ = instance.tokens_per_ms_;
}

policy::InstanceView UpstreamSet::Impl::MakeInstanceView(
    const Instance& instance,
    Millis now) const {
  policy::InstanceView view;
  view.id_hash_ = instance.id_hash_;
  view.same_zone_ = instance.entry_.zone_ == own_zone_;
  view.slots_ = instance.entry_.slots_;
  view.running_ = instance.running_;
  view.unread_tokens_ = instance.unread_tokens_;
  view.failure_share_ = instance.health_.FailureShare(now);
  const InstanceLoad peers = peer_loads_.Instance(instance.id_hash_);
  view.running_ += peers.running_;
  view.unread_tokens_ += GetPeersUnread(instance, now).estimated_;
  view.unseen_tokens_ = instance.peers_load_.Unseen(Staleness(now));
  view.speed_ = instance.speed_.relative();
  return view;
}

bool UpstreamSet::MaySend(Choice* choice) {
  const Impl::Instance* instance = impl_->Find(choice->upstream_);
  const Millis now = impl_->boot_.Now();
  if (instance == nullptr || !impl_->IsOpen(*instance) ||
      impl_->PausedUntil(*instance) > now) {
    return false;
  }
  // The limit may be newer than the choice.
  choice->has_permission_ =
      choice->has_permission_ ||
      impl_->rate_limits_.TryTake(Impl::RateKey(*instance), now);
  return choice->has_permission_;
}

bool UpstreamSet::ClassifyPrompt(const GroupId& group,
                                 const std::string& route,
                                 const policy::PlacementRequest& request,
                                 Millis tightest_target,
                                 Millis tightest_gap_target) {
  Impl::EngineGroup& engines = impl_->engine_groups_[group];
  engines.gap_target_ = tightest_gap_target;
  return engines.pool_.Classify(route, request.SharedTokens(),
                                request.own_tokens_, tightest_target,
                                impl_->boot_.Now());
}

bool UpstreamSet::HasReservedEngines(const GroupId& group) const {
  const auto found = impl_->engine_groups_.find(group);
  return found != impl_->engine_groups_.end() && found->second.pool_.size() > 0;
}

std::vector<GroupBalance> UpstreamSet::Balance() const {
  const Millis now = impl_->boot_.Now();
  std::vector<GroupBalance> balances;
  for (const auto& [group, engines] : impl_->engine_groups_) {
    GroupBalance balance;
    balance.group_ = group;
    balance.report_age_ = impl_->peer_loads_.MeanAge(now);
    double sum = 0;
    double squares = 0;
    for (const Impl::Instance* instance : engines.order_) {
      const Impl::PeersUnread peers = impl_->GetPeersUnread(*instance, now);
      const double tokens = instance->unread_tokens_ + peers.estimated_;
      sum += tokens;
      squares += tokens * tokens;
      balance.unseen_tokens_ += peers.estimated_ - peers.reported_;
      ++balance.engines_;
      balance.fast_ += instance->speed_.is_fast() ? 1 : 0;
    }
    if (balance.engines_ > 0) {
      const double mean = sum / balance.engines_;
      balance.spread_tokens_ =
          std::sqrt(std::max(0.0, squares / balance.engines_ - mean * mean));
      balances.push_back(balance);
    }
  }
  return balances;
}

}  // namespace bergamotscale::gateway
