// One attempt at a request: its reservations, and the stream that won.
#ifndef BERGAMOTSCALE_SRC_ENTRY_ATTEMPT_H_
#define BERGAMOTSCALE_SRC_ENTRY_ATTEMPT_H_

#include <functional>
#include <memory>
#include <vector>

#include "src/entry/caller_request.h"
#include "src/entry/traffic.h"
#include "src/wire/messages.h"

namespace bergamotscale::entry {

// How an attempt failed.
struct AttemptFailure {
  Error error_;
  // Whether this attempt may have been executed.
  Verdict verdict_ = Verdict::kMayHaveRun;
  Millis retry_after_;
  // Whether the log showed that no send of the order had been executed.
  bool order_not_run_ = false;
  // Whether the upstream was found up after it had failed the call.
  bool upstream_up_ = false;
  // Sidecars that refused or failed.
  std::vector<InstanceId> sidecars_;
};

// What goes into an attempt.
struct AttemptPlan {
  int number_ = 0;
  Millis waited_;
  Millis deadline_left_;
  bool suspect_ = false;
  // Sidecars that have failed this request.
  std::vector<InstanceId> avoid_;
  // The answer so far, which the caller has or will get from here.
  std::string resume_text_;
  Tokens resume_tokens_;
};

// Exactly one of on_finished_ and on_failed_ is called, as the last call.
struct AttemptHooks {
  std::function<void(const wire::Chunk& chunk)> on_chunk_;
  std::function<void(const wire::Finished& finished)> on_finished_;
  std::function<void(const AttemptFailure& failure)> on_failed_;
};

// A chunk with a foreign request id or out of its sequence ends the attempt:
// nothing of it reaches the caller.
// Thread safety: use on the traffic thread only.
class Attempt {
 public:
  // @param request must outlive the attempt.
  Attempt(Traffic& traffic,
          const CallerRequest& request,
          AttemptPlan plan,
          AttemptHooks hooks);
  // Cancels.
  ~Attempt();
  Attempt(const Attempt&) = delete;
  Attempt& operator=(const Attempt&) = delete;

  // Places the reservations. May fail at once, by on_failed_.
  void Start();

  // Withdraws reservations and stops running work; no hook is called any more.
  void Cancel();

  // @return whether the work has been sent to a sidecar.
  bool bound() const;

  // @return where reservations were placed.
  std::vector<InstanceId> sidecars() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace bergamotscale::entry

#endif  // BERGAMOTSCALE_SRC_ENTRY_ATTEMPT_H_
