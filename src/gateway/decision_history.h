// Checks what gateways' logs say against what a gateway promises.
#ifndef BERGAMOTSCALE_SRC_GATEWAY_DECISION_HISTORY_H_
#define BERGAMOTSCALE_SRC_GATEWAY_DECISION_HISTORY_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotscale::gateway {

enum class DecisionRule {
  kSentAfterEnd,     // a send after the call's end, or after its caller left
  kEndedTwice,       // two ends of a call
  kNeverEnded,       // sent, and no end though its process stopped in order
  kFalseNotRun,      // "not run", though a send may have run
  kOrderSentAgain,   // what may run once was sent again and may have run before
  kTooManySends,     // more sends of one call than the bound
  kConfigRegressed,  // an older configuration after a newer one in one process
};

// @return a name for messages. Thread safety: safe.
const char* DecisionRuleName(DecisionRule rule);

struct DecisionFinding {
  int64_t line_ = 0;  // from 1 on
  DecisionRule rule_ = DecisionRule::kSentAfterEnd;
  std::string what_;
};

// Takes the lines of one or of many gateways. What stands before "t=" names the
// gateway, so that logs may be merged with a prefix on each line. Lines that
// are no decisions are passed over. Memory grows with the calls. Thread safety:
// none.
class DecisionHistory {
 public:
  DecisionHistory();
  ~DecisionHistory();
  DecisionHistory(DecisionHistory&&) noexcept;
  DecisionHistory& operator=(DecisionHistory&&) noexcept;

  void Take(std::string_view line);

  // @return what breaks a rule in the lines so far, in their order.
  std::vector<DecisionFinding> Findings() const;
  // @return calls that were seen, so that an empty log doesn't pass for a good
  // one.
  int64_t calls() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::gateway

#endif  // BERGAMOTSCALE_SRC_GATEWAY_DECISION_HISTORY_H_
