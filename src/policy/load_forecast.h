// Estimates the load of an engine from reports that are out of date.
#ifndef BERGAMOTSCALE_SRC_POLICY_LOAD_FORECAST_H_
#define BERGAMOTSCALE_SRC_POLICY_LOAD_FORECAST_H_

#include <optional>

#include "bergamotscale/units.h"

namespace bergamotscale::policy {

// @param mean_age mean age of the latest reports of all peers.
// @return how far these reports are out of date, from 0 to 1: 0 while they are
// newer than a prefill takes, 1 once they say little about the prompts that an
// engine prefills now. Thread safety: safe.
double ComputeStaleness(Millis mean_age);

// The prompt tokens that all peers together have sent to one engine and that it
// has not prefilled yet. While a report is on its way and until the next one,
// the engine prefills what was reported, and peers send more. The best estimate
// moves from the reported value towards the recent mean. Thread safety: none.
class LoadForecast {
 public:
  // Records the sum of the peers' latest reports. Call it at regular intervals.
  void OnReported(double unread_tokens, Millis now);

  // @param tokens_per_ms the speed of the engine, which bounds how far the load
  // can have moved.
  // @param staleness see ComputeStaleness(); with 0, the result is the reported
  // value, as it is before OnReported() has been called.
  double Estimate(double unread_tokens,
                  double tokens_per_ms,
                  Millis mean_age,
                  double staleness) const;

  // @return the random part of the engine's cost, in tokens: what peers may
  // have sent unseen, weighted.
  double Unseen(double staleness) const;

  // @return the recent mean of the reported tokens.
  double mean() const { return mean_; }

 private:
  double mean_ = 0;
  std::optional<Millis> updated_at_;
};

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_LOAD_FORECAST_H_
