// Tracks the progress of a response against its latency targets.
#ifndef BERGAMOTSCALE_SRC_ENTRY_RESPONSE_PROGRESS_H_
#define BERGAMOTSCALE_SRC_ENTRY_RESPONSE_PROGRESS_H_

#include <string>

#include "bergamotscale/config_document.h"
#include "bergamotscale/units.h"

namespace bergamotscale::entry {

// Accumulates the text and timing of one response over all its attempts.
// Thread safety: none.
class ResponseProgress {
 public:
  // @param arrived arrival time of the request.
  explicit ResponseProgress(Millis arrived) : arrived_(arrived) {}

  // Adds a chunk of the response.
  // @return whether the chunk contains the first token.
  bool Add(const std::string& text, Tokens tokens, Millis now);

  const std::string& text() const { return text_; }
  Tokens tokens() const { return tokens_; }
  Millis arrived() const { return arrived_; }
  Millis first_token_after() const { return first_token_at_ - arrived_; }

  // @return whether the completed response met both latency targets. The
  // response of a plain service only has to meet the target time to first
  // token. Precondition: the response is complete at `now`.
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

#endif  // BERGAMOTSCALE_SRC_ENTRY_RESPONSE_PROGRESS_H_
