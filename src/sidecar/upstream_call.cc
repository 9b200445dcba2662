#include "src/sidecar/upstream_call.h"

#include <utility>

#include <cpprest/http_client.h>
#include <boost/asio/dispatch.hpp>

#include "src/http/single_use_call.h"

namespace bergamotscale::sidecar {
namespace {

using web::http::client::http_client;

// @return what a finished task holds as an error, or ok.
template <typename Task>
Status StatusOf(const Task& task) {
  try {
    task.get();
    return Done{};
  } catch (const web::http::http_exception& failure) {
    if (failure.error_code() == std::errc::timed_out) {
      return Error(ErrorCode::kLinkSilent, failure.what());
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
          const Status status = StatusOf(task);
          if (!status.ok()) {
            self->End(status);
            return;
          }
          self->ReadAnswer(task.get());
        });
  }

  void Cancel() {
    if (ended_) {
      return;
    }
    // The hooks stay, as one of them may be what cancels.
    ended_ = true;
    source_.cancel();
  }

 private:
  void ReadAnswer(const web::http::http_response& response) {
    UpstreamHead head;
    head.status_ = response.status_code();
    head.content_type_ = response.headers().content_type();
    OnOwnThread([this, head] { hooks_.on_head_(head); });
    buffer_ = response.body().streambuf();
    WaitForData();
  }

  // Peeks at one byte, which waits for data without taking any.
  void WaitForData() {
    auto self = shared_from_this();
    buffer_.getc().then([self](const pplx::task<int>& task) {
      const Status status = StatusOf(task);
      if (!status.ok()) {
        self->Break(status.error());
        return;
      }
      if (task.get() == concurrency::streams::char_traits<uint8_t>::eof()) {
        self->End(Done{});
        return;
      }
      self->TakeData();
    });
  }

  // Takes what is there; as it is there, the library is done at once, and the
  // way over its thread pool is spared.
  void TakeData() {
    auto self = shared_from_this();
    auto data = std::make_shared<std::string>(buffer_.in_avail(), '\0');
    auto* start = reinterpret_cast<uint8_t*>(data->data());
    const pplx::task<size_t> taken = buffer_.getn(start, data->size());
    const auto step = [self, data](const pplx::task<size_t>& task) {
      self->OnTaken(task, data);
    };
    if (taken.is_done()) {
      step(taken);
    } else {
      taken.then(step);
    }
  }

  void OnTaken(const pplx::task<size_t>& task,
               const std::shared_ptr<std::string>& data) {
    const Status status = StatusOf(task);
    if (!status.ok()) {
      Break(status.error());
      return;
    }
    data->resize(task.get());
    OnOwnThread([this, data] { hooks_.on_data_(*data); });
    WaitForData();
  }

  void Break(const Error& error) {
    const bool silent = error.code_ == ErrorCode::kLinkSilent;
    End(Error(silent ? error.code_ : ErrorCode::kUpstreamFailed,
              error.detail_));
  }

  void End(const Status& status) {
    OnOwnThread([this, status] {
      ended_ = true;
      const UpstreamHooks hooks = std::move(hooks_);
      hooks.on_end_(status);
    });
  }

  // Runs a step on the io_context's thread unless the call is over by then: at
  // once if this is that thread.
  template <typename Step>
  void OnOwnThread(Step step) {
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
