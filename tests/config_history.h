// Checks histories of configurations: the revisions that followers put in force
// and the results reported to publishers, compared with the log.
#ifndef BERGAMOTSCALE_TESTS_CONFIG_HISTORY_H_
#define BERGAMOTSCALE_TESTS_CONFIG_HISTORY_H_

#include <algorithm>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "bergamotscale/ids.h"
#include "bergamotscale/units.h"
#include "src/config/config_publisher.h"

namespace bergamotscale::testing {

// A follower put a revision in force.
struct InForceEvent {
  std::string follower_;
  Revision revision_;
  std::string text_;
  Millis time_;
};

// A publisher got a result.
struct ReportedResult {
  PublicationId id_;
  config::PublishState state_ = config::PublishState::kPending;
  Revision base_;
  Revision revision_;
  std::string text_;  // of the document published
  Millis time_;
};

// A publication in the log's journal.
struct AppendedPublication {
  PublicationId id_;
  Revision base_;
};

struct ConfigHistory {
  std::vector<InForceEvent> in_force_;
  std::vector<ReportedResult> results_;
  // Ids of the publications in the log's journal.
  std::set<PublicationId> appended_;
  // All publications in log order. If not empty, results are checked against
  // it.
  std::vector<AppendedPublication> order_;
  // Followers that ran until the end, and how late they may apply a revision.
  std::set<std::string> followers_;
  Millis limit_ = Millis(1000);
  bool check_limit_ = false;
  // When followers that were down, or couldn't read the log, recovered.
  std::map<std::string, Millis> recovered_since_;
};

// Finds violations; an empty list means that the history is valid.
class ConfigHistoryChecker {
 public:
  explicit ConfigHistoryChecker(const ConfigHistory& history)
      : history_(history) {}

  std::vector<std::string> Check() {
    CheckNoReversion();
    CheckAgreement();
    CheckResults();
    CheckOneWinner();
    CheckLateness();
    CheckOrder();
    return violations_;
  }

 private:
  void CheckNoReversion() {
    std::map<std::string, Revision> newest;
    for (const InForceEvent& event : history_.in_force_) {
      Revision& last = newest[event.follower_];
      if (event.revision_ <= last) {
        violations_.push_back("reversion at " + event.follower_);
      }
      last = event.revision_;
    }
  }

  void CheckAgreement() {
    for (const InForceEvent& event : history_.in_force_) {
      const auto [entry, is_new] = texts_.emplace(event.revision_, event.text_);
      if (!is_new && entry->second != event.text_) {
        violations_.push_back("two documents for one revision");
      }
    }
  }

  void CheckResults() {
    for (const ReportedResult& result : history_.results_) {
      const bool appended = history_.appended_.count(result.id_) > 0;
      if (result.state_ == config::PublishState::kNotPublished && appended) {
        violations_.push_back("not published, but appended");
      }
      if (result.state_ == config::PublishState::kAccepted) {
        CheckAccepted(result, appended);
      }
      if (result.state_ == config::PublishState::kConflict &&
          IsInForceSomewhere(result.text_)) {
        violations_.push_back("conflict, but in force");
      }
    }
  }

  void CheckAccepted(const ReportedResult& result, bool appended) {
    const auto found = texts_.find(result.revision_);
    if (!appended) {
      violations_.push_back("accepted, but never appended");
    }
    if (found == texts_.end() || found->second != result.text_) {
      violations_.push_back("accepted, but not in force");
    }
  }

  // Each publication of a run has a different document.
  bool IsInForceSomewhere(const std::string& text) const {
    for (const auto& [revision, in_force] : texts_) {
      if (in_force == text) {
        return true;
      }
    }
    return false;
  }

  void CheckOneWinner() {
    std::set<Revision> bases;
    for (const ReportedResult& result : history_.results_) {
      if (result.state_ == config::PublishState::kAccepted &&
          !bases.insert(result.base_).second) {
        violations_.push_back("two accepted for one base");
      }
    }
  }

  void CheckLateness() {
    for (const ReportedResult& result : history_.results_) {
      if (!history_.check_limit_ ||
          result.state_ != config::PublishState::kAccepted) {
        continue;
      }
      for (const std::string& follower : history_.followers_) {
        const auto recovered = history_.recovered_since_.find(follower);
        const Millis since = recovered == history_.recovered_since_.end()
                                 ? result.time_
                                 : std::max(result.time_, recovered->second);
        if (!HadRevisionBy(follower, result.revision_,
                           since + history_.limit_)) {
          violations_.push_back("late at " + follower);
        }
      }
    }
  }

  // Checks that each publisher's result follows from the order of appends in
  // the log. Of a duplicate record the first copy counts.
  void CheckOrder() {
    std::map<PublicationId, Revision> accepted;
    Revision newest;
    for (const AppendedPublication& publication : history_.order_) {
      if (publication.base_ == newest) {
        newest = Revision(newest.value() + 1);
        accepted.emplace(publication.id_, newest);
      }
    }
    if (history_.order_.empty()) {
      return;
    }
    for (const ReportedResult& result : history_.results_) {
      const auto found = accepted.find(result.id_);
      const bool is_accepted = found != accepted.end();
      const bool reported_accepted =
          result.state_ == config::PublishState::kAccepted;
      const bool pending = result.state_ == config::PublishState::kPending;
      if (!pending && reported_accepted != is_accepted) {
        violations_.push_back("the result contradicts the log");
      } else if (reported_accepted && found->second != result.revision_) {
        violations_.push_back("the reported revision differs from the log");
      }
    }
    for (const std::string& follower : history_.followers_) {
      if (FindLastRevision(follower) != newest) {
        violations_.push_back("not at the log's newest: " + follower);
      }
    }
  }

  Revision FindLastRevision(const std::string& follower) const {
    Revision last;
    for (const InForceEvent& event : history_.in_force_) {
      last = event.follower_ == follower ? event.revision_ : last;
    }
    return last;
  }

  bool HadRevisionBy(const std::string& follower,
                     Revision revision,
                     Millis time) {
    for (const InForceEvent& event : history_.in_force_) {
      if (event.follower_ == follower && event.revision_ >= revision &&
          event.time_ <= time) {
        return true;
      }
    }
    return false;
  }

  const ConfigHistory& history_;
  std::map<Revision, std::string> texts_;
  std::vector<std::string> violations_;
};

}  // namespace bergamotscale::testing

#endif  // BERGAMOTSCALE_TESTS_CONFIG_HISTORY_H_
