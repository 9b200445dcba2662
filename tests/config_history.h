// History checker of the configuration: what followers had in force, what
// publishers were told, and what the log holds, against the promises.
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

// A publisher was told an outcome.
struct ToldEvent {
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
  std::vector<ToldEvent> told_;
  // Ids of the publications that the log's journal shows.
  std::set<PublicationId> appended_;
  // All of them in the log's order, if outcomes are to be checked by it.
  std::vector<AppendedPublication> order_;
  // Followers that were up to the end, and how late they may be.
  std::set<std::string> followers_;
  Millis limit_ = Millis(1000);
  bool check_limit_ = false;
  // Since when a follower that was down, or without the log, is whole again.
  std::map<std::string, Millis> whole_since_;
};

// Finds violations; an empty list means that the history is right.
class ConfigHistoryChecker {
 public:
  explicit ConfigHistoryChecker(const ConfigHistory& history)
      : history_(history) {}

  std::vector<std::string> Check() {
    CheckNoReversion();
    CheckAgreement();
    CheckTold();
    CheckOneWinner();
    CheckSpread();
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
      const auto [entry, fresh] = texts_.emplace(event.revision_, event.text_);
      if (!fresh && entry->second != event.text_) {
        violations_.push_back("two documents for one revision");
      }
    }
  }

  void CheckTold() {
    for (const ToldEvent& told : history_.told_) {
      const bool appended = history_.appended_.count(told.id_) > 0;
      if (told.state_ == config::PublishState::kNotPublished && appended) {
        violations_.push_back("not published, but appended");
      }
      if (told.state_ == config::PublishState::kAccepted) {
        CheckAccepted(told, appended);
      }
      if (told.state_ == config::PublishState::kConflict &&
          IsInForceSomewhere(told.text_)) {
        violations_.push_back("conflict, but in force");
      }
    }
  }

  void CheckAccepted(const ToldEvent& told, bool appended) {
    const auto found = texts_.find(told.revision_);
    if (!appended) {
      violations_.push_back("accepted, but never appended");
    }
    if (found == texts_.end() || found->second != told.text_) {
      violations_.push_back("accepted, but not in force");
    }
  }

  // The runs publish a different document each time.
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
    for (const ToldEvent& told : history_.told_) {
      if (told.state_ == config::PublishState::kAccepted &&
          !bases.insert(told.base_).second) {
        violations_.push_back("two accepted for one base");
      }
    }
  }

  void CheckSpread() {
    for (const ToldEvent& told : history_.told_) {
      if (!history_.check_limit_ ||
          told.state_ != config::PublishState::kAccepted) {
        continue;
      }
      for (const std::string& follower : history_.followers_) {
        const auto whole = history_.whole_since_.find(follower);
        const Millis since = whole == history_.whole_since_.end()
                                 ? told.time_
                                 : std::max(told.time_, whole->second);
        if (!HadBy(follower, told.revision_, since + history_.limit_)) {
          violations_.push_back("late at " + follower);
        }
      }
    }
  }

  // Every publisher was told what the log's order of appends makes of it; of a
  // record that was appended twice the first copy counts.
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
    for (const ToldEvent& told : history_.told_) {
      const auto found = accepted.find(told.id_);
      const bool is_accepted = found != accepted.end();
      const bool told_accepted = told.state_ == config::PublishState::kAccepted;
      const bool pending = told.state_ == config::PublishState::kPending;
      if (!pending && told_accepted != is_accepted) {
        violations_.push_back("told otherwise than the log");
      } else if (told_accepted && found->second != told.revision_) {
        violations_.push_back("told another revision than the log");
      }
    }
    for (const std::string& follower : history_.followers_) {
      if (LastOf(follower) != newest) {
        violations_.push_back("not at the log's newest: " + follower);
      }
    }
  }

  Revision LastOf(const std::string& follower) const {
    Revision last;
    for (const InForceEvent& event : history_.in_force_) {
      last = event.follower_ == follower ? event.revision_ : last;
    }
    return last;
  }

  bool HadBy(const std::string& follower, Revision revision, Millis time) {
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
