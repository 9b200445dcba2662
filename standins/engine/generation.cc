#include "standins/engine/generation.h"

#include <utility>

#include <cpprest/producerconsumerstream.h>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include "src/emulator/answer.h"
#include "src/http/listener.h"

namespace bergamotscale::standins {
namespace {

using nlohmann::json;

using ByteBuffer = concurrency::streams::producer_consumer_buffer<uint8_t>;

// Calls `hook` if the reply could not be delivered.
void WatchReply(const pplx::task<void>& reply, std::function<void()> hook) {
  reply.then([hook = std::move(hook)](const pplx::task<void>& finished) {
    try {
      finished.get();
    } catch (const std::exception& failure) {
      VLOG(1) << "the caller left before the response was complete: "
              << failure.what();
      hook();
    }
  });
}

}  // namespace

class Generation::Impl {
 public:
  Impl(const web::http::http_request& http,
       ChatRequest request,
       RequestId id,
       IdempotencyKey key,
       Journal* journal)
      : http_(http),
        request_(std::move(request)),
        id_(std::move(id)),
        journal_(journal),
        digest_(emulator::PromptDigest(request_.model_, request_.prompt_)),
        natural_length_(emulator::AnswerLength(request_.model_,
                                               request_.prompt_,
                                               Tokens(0))) {
    JournalRecord record;
    record.id_ = id_;
    record.key_ = std::move(key);
    record.digest_ = digest_;
    record.resumed_at_ = request_.resume_tokens_;
    number_ = journal_->Start(std::move(record));
  }

  void Begin(std::function<void()> on_disconnect) {
    on_disconnect_ = std::move(on_disconnect);
    if (!request_.stream_) {
      return;
    }
    web::http::http_response response(web::http::status_codes::OK);
    response.set_body(buffer_.create_istream(), "text/event-stream");
    Reply(response);
  }

  void OnToken(int64_t index, Tokens cached) {
    cached_ = cached;
    written_ += Tokens(1);
    const std::string text = emulator::TokenText(digest_, index);
    if (request_.stream_) {
      Write(MakeChunk({{"content", text}}, json()).dump());
    } else {
      text_ += text;
    }
  }

  void OnBatchEnd() {
    if (request_.stream_) {
      buffer_.sync();
    }
  }

  void OnFinished() {
    journal_->End(number_, Outcome::kFinished, written_);
    if (!request_.stream_) {
      ReplyDocument();
      return;
    }
    json last = MakeChunk(json::object(), FinishReason());
    last["usage"] = Usage();
    Write(last.dump());
    Write("[DONE]");
    buffer_.sync();
    buffer_.close(std::ios::out);
  }

  void Abandon(Outcome outcome) {
    journal_->End(number_, outcome, written_);
    if (outcome == Outcome::kCrashed) {
      return;  // a crashed process sends no response
    }
    if (request_.stream_) {
      buffer_.close(std::ios::out);
    } else {
      http::ReplyError(http_, ErrorCode::kCancelled, Verdict::kMayHaveExecuted);
    }
  }

  const ChatRequest& request() const { return request_; }
  const RequestId& id() const { return id_; }

 private:
  void Reply(web::http::http_response response) {
    response.headers().add("X-Request-Id", id_.value());
    WatchReply(http_.reply(response), on_disconnect_);
  }

  // Writes one event. putn_nocopy() copies the bytes before it returns.
  void Write(const std::string& data) {
    const std::string event = "data: " + data + "\n\n";
    buffer_.putn_nocopy(reinterpret_cast<const uint8_t*>(event.data()),
                        event.size());
  }

  json Envelope(const char* object) const {
    return {{"id", id_.value()},
            {"object", object},
            {"model", request_.model_.value()}};
  }

  json MakeChunk(const json& delta, const json& finish_reason) const {
    json chunk = Envelope("chat.completion.chunk");
    chunk["choices"] = json::array(
        {{{"index", 0}, {"delta", delta}, {"finish_reason", finish_reason}}});
    return chunk;
  }

  std::string FinishReason() const {
    const Tokens length = request_.resume_tokens_ + written_;
    return length < natural_length_ ? "length" : "stop";
  }

  // Counts the tokens of this execution only, without the resumed ones.
  json Usage() const {
    const int64_t prompt =
        emulator::CountPromptTokens(request_.prompt_).count();
    return {{"prompt_tokens", prompt},
            {"completion_tokens", written_.count()},
            {"total_tokens", prompt + written_.count()},
            {"prompt_tokens_details", {{"cached_tokens", cached_.count()}}}};
  }

  void ReplyDocument() {
    json body = Envelope("chat.completion");
    const json message = {{"role", "assistant"}, {"content", text_}};
    body["choices"] = json::array({{{"index", 0},
                                    {"message", message},
                                    {"finish_reason", FinishReason()}}});
    body["usage"] = Usage();
    web::http::http_response response(web::http::status_codes::OK);
    response.set_body(body.dump(), "application/json");
    Reply(response);
  }

  web::http::http_request http_;
  ChatRequest request_;
  RequestId id_;
  Journal* journal_;
  uint64_t digest_;
  Tokens natural_length_;
  RecordNumber number_;
  std::function<void()> on_disconnect_;
  ByteBuffer buffer_;
  std::string text_;
  Tokens written_;
  Tokens cached_;
};

Generation::Generation(const web::http::http_request& http,
                       ChatRequest request,
                       RequestId id,
                       IdempotencyKey key,
                       Journal* journal)
    : impl_(std::make_unique<Impl>(http,
                                   std::move(request),
                                   std::move(id),
                                   std::move(key),
                                   journal)) {}

Generation::~Generation() = default;

void Generation::Begin(std::function<void()> on_disconnect) {
  impl_->Begin(std::move(on_disconnect));
}

void Generation::OnToken(int64_t index, Tokens cached) {
  impl_->OnToken(index, cached);
}

void Generation::OnBatchEnd() {
  impl_->OnBatchEnd();
}

void Generation::OnFinished() {
  impl_->OnFinished();
}

void Generation::Abandon(Outcome outcome) {
  impl_->Abandon(outcome);
}

const ChatRequest& Generation::request() const {
  return impl_->request();
}

const RequestId& Generation::id() const {
  return impl_->id();
}

}  // namespace bergamotscale::standins
