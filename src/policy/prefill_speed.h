// Learns how fast engines prefill.
#ifndef BERGAMOTSCALE_SRC_POLICY_PREFILL_SPEED_H_
#define BERGAMOTSCALE_SRC_POLICY_PREFILL_SPEED_H_

#include "bergamotscale/units.h"

namespace bergamotscale::policy {

// Learns how fast the engines of a group prefill, from first bytes of prompts
// whose shared parts were cached. Thread safety: none.
class PrefillSpeed {
 public:
  // The speed that is assumed at first, in tokens per ms.
  static constexpr double kInitial = 100;

  // @param tokens own tokens of a prompt, none of which was cached.
  // @param elapsed from the send to the first byte of the response.
  void OnFirstByte(Tokens tokens, Millis elapsed);

  double tokens_per_ms() const { return tokens_per_ms_; }

 private:
  double tokens_per_ms_ = kInitial;
  int samples_ = 0;
};

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_PREFILL_SPEED_H_
