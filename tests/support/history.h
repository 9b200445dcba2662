// Checks histories: compares callers' requests and responses with the
// executions in the stand-ins' journals. Reads none of the system's own logs.
#ifndef BERGAMOTSCALE_TESTS_SUPPORT_HISTORY_H_
#define BERGAMOTSCALE_TESTS_SUPPORT_HISTORY_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace bergamotscale::tests {

enum class SendResult {
  kUnanswered,  // no response, or an incomplete one
  kAnswered,
  kNotExecuted,
  kMayHaveExecuted,
};

// One send of a request by its caller, at first or as a retry. Times are wall
// time in milliseconds.
struct Send {
  std::string key_;         // of the order; the same for each retry
  std::string request_id_;  // from the response; may be empty
  std::string body_;
  int64_t sent_at_ = 0;
  int64_t ended_at_ = 0;
  SendResult result_ = SendResult::kUnanswered;
  std::string answer_;
  // Whether the response said that this send was not executed, although an
  // earlier one may have been.
  bool this_send_not_run_ = false;
};

// One line of a journal.
struct Execution {
  std::string key_;
  std::string request_id_;
  int64_t started_at_ = 0;
  std::string upstream_;
  std::string digest_;  // of the executed request
};

enum class Rule {
  kExecutedTwice,
  kOpenEnd,         // the last send of an order got no response
  kFalseNotRun,     // reported as not run, but a journal has the execution
  kForeignAnswer,   // the response belongs to another request
  kAnswersDiffer,   // a retry got a different response than the first send
  kInventedAnswer,  // a response without an execution
};

// @return a name for messages.
const char* RuleName(Rule rule);

struct Violation {
  Rule rule_;
  std::string what_;
};

// @return whether the response is exactly the one expected for that request.
using AnswerBelongs = std::function<bool(const Send&)>;

// Thread safety: safe.
std::vector<Violation> CheckHistory(const std::vector<Send>& sends,
                                    const std::vector<Execution>& executions,
                                    const AnswerBelongs& belongs);

// Parses the JSON lines of a journal. A journal file has one line for the start
// and one for the end of each execution. A restarted process appends to it and
// numbers its executions from zero again.
std::vector<Execution> ParseJournal(const std::string& lines,
                                    const std::string& upstream);

// @return one line per violation.
std::string Describe(const std::vector<Violation>& violations);

}  // namespace bergamotscale::tests

#endif  // BERGAMOTSCALE_TESTS_SUPPORT_HISTORY_H_
