// Pairs of faults for test runs; no pair repeats before all have been used.
#ifndef BERGAMOTSCALE_TESTS_SUPPORT_FAULT_PAIRS_H_
#define BERGAMOTSCALE_TESTS_SUPPORT_FAULT_PAIRS_H_

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <random>
#include <vector>

namespace bergamotscale::tests {

struct FaultPair {
  int first_ = 0;
  int second_ = 0;
};

// @param seed counted from one.
// @return the seed's pair, from all pairs of `fault_count` faults in a fixed
// shuffled order.
inline FaultPair GetFaultPair(int fault_count, int seed) {
  std::vector<FaultPair> pairs;
  for (int first = 0; first < fault_count; ++first) {
    for (int second = first + 1; second < fault_count; ++second) {
      pairs.push_back({first, second});
    }
  }
  std::mt19937_64 random(1);
  std::shuffle(pairs.begin(), pairs.end(), random);
  return pairs[static_cast<size_t>(seed - 1) % pairs.size()];
}

// The seeds of a run, chosen by BERGAMOTSCALE_SEEDS and
// BERGAMOTSCALE_FIRST_SEED.
struct SeedRange {
  int first_ = 1;
  int last_ = 0;
  // Whether more seeds than in CI were requested.
  bool long_run_ = false;
};

inline SeedRange SeedsToRun(int count_in_ci) {
  const char* count = std::getenv("BERGAMOTSCALE_SEEDS");
  const char* first = std::getenv("BERGAMOTSCALE_FIRST_SEED");
  SeedRange range;
  range.first_ = first == nullptr ? 1 : std::atoi(first);
  const int seeds = count == nullptr ? count_in_ci : std::atoi(count);
  range.last_ = range.first_ + seeds - 1;
  range.long_run_ = seeds > count_in_ci;
  return range;
}

}  // namespace bergamotscale::tests

#endif  // BERGAMOTSCALE_TESTS_SUPPORT_FAULT_PAIRS_H_
