// Learns how fast one engine is.
#ifndef BERGAMOTSCALE_SRC_POLICY_ENGINE_SPEED_H_
#define BERGAMOTSCALE_SRC_POLICY_ENGINE_SPEED_H_

#include <optional>

#include "bergamotscale/units.h"

namespace bergamotscale::policy {

// Learns how fast one engine prefills while it runs its batch. PrefillSpeed
// learns one value for a group, but engines of a group may differ by a factor
// of two or more. A gateway sends to each engine too seldom to learn this
// alone, so gateways share their samples. Thread safety: none.
class EngineSpeed {
 public:
  // @param tokens own tokens of a prompt, none of which was cached.
  // @param elapsed from the send to the first byte of the response.
  // @return prompt tokens per ms; nothing if the prompt is too short to tell.
  static std::optional<double> ComputeSample(Tokens tokens, Millis elapsed);

  // @param tokens_per_ms a sample of this gateway or a peer. Implausible values
  // are limited.
  void OnSample(double tokens_per_ms);

  // Compares the engine with its group.
  // @param mean_tokens_per_ms mean over the engines of the group whose speed is
  // known.
  // @param staleness see ComputeStaleness(). With 0, all engines count as
  // equal.
  void Compare(double mean_tokens_per_ms, double staleness);

  // @return whether there are enough samples for tokens_per_ms().
  bool is_known() const;
  double tokens_per_ms() const { return tokens_per_ms_; }
  // @return the speed relative to the mean of the group, as last compared.
  double relative() const { return relative_; }
  // @return whether the engine is clearly faster than the mean of its group.
  // The result rarely changes while the speed stays the same.
  bool is_fast() const { return is_fast_; }

 private:
  double tokens_per_ms_ = 0;
  int samples_ = 0;
  double relative_ = 1;
  bool is_fast_ = false;
};

// @return the prompt tokens per ms to assume for an engine: its own speed as
// far as reports are stale, else that of its group. Thread safety: safe.
double ChooseTokensPerMs(const EngineSpeed& engine,
                         double group_tokens_per_ms,
                         double staleness);

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_ENGINE_SPEED_H_
