#include "src/policy/link_budget.h"

#include <algorithm>
#include <cmath>

namespace bergamotscale::policy {
namespace {

// Of the link's speed; the rest is for headers of packets, retransmissions and
// what is sent besides requests and answers.
constexpr double kUsableShare = 0.9;
// A further long request is sent while no more than this waits: a small part
// of the tightest targets of some 200 ms, and more than the time between two
// looks at the requests that wait.
constexpr Millis kMaxBacklog = Millis(30);
// Requests shorter than this are never held; two packets.
constexpr Bytes kShort = Bytes(3'000);
// Time in which the weight of bytes falls to a third; the pace of the
// platform's readiness probe.
constexpr double kRecentMs = 1'000;

}  // namespace

void LinkBudget::Sent(Bytes bytes, Millis now) {
  if (bytes_per_ms_ <= 0) {
    return;
  }
  sent_.Add(bytes, now);
  free_at_ =
      std::max(free_at_, static_cast<double>(now.count())) +
      static_cast<double>(bytes.count()) / (bytes_per_ms_ * kUsableShare);
}

void LinkBudget::Received(Bytes bytes, Millis now) {
  received_.Add(bytes, now);
}

double LinkBudget::BusyShare(Millis now) const {
  if (bytes_per_ms_ <= 0) {
    return 0;
  }
  return std::max(sent_.At(now), received_.At(now)) /
         (bytes_per_ms_ * kRecentMs);
}

void LinkBudget::Recent::Add(Bytes bytes, Millis now) {
  bytes_ = At(now) + static_cast<double>(bytes.count());
  as_of_ = now;
}

double LinkBudget::Recent::At(Millis now) const {
  const auto passed = static_cast<double>((now - as_of_).count());
  return bytes_ * std::exp(-std::max(passed, 0.0) / kRecentMs);
}

bool LinkBudget::HasRoom(Bytes request, Millis now) const {
  return request < kShort || Backlog(now) <= kMaxBacklog;
}

Millis LinkBudget::Backlog(Millis now) const {
  const double left = free_at_ - static_cast<double>(now.count());
  return Millis(std::max<int64_t>(static_cast<int64_t>(left), 0));
}

}  // namespace bergamotscale::policy
