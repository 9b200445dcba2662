// The configuration's history checker finds a planted violation of each rule.
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "tests/config_history.h"

namespace bergamotscale::testing {
namespace {

using config::PublishState;

// One publication that was accepted and came into force at two followers.
ConfigHistory GoodHistory() {
  ConfigHistory history;
  history.followers_ = {"a", "b"};
  history.check_limit_ = true;
  history.in_force_ = {{"a", Revision(1), "one", Millis(5)},
                       {"b", Revision(1), "one", Millis(6)}};
  history.told_ = {{PublicationId("p"), PublishState::kAccepted, Revision(0),
                    Revision(1), "one", Millis(5)}};
  history.appended_ = {PublicationId("p")};
  return history;
}

std::vector<std::string> ViolationsOf(const ConfigHistory& history) {
  return ConfigHistoryChecker(history).Check();
}

using Strings = std::vector<std::string>;

TEST_CASE("config history: a right history has no violation") {
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
  history.told_[0].state_ = PublishState::kNotPublished;
  CHECK(ViolationsOf(history) == Strings{"not published, but appended"});

  history = GoodHistory();
  history.told_[0].state_ = PublishState::kConflict;
  CHECK(ViolationsOf(history) == Strings{"conflict, but in force"});

  history = GoodHistory();
  history.appended_.clear();
  CHECK(ViolationsOf(history) == Strings{"accepted, but never appended"});

  history = GoodHistory();
  history.told_[0].text_ = "mine";
  CHECK(ViolationsOf(history) == Strings{"accepted, but not in force"});

  history = GoodHistory();
  history.told_.push_back(history.told_[0]);
  CHECK(ViolationsOf(history) == Strings{"two accepted for one base"});

  history = GoodHistory();
  history.in_force_[1].time_ = Millis(5000);
  CHECK(ViolationsOf(history) == Strings{"late at b"});
}

}  // namespace
}  // namespace bergamotscale::testing
