// The time between tokens that an upstream's batch has to keep now.
#ifndef BERGAMOTSCALE_SRC_POLICY_BATCH_TARGET_H_
#define BERGAMOTSCALE_SRC_POLICY_BATCH_TARGET_H_

#include <optional>
#include <vector>

#include "bergamotscale/config_document.h"
#include "bergamotscale/ids.h"
#include "bergamotscale/units.h"
#include "src/policy/work_queue.h"

namespace bergamotscale::policy {

// The classes with the tightest time between tokens, and the times that
// batches are limited by.
struct TightClasses {
  std::vector<ClassId> names_;
  Millis target_;
  // The tightest one of all other classes; target_ if there are none.
  Millis next_target_;

  // @return whether it makes a difference where the tight classes run.
  bool differ() const { return target_ < next_target_; }
  bool Contains(const ClassId& name) const;
};

// @return the classes with the tightest time between tokens.
TightClasses FindTightClasses(const std::vector<ServiceClass>& classes);

// Follows the classes that run at an upstream or wait for it: while one of the
// tightest is among them, and for a time after, the batch keeps their target,
// and otherwise that of the others. That time is long where they come seldom
// but regularly, as a batch that has grown takes seconds to shrink.
// Thread safety: none.
class BatchTarget {
 public:
  void Configure(const std::vector<ServiceClass>& classes);

  // @return the target in force; 0 if no class has any.
  Millis Follow(const WorkQueue& queue, Millis now);

 private:
  void Observe(bool here, Millis now);
  Millis Linger() const;

  TightClasses tight_;
  // When one of the tight classes was last seen here, and whether it still is.
  std::optional<Millis> seen_;
  bool here_ = false;
  // Mean time without one between two of them, in ms.
  double interval_ = 0;
};

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_BATCH_TARGET_H_
