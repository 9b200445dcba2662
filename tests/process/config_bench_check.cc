// Checks a run of ConfigBench.
#include <algorithm>
#include <variant>

#include <nlohmann/json.hpp>

#include "src/config/config_record.h"
#include "src/log/log_client.h"
#include "tests/process/config_bench.h"

namespace bergamotscale::tests {
namespace {

using nlohmann::json;

// An accepted configuration must be in force in every process after this time.
const Millis kInForceLimit(9000);

bool IsLogFault(ConfigFault fault) {
  switch (fault) {
    case ConfigFault::kKillLog:
    case ConfigFault::kStopLog:
    case ConfigFault::kLogDown:
    case ConfigFault::kLogSilent:
    case ConfigFault::kStartInOutage:
      return true;
    default:
      return false;
  }
}

}  // namespace

std::vector<std::string> ConfigBench::Check() {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (testing::InForceEvent& event : history_.in_force_) {
    const auto text = texts_.find(event.revision_);
    event.text_ = text == texts_.end() ? "" : text->second;
  }
  ReadJournal();
  history_.check_limit_ = true;
  history_.limit_ = kInForceLimit;
  const bool log_failed =
      std::any_of(faults_.begin(), faults_.end(), IsLogFault);
  for (const std::string& name : history_.followers_) {
    Millis& since = history_.recovered_since_[name];
    since = std::max(since, log_failed ? log_recovered_at_ : Millis(0));
  }
  std::vector<std::string> violations = violations_;
  const auto more = testing::ConfigHistoryChecker(history_).Check();
  violations.insert(violations.end(), more.begin(), more.end());
  return violations;
}

void ConfigBench::ReadJournal() {
  std::ifstream journal(folder_.File("log.journal"));
  for (std::string line; std::getline(journal, line);) {
    const json entry = json::parse(line, nullptr, false);
    if (!entry.is_object() || entry["stream"] != log::kConfigStream) {
      continue;
    }
    const auto decoded = config::DecodeRecord(entry["payload"]);
    const auto* record =
        decoded.ok() ? std::get_if<config::PublicationRecord>(&decoded.value())
                     : nullptr;
    if (record != nullptr) {
      history_.appended_.insert(record->id_);
      history_.order_.push_back({record->id_, record->base_});
    }
  }
}

}  // namespace bergamotscale::tests
