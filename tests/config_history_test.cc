// The checker of configuration histories detects a violation of each rule.
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "tests/config_history.h"

namespace bergamotscale::testing {
namespace {

using config::PublishState;

// One accepted publication that came into force at two followers.
ConfigHistory GoodHistory() {
  ConfigHistory history;
  history.followers_ = {"a", "b"};
  history.check_limit_ = true;
  history.in_force_ = {{"a", Revision(1), "one", Millis(5)},
                       {"b", Revision(1), "one", Millis(6)}};
  history.results_ = {{PublicationId("p"), PublishState::kAccepted, Revision(0),
                       Revision(1), "one", Millis(5)}};
  history.appended_ = {PublicationId("p")};
  return history;
}

std::vector<std::string> ViolationsOf(const ConfigHistory& history) {
  return ConfigHistoryChecker(history).Check();
}

using Strings = std::vector<std::string>;

TEST_CASE("config history: a valid history has no violation") {
  CHECK(ViolationsOf(GoodHistory()).empty());
}

TEST_CASE("config history: each planted violation is found") {
  ConfigHistory history = GoodHistory();
  history.in_force_.push_back({"a", Revision(1), "one", Millis(9)});
  CHECK(ViolationsOf(history) == Strings{"reversion at a"});

  history = GoodHistory();
  history.in_force_[1].text_ = "other";
  CHECK(ViolationsOf(history) == Strings{"two documents for one revision"});

  history = GoodHistory();
  history.results_[0].state_ = PublishState::kNotPublished;
  CHECK(ViolationsOf(history) == Strings{"not published, but appended"});

  history = GoodHistory();
  history.results_[0].state_ = PublishState::kConflict;
  CHECK(ViolationsOf(history) == Strings{"conflict, but in force"});

  history = GoodHistory();
  history.appended_.clear();
  CHECK(ViolationsOf(history) == Strings{"accepted, but never appended"});

  history = GoodHistory();
  history.results_[0].text_ = "mine";
  CHECK(ViolationsOf(history) == Strings{"accepted, but not in force"});

  history = GoodHistory();
  history.results_.push_back(history.results_[0]);
  CHECK(ViolationsOf(history) == Strings{"two accepted for one base"});

  history = GoodHistory();
  history.in_force_[1].time_ = Millis(5000);
  CHECK(ViolationsOf(history) == Strings{"late at b"});
  // No violation if the follower was down until then.
  history.recovered_since_["b"] = Millis(4500);
  CHECK(ViolationsOf(history).empty());
}

TEST_CASE("config history: results that contradict the log's order are found") {
  const AppendedPublication mine{PublicationId("p"), Revision(0)};
  const AppendedPublication other{PublicationId("q"), Revision(0)};
  ConfigHistory history = GoodHistory();
  history.order_ = {mine, other};
  CHECK(ViolationsOf(history).empty());

  history.order_ = {other, mine};
  CHECK(ViolationsOf(history) == Strings{"the result contradicts the log"});

  history.order_ = {mine, {PublicationId("r"), Revision(1)}};
  CHECK(ViolationsOf(history) ==
        Strings{"not at the log's newest: a", "not at the log's newest: b"});

  history = GoodHistory();
  history.order_ = {mine};
  history.results_.push_back({PublicationId("p"), PublishState::kAccepted,
                              Revision(1), Revision(2), "two", Millis(5)});
  history.in_force_.push_back({"a", Revision(2), "two", Millis(6)});
  history.in_force_.push_back({"b", Revision(2), "two", Millis(6)});
  CHECK(ViolationsOf(history) ==
        Strings{"the reported revision differs from the log",
                "not at the log's newest: a", "not at the log's newest: b"});
}

}  // namespace
}  // namespace bergamotscale::testing
