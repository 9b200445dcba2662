// Checks histories: what callers sent and were told, against what the
// stand-ins' journals say was executed. Reads none of the system's own logs.
#ifndef BERGAMOTSCALE_TESTS_SUPPORT_HISTORY_H_
#define BERGAMOTSCALE_TESTS_SUPPORT_HISTORY_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace bergamotscale::tests {

enum class SendResult {
  kUnanswered,  // no answer, or one that broke off
  kAnswered,
  kNotRun,
  kMayHaveRun,
};

// One send of a request by its caller. Times are wall time in milliseconds.
struct Send {
  std::string key_;         // names the order; the same for each resend
  std::string request_id_;  // as the answer tells; may be empty
  std::string body_;
  int64_t sent_at_ = 0;
  int64_t ended_at_ = 0;
  SendResult result_ = SendResult::kUnanswered;
  std::string answer_;
  // Told that this send was not executed, though an earlier one may have been.
  bool this_send_not_run_ = false;
};

// One line of a journal.
struct Execution {
  std::string key_;
  std::string request_id_;
  int64_t started_at_ = 0;
  std::string upstream_;
  std::string digest_;  // of what was executed
};

enum class Rule {
  kExecutedTwice,
  kOpenEnd,         // the last send of an order was never answered
  kFalseNotRun,     // "not run", but the order is in a journal by then
  kForeignAnswer,   // the answer belongs to another request
  kAnswersDiffer,   // a resend got another answer than the first
  kInventedAnswer,  // an answer without an execution
};

// @return a name for messages.
const char* RuleName(Rule rule);

struct Violation {
  Rule rule_;
  std::string what_;
};

// @return whether the answer is what that request must yield, byte by byte.
using AnswerBelongs = std::function<bool(const Send&)>;

// Thread safety: safe.
std::vector<Violation> CheckHistory(const std::vector<Send>& sends,
                                    const std::vector<Execution>& executions,
                                    const AnswerBelongs& belongs);

// Reads the JSON lines of a journal; a file has a line for the start and one
// for the end of each execution, and goes on after a restart.
std::vector<Execution> ParseJournal(const std::string& lines,
                                    const std::string& upstream);

// @return one line a violation.
std::string Describe(const std::vector<Violation>& violations);

}  // namespace bergamotscale::tests

#endif  // BERGAMOTSCALE_TESTS_SUPPORT_HISTORY_H_
