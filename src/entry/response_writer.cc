#include "src/entry/response_writer.h"

#include <utility>

#include <cpprest/producerconsumerstream.h>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include "src/http/listener.h"

namespace bergamotscale::entry {
namespace {

using Buffer = concurrency::streams::producer_consumer_buffer<uint8_t>;
using nlohmann::json;

constexpr char kRequestIdHeader[] = "X-Request-Id";

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json UsageJson(const TokenUsage& usage) {
  return {
      {"prompt_tokens", usage.prompt_.count()},
      {"completion_tokens", usage.output_.count()},
      {"total_tokens", (usage.prompt_ + usage.output_).count()},
      {"prompt_tokens_details", {{"cached_tokens", usage.cached_.count()}}}};
}

}  // namespace

class ResponseWriter::Impl {
 public:
  Impl(web::http::http_request request,
       RequestId id,
       ModelId model,
       std::function<void()> on_caller_left)
      : request_(request),
        id_(std::move(id)),
        model_(std::move(model)),
        on_caller_left_(std::move(on_caller_left)) {}

  web::http::http_response NewResponse(int status) {
    web::http::http_response response(
        static_cast<web::http::status_code>(status));
    response.headers().add(kRequestIdHeader, id_.value());
    return response;
  }

  void Send(const web::http::http_response& response) {
    ended_ = !streaming_;
    request_.reply(response).then(
        [hook = on_caller_left_](const pplx::task<void>& sent) {
          try {
            sent.get();
          } catch (const std::exception& failure) {
            VLOG(1) << "answer not delivered: " << failure.what();
            hook();
          }
        });
  }

  void StartStream() {
    if (streaming_) {
      return;
    }
    streaming_ = true;
    web::http::http_response response = NewResponse(200);
    response.headers().add("Cache-Control", "no-cache");
    response.set_body(buffer_.create_istream(), "text/event-stream");
    Send(response);
  }

  // The buffer copies the bytes at once. sync() wakes the listener's writer.
  void WriteEvent(const std::string& data) {
    const std::string event = "data: " + data + "\n\n";
    const auto* bytes = reinterpret_cast<const uint8_t*>(event.data());
    const pplx::task<size_t> put = buffer_.putn_nocopy(bytes, event.size());
    // The write is usually done already. A continuation would go through the
    // library's thread pool.
    if (put.is_done()) {
      LogWriteFailure(put);
    } else {
      put.then(&LogWriteFailure);
    }
    buffer_.sync();
  }

  static void LogWriteFailure(const pplx::task<size_t>& put) {
    try {
      put.get();
    } catch (const std::exception& failure) {
      VLOG(1) << "event not written: " << failure.what();
    }
  }

  // @return the JSON of a chunk. Encodes only the text, since the rest is the
  // same in all chunks of a response; building the whole object per token is
  // slow.
  std::string ChunkEvent(const std::string& text) {
    if (chunk_end_.empty()) {
      const std::string rest = Dump(NewCompletion("chat.completion.chunk"));
      chunk_end_ = R"(},"finish_reason":null,"index":0}],)" + rest.substr(1);
    }
    return R"({"choices":[{"delta":{"content":)" + Dump(json(text)) +
           chunk_end_;
  }

  json NewCompletion(const char* object) {
    return {{"id", id_.value()}, {"object", object}, {"model", model_.value()}};
  }

  void EndStream() {
    ended_ = true;
    buffer_.close(std::ios_base::out);
  }

  // Ends an incomplete response. Without this the listener would keep the
  // connection, and could not close, even if the caller has disconnected.
  void Abandon() {
    if (ended_) {
      return;
    }
    if (streaming_) {
      EndStream();
    } else {
      Send(NewResponse(HttpStatusOf(ErrorCode::kCancelled)));
    }
  }

  web::http::http_request request_;
  const RequestId id_;
  const ModelId model_;
  const std::function<void()> on_caller_left_;
  Buffer buffer_;
  std::string chunk_end_;  // constant part of each chunk, after its text
  bool streaming_ = false;
  bool ended_ = false;
};

ResponseWriter::ResponseWriter(web::http::http_request request,
                               RequestId id,
                               ModelId model,
                               std::function<void()> on_caller_left)
    : impl_(std::make_unique<Impl>(std::move(request),
                                   std::move(id),
                                   std::move(model),
                                   std::move(on_caller_left))) {}

ResponseWriter::~ResponseWriter() {
  impl_->Abandon();
}

bool ResponseWriter::streaming() const {
  return impl_->streaming_;
}

void ResponseWriter::WriteChunk(const std::string& text) {
  impl_->StartStream();
  impl_->WriteEvent(impl_->ChunkEvent(text));
}

void ResponseWriter::FinishStream(const std::string& finish_reason,
                                  const TokenUsage& usage) {
  impl_->StartStream();
  json chunk = impl_->NewCompletion("chat.completion.chunk");
  chunk["choices"] = {{{"index", 0},
                       {"delta", json::object()},
                       {"finish_reason", finish_reason}}};
  chunk["usage"] = UsageJson(usage);
  impl_->WriteEvent(Dump(chunk));
  impl_->WriteEvent("[DONE]");
  impl_->EndStream();
}

void ResponseWriter::ReplyChat(const std::string& text,
                               const std::string& finish_reason,
                               const TokenUsage& usage) {
  json body = impl_->NewCompletion("chat.completion");
  body["choices"] = {{{"index", 0},
                      {"message", {{"role", "assistant"}, {"content", text}}},
                      {"finish_reason", finish_reason}}};
  body["usage"] = UsageJson(usage);
  web::http::http_response response = impl_->NewResponse(200);
  response.set_body(Dump(body), "application/json");
  impl_->Send(response);
}

void ResponseWriter::ReplyService(int status,
                                  const std::string& body,
                                  const std::string& content_type,
                                  bool replayed) {
  web::http::http_response response = impl_->NewResponse(status);
  response.set_body(body, content_type);
  if (replayed) {
    response.headers().add("Idempotent-Replayed", "true");
  }
  impl_->Send(response);
}

void ResponseWriter::Fail(const Error& error,
                          const ReportedVerdict& verdict,
                          Millis retry_after) {
  if (streaming()) {
    impl_->WriteEvent(
        http::ErrorJson(error, verdict.request_, verdict.this_send_));
    impl_->EndStream();
    return;
  }
  web::http::http_response response =
      impl_->NewResponse(HttpStatusOf(error.code_));
  response.set_body(
      http::ErrorJson(error, verdict.request_, verdict.this_send_),
      "application/json");
  http::AddRetryAfter(response, retry_after);
  impl_->Send(response);
}

}  // namespace bergamotscale::entry
