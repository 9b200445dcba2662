// Writes one answer to its caller: a stream of events, JSON, or an error.
#ifndef BERGAMOTSCALE_SRC_ENTRY_ANSWER_WRITER_H_
#define BERGAMOTSCALE_SRC_ENTRY_ANSWER_WRITER_H_

#include <functional>
#include <memory>
#include <string>

#include <cpprest/http_msg.h>

#include "bergamotscale/ids.h"
#include "bergamotscale/result.h"
#include "bergamotscale/units.h"
#include "src/entry/told_verdict.h"

namespace bergamotscale::entry {

// Tokens of an answer, as the upstream counted them.
struct Usage {
  Tokens prompt_;
  Tokens output_;
  Tokens cached_;
};

// The caller sees a whole answer, or an error with a verdict; an answer that
// breaks off in its stream ends with an error event and without "[DONE]".
// Thread safety: use from one thread at a time.
class AnswerWriter {
 public:
  // @param on_caller_left called once, on a thread of the HTTP library, if the
  // answer can't be delivered.
  AnswerWriter(web::http::http_request request,
               RequestId id,
               ModelId model,
               std::function<void()> on_caller_left);
  // Breaks off an answer that has not ended.
  ~AnswerWriter();
  AnswerWriter(const AnswerWriter&) = delete;
  AnswerWriter& operator=(const AnswerWriter&) = delete;

  // Sends a piece of a streamed answer; the first one sends the headers.
  void WriteChunk(const std::string& text);
  // Ends a streamed answer.
  void FinishStream(const std::string& finish_reason, const Usage& usage);
  // Sends a whole chat answer as one JSON body.
  void ReplyChat(const std::string& text,
                 const std::string& finish_reason,
                 const Usage& usage);
  // Sends the answer of a plain service as it is.
  void ReplyService(int status,
                    const std::string& body,
                    const std::string& content_type,
                    bool replayed);
  // Ends with an error, in the stream if it has begun.
  void Fail(const Error& error, const ToldVerdict& verdict, Millis retry_after);

  // @return whether headers of a streamed answer have been sent.
  bool streaming() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::entry

#endif  // BERGAMOTSCALE_SRC_ENTRY_ANSWER_WRITER_H_
