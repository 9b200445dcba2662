// What the configuration's bench finds wrong after a run.
#include <algorithm>
#include <variant>

#include <nlohmann/json.hpp>

#include "src/config/config_record.h"
#include "src/log/log_client.h"
#include "tests/process/config_bench.h"

namespace bergamotscale::tests {
namespace {

using config::PublishState;
using nlohmann::json;

// An accepted configuration is in force everywhere by then.
const Millis kInForceLimit(9000);

bool IsLogFault(ConfigFault fault) {
  switch (fault) {
    case ConfigFault::kKillLog:
    case ConfigFault::kStopLog:
    case ConfigFault::kLogDown:
    case ConfigFault::kLogSilent:
    case ConfigFault::kFreshInOutage:
      return true;
    default:
      return false;
  }
}

// What an append log's journal says of a publication.
struct JournalOutcome {
  bool accepted_ = false;
  int64_t revision_ = 0;
};

}  // namespace

std::vector<std::string> ConfigBench::Check() {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (testing::InForceEvent& event : history_.in_force_) {
    const auto text = texts_.find(event.revision_);
    event.text_ = text == texts_.end() ? "" : text->second;
  }
  std::vector<std::string> violations = found_;
  CheckAgainstJournal(&violations);
  CheckSpread(&violations);
  const auto more = testing::ConfigHistoryChecker(history_).Check();
  violations.insert(violations.end(), more.begin(), more.end());
  return violations;
}

// Within the limit of the acceptance; of a process or log that was not whole
// then, within the limit of the time when it was again.
void ConfigBench::CheckSpread(std::vector<std::string>* violations) const {
  const bool log_failed =
      std::any_of(faults_.begin(), faults_.end(), IsLogFault);
  for (const testing::ToldEvent& told : history_.told_) {
    if (told.state_ != PublishState::kAccepted) {
      continue;
    }
    for (const std::string& name : history_.followers_) {
      const auto whole = whole_since_.find(name);
      const Millis since =
          std::max({told.time_, log_failed ? log_whole_since_ : Millis(0),
                    whole == whole_since_.end() ? Millis(0) : whole->second});
      const bool in_time =
          std::any_of(history_.in_force_.begin(), history_.in_force_.end(),
                      [&](const testing::InForceEvent& event) {
                        return event.follower_ == name &&
                               event.revision_ >= told.revision_ &&
                               event.time_ <= since + kInForceLimit;
                      });
      if (!in_time) {
        violations->push_back("late at " + name + ": revision " +
                              std::to_string(told.revision_.value()));
      }
    }
  }
}

// Every publisher was told what the log's order of appends says.
void ConfigBench::CheckAgainstJournal(std::vector<std::string>* violations) {
  std::ifstream journal(folder_.File("log.journal"));
  std::map<PublicationId, JournalOutcome> outcomes;
  int64_t revision = 0;
  for (std::string line; std::getline(journal, line);) {
    const json entry = json::parse(line, nullptr, false);
    if (!entry.is_object() || entry["stream"] != log::kConfigStream) {
      continue;
    }
    const auto decoded = config::DecodeRecord(entry["payload"]);
    const auto* record =
        decoded.ok() ? std::get_if<config::PublicationRecord>(&decoded.value())
                     : nullptr;
    if (record == nullptr) {
      continue;
    }
    history_.appended_.insert(record->id_);
    const bool accepted = record->base_.value() == revision;
    revision += accepted ? 1 : 0;
    // Of a record that was appended twice the first copy counts.
    outcomes.emplace(record->id_, JournalOutcome{accepted, revision});
  }
  for (const testing::ToldEvent& told : history_.told_) {
    const auto found = outcomes.find(told.id_);
    const bool accepted = found != outcomes.end() && found->second.accepted_;
    const bool told_accepted = told.state_ == PublishState::kAccepted;
    const bool told_lost = told.state_ == PublishState::kConflict ||
                           told.state_ == PublishState::kNotPublished;
    if ((told_accepted && !accepted) || (told_lost && accepted)) {
      violations->push_back("told otherwise than the log: " + told.id_.value());
    }
    if (told_accepted && accepted &&
        found->second.revision_ != told.revision_.value()) {
      violations->push_back("told another revision: " + told.id_.value());
    }
  }
  for (const std::string& name : history_.followers_) {
    const int64_t reported = nodes_.at(name).revision_;
    if (reported != revision) {
      violations->push_back(name + " is at " + std::to_string(reported) +
                            ", the log at " + std::to_string(revision));
    }
  }
}

}  // namespace bergamotscale::tests
