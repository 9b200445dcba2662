// Generates the arrivals of one service class.
#ifndef BERGAMOTSCALE_SRC_LOAD_CLASS_GENERATOR_H_
#define BERGAMOTSCALE_SRC_LOAD_CLASS_GENERATOR_H_

#include <random>
#include <vector>

#include "src/load/workload.h"

namespace bergamotscale::load {

// Generates the arrivals of one service class at random. Each class has its own
// generator, so that a burst in one class does not change the arrivals of the
// others. Thread safety: use from one thread.
class ClassGenerator {
 public:
  // All arguments must outlive the generator.
  ClassGenerator(const WorkloadOptions& options,
                 const MixProfile& mix,
                 const ClassProfile& profile);

  // Appends the arrivals of the whole run in time order.
  void AppendArrivals(std::vector<Arrival>* arrivals);

 private:
  bool HasBurst() const;
  double MaxBurstFactor() const;
  double BurstFactorAt(Millis time) const;
  double Uniform();
  Tokens DrawTokens(const TokenDistribution& distribution);
  size_t DrawWorkspace();
  Arrival Draw(Millis time);
  // Makes the arrival an order, or sets when its caller disconnects early.
  void DrawKind(Arrival* arrival);
  void BuildPrompt(Tokens tokens, Arrival* arrival);

  const WorkloadOptions& options_;
  const MixProfile& mix_;
  const ClassProfile& profile_;
  std::mt19937_64 random_;
};

}  // namespace bergamotscale::load

#endif  // BERGAMOTSCALE_SRC_LOAD_CLASS_GENERATOR_H_
