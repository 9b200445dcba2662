// Compares the journals of engines and the weight store with the placement
// stream. Parses the records itself, to be independent of the system's code.
#ifndef BERGAMOTSCALE_TESTS_SUPPORT_PLACEMENT_HISTORY_H_
#define BERGAMOTSCALE_TESTS_SUPPORT_PLACEMENT_HISTORY_H_

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace bergamotscale::tests {

enum class PlacementRule {
  kOlderFence,    // an engine executed an older fence after a newer one
  kUnknownOrder,  // not in the log, or only after a newer fence
  kTwoHolders,    // a fence used by two holders, or without a request
  kOverLimit,     // the weight store got more fetches than its limit
};

// @return a name for messages.
const char* PlacementRuleName(PlacementRule rule);

struct PlacementViolation {
  PlacementRule rule_;
  std::string what_;
};

// The orders that one engine executed, in the order of its journal.
struct EngineHistory {
  std::string sidecar_;
  std::vector<nlohmann::json> orders_;
};

struct PlacementHistory {
  // Lines of the log's journal, of all streams.
  std::vector<nlohmann::json> log_;
  std::vector<EngineHistory> engines_;
  // Lines of the weight store's journal, and its limit.
  std::vector<nlohmann::json> fetches_;
  int max_fetches_ = 0;
  int64_t window_ms_ = 0;
};

// Thread safety: safe.
std::vector<PlacementViolation> CheckPlacement(const PlacementHistory& history);

// @return one line per violation.
std::string Describe(const std::vector<PlacementViolation>& violations);

}  // namespace bergamotscale::tests

#endif  // BERGAMOTSCALE_TESTS_SUPPORT_PLACEMENT_HISTORY_H_
