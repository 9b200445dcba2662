// Writes the response to one caller: a stream of events, JSON, or an error.
#ifndef BERGAMOTSCALE_SRC_ENTRY_RESPONSE_WRITER_H_
#define BERGAMOTSCALE_SRC_ENTRY_RESPONSE_WRITER_H_

#include <functional>
#include <memory>
#include <string>

#include <cpprest/http_msg.h>

#include "bergamotscale/ids.h"
#include "bergamotscale/result.h"
#include "bergamotscale/units.h"
#include "src/entry/reported_verdict.h"

namespace bergamotscale::entry {

// Token counts of a response, as reported by the upstream.
struct TokenUsage {
  Tokens prompt_;
  Tokens output_;
  Tokens cached_;
};

// Gives the caller either a complete response or an error with a verdict. A
// stream that fails after it started ends with an error event, without
// "[DONE]". Thread safety: use from one thread at a time.
class ResponseWriter {
 public:
  // @param on_caller_left called once, on a thread of the HTTP library, if the
  // response can't be delivered.
  ResponseWriter(web::http::http_request request,
                 RequestId id,
                 ModelId model,
                 std::function<void()> on_caller_left);
  // Ends an incomplete response, so that the listener can release it.
  ~ResponseWriter();
  ResponseWriter(const ResponseWriter&) = delete;
  ResponseWriter& operator=(const ResponseWriter&) = delete;

  // Sends a chunk of a streamed response; the first call also sends the
  // headers.
  void WriteChunk(const std::string& text);
  // Sends the final event of a streamed response.
  void FinishStream(const std::string& finish_reason, const TokenUsage& usage);
  // Sends a complete chat response as one JSON body.
  void ReplyChat(const std::string& text,
                 const std::string& finish_reason,
                 const TokenUsage& usage);
  // Forwards the response of a plain service unchanged.
  void ReplyService(int status,
                    const std::string& body,
                    const std::string& content_type,
                    bool replayed);
  // Reports an error, as an event if the stream has started.
  void Fail(const Error& error,
            const ReportedVerdict& verdict,
            Millis retry_after);

  // @return whether the headers of a streamed response have been sent.
  bool streaming() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::entry

#endif  // BERGAMOTSCALE_SRC_ENTRY_RESPONSE_WRITER_H_
