// What an entry's own network link can still take in time.
#ifndef BERGAMOTSCALE_SRC_POLICY_LINK_BUDGET_H_
#define BERGAMOTSCALE_SRC_POLICY_LINK_BUDGET_H_

#include "bergamotscale/units.h"

namespace bergamotscale::policy {

// Follows the bytes that wait in the link of this machine, by what was sent
// and the link's speed. It answers bursts at entries with slow links: long
// requests that stand in the link can neither be taken back when their caller
// leaves nor be overtaken by more urgent ones, and answers stand behind them.
// Held in the entry, they can. Thread safety: none.
class LinkBudget {
 public:
  // @param bytes_per_ms the link's speed; zero if it is not known, which means
  // no limit.
  explicit LinkBudget(double bytes_per_ms) : bytes_per_ms_(bytes_per_ms) {}

  // Counts bytes that are handed to the link now.
  void Sent(Bytes bytes, Millis now);
  // Counts bytes that came through the link.
  void Received(Bytes bytes, Millis now);

  // @return whether a request of this length may be sent now. Short ones
  // always may, as they hardly add to what waits.
  bool HasRoom(Bytes request, Millis now) const;

  // @return how long the link takes for what waits in it.
  Millis Backlog(Millis now) const;

  // @return the share of the link's speed that was used in about the last
  // second, in the busier direction; zero if the speed is not known.
  double BusyShare(Millis now) const;

 private:
  // Bytes of about the last second; older ones count less and less.
  struct Recent {
    void Add(Bytes bytes, Millis now);
    double At(Millis now) const;

    double bytes_ = 0;
    Millis as_of_;
  };

  double bytes_per_ms_;
  // When the link has sent all; in milliseconds of the clock of the callers.
  double free_at_ = 0;
  Recent sent_;
  Recent received_;
};

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_LINK_BUDGET_H_
