#include "src/gateway/decision_history.h"

#include <algorithm>
#include <charconv>
#include <unordered_map>
#include <utility>

#include "src/gateway/repeat_rule.h"

namespace bergamotscale::gateway {
namespace {

// The fields of one line, which live as long as the line.
class Line {
 public:
  explicit Line(std::string_view text) : text_(text) {}

  std::string_view Find(std::string_view name) const {
    const std::string key = " " + std::string(name) + "=";
    const size_t at = text_.find(key);
    if (at == std::string_view::npos) {
      return {};
    }
    const std::string_view value = text_.substr(at + key.size());
    return value.substr(0, value.find_first_of(" \r\n"));
  }

  // @return the number; -1 if there is none.
  int64_t Number(std::string_view name) const {
    const std::string_view value = Find(name);
    int64_t number = -1;
    std::from_chars(value.data(), value.data() + value.size(), number);
    return number;
  }

  // What stands before " t=", without the time that a collector put first.
  std::string Gateway() const {
    std::string_view prefix = text_.substr(0, text_.find("t="));
    const size_t end = prefix.find_last_not_of(' ');
    prefix = prefix.substr(0, end == std::string_view::npos ? 0 : end + 1);
    const size_t space = prefix.find_last_of(' ');
    return std::string(
        space == std::string_view::npos ? prefix : prefix.substr(space + 1));
  }

 private:
  const std::string_view text_;
};

struct Call {
  std::string request_;
  int64_t last_line_ = 0;
  int sends_ = 0;
  bool in_send_ = false;       // a send has no outcome yet
  bool may_have_run_ = false;  // by a send that has its outcome
  bool caller_left_ = false;
  bool failed_ = false;  // the last send failed for good
  bool ended_ = false;
};

struct Process {
  std::unordered_map<int64_t, Call> calls_;
  int64_t config_ = -1;
  bool lost_lines_ = false;
};

}  // namespace

const char* DecisionRuleName(DecisionRule rule) {
  switch (rule) {
    case DecisionRule::kSentAfterEnd:
      return "sent after its end";
    case DecisionRule::kEndedTwice:
      return "ended twice";
    case DecisionRule::kNeverEnded:
      return "never ended";
    case DecisionRule::kFalseNotRun:
      return "false not run";
    case DecisionRule::kOrderSentAgain:
      return "order sent again";
    case DecisionRule::kTooManySends:
      return "too many sends";
    case DecisionRule::kConfigRegressed:
      return "configuration regressed";
  }
  return "unknown";
}

struct DecisionHistory::Impl {
  void Take(std::string_view text) {
    ++line_;
    const Line line(text);
    const std::string_view event = line.Find("event");
    if (event.empty()) {
      return;
    }
    Process& process = processes_[line.Gateway()];
    const int64_t number = line.Number("call");
    if (number >= 0) {
      const auto [found, is_new] = process.calls_.try_emplace(number);
      calls_ += is_new ? 1 : 0;
      Call& call = found->second;
      call.request_ = std::string(line.Find("request"));
      call.last_line_ = line_;
      TakeCall(event, line, &call);
    } else {
      TakeProcess(event, line, &process);
    }
  }

  void TakeProcess(std::string_view event, const Line& line, Process* process) {
    if (event == "start") {
      *process = Process();
    } else if (event == "log_lines_dropped") {
      process->lost_lines_ = true;
    } else if (event == "config_in_force") {
      const int64_t version = line.Number("version");
      if (version < process->config_) {
        Add(DecisionRule::kConfigRegressed,
            std::to_string(version) + " after " +
                std::to_string(process->config_));
      }
      process->config_ = version;
    } else if (event == "stopped" && line.Number("sessions_cut") == 0) {
      CheckEnds(*process);
    }
  }

  void TakeCall(std::string_view event, const Line& line, Call* call) {
    if (event == "send") {
      TakeSend(line, call);
    } else if (event == "send_again" || event == "send_failed") {
      call->in_send_ = false;
      call->may_have_run_ =
          call->may_have_run_ || line.Find("verdict") != "not_run";
      call->failed_ = event == "send_failed";
    } else if (event == "caller_left") {
      call->caller_left_ = true;
    } else if (event == "refused") {
      const bool may_have_run = call->may_have_run_ || call->in_send_;
      if (line.Find("verdict") == "not_run" && may_have_run) {
        Add(DecisionRule::kFalseNotRun, call->request_);
      }
      End(call);
    } else if (event == "answered" || event == "answer_broken_off") {
      End(call);
    }
  }

  void TakeSend(const Line& line, Call* call) {
    if (call->ended_ || call->failed_ || call->caller_left_) {
      Add(DecisionRule::kSentAfterEnd, call->request_);
    }
    const bool may_have_run = call->may_have_run_ || call->in_send_;
    if (line.Number("may_repeat") == 0 && may_have_run) {
      Add(DecisionRule::kOrderSentAgain, call->request_);
    }
    ++call->sends_;
    if (call->sends_ > kMaxSends) {
      Add(DecisionRule::kTooManySends, call->request_);
    }
    call->in_send_ = true;
  }

  void End(Call* call) {
    if (call->ended_) {
      Add(DecisionRule::kEndedTwice, call->request_);
    }
    call->ended_ = true;
  }

  // A failure that was passed on and a caller that left are ends as well.
  void CheckEnds(const Process& process) {
    if (process.lost_lines_) {
      return;
    }
    for (const auto& [number, call] : process.calls_) {
      const bool open = call.sends_ > 0 && !call.ended_ && !call.failed_ &&
                        !call.caller_left_;
      if (open) {
        findings_.push_back(
            {call.last_line_, DecisionRule::kNeverEnded, call.request_});
      }
    }
  }

  void Add(DecisionRule rule, std::string what) {
    findings_.push_back({line_, rule, std::move(what)});
  }

  int64_t line_ = 0;
  int64_t calls_ = 0;
  std::unordered_map<std::string, Process> processes_;
  std::vector<DecisionFinding> findings_;
};

DecisionHistory::DecisionHistory() : impl_(std::make_unique<Impl>()) {}
DecisionHistory::~DecisionHistory() = default;
DecisionHistory::DecisionHistory(DecisionHistory&&) noexcept = default;
DecisionHistory& DecisionHistory::operator=(DecisionHistory&&) noexcept =
    default;

void DecisionHistory::Take(std::string_view line) {
  impl_->Take(line);
}

std::vector<DecisionFinding> DecisionHistory::Findings() const {
  std::vector<DecisionFinding> findings = impl_->findings_;
  std::stable_sort(findings.begin(), findings.end(),
                   [](const DecisionFinding& a, const DecisionFinding& b) {
                     return a.line_ < b.line_;
                   });
  return findings;
}

int64_t DecisionHistory::calls() const {
  return impl_->calls_;
}

}  // namespace bergamotscale::gateway
