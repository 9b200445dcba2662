// The inter-token latency target that currently limits an upstream's batch.
#ifndef BERGAMOTSCALE_SRC_POLICY_BATCH_TARGET_H_
#define BERGAMOTSCALE_SRC_POLICY_BATCH_TARGET_H_

#include <optional>
#include <vector>

#include "bergamotscale/config_document.h"
#include "bergamotscale/ids.h"
#include "bergamotscale/units.h"
#include "src/policy/work_queue.h"

namespace bergamotscale::policy {

// The classes with the tightest inter-token target, and the targets that
// batches are limited by.
struct TightClasses {
  std::vector<ClassId> names_;
  Millis target_;
  // The tightest target of all other classes; target_ if there are none.
  Millis next_target_;

  // @return whether the other classes allow larger batches.
  bool has_looser_classes() const { return target_ < next_target_; }
  bool Contains(const ClassId& name) const;
};

// @return the classes with the tightest inter-token target.
TightClasses FindTightClasses(const std::vector<ServiceClass>& classes);

// Selects the target from the classes that run or wait at an upstream. While a
// class with the tightest target is among them, and for a hold time after, that
// target applies; otherwise the target of the other classes does. The hold time
// is long where such requests are rare but regular, as a batch that has grown
// takes seconds to shrink. Thread safety: none.
class BatchTarget {
 public:
  void Configure(const std::vector<ServiceClass>& classes);

  // @return the target that applies now; 0 if no class has one.
  Millis UpdateTarget(const WorkQueue& queue, Millis now);

 private:
  void ObservePresence(bool present, Millis now);
  Millis HoldTime() const;

  TightClasses tight_;
  // When a request of a tight class was last present, and whether one is now.
  std::optional<Millis> last_present_;
  bool present_ = false;
  // Mean length of the intervals without a tight request, in ms.
  double interval_ = 0;
};

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_BATCH_TARGET_H_
