#include "src/sidecar/execution.h"

#include <chrono>
#include <string_view>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "bergamotscale/clock.h"
#include "src/http/client.h"
#include "src/sidecar/engine_protocol.h"
#include "src/sidecar/event_reader.h"
#include "src/sidecar/upstream_call.h"

namespace bergamotscale::sidecar {
namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpFirstError = 400;
constexpr int kHttpFirstServerError = 500;
constexpr int kHttpServiceUnavailable = 503;

// These statuses mean that the request was not executed; after other server
// errors it may have been.
Verdict VerdictForStatus(int status) {
  const bool refused =
      (status >= kHttpFirstError && status < kHttpFirstServerError) ||
      status == kHttpServiceUnavailable;
  return refused ? Verdict::kNotExecuted : Verdict::kMayHaveExecuted;
}

// @return the code in a JSON error body, or one derived from the status.
ErrorCode ErrorCodeFor(int status, const std::string& body) {
  const nlohmann::json parsed = nlohmann::json::parse(body, nullptr, false);
  const nlohmann::json::json_pointer pointer("/error/code");
  if (parsed.is_object() && parsed.contains(pointer) &&
      parsed[pointer].is_string()) {
    return ErrorFromName(parsed[pointer].get<std::string>());
  }
  if (status == kHttpServiceUnavailable) {
    return ErrorCode::kOverloaded;
  }
  return status < kHttpFirstServerError ? ErrorCode::kMalformedBody
                                        : ErrorCode::kUpstreamFailed;
}

}  // namespace

