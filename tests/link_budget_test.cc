// An entry behind a slow link, in a burst of long requests.
#include "src/policy/link_budget.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <vector>

#include <doctest/doctest.h>

#include "src/policy/admission_queue.h"

namespace bergamotscale::policy {
namespace {

constexpr double kBytesPerMs = 1'250;  // 10 Mbit/s
constexpr Bytes kRequest = Bytes(17'000);
constexpr Millis kBurst = Millis(4'000);
// Long requests arrive at 1.5 times the speed of the link, urgent ones at a
// tenth of it.
constexpr int64_t kLongEveryMs = 9;
constexpr int64_t kUrgentEveryMs = 136;
constexpr Millis kLongTimeout = Millis(2'000);
constexpr Millis kUrgentTarget = Millis(250);
constexpr int kUrgent = 0;
constexpr int kLong = 2;

// A link that sends first in, first out.
class Link {
 public:
  // @return when the last of the bytes has been sent.
  Millis Send(Bytes bytes, Millis now) {
    idle_at_ = std::max(idle_at_, static_cast<double>(now.count())) +
               static_cast<double>(bytes.count()) / kBytesPerMs;
    return Millis(static_cast<int64_t>(idle_at_));
  }

 private:
  double idle_at_ = 0;
};

// A request counts as sent after cancellation if the link finishes it more than
// this time after its caller left.
constexpr Millis kLateAfterCancel = Millis(100);

struct Outcome {
  int sent_after_cancel_ = 0;
  int urgent_ = 0;
  int urgent_on_time_ = 0;
  int sent_ = 0;
};

class Entry {
 public:
  explicit Entry(LinkBudget budget) : budget_(budget) {}

  Outcome Run() {
    for (int64_t ms = 1; ms < (kBurst + kLongTimeout).count(); ++ms) {
      const Millis now(ms);
      if (now < kBurst && ms % kLongEveryMs == 0) {
        HandleArrival({kLong, now + kLongTimeout}, now);
      }
      if (now < kBurst && ms % kUrgentEveryMs == 0) {
        ++outcome_.urgent_;
        HandleArrival({kUrgent, now + kUrgentTarget}, now);
      }
      SendWaiting(now);
    }
    return outcome_;
  }

 private:
  void HandleArrival(const QueuedRequest& request, Millis now) {
    if (!budget_.HasRoom(kRequest, now)) {
      waiting_[queue_.Add(request)] = request;
    } else {
      Send(request, now);
    }
  }

  void SendWaiting(Millis now) {
    for (const uint64_t id : queue_.GetOrder(now)) {
      const QueuedRequest request = waiting_.at(id);
      const bool cancelled = request.due_ <= now;
      if (!cancelled && !budget_.HasRoom(kRequest, now)) {
        continue;
      }
      queue_.Remove(id);
      waiting_.erase(id);
      if (!cancelled) {
        Send(request, now);
      }
    }
  }

  void Send(const QueuedRequest& request, Millis now) {
    budget_.RecordSent(kRequest, now);
    const Millis sent_at = link_.Send(kRequest, now);
    const bool on_time = sent_at <= request.due_;
    outcome_.sent_after_cancel_ +=
        sent_at > request.due_ + kLateAfterCancel ? 1 : 0;
    ++outcome_.sent_;
    if (request.priority_ == kUrgent) {
      outcome_.urgent_on_time_ += on_time ? 1 : 0;
    }
  }

  LinkBudget budget_;
  Link link_;
  AdmissionQueue queue_;
  std::map<uint64_t, QueuedRequest> waiting_;
  Outcome outcome_;
};

TEST_CASE(
    "link budget: a burst on a slow link sends nothing for callers that left") {
  const Outcome unlimited = Entry(LinkBudget(0)).Run();
  const Outcome limited = Entry(LinkBudget(kBytesPerMs)).Run();
  CHECK(unlimited.sent_after_cancel_ > 0);
  CHECK(limited.sent_after_cancel_ == 0);
}

TEST_CASE("link budget: urgent requests overtake long ones on a slow link") {
  const Outcome unlimited = Entry(LinkBudget(0)).Run();
  const Outcome limited = Entry(LinkBudget(kBytesPerMs)).Run();
  CHECK(unlimited.urgent_on_time_ * 2 < unlimited.urgent_);
  CHECK(limited.urgent_on_time_ == limited.urgent_);
  // At least nine tenths of the link's capacity are used, up to one request
  // that may be unsent at the end.
  const int64_t all = static_cast<int64_t>(
      kBytesPerMs * static_cast<double>((kBurst + kLongTimeout).count()) /
      static_cast<double>(kRequest.count()));
  CHECK((limited.sent_ + 1) * 10 >= all * 9);
}

TEST_CASE("link budget: short requests and unknown links are never held") {
  LinkBudget slow(kBytesPerMs);
  slow.RecordSent(Bytes(1'000'000), Millis(0));
  CHECK(slow.GetBacklog(Millis(100)) > Millis(700));
  CHECK_FALSE(slow.HasRoom(kRequest, Millis(100)));
  CHECK(slow.HasRoom(Bytes(800), Millis(100)));
  CHECK(slow.HasRoom(kRequest, Millis(2'000)));
  LinkBudget unknown(0);
  unknown.RecordSent(Bytes(1'000'000), Millis(0));
  CHECK(unknown.HasRoom(kRequest, Millis(0)));
}

}  // namespace
}  // namespace bergamotscale::policy
