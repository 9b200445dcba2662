// The backlog and utilization of an entry's network link.
#ifndef BERGAMOTSCALE_SRC_POLICY_LINK_BUDGET_H_
#define BERGAMOTSCALE_SRC_POLICY_LINK_BUDGET_H_

#include "bergamotscale/units.h"

namespace bergamotscale::policy {

// Estimates the bytes queued at this machine's network link from the bytes sent
// and the link's speed. During bursts on slow links, a long request that is
// queued in the link delays the answers behind it, and it can be neither
// cancelled when its caller leaves nor overtaken by a more urgent request. Both
// are possible while the entry holds the request. Thread safety: none.
class LinkBudget {
 public:
  // @param bytes_per_ms the link's speed; 0 if unknown, which means no limit.
  explicit LinkBudget(double bytes_per_ms) : bytes_per_ms_(bytes_per_ms) {}

  // Records bytes that are handed to the link now.
  void RecordSent(Bytes bytes, Millis now);
  // Records bytes that were received over the link.
  void RecordReceived(Bytes bytes, Millis now);

  // @return whether a request of this length may be sent now. Short requests
  // always may, as they add little to the backlog.
  bool HasRoom(Bytes request, Millis now) const;

  // @return the time that the link needs to send the queued bytes.
  Millis GetBacklog(Millis now) const;

  // @return the fraction of the link's speed used over about the last second,
  // in the busier direction; 0 if the speed is unknown.
  double GetUtilization(Millis now) const;

 private:
  // An exponentially decaying count of the bytes of about the last second.
  struct DecayingBytes {
    void Add(Bytes bytes, Millis now);
    double ValueAt(Millis now) const;

    double bytes_ = 0;
    Millis updated_at_;
  };

  double bytes_per_ms_;
  // When the link will have sent everything, in ms of the caller's clock.
  double idle_at_ = 0;
  DecayingBytes sent_;
  DecayingBytes received_;
};

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_LINK_BUDGET_H_
