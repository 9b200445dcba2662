#include "src/policy/link_budget.h"

#include <algorithm>
#include <cmath>

namespace bergamotscale::policy {
namespace {

// The usable share of the link's speed. The rest is for packet headers,
// retransmissions and traffic other than requests and answers.
constexpr double kUsableShare = 0.9;
// A long request is sent only while the backlog is at most this: a small part
// of the tightest targets of about 200 ms, and more than the time between two
// checks of the waiting requests.
constexpr Millis kMaxBacklog = Millis(30);
// Requests shorter than this are never held: two packets.
constexpr Bytes kShortRequest = Bytes(3'000);
// Time constant of the decay (to 1/e), which matches the interval of the
// platform's readiness probe.
constexpr double kDecayMs = 1'000;

}  // namespace

void LinkBudget::RecordSent(Bytes bytes, Millis now) {
  if (bytes_per_ms_ <= 0) {
    return;
  }
  sent_.Add(bytes, now);
  idle_at_ =
      std::max(idle_at_, static_cast<double>(now.count())) +
      static_cast<double>(bytes.count()) / (bytes_per_ms_ * kUsableShare);
}

void LinkBudget::RecordReceived(Bytes bytes, Millis now) {
  received_.Add(bytes, now);
}

double LinkBudget::GetUtilization(Millis now) const {
  if (bytes_per_ms_ <= 0) {
    return 0;
  }
  return std::max(sent_.ValueAt(now), received_.ValueAt(now)) /
         (bytes_per_ms_ * kDecayMs);
}

void LinkBudget::DecayingBytes::Add(Bytes bytes, Millis now) {
  bytes_ = ValueAt(now) + static_cast<double>(bytes.count());
  updated_at_ = now;
}

double LinkBudget::DecayingBytes::ValueAt(Millis now) const {
  const auto passed = static_cast<double>((now - updated_at_).count());
  return bytes_ * std::exp(-std::max(passed, 0.0) / kDecayMs);
}

bool LinkBudget::HasRoom(Bytes request, Millis now) const {
  return request < kShortRequest || GetBacklog(now) <= kMaxBacklog;
}

Millis LinkBudget::GetBacklog(Millis now) const {
  const double left = idle_at_ - static_cast<double>(now.count());
  return Millis(std::max<int64_t>(static_cast<int64_t>(left), 0));
}

}  // namespace bergamotscale::policy
