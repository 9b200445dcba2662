// Sends decided usage reports until the operator's API has accepted them.
#ifndef BERGAMOTSCALE_SRC_GATEWAY_USAGE_REPORTER_H_
#define BERGAMOTSCALE_SRC_GATEWAY_USAGE_REPORTER_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "bergamotscale/clock.h"
#include "bergamotscale/result.h"
#include "src/duties/duty_state.h"
#include "src/gateway/decision_log.h"
#include "src/lease/records.h"
#include "src/metrics/metrics.h"

namespace bergamotscale::gateway {

enum class DutyAnswer {
  kAccepted,
  kFenced,    // a higher token has been seen
  kRejected,  // not carried out; may be sent again
};

// Makes one call at a time. Thread safety: use from the traffic thread.
class UsageReporter : public std::enable_shared_from_this<UsageReporter> {
 public:
  using Report = std::function<void(const duties::UsageReport&,
                                    lease::Fence,
                                    std::function<void(Result<DutyAnswer>)>)>;
  struct Hooks {
    Report report_;
    // @return the estimate of the true time.
    std::function<Millis()> true_time_;
    // A call with this token was refused because a higher one was seen.
    std::function<void(lease::Fence)> on_fenced_;
  };

  // Create it with std::make_shared().
  UsageReporter(duties::UsageRules rules,
                Clock boot,
                Hooks hooks,
                metrics::Metrics* metrics,
                DecisionLog* log);

  // No hook is called any more.
  void Stop() { stopped_ = true; }

  // Sends the decided report that was not tried for the longest time, unless a
  // call is in progress or none is due.
  // @param stored what the log holds for certain.
  // @param token of a lease that is valid now.
  void Send(const duties::DutyState& stored, lease::Fence token);

  // Confirms in the state what the API has accepted.
  void ConfirmAccepted(duties::DutyState* state) const;
  // Logs new decisions and forgets what is stored as confirmed.
  void OnStored(const duties::DutyState& before,
                const duties::DutyState& stored);

 private:
  Millis AgeOf(duties::WindowId window) const;
  Millis TriedAt(duties::WindowId window) const;
  void OnAnswer(duties::WindowId window,
                lease::Fence token,
                const Result<DutyAnswer>& answer);
  void OnConfirmed(duties::WindowId window, lease::Fence token);
  void LogRefusal(duties::WindowId window,
                  lease::Fence token,
                  const std::string& reason);

  const duties::UsageRules rules_;
  const Clock boot_;
  const Hooks hooks_;
  metrics::Metrics* const metrics_;
  DecisionLog* const log_;
  bool is_calling_ = false;
  Millis resumes_at_;
  std::map<duties::WindowId, Millis> tried_at_;
  std::set<duties::WindowId> accepted_;  // not stored as confirmed yet
  bool stopped_ = false;
};

}  // namespace bergamotscale::gateway

#endif  // BERGAMOTSCALE_SRC_GATEWAY_USAGE_REPORTER_H_
