// Tells which requests are still sent while the process stops.
#ifndef BERGAMOTSCALE_SRC_POLICY_STOP_DEADLINE_H_
#define BERGAMOTSCALE_SRC_POLICY_STOP_DEADLINE_H_

#include <optional>

#include "bergamotscale/units.h"

namespace bergamotscale::policy {

// A process that stops still reads requests on open connections until it ends.
// A request that its upstream can't answer before then would run and be cut
// off, and its caller could not tell whether it ran, so it is rejected as not
// run instead. It answers planned stops under load. Thread safety: none.
class StopDeadline {
 public:
  // Records that the process stops; call again to move the end.
  // @param listening_until until when load balancers may send new callers;
  // their requests are sent, as most can be answered.
  // @param ends when the requests in progress are ended.
  void Set(Millis listening_until, Millis ends);

  bool is_stopping() const { return is_stopping_; }

  // @return the time until the requests in progress are ended, at most `limit`.
  Millis Cap(Millis limit, Millis now) const;

  // @param arrived when the request was read.
  // @param expected longest time that requests of this kind usually take, if
  // known. It decides only for requests that arrived while load balancers might
  // still send callers here: some requests take longer than any before them.
  // @param limit longest time that this request may take.
  // @return whether a request should still be sent. Where `expected` doesn't
  // decide, the process must have the time for `limit`.
  bool Allows(Millis arrived,
              std::optional<Millis> expected,
              Millis limit,
              Millis now) const;

 private:
  bool is_stopping_ = false;
  Millis listening_until_;
  Millis ends_;
};

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_STOP_DEADLINE_H_
