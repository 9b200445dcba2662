#include "src/load/live_request.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <nlohmann/json.hpp>

#include "src/emulator/answer.h"
#include "src/sidecar/event_reader.h"
#include "src/sidecar/upstream_call.h"

namespace bergamotscale::load {
namespace {

using emulator::Micros;
using nlohmann::json;

constexpr Bytes kMaxEventBytes = Bytes(1 << 20);
constexpr int kStatusOk = 200;
// The emulated engine ends each token with a space.
constexpr char kTokenEnd = ' ';

http::Call BuildCall(const std::string& url,
                     const std::string& key,
                     Millis timeout,
                     const Arrival& arrival) {
  http::Call call;
  call.method_ = "POST";
  call.timeout_ = timeout;
  call.headers_.push_back({"Authorization", "Bearer " + key});
  call.headers_.push_back({"X-Service-Class", arrival.class_.value()});
  if (arrival.order_) {
    call.url_ = url + arrival.path_;
    call.headers_.push_back({"Idempotency-Key", arrival.key_.value()});
    call.body_ = json{{"number", arrival.number_}}.dump();
    return call;
  }
  call.url_ = url + "/v1/chat/completions";
  const json message = {{"role", "user"}, {"content", arrival.prompt_}};
  call.body_ = json{{"model", arrival.model_.value()},
                    {"stream", true},
                    {"messages", json::array({message})}}
                   .dump();
  return call;
}

// @return the response text in an event.
std::string ExtractEventText(const std::string& data) {
  const json event = json::parse(data, nullptr, false);
  const json::json_pointer path("/choices/0/delta/content");
  if (!event.is_object() || !event.contains(path)) {
    return std::string();
  }
  const json& content = event.at(path);
  return content.is_string() ? content.get<std::string>() : std::string();
}

// @return the code in an error body, or "unreadable".
std::string ExtractErrorCode(const std::string& body) {
  const json parsed = json::parse(body, nullptr, false);
  const json::json_pointer path("/error/code");
  const bool readable = parsed.is_object() && parsed.contains(path) &&
                        parsed.at(path).is_string();
  return readable ? parsed.at(path).get<std::string>() : "unreadable";
}

}  // namespace

const char* ResultName(ResultKind kind) {
  switch (kind) {
    case ResultKind::kComplete:
      return "whole";
    case ResultKind::kWrong:
      return "wrong";
    case ResultKind::kRefused:
      return "refused";
    case ResultKind::kFailed:
      return "failed";
    case ResultKind::kCallerLeft:
      return "left";
  }
  return "unknown";
}

class LiveRequest::Impl {
 public:
  Impl(boost::asio::io_context& io,
       const std::string& url,
       const std::string& key,
       Millis timeout,
       const Arrival& arrival,
       EndHook on_end)
      : arrival_(arrival),
        on_end_(std::move(on_end)),
        start_(std::chrono::steady_clock::now()),
        events_(kMaxEventBytes,
                [this](const std::string& data) { OnEvent(data); }) {
    result_.number_ = arrival.number_;
    result_.class_ = arrival.class_;
    result_.order_ = arrival.order_;
    sidecar::UpstreamHooks hooks;
    hooks.on_head_ = [this](const sidecar::UpstreamHead& head) {
      result_.status_ = head.status_;
    };
    hooks.on_data_ = [this](std::string_view data) { OnData(data); };
    hooks.on_end_ = [this](const Status& status) { OnEnd(status); };
    call_ = std::make_unique<sidecar::UpstreamCall>(
        io, BuildCall(url, key, timeout, arrival), std::move(hooks));
  }

  void Disconnect() {
    call_->Cancel();
    End(ResultKind::kCallerLeft);
  }

 private:
  Micros Elapsed() const {
    const auto passed = std::chrono::steady_clock::now() - start_;
    return Micros(
        std::chrono::duration_cast<std::chrono::microseconds>(passed).count());
  }

  void OnData(std::string_view data) {
    const bool streamed = result_.status_ == kStatusOk && !arrival_.order_;
    if (!streamed) {
      text_ += data;
      return;
    }
    if (!events_.Feed(data).ok()) {
      malformed_ = true;
    }
  }

  void OnEvent(const std::string& data) {
    if (data == "[DONE]") {
      done_ = true;
      return;
    }
    const std::string text = ExtractEventText(data);
    if (text.empty()) {
      return;
    }
    if (result_.delivered_ == Tokens(0)) {
      result_.first_token_ = Elapsed();
    }
    result_.last_token_ = Elapsed();
    result_.delivered_ +=
        Tokens(std::count(text.begin(), text.end(), kTokenEnd));
    text_ += text;
  }

  void OnEnd(const Status& status) {
    if (result_.status_ != 0 && result_.status_ != kStatusOk) {
      result_.code_ = ExtractErrorCode(text_);
      End(ResultKind::kRefused);
    } else if (!status.ok()) {
      result_.code_ = ErrorName(status.error().code_);
      End(ResultKind::kFailed);
    } else if (arrival_.order_) {
      result_.first_token_ = Elapsed();
      result_.last_token_ = result_.first_token_;
      End(text_.find("\"executed\"") != std::string::npos
              ? ResultKind::kComplete
              : ResultKind::kWrong);
    } else if (!done_ || malformed_) {
      result_.code_ = "broken_off";
      End(ResultKind::kFailed);
    } else {
      const std::string expected = emulator::AnswerText(
          arrival_.model_, MakeEnginePrompt(arrival_), Tokens(0));
      End(text_ == expected ? ResultKind::kComplete : ResultKind::kWrong);
    }
  }

  void End(ResultKind kind) {
    if (ended_) {
      return;
    }
    ended_ = true;
    result_.kind_ = kind;
    on_end_(result_);
  }

  const Arrival& arrival_;
  EndHook on_end_;
  std::chrono::steady_clock::time_point start_;
  sidecar::EventReader events_;
  RequestResult result_;
  std::string text_;
  bool done_ = false;
  bool malformed_ = false;
  bool ended_ = false;
  std::unique_ptr<sidecar::UpstreamCall> call_;
};

LiveRequest::LiveRequest(boost::asio::io_context& io,
                         const std::string& url,
                         const std::string& key,
                         Millis timeout,
                         const Arrival& arrival,
                         EndHook on_end)
    : impl_(std::make_unique<Impl>(io,
                                   url,
                                   key,
                                   timeout,
                                   arrival,
                                   std::move(on_end))) {}

LiveRequest::~LiveRequest() = default;

void LiveRequest::Disconnect() {
  impl_->Disconnect();
}

}  // namespace bergamotscale::load