class Execution::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& io,
       const SidecarSettings& settings,
       const wire::Work& work,
       ExecutionHooks hooks)
      : kind_(settings.kind_),
        upstream_url_(settings.upstream_url_),
        max_answer_(settings.max_answer_),
        stall_timeout_(settings.stall_timeout_),
        is_idempotent_(work.idempotent_),
        stall_timer_(io),
        hooks_(std::move(hooks)),
        events_(settings.max_answer_,
                [this](const std::string& data) { OnEvent(data); }) {
    finished_.request_id_ = work.request_id_;
    resume_tokens_ = work.resume_tokens_;
  }

  void Start(boost::asio::io_context& io,
             const SidecarSettings& settings,
             const wire::Work& work,
             Tier tier) {
    Result<http::Call> call =
        kind_ == GroupKind::kEngine
            ? MakeEngineCall(settings.upstream_url_, work, tier)
            : MakeServiceCall(settings.upstream_url_, work);
    if (!call.ok()) {
      auto self = shared_from_this();
      const Error& error = call.error();
      boost::asio::post(
          io, [self, error] { self->Fail(error, Verdict::kNotExecuted); });
      return;
    }
    call.value().timeout_ = settings.upstream_timeout_;
    last_data_ = clock_.Now();
    call_ = std::make_unique<UpstreamCall>(io, call.value(), CallHooks());
  }

  void FailIfSilent(Millis silence) {
    if (ended_ || clock_.Now() - last_data_ < silence) {
      return;
    }
    CancelAtEngine();
    Fail(Error(ErrorCode::kLinkTimeout, "the upstream doesn't answer"),
         Verdict::kMayHaveExecuted);
  }

  void Cancel() {
    // The hooks are kept, because Cancel() may be called from one of them.
    if (!ended_) {
      CancelAtEngine();
    }
    ended_ = true;
    stall_timer_.cancel();
    call_.reset();
  }

 private:
  UpstreamHooks CallHooks() {
    std::weak_ptr<Impl> weak = weak_from_this();
    UpstreamHooks hooks;
    hooks.on_head_ = [weak](const UpstreamHead& head) {
      if (auto self = weak.lock()) {
        self->head_ = head;
      }
    };
    hooks.on_data_ = [weak](std::string_view data) {
      if (auto self = weak.lock()) {
        self->OnData(data);
      }
    };
    hooks.on_end_ = [weak](const Status& status) {
      if (auto self = weak.lock()) {
        self->OnEnd(status);
      }
    };
    return hooks;
  }

  bool IsEventStream() const {
    return kind_ == GroupKind::kEngine && head_.status_ == kHttpOk;
  }

  // Cancels explicitly: an engine may notice a closed connection only at its
  // next write.
  void CancelAtEngine() {
    if (kind_ == GroupKind::kEngine && call_ != nullptr) {
      http::CallOnce(MakeEngineCancelCall(upstream_url_, finished_.request_id_),
                     [](const Result<http::Reply>&) {});
    }
  }

  // A stream that stalls after its start counts as a lost connection. Work that
  // is not idempotent is not watched: it continues as long as the upstream
  // responds to probes.
  void EnsureStallWatch() {
    if (is_idempotent_ && !std::exchange(stall_watch_started_, true)) {
      ScheduleStallCheck(stall_timeout_);
    }
  }

  void ScheduleStallCheck(Millis wait) {
    stall_timer_.expires_after(std::chrono::milliseconds(wait.count()));
    stall_timer_.async_wait(
        [weak = weak_from_this()](const boost::system::error_code& error) {
          const auto self = weak.lock();
          if (!error && self != nullptr && !self->ended_) {
            self->CheckStall();
          }
        });
  }

  void CheckStall() {
    const Millis silent = clock_.Now() - last_data_;
    if (silent < stall_timeout_) {
      ScheduleStallCheck(stall_timeout_ - silent);
      return;
    }
    CancelAtEngine();
    Fail(Error(ErrorCode::kLinkTimeout, "the engine's stream stands still"),
         Verdict::kMayHaveExecuted);
  }

  void OnData(std::string_view data) {
    if (ended_) {
      return;
    }
    last_data_ = clock_.Now();
    if (IsEventStream()) {
      EnsureStallWatch();
      const Status status = events_.Feed(data);
      if (!status.ok()) {
        Fail(status.error(), Verdict::kMayHaveExecuted);
      }
      return;
    }
    body_ += data;
    if (Bytes(static_cast<int64_t>(body_.size())) > max_answer_) {
      Fail(Error(ErrorCode::kUpstreamFailed, "the answer is too large"),
           Verdict::kMayHaveExecuted);
    }
  }

  void OnEvent(const std::string& data) {
    if (ended_) {
      return;
    }
    const Result<EngineEvent> parsed = ParseEngineEvent(data);
    if (!parsed.ok()) {
      Fail(parsed.error(), Verdict::kMayHaveExecuted);
      return;
    }
    const EngineEvent& event = parsed.value();
    if (!event.text_.empty()) {
      hooks_.on_chunk_(event.text_, Tokens(1));
    }
    if (!event.finish_reason_.empty()) {
      finished_.finish_reason_ = event.finish_reason_;
      finished_.prompt_tokens_ = event.prompt_tokens_;
      // The engine does not count the tokens of the resumed text.
      finished_.output_tokens_ = resume_tokens_ + event.output_tokens_;
      finished_.cached_tokens_ = event.cached_tokens_;
    }
    done_ = done_ || event.done_;
  }

  void OnEnd(const Status& status) {
    if (ended_) {
      return;
    }
    if (!status.ok()) {
      const bool sent = status.error().code_ != ErrorCode::kUpstreamUnreachable;
      if (status.error().code_ == ErrorCode::kLinkTimeout) {
        CancelAtEngine();
      }
      Fail(status.error(),
           sent ? Verdict::kMayHaveExecuted : Verdict::kNotExecuted);
      return;
    }
    if (kind_ == GroupKind::kService) {
      FinishService();
    } else if (head_.status_ != kHttpOk) {
      Fail(Error(ErrorCodeFor(head_.status_, body_), body_),
           VerdictForStatus(head_.status_));
    } else if (!done_ || finished_.finish_reason_.empty()) {
      Fail(Error(ErrorCode::kUpstreamFailed, "the answer broke off"),
           Verdict::kMayHaveExecuted);
    } else {
      finished_.content_type_ = head_.content_type_;
      Finish();
    }
  }

  // Any HTTP status of a plain service is a valid response.
  void FinishService() {
    finished_.http_status_ = head_.status_;
    finished_.content_type_ = head_.content_type_;
    finished_.body_ = std::move(body_);
    Finish();
  }

  void Finish() {
    ended_ = true;
    const ExecutionHooks hooks = std::move(hooks_);
    hooks.on_finished_(finished_);
  }

  void Fail(const Error& error, Verdict verdict) {
    if (ended_) {
      return;
    }
    ended_ = true;
    const ExecutionHooks hooks = std::move(hooks_);
    call_.reset();
    hooks.on_failed_(error, verdict);
  }

  const GroupKind kind_;
  const std::string upstream_url_;
  const Bytes max_answer_;
  const Millis stall_timeout_;
  const bool is_idempotent_;
  const Clock clock_ = Clock::Steady();
  boost::asio::steady_timer stall_timer_;
  Millis last_data_;
  bool stall_watch_started_ = false;
  ExecutionHooks hooks_;
  EventReader events_;
  std::unique_ptr<UpstreamCall> call_;
  UpstreamHead head_;
  std::string body_;
  wire::Finished finished_;
  Tokens resume_tokens_;
  bool done_ = false;
  bool ended_ = false;
};

Execution::Execution(boost::asio::io_context& io,
                     const SidecarSettings& settings,
                     const wire::Work& work,
                     Tier tier,
                     ExecutionHooks hooks)
    : impl_(std::make_shared<Impl>(io, settings, work, std::move(hooks))) {
  impl_->Start(io, settings, work, tier);
}

Execution::~Execution() {
  impl_->Cancel();
}

void Execution::FailIfSilent(Millis silence) {
  impl_->FailIfSilent(silence);
}

}  // namespace bergamotscale::sidecar
