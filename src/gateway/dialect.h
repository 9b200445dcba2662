// What the gateway needs to know of the messages that pass through it, in its
// own words; the names on the wire are the translation's.
#ifndef BERGAMOTSCALE_SRC_GATEWAY_DIALECT_H_
#define BERGAMOTSCALE_SRC_GATEWAY_DIALECT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "bergamotscale/ids.h"
#include "bergamotscale/units.h"
#include "src/web/caller_session.h"
#include "src/web/client_connection.h"

namespace bergamotscale::gateway {

// A part of a prompt, in order; requests share parts.
struct PromptPart {
  uint64_t id_ = 0;
  Tokens tokens_;
};

// What a caller says of its prompt. The last part is the request's own.
struct PromptShape {
  std::vector<PromptPart> parts_;
  Tokens prompt_;
  Tokens max_output_;
};

struct CallFacts {
  RequestId id_;
  // How long the caller waits, from its own start; zero if it didn't say.
  Millis patience_;
  std::string key_;
  PromptShape prompt_;
  // The last event that the caller has of an earlier answer; may be empty.
  std::string last_event_;
};

// What goes with a call to an upstream beside the caller's own headers.
struct SendFacts {
  Millis time_left_;
  InstanceId upstream_;  // any other instance refuses the call
  std::optional<WorkspaceId> workspace_;
  int priority_ = 0;
  // The answer goes on behind this event; empty for the whole answer.
  std::string resume_after_;
};

struct AnswerFacts {
  // The request that is answered; empty if the upstream didn't say.
  RequestId request_;
  // Whether the upstream vouches for the answer; others are no answer.
  bool vouched_ = false;
  // The upstream says that the request has not run there and never will.
  bool not_run_ = false;
  // The upstream is another instance than the one that was meant.
  bool other_instance_ = false;
};

// Thread safety: the hooks are called from the traffic thread.
struct Dialect {
  std::function<CallFacts(const web::IncomingCall&)> read_call_;
  // @return the caller's headers as an upstream may get them: without keys and
  // whatever only the system sets, and with the facts.
  std::function<web::HeaderList(const web::HeaderList&, const SendFacts&)>
      write_headers_;
  std::function<AnswerFacts(const web::AnswerHead&)> read_answer_;
};

}  // namespace bergamotscale::gateway

#endif  // BERGAMOTSCALE_SRC_GATEWAY_DIALECT_H_
