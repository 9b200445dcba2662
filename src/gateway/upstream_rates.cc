#include "src/gateway/upstream_set_impl.h"

#include <algorithm>

namespace bergamotscale::gateway {

policy::SharedRateLimits::Key UpstreamSet::Impl::RateKey(
    const Instance& instance) {
  return {instance.entry_.id_, instance.entry_.started_at_};
}

void UpstreamSet::Impl::OnRateStated(const UpstreamKey& key,
                                     const policy::RateStatement& statement) {
  const Instance* instance = Find(key);
  if (instance == nullptr) {
    return;
  }
  const auto rate_key = RateKey(*instance);
  if (rate_limits_.OnStatement(rate_key, instance->rate_hash_, statement,
                               boot_.Now())) {
    if (!rate_limits_.IsLimited(rate_key)) {
      ReportRate(rate_key);
    }
    UpdateRateShares();
  }
}

void UpstreamSet::Impl::ApplyPeerRates(
    const std::vector<policy::RateNotice>& notices) {
  const Millis now = boot_.Now();
  for (const policy::RateNotice& notice : notices) {
    for (const auto& [id, instance] : instances_) {
      if (instance.rate_hash_ == notice.upstream_) {
        OnRateStated(KeyOf(instance),
                     {notice.per_second_, now - notice.age_, true});
      }
    }
  }
}

void UpstreamSet::Impl::UpdateRateShares() {
  const Millis now = boot_.Now();
  members_.Expire(now);
  for (const auto& key : rate_limits_.UpdateShares(members_, now)) {
    ReportRate(key);
  }
  rate_limits_.Expire(now);
}

void UpstreamSet::Impl::ReportRate(const policy::SharedRateLimits::Key& key) {
  if (on_rate_change_) {
    on_rate_change_({{key.first, key.second},
                     rate_limits_.LimitOf(key),
                     rate_limits_.ShareOf(key),
                     static_cast<int>(members_.members().size())});
  }
}

std::optional<policy::RateForecast> UpstreamSet::Impl::ForecastRate(
    const GroupId& group) const {
  policy::RateForecast forecast;
  const Millis now = boot_.Now();
  bool is_limited = false;
  for (const auto& [id, instance] : instances_) {
    if (instance.entry_.group_ != group || !IsOpen(instance) ||
        PausedUntil(instance) > now || instance.health_.IsPaused(now)) {
      continue;
    }
    const auto key = RateKey(instance);
    if (!rate_limits_.IsLimited(key)) {
      return std::nullopt;
    }
    is_limited = true;
    forecast.own_per_second_ += rate_limits_.ShareOf(key).per_second_;
    forecast.mean_per_second_ +=
        rate_limits_.LimitOf(key) / members_.CountForShares(now);
    const auto next_in = rate_limits_.TimeUntilAllowed(key, now);
    if (next_in.has_value()) {
      forecast.next_in_ =
          std::min(*next_in, forecast.next_in_.value_or(*next_in));
    }
  }
  return is_limited ? std::make_optional(forecast) : std::nullopt;
}

}  // namespace bergamotscale::gateway
