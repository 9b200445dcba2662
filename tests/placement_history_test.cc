// The placement history checker reports planted violations and nothing else.
#include <doctest/doctest.h>

#include "tests/support/placement_history.h"

namespace bergamotscale::tests {
namespace {

using nlohmann::json;

json LogLine(int64_t offset, const json& record) {
  return {
      {"stream", "placement"}, {"offset", offset}, {"payload", record.dump()}};
}

json Order(int64_t fence, const std::string& model) {
  return {{"type", "engine_order"},
          {"sidecar", "sidecar-1"},
          {"fence", fence},
          {"order", "load_model"},
          {"model", model}};
}

json Lease(const char* type, const std::string& holder, int64_t fence) {
  return {{"type", type}, {"holder", holder}, {"fence", fence}};
}

json Fetch(int64_t time_ms, const char* outcome = "sent") {
  return {{"time_ms", time_ms}, {"outcome", outcome}};
}

PlacementHistory MakeValidHistory() {
  PlacementHistory history;
  history.log_ = {
      LogLine(0, Lease("lease_request", "a", 0)),
      LogLine(1, Lease("lease_renewal", "a", 0)), LogLine(2, Order(0, "m")),
      LogLine(3, Lease("lease_request", "b", 0)), LogLine(4, Order(3, "n"))};
  history.engines_ = {{"sidecar-1", {Order(0, "m"), Order(3, "n")}}};
  history.fetches_ = {Fetch(0), Fetch(10), Fetch(100)};
  history.max_fetches_ = 2;
  history.window_ms_ = 100;
  return history;
}

PlacementRule GetOnlyViolatedRule(const PlacementHistory& history) {
  const auto violations = CheckPlacement(history);
  REQUIRE(violations.size() == 1);
  return violations.front().rule_;
}

}  // namespace

TEST_CASE("placement history: each planted violation is found") {
  CHECK(CheckPlacement(MakeValidHistory()).empty());

  PlacementHistory older = MakeValidHistory();
  std::swap(older.engines_[0].orders_[0], older.engines_[0].orders_[1]);
  CHECK(GetOnlyViolatedRule(older) == PlacementRule::kOlderFence);

  PlacementHistory unknown = MakeValidHistory();
  unknown.engines_[0].orders_.push_back(Order(3, "other"));
  CHECK(GetOnlyViolatedRule(unknown) == PlacementRule::kUnknownOrder);

  PlacementHistory late = MakeValidHistory();
  late.log_.push_back(LogLine(5, Order(0, "late")));
  CHECK(CheckPlacement(late).empty());
  late.engines_[0].orders_ = {Order(0, "late")};
  CHECK(GetOnlyViolatedRule(late) == PlacementRule::kUnknownOrder);

  PlacementHistory holders = MakeValidHistory();
  holders.log_.push_back(LogLine(5, Lease("lease_renewal", "b", 0)));
  CHECK(GetOnlyViolatedRule(holders) == PlacementRule::kTwoHolders);

  PlacementHistory refused = MakeValidHistory();
  refused.fetches_.push_back(Fetch(900, "rate_limited"));
  CHECK(GetOnlyViolatedRule(refused) == PlacementRule::kOverLimit);

  PlacementHistory many = MakeValidHistory();
  many.fetches_[2] = Fetch(99);
  CHECK(GetOnlyViolatedRule(many) == PlacementRule::kOverLimit);
}

}  // namespace bergamotscale::tests
