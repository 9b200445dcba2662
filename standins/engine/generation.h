// One response of the engine stand-in.
#ifndef BERGAMOTSCALE_STANDINS_ENGINE_GENERATION_H_
#define BERGAMOTSCALE_STANDINS_ENGINE_GENERATION_H_

#include <functional>
#include <memory>
#include <string>

#include <cpprest/http_msg.h>

#include "standins/engine/chat_request.h"
#include "standins/journal/journal.h"

namespace bergamotscale::standins {

// Writes the response as server-sent events while it is generated, or as one
// JSON document at its end, and records it in the journal.
// Thread safety: call the On...() functions on the runner's thread; the rest is
// safe.
class Generation {
 public:
  // @param journal must outlive this.
  Generation(const web::http::http_request& http,
             ChatRequest request,
             RequestId id,
             IdempotencyKey key,
             Journal* journal);
  ~Generation();
  Generation(const Generation&) = delete;
  Generation& operator=(const Generation&) = delete;

  // Sends the head of a streamed response. on_disconnect is called on a thread
  // of the HTTP library when a write fails because the caller has disconnected.
  void Begin(std::function<void()> on_disconnect);

  void OnToken(int64_t index, Tokens cached);
  void OnBatchEnd();
  void OnFinished();
  // Ends the journal record and the response of a cancelled or crashed
  // generation.
  void Abandon(Outcome outcome);

  const ChatRequest& request() const;
  const RequestId& id() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::standins

#endif  // BERGAMOTSCALE_STANDINS_ENGINE_GENERATION_H_
