#include "src/gateway/upstream_set_impl.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace bergamotscale::gateway {
namespace {

// Sent prompts are shared with peers for this long, a few datagrams.
constexpr Millis kPromptShareTime = Millis(350);
// Shorter shared parts are not worth sharing with peers.
constexpr Tokens kMinSharedTokens = Tokens(500);
// Limit of the speeds that are kept for peers until the next datagram.
constexpr size_t kMaxSpeedSamples = 64;

}  // namespace

uint64_t UpstreamSet::Impl::HashGroup(const GroupId& group) {
  return static_cast<uint32_t>(
      XXH3_64bits(group.value().data(), group.value().size()));
}

void UpstreamSet::Impl::RecordPrompt(const Instance& instance,
                                     const policy::PlacementRequest& request) {
  if (request.SharedTokens() < kMinSharedTokens) {
    return;
  }
  cache_estimate_.OnSent(instance.id_hash_, request.shared_);
  recent_prompts_.push_back(
      {{instance.id_hash_, request.shared_}, boot_.Now()});
}

std::vector<SentPrompt> UpstreamSet::Impl::RecentPrompts() {
  const Millis now = boot_.Now();
  while (!recent_prompts_.empty() &&
         now - recent_prompts_.front().sent_at_ > kPromptShareTime) {
    recent_prompts_.pop_front();
  }
  std::vector<SentPrompt> prompts;
  for (const RecentPrompt& recent : recent_prompts_) {
    prompts.push_back(recent.prompt_);
  }
  return prompts;
}

LoadReport UpstreamSet::Impl::OwnLoads() const {
  LoadReport loads;
  for (const auto& [id, instance] : instances_) {
    if (instance.running_ > 0) {
      loads.instances_.push_back(
          {instance.id_hash_, instance.running_, instance.unread_tokens_});
    }
  }
  const Millis now = boot_.Now();
  for (const auto& [group, engines] : engine_groups_) {
    const double tokens_per_s = engines.pool_.TokensPerSecond(now);
    if (engines.running_short_ > 0 || tokens_per_s >= 1) {
      loads.short_prompts_.push_back(
          {HashGroup(group), engines.running_short_, tokens_per_s});
    }
  }
  return loads;
}

std::vector<SentPrompt> UpstreamSet::RecentPrompts() {
  return impl_->RecentPrompts();
}

void UpstreamSet::ApplyPeerPrompts(const std::vector<SentPrompt>& prompts) {
  for (const SentPrompt& prompt : prompts) {
    impl_->cache_estimate_.OnSent(prompt.id_hash_, prompt.shared_);
  }
}

void UpstreamSet::Begin(Choice* choice,
                        const policy::PlacementRequest& request) {
  if (choice->short_prompt_) {
    ++impl_->engine_groups_[choice->group_].running_short_;
  }
  choice->has_permission_ = false;
  if (Impl::Instance* instance = impl_->Find(choice->upstream_)) {
    const auto key = Impl::RateKey(*instance);
    choice->has_permission_ =
        impl_->rate_limits_.IsLimited(key) &&
        impl_->rate_limits_.TryTake(key, impl_->boot_.Now());
    impl_->RecordPrompt(*instance, request);
    ++instance->running_;
    instance->unread_tokens_ += choice->unread_tokens_;
  }
}

void UpstreamSet::OnPrefillDone(const Choice& choice) {
  if (Impl::Instance* instance = impl_->Find(choice.upstream_)) {
    instance->unread_tokens_ =
        std::max(0.0, instance->unread_tokens_ - choice.unread_tokens_);
  }
}

void UpstreamSet::OnPrefillTimed(const Choice& choice,
                                 Tokens own_tokens,
                                 Millis elapsed) {
  impl_->engine_groups_[choice.group_].speed_.OnFirstByte(own_tokens, elapsed);
  Impl::Instance* instance = impl_->Find(choice.upstream_);
  const auto sample = policy::EngineSpeed::ComputeSample(own_tokens, elapsed);
  if (instance != nullptr && sample.has_value()) {
    instance->speed_.OnSample(*sample);
    if (impl_->speed_samples_.size() < kMaxSpeedSamples) {
      impl_->speed_samples_.push_back({instance->id_hash_, *sample});
    }
  }
}

std::vector<SpeedSample> UpstreamSet::TakeSpeedSamples() {
  std::vector<SpeedSample> samples;
  std::swap(samples, impl_->speed_samples_);
  return impl_->Staleness(impl_->boot_.Now()) > 0 ? samples
                                                  : std::vector<SpeedSample>();
}

void UpstreamSet::ApplyPeerSpeeds(const std::vector<SpeedSample>& samples) {
  for (const SpeedSample& sample : samples) {
    for (auto& [id, instance] : impl_->instances_) {
      if (instance.id_hash_ == sample.id_hash_) {
        instance.speed_.OnSample(sample.tokens_per_ms_);
      }
    }
  }
}

void UpstreamSet::End(const Choice& choice,
                      bool prefill_done,
                      CallOutcome outcome) {
  if (choice.short_prompt_) {
    --impl_->engine_groups_[choice.group_].running_short_;
  }
  Impl::Instance* instance = impl_->Find(choice.upstream_);
  if (instance == nullptr) {
    return;
  }
  if (choice.has_permission_) {
    impl_->rate_limits_.GiveBack(Impl::RateKey(*instance), impl_->boot_.Now());
  }
  if (!prefill_done) {
    OnPrefillDone(choice);
  }
  instance->running_ = std::max(0, instance->running_ - 1);
  impl_->RecordOutcome(instance, outcome);
}

LoadReport UpstreamSet::OwnLoads() const {
  return impl_->OwnLoads();
}

void UpstreamSet::ApplyPeerLoads(const std::string& peer, LoadReport loads) {
  impl_->peer_loads_.Apply(peer, std::move(loads), impl_->boot_.Now());
}

}  // namespace bergamotscale::gateway
