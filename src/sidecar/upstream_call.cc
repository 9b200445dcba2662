#include "src/sidecar/upstream_call.h"

#include <string>
#include <utility>

#include <cpprest/http_client.h>
#include <boost/asio/dispatch.hpp>

#include "src/http/single_use_call.h"

namespace bergamotscale::sidecar {
namespace {

using web::http::client::http_client;

constexpr web::http::status_code kFirstStatus = 100;
constexpr web::http::status_code kLastStatus = 599;

// @return the error of a finished task, or ok.
template <typename Task>
Status StatusOfTask(const Task& task) {
  try {
    task.get();
    return Done{};
  } catch (const web::http::http_exception& failure) {
    if (failure.error_code() == std::errc::timed_out) {
      return Error(ErrorCode::kLinkTimeout, failure.what());
    }
    return http::ErrorOfFailure(failure);
  } catch (const std::exception& failure) {
    return Error(ErrorCode::kUpstreamFailed, failure.what());
  }
}

}  // namespace

class UpstreamCall::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& io, const http::Call& call, UpstreamHooks hooks)
      : io_(io),
        uri_(call.url_),
        client_(uri_.authority(), http::SingleUseConfig(call)),
        hooks_(std::move(hooks)) {}

  void Start(const http::Call& call) {
    auto self = shared_from_this();
    client_.request(http::SingleUseRequest(call, uri_), source_.get_token())
        .then([self](const pplx::task<web::http::http_response>& task) {
          const Status status = StatusOfTask(task);
          if (!status.ok()) {
            self->End(status);
            return;
          }
          self->OnHeaders(task.get());
        });
  }

  void Cancel() {
    if (ended_) {
      return;
    }
    // The hooks are kept, because Cancel() may be called from one of them.
    ended_ = true;
    source_.cancel();
  }

 private:
  void OnHeaders(const web::http::http_response& response) {
    const web::http::status_code status = response.status_code();
    if (status < kFirstStatus || status > kLastStatus) {
      End(Error(ErrorCode::kUpstreamFailed,
                "status " + std::to_string(status) + " is none of HTTP"));
      source_.cancel();
      return;
    }
    UpstreamHead head;
    head.status_ = response.status_code();
    head.content_type_ = response.headers().content_type();
    RunOnIoThread([this, head] { hooks_.on_head_(head); });
    buffer_ = response.body().streambuf();
    WaitForData();
  }

  // Peeks at one byte, which waits for data without consuming it.
  void WaitForData() {
    auto self = shared_from_this();
    buffer_.getc().then([self](const pplx::task<int>& task) {
      const Status status = StatusOfTask(task);
      if (!status.ok()) {
        self->FailBody(status.error());
        return;
      }
      if (task.get() == concurrency::streams::char_traits<uint8_t>::eof()) {
        self->End(Done{});
        return;
      }
      self->ReadAvailable();
    });
  }

  // Reads the available data. The library usually completes at once, which
  // avoids a detour through its thread pool.
  void ReadAvailable() {
    auto self = shared_from_this();
    auto data = std::make_shared<std::string>(buffer_.in_avail(), '\0');
    auto* start = reinterpret_cast<uint8_t*>(data->data());
    const pplx::task<size_t> read = buffer_.getn(start, data->size());
    const auto step = [self, data](const pplx::task<size_t>& task) {
      self->OnRead(task, data);
    };
    if (read.is_done()) {
      step(read);
    } else {
      read.then(step);
    }
  }

  void OnRead(const pplx::task<size_t>& task,
              const std::shared_ptr<std::string>& data) {
    const Status status = StatusOfTask(task);
    if (!status.ok()) {
      FailBody(status.error());
      return;
    }
    data->resize(task.get());
    RunOnIoThread([this, data] { hooks_.on_data_(*data); });
    WaitForData();
  }

  void FailBody(const Error& error) {
    const bool silent = error.code_ == ErrorCode::kLinkTimeout;
    End(Error(silent ? error.code_ : ErrorCode::kUpstreamFailed,
              error.detail_));
  }

  void End(const Status& status) {
    RunOnIoThread([this, status] {
      ended_ = true;
      const UpstreamHooks hooks = std::move(hooks_);
      hooks.on_end_(status);
    });
  }

  // Runs `step` on the io_context's thread unless the call has ended by then;
  // immediately if this is that thread.
  template <typename Step>
  void RunOnIoThread(Step step) {
    boost::asio::dispatch(io_, [self = shared_from_this(), step] {
      if (!self->ended_) {
        step();
      }
    });
  }

  boost::asio::io_context& io_;
  web::uri uri_;
  http_client client_;
  pplx::cancellation_token_source source_;
  concurrency::streams::streambuf<uint8_t> buffer_;
  // The members below are used on the io_context's thread only.
  UpstreamHooks hooks_;
  bool ended_ = false;
};

UpstreamCall::UpstreamCall(boost::asio::io_context& io,
                           const http::Call& call,
                           UpstreamHooks hooks)
    : impl_(std::make_shared<Impl>(io, call, std::move(hooks))) {
  impl_->Start(call);
}

UpstreamCall::~UpstreamCall() {
  impl_->Cancel();
}

void UpstreamCall::Cancel() {
  impl_->Cancel();
}

}  // namespace bergamotscale::sidecar
