// How far an answer has come, and whether it met its class's targets.
#ifndef BERGAMOTSCALE_SRC_ENTRY_ANSWER_PROGRESS_H_
#define BERGAMOTSCALE_SRC_ENTRY_ANSWER_PROGRESS_H_

#include <string>

#include "bergamotscale/config_document.h"
#include "bergamotscale/units.h"

namespace bergamotscale::entry {

// The text and times of one answer, over all attempts at it.
// Thread safety: none.
class AnswerProgress {
 public:
  // @param arrived when the request came.
  explicit AnswerProgress(Millis arrived) : arrived_(arrived) {}

  // Adds a piece of the answer.
  // @return true if it holds the first token.
  bool Add(const std::string& text, Tokens tokens, Millis now);

  const std::string& text() const { return text_; }
  Tokens tokens() const { return tokens_; }
  Millis arrived() const { return arrived_; }
  Millis first_token_after() const { return first_token_at_ - arrived_; }

  // @return whether the answer, which is whole now, met both targets. A plain
  // service's answer counts as its first token.
  bool MetTargets(const ServiceClass& service_class,
                  GroupKind kind,
                  Millis now) const;

 private:
  const Millis arrived_;
  std::string text_;
  Tokens tokens_;
  Millis first_token_at_;
  Millis last_token_at_;
};

}  // namespace bergamotscale::entry

#endif  // BERGAMOTSCALE_SRC_ENTRY_ANSWER_PROGRESS_H_
