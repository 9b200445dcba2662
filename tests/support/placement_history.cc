#include "tests/support/placement_history.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

namespace bergamotscale::tests {
namespace {

using nlohmann::json;

// Identifies one order: sidecar, fence, action, model.
using OrderName = std::tuple<std::string, int64_t, std::string, std::string>;

OrderName MakeOrderName(const std::string& sidecar, const json& order) {
  return {sidecar, order.at("fence").get<int64_t>(),
          order.at("order").get<std::string>(),
          order.at("model").get<std::string>()};
}

class Checker {
 public:
  explicit Checker(const PlacementHistory& history) : history_(history) {}

  std::vector<PlacementViolation> Check() {
    for (const json& line : history_.log_) {
      if (line.at("stream") == "placement") {
        ReadRecord(line);
      }
    }
    for (const EngineHistory& engine : history_.engines_) {
      CheckEngine(engine);
    }
    CheckFetches();
    return violations_;
  }

 private:
  void Add(PlacementRule rule, const std::string& what) {
    violations_.push_back({rule, what});
  }

  void ReadRecord(const json& line) {
    const json record =
        json::parse(line.at("payload").get<std::string>(), nullptr, false);
    if (!record.is_object()) {
      return;
    }
    const std::string type = record.at("type").get<std::string>();
    if (type == "lease_request") {
      holders_[line.at("offset").get<int64_t>()] =
          record.at("holder").get<std::string>();
    } else if (type == "engine_order") {
      AddValidOrder(record);
    } else if (type == "lease_renewal") {
      CheckHolder(record);
    }
  }

  // Only orders without a newer fence before them in the log are valid.
  void AddValidOrder(const json& order) {
    const auto fence = order.at("fence").get<int64_t>();
    if (fence >= newest_used_) {
      newest_used_ = fence;
      valid_orders_.insert(
          MakeOrderName(order.at("sidecar").get<std::string>(), order));
    }
  }

  void CheckHolder(const json& renewal) {
    const auto fence = renewal.at("fence").get<int64_t>();
    newest_used_ = std::max(newest_used_, fence);
    const auto found = holders_.find(fence);
    const bool same =
        found != holders_.end() && renewal.at("holder") == found->second;
    if (!same) {
      Add(PlacementRule::kTwoHolders, renewal.dump());
    }
  }

  void CheckEngine(const EngineHistory& engine) {
    int64_t newest = -1;
    for (const json& order : engine.orders_) {
      const auto fence = order.at("fence").get<int64_t>();
      if (fence < newest) {
        Add(PlacementRule::kOlderFence, engine.sidecar_ + " after " +
                                            std::to_string(newest) + ": " +
                                            order.dump());
      }
      if (valid_orders_.count(MakeOrderName(engine.sidecar_, order)) == 0) {
        Add(PlacementRule::kUnknownOrder,
            engine.sidecar_ + ": " + order.dump());
      }
      newest = std::max(newest, fence);
    }
  }

  void CheckFetches() {
    std::vector<int64_t> times;
    for (const json& fetch : history_.fetches_) {
      if (fetch.at("outcome") != "sent") {
        Add(PlacementRule::kOverLimit, fetch.dump());
      }
      times.push_back(fetch.at("time_ms").get<int64_t>());
    }
    const auto most = static_cast<size_t>(history_.max_fetches_);
    for (size_t last = most; last < times.size(); ++last) {
      if (times[last] - times[last - most] < history_.window_ms_) {
        Add(PlacementRule::kOverLimit, "at " + std::to_string(times[last]));
      }
    }
  }

  const PlacementHistory& history_;
  std::map<int64_t, std::string> holders_;
  int64_t newest_used_ = -1;
  std::set<OrderName> valid_orders_;
  std::vector<PlacementViolation> violations_;
};

}  // namespace

const char* PlacementRuleName(PlacementRule rule) {
  switch (rule) {
    case PlacementRule::kOlderFence:
      return "older fence";
    case PlacementRule::kUnknownOrder:
      return "unknown order";
    case PlacementRule::kTwoHolders:
      return "two holders";
    case PlacementRule::kOverLimit:
      return "over the limit";
  }
  return "unknown";
}

std::vector<PlacementViolation> CheckPlacement(
    const PlacementHistory& history) {
  return Checker(history).Check();
}

std::string Describe(const std::vector<PlacementViolation>& violations) {
  std::string text;
  for (const PlacementViolation& violation : violations) {
    text += std::string(PlacementRuleName(violation.rule_)) + ": " +
            violation.what_ + "\n";
  }
  return text;
}

}  // namespace bergamotscale::tests
