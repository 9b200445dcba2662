#include "src/gateway/decision_history.h"

#include <algorithm>
#include <charconv>
#include <unordered_map>
#include <utility>

#include "src/gateway/retry_rule.h"

namespace bergamotscale::gateway {
namespace {

// Lines bear the time of day, but pauses are measured by a clock that counts
// suspension; the two drift apart by less than this, in milliseconds.
constexpr int64_t kClockTolerance = 20;

// Fields of a log line. The text must outlive this object.
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

  // @return the time of the line in Unix milliseconds.
  int64_t Time() const {
    const size_t at = text_.find("t=");
    int64_t time = 0;
    if (at != std::string_view::npos) {
      const std::string_view value = text_.substr(at + 2);
      std::from_chars(value.data(), value.data() + value.size(), time);
    }
    return time;
  }

  // @return the word before "t=", which names the gateway. A log collector may
  // have put a timestamp in front of it.
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
  bool send_in_progress_ = false;  // the last send has no outcome yet
  bool may_have_run_ = false;      // according to sends with an outcome
  bool caller_left_ = false;
  bool failed_ = false;  // the last send failed without a retry
  bool ended_ = false;
};

// What an incarnation of an upstream has said about itself.
struct Upstream {
  bool leaving_ = false;
  int64_t paused_until_ = 0;  // by the clock of the log
};

struct Process {
  std::unordered_map<int64_t, Call> calls_;
  std::unordered_map<std::string, Upstream> upstreams_;  // by incarnation
  int64_t config_version_ = -1;
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
    case DecisionRule::kFalseNotExecuted:
      return "false \"not run\"";
    case DecisionRule::kUnsafeRetry:
      return "order sent again";
    case DecisionRule::kTooManySends:
      return "too many sends";
    case DecisionRule::kConfigRegressed:
      return "configuration regressed";
    case DecisionRule::kSentToLeaving:
      return "sent to a leaving upstream";
    case DecisionRule::kSentInPause:
      return "sent to an upstream that asked for none";
  }
  return "unknown";
}

struct DecisionHistory::Impl {
  void AddLine(std::string_view text) {
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
      ApplyCallEvent(event, line, &call);
      ApplyNotice(event, line, &process);
    } else {
      ApplyProcessEvent(event, line, &process);
    }
  }

  void ApplyProcessEvent(std::string_view event,
                         const Line& line,
                         Process* process) {
    if (event == "start") {
      *process = Process();
    } else if (event == "log_lines_dropped") {
      process->lost_lines_ = true;
    } else if (event == "config_in_force") {
      const int64_t version = line.Number("version");
      if (version < process->config_version_) {
        AddFinding(DecisionRule::kConfigRegressed,
                   std::to_string(version) + " after " +
                       std::to_string(process->config_version_));
      }
      process->config_version_ = version;
    } else if (event == "stopped" && line.Number("sessions_cut") == 0) {
      CheckAllEnded(*process);
    }
  }

  void ApplyCallEvent(std::string_view event, const Line& line, Call* call) {
    if (event == "send") {
      ApplySend(line, call);
    } else if (event == "send_again" || event == "send_failed") {
      call->send_in_progress_ = false;
      call->may_have_run_ =
          call->may_have_run_ || line.Find("verdict") != "not_run";
      call->failed_ = event == "send_failed";
    } else if (event == "caller_left") {
      call->caller_left_ = true;
    } else if (event == "refused") {
      const bool may_have_run = call->may_have_run_ || call->send_in_progress_;
      if (line.Find("verdict") == "not_run" && may_have_run) {
        AddFinding(DecisionRule::kFalseNotExecuted, call->request_);
      }
      End(call);
    } else if (event == "answered" || event == "answer_lost" ||
               event == "answer_broken_off") {
      End(call);
    }
  }

  void ApplyNotice(std::string_view event, const Line& line, Process* process) {
    if (event != "upstream_leaving" && event != "upstream_paused" &&
        event != "send") {
      return;
    }
    std::string incarnation(line.Find("upstream"));
    incarnation += ' ';
    incarnation += line.Find("started_at");
    Upstream& upstream = process->upstreams_[incarnation];
    if (event == "upstream_leaving") {
      upstream.leaving_ = true;
    } else if (event == "upstream_paused") {
      upstream.paused_until_ =
          std::max(upstream.paused_until_, line.Time() + line.Number("for_ms"));
    } else {
      if (upstream.leaving_) {
        AddFinding(DecisionRule::kSentToLeaving,
                   std::string(line.Find("request")));
      }
      if (line.Time() < upstream.paused_until_ - kClockTolerance) {
        AddFinding(DecisionRule::kSentInPause,
                   std::string(line.Find("request")));
      }
    }
  }

  void ApplySend(const Line& line, Call* call) {
    if (call->ended_ || call->failed_ || call->caller_left_) {
      AddFinding(DecisionRule::kSentAfterEnd, call->request_);
    }
    const bool may_have_run = call->may_have_run_ || call->send_in_progress_;
    if (line.Number("may_repeat") == 0 && may_have_run) {
      AddFinding(DecisionRule::kUnsafeRetry, call->request_);
    }
    ++call->sends_;
    if (call->sends_ > kMaxSends) {
      AddFinding(DecisionRule::kTooManySends, call->request_);
    }
    call->send_in_progress_ = true;
  }

  void End(Call* call) {
    if (call->ended_) {
      AddFinding(DecisionRule::kEndedTwice, call->request_);
    }
    call->ended_ = true;
  }

  // Reports each sent call without an end. A call has also ended if its failure
  // was forwarded or its caller disconnected.
  void CheckAllEnded(const Process& process) {
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

  void AddFinding(DecisionRule rule, std::string what) {
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

void DecisionHistory::AddLine(std::string_view line) {
  impl_->AddLine(line);
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
