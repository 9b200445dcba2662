// Admission control at an entry.
#ifndef BERGAMOTSCALE_SRC_POLICY_ADMISSION_H_
#define BERGAMOTSCALE_SRC_POLICY_ADMISSION_H_

#include <memory>
#include <vector>

#include "bergamotscale/config_document.h"
#include "bergamotscale/error.h"
#include "bergamotscale/ids.h"
#include "bergamotscale/units.h"
#include "src/policy/demand_table.h"

namespace bergamotscale::policy {

// The properties of a request that admission depends on.
struct AdmissionRequest {
  WorkspaceId workspace_;
  ClassId class_;
  // Time left until the first token is due and until the deadline.
  Millis first_token_left_;
  Millis deadline_left_;
  // Estimated run time, from the class and the expected output.
  Millis expected_run_;
  // Estimated wait of its class at the best upstream. Counts only work of the
  // same and higher tiers. See Dispatcher::EstimateBestWait().
  Millis expected_wait_;
};

struct AdmissionDecision {
  // kOk, kRateLimited, kNoUpstream, kOverloaded or kDeadlineUnreachable.
  ErrorCode code_ = ErrorCode::kOk;
  // Delay after which the caller should retry, if rejected.
  Millis retry_after_;

  bool admitted() const { return code_ == ErrorCode::kOk; }
};

// Rejects requests that would miss their deadline or their first-token target,
// or that exceed the limits of their workspace. Since the estimated wait counts
// only the same and higher tiers, no tier is rejected for load of a lower one,
// and the lowest tier is rejected first. Thread safety: none.
class Admission {
 public:
  Admission();
  ~Admission();
  Admission(Admission&&) noexcept;
  Admission& operator=(Admission&&) noexcept;

  // Sets the workspace limits. Workspaces that were configured before keep the
  // level of their token buckets.
  void Configure(const std::vector<Workspace>& workspaces);

  // Sets the total demand on each workspace over all entries, from which this
  // entry's share of each limit is computed. Soft state: a share that isn't
  // renewed returns to the whole limit after a few seconds, so that lost state
  // admits too much rather than too little.
  void SetGlobalDemands(const std::vector<WorkspaceDemand>& of_all_entries,
                        Millis now);

  // Decides whether to admit a request and, if so, charges its workspace.
  AdmissionDecision Admit(const AdmissionRequest& request, Millis now);

  // @return the recent demand of each workspace at this entry, rejected
  // requests included. Workspaces without recent requests are left out.
  std::vector<WorkspaceDemand> GetDemands(Millis now) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_ADMISSION_H_
