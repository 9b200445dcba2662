#include "src/log/log_client.h"

#include <utility>

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include "src/http/client.h"

namespace bergamotscale::log {
namespace {

using nlohmann::json;

constexpr int kHttpOk = 200;
constexpr int kHttpGone = 410;
constexpr int kHttpFirstServerError = 500;
constexpr int kHttpServiceUnavailable = 503;

// The service responds with 4xx or 503 only if it didn't append the record.
bool ProvesNotAppended(int status) {
  return status < kHttpFirstServerError || status == kHttpServiceUnavailable;
}

Error StatusError(ErrorCode code, int status) {
  return Error(code, "HTTP status " + std::to_string(status));
}

Result<LogOffset> OffsetOf(const Result<http::Reply>& reply) {
  if (!reply.ok()) {
    const bool sent = reply.error().code_ != ErrorCode::kUpstreamUnreachable;
    return Error(
        sent ? ErrorCode::kLogOutcomeUnknown : ErrorCode::kLogUnavailable,
        reply.error().detail_);
  }
  const int status = reply.value().status_;
  if (status != kHttpOk) {
    return StatusError(ProvesNotAppended(status)
                           ? ErrorCode::kLogUnavailable
                           : ErrorCode::kLogOutcomeUnknown,
                       status);
  }
  const json body = json::parse(reply.value().body_, nullptr, false);
  if (!body.is_object() || !body.contains("offset") ||
      !body["offset"].is_number_integer()) {
    return Error(ErrorCode::kLogOutcomeUnknown, "answer without an offset");
  }
  return LogOffset(body["offset"].get<int64_t>());
}

Result<ReadPage> ParsePage(const std::string& text) {
  try {
    const json body = json::parse(text);
    ReadPage page;
    page.next_ = LogOffset(body.at("next").get<int64_t>());
    page.oldest_ = LogOffset(body.at("oldest").get<int64_t>());
    for (const json& record : body.at("records")) {
      page.records_.push_back({LogOffset(record.at("offset").get<int64_t>()),
                               record.at("payload").get<std::string>()});
    }
    return page;
  } catch (const json::exception& failure) {
    return Error(ErrorCode::kLogUnavailable, failure.what());
  }
}

Result<ReadPage> PageOf(const Result<http::Reply>& reply) {
  if (!reply.ok()) {
    return Error(ErrorCode::kLogUnavailable, reply.error().detail_);
  }
  const int status = reply.value().status_;
  if (status == kHttpGone) {
    return ErrorCode::kRecordsExpired;
  }
  if (status != kHttpOk) {
    return StatusError(ErrorCode::kLogUnavailable, status);
  }
  return ParsePage(reply.value().body_);
}

using ReplyHook = std::function<void(const Result<http::Reply>&)>;

}  // namespace

class LogClient::Impl {
 public:
  Impl(std::string base_url, Millis timeout, boost::asio::io_context* io)
      : base_url_(std::move(base_url)), timeout_(timeout), io_(io) {}

  void Call(const http::Call& call, ReplyHook hook) {
    if (io_ == nullptr) {
      http::CallOnce(call, std::move(hook));
      return;
    }
    http::CallOnce(call, [io = io_,
                          hook = std::move(hook)](Result<http::Reply> reply) {
      boost::asio::post(*io, [hook, reply = std::move(reply)] { hook(reply); });
    });
  }

  const std::string base_url_;
  const Millis timeout_;
  // Runs the hooks. If null, a thread of the HTTP library runs them.
  boost::asio::io_context* const io_;
};

LogClient::LogClient(std::string base_url, Millis timeout)
    : impl_(std::make_shared<Impl>(std::move(base_url), timeout, nullptr)) {}

LogClient::LogClient(std::string base_url,
                     Millis timeout,
                     boost::asio::io_context& io)
    : impl_(std::make_shared<Impl>(std::move(base_url), timeout, &io)) {}

LogClient::~LogClient() = default;

void LogClient::Append(const std::string& stream,
                       std::string payload,
                       AppendHook hook) {
  http::Call call;
  call.method_ = "POST";
  call.url_ = impl_->base_url_ + "/streams/" + stream + "/append";
  call.body_ = std::move(payload);
  call.content_type_ = "application/octet-stream";
  call.timeout_ = impl_->timeout_;
  impl_->Call(call, [hook = std::move(hook)](const Result<http::Reply>& reply) {
    hook(OffsetOf(reply));
  });
}

void LogClient::Read(const std::string& stream,
                     LogOffset from,
                     Millis wait,
                     ReadHook hook) {
  http::Call call;
  call.url_ = impl_->base_url_ + "/streams/" + stream +
              "/records?from=" + std::to_string(from.value()) +
              "&wait_ms=" + std::to_string(wait.count()) +
              "&max=" + std::to_string(kMaxRecordsPerPage);
  call.timeout_ = impl_->timeout_ + wait;
  impl_->Call(call, [hook = std::move(hook)](const Result<http::Reply>& reply) {
    hook(PageOf(reply));
  });
}

}  // namespace bergamotscale::log
