// Checks decision logs of gateways against the guarantees of a gateway.
#ifndef BERGAMOTSCALE_SRC_GATEWAY_DECISION_HISTORY_H_
#define BERGAMOTSCALE_SRC_GATEWAY_DECISION_HISTORY_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotscale::gateway {

enum class DecisionRule {
  kSentAfterEnd,  // a send after the call ended or its caller disconnected
  kEndedTwice,    // a call that ended more than once
  kNeverEnded,    // sent but never ended, in a process that stopped normally
  kFalseNotExecuted,  // reported "not run" although a send may have run
  kUnsafeRetry,       // a retry of a non-idempotent call that may have run
  kTooManySends,      // more sends of a call than kMaxSends
  kConfigRegressed,   // an older configuration version after a newer one
  kSentToLeaving,     // a send to an upstream that had said it is leaving
  kSentInPause,  // a send to an upstream that had asked for none at this time
};

// @return the rule's name for messages. Thread safety: safe.
const char* DecisionRuleName(DecisionRule rule);

struct DecisionFinding {
  int64_t line_ = 0;  // starts at 1
  DecisionRule rule_ = DecisionRule::kSentAfterEnd;
  std::string detail_;
};

// Checks the log lines of one or more gateways. The text before "t=" identifies
// the gateway, so merged logs with a prefix on each line are accepted. Lines
// that are not decisions are ignored. Memory grows with the number of calls.
// Thread safety: none.
class DecisionHistory {
 public:
  DecisionHistory();
  ~DecisionHistory();
  DecisionHistory(DecisionHistory&&) noexcept;
  DecisionHistory& operator=(DecisionHistory&&) noexcept;

  void AddLine(std::string_view line);

  // @return the violations in the lines so far, in line order.
  std::vector<DecisionFinding> Findings() const;
  // @return the number of calls seen; zero means that there was nothing to
  // check.
  int64_t calls() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::gateway

#endif  // BERGAMOTSCALE_SRC_GATEWAY_DECISION_HISTORY_H_
