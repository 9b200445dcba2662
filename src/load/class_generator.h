// Arrivals of one class of a mix.
#ifndef BERGAMOTSCALE_SRC_LOAD_CLASS_GENERATOR_H_
#define BERGAMOTSCALE_SRC_LOAD_CLASS_GENERATOR_H_

#include <random>
#include <vector>

#include "src/load/workload.h"

namespace bergamotscale::load {

// Draws the arrivals of one class. Each class has a generator of its own, so
// that a burst of one leaves the others' arrivals as they are. Thread safety:
// for one thread.
class ClassGenerator {
 public:
  // All three must outlive the generator.
  ClassGenerator(const WorkloadOptions& options,
                 const MixProfile& mix,
                 const ClassProfile& profile);

  // Appends the arrivals of the whole run in the order of their times.
  void AppendArrivals(std::vector<Arrival>* arrivals);

 private:
  bool BurstIsOurs() const;
  double HighestFactor() const;
  double FactorAt(Millis time) const;
  double Uniform();
  Tokens DrawTokens(const TokenDistribution& distribution);
  size_t DrawWorkspace();
  Arrival Draw(Millis time);
  // Makes the arrival an order or, now and then, one whose caller leaves.
  void DrawKind(Arrival* arrival);
  void WritePrompt(Tokens tokens, Arrival* arrival);

  const WorkloadOptions& options_;
  const MixProfile& mix_;
  const ClassProfile& profile_;
  std::mt19937_64 random_;
};

}  // namespace bergamotscale::load

#endif  // BERGAMOTSCALE_SRC_LOAD_CLASS_GENERATOR_H_
