#include "src/entry/answer_writer.h"

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

json UsageJson(const Usage& usage) {
  return {
      {"prompt_tokens", usage.prompt_.count()},
      {"completion_tokens", usage.output_.count()},
      {"total_tokens", (usage.prompt_ + usage.output_).count()},
      {"prompt_tokens_details", {{"cached_tokens", usage.cached_.count()}}}};
}

}  // namespace

class AnswerWriter::Impl {
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

  // The buffer takes a copy at once; sync() wakes the listener's writer.
  void WriteEvent(const std::string& data) {
    const std::string event = "data: " + data + "\n\n";
    const auto* bytes = reinterpret_cast<const uint8_t*>(event.data());
    buffer_.putn_nocopy(bytes, event.size()).then([](pplx::task<size_t> put) {
      try {
        put.get();
      } catch (const std::exception& failure) {
        VLOG(1) << "event not written: " << failure.what();
      }
    });
    buffer_.sync();
  }

  json NewCompletion(const char* object) {
    return {{"id", id_.value()}, {"object", object}, {"model", model_.value()}};
  }

  void EndStream() {
    ended_ = true;
    buffer_.close(std::ios_base::out);
  }

  // The listener keeps a connection, and can't close, until its request has a
  // whole answer, even if the caller has left: the response holds the buffer.
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
  bool streaming_ = false;
  bool ended_ = false;
};

AnswerWriter::AnswerWriter(web::http::http_request request,
                           RequestId id,
                           ModelId model,
                           std::function<void()> on_caller_left)
    : impl_(std::make_unique<Impl>(std::move(request),
                                   std::move(id),
                                   std::move(model),
                                   std::move(on_caller_left))) {}

AnswerWriter::~AnswerWriter() {
  impl_->Abandon();
}

bool AnswerWriter::streaming() const {
  return impl_->streaming_;
}

void AnswerWriter::WriteChunk(const std::string& text) {
  impl_->StartStream();
  json chunk = impl_->NewCompletion("chat.completion.chunk");
  chunk["choices"] = {{{"index", 0},
                       {"delta", {{"content", text}}},
                       {"finish_reason", nullptr}}};
  impl_->WriteEvent(Dump(chunk));
}

void AnswerWriter::FinishStream(const std::string& finish_reason,
                                const Usage& usage) {
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

void AnswerWriter::ReplyChat(const std::string& text,
                             const std::string& finish_reason,
                             const Usage& usage) {
  json body = impl_->NewCompletion("chat.completion");
  body["choices"] = {{{"index", 0},
                      {"message", {{"role", "assistant"}, {"content", text}}},
                      {"finish_reason", finish_reason}}};
  body["usage"] = UsageJson(usage);
  web::http::http_response response = impl_->NewResponse(200);
  response.set_body(Dump(body), "application/json");
  impl_->Send(response);
}

void AnswerWriter::ReplyService(int status,
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

void AnswerWriter::Fail(const Error& error,
                        const ToldVerdict& verdict,
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
