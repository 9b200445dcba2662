// Whether an entry takes a request in.
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

// What admission needs of a request.
struct AdmissionRequest {
  WorkspaceId workspace_;
  ClassId class_;
  // What is left until the first token is due and until it is given up.
  Millis first_token_left_;
  Millis deadline_left_;
  // How long it would run, by class and expected output.
  Millis expected_run_;
  // Expected wait of its class at the best upstream; counts only work of its
  // own and higher tiers. See Dispatcher::BestWait.
  Millis expected_wait_;
};

struct AdmissionDecision {
  // kOk, kRateLimited, kOverloaded or kDeadlineUnreachable.
  ErrorCode code_ = ErrorCode::kOk;
  // When to come again, if refused.
  Millis retry_after_;

  bool admitted() const { return code_ == ErrorCode::kOk; }
};

// Refuses early what can't meet its deadline or whose first token would be
// late, and what its workspace's limits don't cover. The expected wait counts
// own and higher tiers only: no tier is refused for load of a lower one, and
// the lowest is refused first.
// Thread safety: none.
class Admission {
 public:
  Admission();
  ~Admission();
  Admission(Admission&&) noexcept;
  Admission& operator=(Admission&&) noexcept;

  // Takes over workspace limits; buckets of known workspaces keep their level.
  void Configure(const std::vector<Workspace>& workspaces);

  // Takes in how much all entries together see of the workspaces, from which
  // this entry's share of each limit follows. Soft state: a share that isn't
  // renewed is whole again after a few seconds, so that lost state serves too
  // much rather than too little.
  void TakeDemands(const std::vector<WorkspaceDemand>& of_all_entries,
                   Millis now);

  // Decides on a request and, if it is admitted, charges its workspace.
  AdmissionDecision Admit(const AdmissionRequest& request, Millis now);

  // @return what this entry has seen of the workspaces lately, admitted or not;
  // those not seen are left out.
  std::vector<WorkspaceDemand> Demands(Millis now) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_ADMISSION_H_
