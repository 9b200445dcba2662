// Checks what engines and the weight store did against the placement stream.
// Its own reading of the records, so that it shares no fault with the system.
#ifndef BERGAMOTSCALE_TESTS_SUPPORT_PLACEMENT_HISTORY_H_
#define BERGAMOTSCALE_TESTS_SUPPORT_PLACEMENT_HISTORY_H_

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace bergamotscale::tests {

enum class PlacementRule {
  kOlderFence,    // an engine carried out an older fence after a newer one
  kUnknownOrder,  // the log doesn't have it, or has it behind a newer fence
  kTwoHolders,    // a fence that two holders used, or that no request made
  kOverLimit,     // the weight store was asked for more than its limit
};

// @return a name for messages.
const char* PlacementRuleName(PlacementRule rule);

struct PlacementViolation {
  PlacementRule rule_;
  std::string what_;
};

// Orders that one engine carried out, in their order, as its journal has them.
struct EngineHistory {
  std::string sidecar_;
  std::vector<nlohmann::json> orders_;
};

struct PlacementHistory {
  // Lines of the log's journal, of any stream.
  std::vector<nlohmann::json> log_;
  std::vector<EngineHistory> engines_;
  // Lines of the weight store's journal, and its limit.
  std::vector<nlohmann::json> fetches_;
  int max_fetches_ = 0;
  int64_t window_ms_ = 0;
};

// Thread safety: safe.
std::vector<PlacementViolation> CheckPlacement(const PlacementHistory& history);

// @return one line a violation.
std::string Describe(const std::vector<PlacementViolation>& violations);

}  // namespace bergamotscale::tests

#endif  // BERGAMOTSCALE_TESTS_SUPPORT_PLACEMENT_HISTORY_H_
