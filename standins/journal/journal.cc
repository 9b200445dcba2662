#include "standins/journal/journal.h"

#include <fstream>
#include <mutex>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace bergamotscale::standins {
namespace {

std::string FormatLine(RecordNumber number, const JournalRecord& record) {
  const nlohmann::json line = {{"number", number.value()},
                               {"id", record.id_.value()},
                               {"key", record.key_.value()},
                               {"digest", record.digest_},
                               {"resumed_at", record.resumed_at_.count()},
                               {"start", record.start_.count()},
                               {"end", record.end_.count()},
                               {"tokens", record.tokens_.count()},
                               {"outcome", OutcomeName(record.outcome_)}};
  return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
         "\n";
}

}  // namespace

const char* OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kRunning:
      return "running";
    case Outcome::kFinished:
      return "finished";
    case Outcome::kCancelled:
      return "cancelled";
    case Outcome::kCrashed:
      return "crashed";
  }
  return "unknown";
}

class Journal::Impl {
 public:
  Impl(const std::string& file, Clock wall_clock)
      : clock_(std::move(wall_clock)) {
    if (!file.empty()) {
      file_.open(file, std::ios::app);
    }
  }

  RecordNumber Start(JournalRecord record) {
    const std::lock_guard<std::mutex> lock(mutex_);
    record.start_ = clock_.Now();
    const RecordNumber number(static_cast<int64_t>(records_.size()));
    records_.push_back(std::move(record));
    Append(number);
    return number;
  }

  void End(RecordNumber number, Outcome outcome, Tokens tokens) {
    const std::lock_guard<std::mutex> lock(mutex_);
    JournalRecord& record = records_.at(number.value());
    if (record.outcome_ != Outcome::kRunning) {
      return;
    }
    record.end_ = clock_.Now();
    record.outcome_ = outcome;
    record.tokens_ = tokens;
    Append(number);
  }

  std::string Lines() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::string lines;
    int64_t number = 0;
    for (const JournalRecord& record : records_) {
      lines += FormatLine(RecordNumber(number++), record);
    }
    return lines;
  }

 private:
  // Flushes at once, because the process may be killed at any time.
  void Append(RecordNumber number) {
    if (file_.is_open()) {
      file_ << FormatLine(number, records_.at(number.value())) << std::flush;
    }
  }

  Clock clock_;
  mutable std::mutex mutex_;
  std::vector<JournalRecord> records_;
  std::ofstream file_;
};

Journal::Journal(std::string file, Clock wall_clock)
    : impl_(std::make_unique<Impl>(file, std::move(wall_clock))) {}

Journal::~Journal() = default;

RecordNumber Journal::Start(JournalRecord record) {
  return impl_->Start(std::move(record));
}

void Journal::End(RecordNumber number, Outcome outcome, Tokens tokens) {
  impl_->End(number, outcome, tokens);
}

std::string Journal::Lines() const {
  return impl_->Lines();
}

}  // namespace bergamotscale::standins
