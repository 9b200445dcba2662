// Holds back copies of a request that is running for the first time.
#ifndef BERGAMOTSCALE_SRC_POLICY_COPY_GATE_H_
#define BERGAMOTSCALE_SRC_POLICY_COPY_GATE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <unordered_map>
#include <unordered_set>

#include "bergamotscale/ids.h"

namespace bergamotscale::policy {

// Lets one request of a digest run at a time until one has ended well, so that
// copies sent at once don't crash an upstream each before the first crash is
// known. After that all of the digest pass. Memory is bounded.
// Thread safety: none.
class CopyGate {
 public:
  // @param go called later, from Leave() of another, if this must wait.
  // @return whether the request may run now.
  bool Enter(uint64_t digest, const RequestId& id, std::function<void()> go);

  // The request has ended, or waits no longer. Others may go.
  // @param completed whether it ran to its end.
  void Leave(uint64_t digest, const RequestId& id, bool completed);

 private:
  struct Waiter {
    RequestId id_;
    std::function<void()> go_;
  };
  struct Copies {
    RequestId running_;
    std::deque<Waiter> waiting_;
  };
  bool Proven(uint64_t digest) const;
  void Prove(uint64_t digest);

  std::unordered_map<uint64_t, Copies> copies_;
  // Digests that have ended well, in two generations.
  std::unordered_set<uint64_t> proven_;
  std::unordered_set<uint64_t> older_proven_;
};

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_COPY_GATE_H_
