// Runs duplicates of a request one at a time until one has completed.
#ifndef BERGAMOTSCALE_SRC_POLICY_DUPLICATE_GATE_H_
#define BERGAMOTSCALE_SRC_POLICY_DUPLICATE_GATE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <unordered_map>
#include <unordered_set>

#include "bergamotscale/ids.h"

namespace bergamotscale::policy {

// Lets only one request of a digest run at a time until one has completed, so
// that duplicates sent at once don't crash an upstream each before the first
// crash is reported. After that, all requests of the digest pass. Memory is
// bounded. Thread safety: none.
class DuplicateGate {
 public:
  // @param start called by a later Leave() of another request, if this one has
  // to wait.
  // @return whether the request may run now.
  bool Enter(uint64_t digest, const RequestId& id, std::function<void()> start);

  // Records that a request has ended or stopped waiting, and starts the next.
  // @param completed whether it ran to its end.
  void Leave(uint64_t digest, const RequestId& id, bool completed);

 private:
  struct Waiter {
    RequestId id_;
    std::function<void()> start_;
  };
  struct Duplicates {
    RequestId running_;
    std::deque<Waiter> waiting_;
  };
  bool HasCompleted(uint64_t digest) const;
  void MarkCompleted(uint64_t digest);

  std::unordered_map<uint64_t, Duplicates> duplicates_;
  // Digests that have completed, in two generations to bound memory.
  std::unordered_set<uint64_t> completed_;
  std::unordered_set<uint64_t> older_completed_;
};

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_DUPLICATE_GATE_H_
