#include "src/policy/instance_notices.h"

#include <algorithm>
#include <iterator>

namespace bergamotscale::policy {
namespace {

// Leaving instances end within minutes; their start times never come again.
constexpr Millis kLeavingLifetime = Millis(3'600'000);

}  // namespace

bool InstanceNotices::OnLeaving(const InstanceId& id,
                                int64_t started_at,
                                Millis now) {
  Notice& notice = notices_[{id, started_at}];
  const bool is_new = !notice.leaving_;
  notice.leaving_ = true;
  notice.updated_ = now;
  return is_new;
}

void InstanceNotices::OnPause(const InstanceId& id,
                              int64_t started_at,
                              Millis pause,
                              Millis now) {
  Notice& notice = notices_[{id, started_at}];
  notice.paused_until_ =
      std::max(notice.paused_until_, now + std::min(pause, kMaxPause));
  notice.updated_ = now;
}

const InstanceNotices::Notice* InstanceNotices::Find(const InstanceId& id,
                                                     int64_t started_at) const {
  const auto found = notices_.find({id, started_at});
  return found == notices_.end() ? nullptr : &found->second;
}

bool InstanceNotices::IsLeaving(const InstanceId& id,
                                int64_t started_at) const {
  const Notice* notice = Find(id, started_at);
  return notice != nullptr && notice->leaving_;
}

Millis InstanceNotices::PausedUntil(const InstanceId& id,
                                    int64_t started_at) const {
  const Notice* notice = Find(id, started_at);
  return notice == nullptr ? Millis(0) : notice->paused_until_;
}

void InstanceNotices::Expire(Millis now) {
  for (auto it = notices_.begin(); it != notices_.end();) {
    const Notice& notice = it->second;
    const bool needed =
        notice.paused_until_ > now ||
        (notice.leaving_ && now - notice.updated_ < kLeavingLifetime);
    it = needed ? std::next(it) : notices_.erase(it);
  }
}

}  // namespace bergamotscale::policy
