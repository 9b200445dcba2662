// One attempt to execute a request on an upstream.
#ifndef BERGAMOTSCALE_SRC_ENTRY_ATTEMPT_H_
#define BERGAMOTSCALE_SRC_ENTRY_ATTEMPT_H_

#include <functional>
#include <memory>
#include <vector>

#include "src/entry/caller_request.h"
#include "src/entry/traffic_context.h"
#include "src/wire/messages.h"

namespace bergamotscale::entry {

// Why and how an attempt failed.
struct AttemptFailure {
  Error error_;
  // Whether this attempt may have been executed.
  Verdict verdict_ = Verdict::kMayHaveExecuted;
  Millis retry_after_;
  // Whether the log showed that no send of the order had been executed.
  bool order_not_executed_ = false;
  // Whether a probe found the upstream up after the call had failed.
  bool upstream_responds_ = false;
  // Sidecars that rejected the reservation or failed.
  std::vector<InstanceId> sidecars_;
};

// Inputs of an attempt.
struct AttemptOptions {
  int number_ = 0;
  Millis waited_;
  Millis deadline_left_;
  bool suspect_ = false;
  // Sidecars to avoid because they failed this request before.
  std::vector<InstanceId> avoided_sidecars_;
  // Output so far; the attempt continues after it. Empty on a first attempt.
  std::string resume_text_;
  Tokens resume_tokens_;
};

// Exactly one of on_finished_ and on_failed_ is called, as the last call.
struct AttemptHooks {
  std::function<void(const wire::Chunk& chunk)> on_chunk_;
  std::function<void(const wire::Finished& finished)> on_finished_;
  std::function<void(const AttemptFailure& failure)> on_failed_;
};

// Reserves capacity at several sidecars, sends the work to the first one that
// grants it and cancels the other reservations. A chunk with another request's
// id or out of sequence ends the attempt and is not passed on.
// Thread safety: use on the traffic thread only.
class Attempt {
 public:
  // @param request must outlive the attempt.
  Attempt(TrafficContext& traffic,
          const CallerRequest& request,
          AttemptOptions options,
          AttemptHooks hooks);
  // Calls Cancel().
  ~Attempt();
  Attempt(const Attempt&) = delete;
  Attempt& operator=(const Attempt&) = delete;

  // Sends the reservations. May call on_failed_ before it returns.
  void Start();

  // Cancels the reservations and running work. No hook is called afterwards.
  void Cancel();

  // @return whether the work has been sent to a sidecar.
  bool has_sent_work() const;

  // @return the sidecars to which reservations were sent.
  std::vector<InstanceId> sidecars() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace bergamotscale::entry

#endif  // BERGAMOTSCALE_SRC_ENTRY_ATTEMPT_H_
