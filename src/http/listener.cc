#include "src/http/listener.h"

#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

#include <cpprest/http_listener.h>
#include <cpprest/uri.h>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace bergamotscale::http {
namespace {

constexpr int64_t kMillisPerSecond = 1000;
constexpr std::chrono::milliseconds kDrainLimit{2000};
constexpr std::chrono::milliseconds kFinalWriteTime{30};

struct RouteKey {
  std::string method_;
  std::string path_;
  friend bool operator<(const RouteKey& a, const RouteKey& b) {
    return a.path_ != b.path_ ? a.path_ < b.path_ : a.method_ < b.method_;
  }
};

// A reply fails if the caller has disconnected, which needs no handling.
void IgnoreFailure(const pplx::task<void>& task) {
  task.then([](const pplx::task<void>& finished) {
    try {
      finished.get();
    } catch (const std::exception& failure) {
      VLOG(1) << "reply not delivered: " << failure.what();
    }
  });
}

// Counts requests whose handlers have not replied yet.
class OpenRequests {
 public:
  void Begin() {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++count_;
  }
  void End() {
    const std::lock_guard<std::mutex> lock(mutex_);
    --count_;
    none_open_.notify_all();
  }
  void WaitForNone(std::chrono::milliseconds limit) {
    std::unique_lock<std::mutex> lock(mutex_);
    none_open_.wait_for(lock, limit, [this] { return count_ == 0; });
  }

 private:
  std::mutex mutex_;
  std::condition_variable none_open_;
  int count_ = 0;
};

}  // namespace

class Listener::Impl {
 public:
  explicit Impl(std::string url) : url_(std::move(url)), listener_(url_) {
    listener_.support(
        [this](web::http::http_request request) { Handle(request); });
  }

  void Handle(web::http::http_request request) {
    open_requests_->Begin();
    request.get_response().then(
        [open = open_requests_](
            const pplx::task<web::http::http_response>& replied) {
          try {
            replied.get();
          } catch (const std::exception& failure) {
            VLOG(1) << "no reply: " << failure.what();
          }
          open->End();
        });
    const RouteKey key{request.method(), request.request_uri().path()};
    const auto found = routes_.find(key);
    if (found != routes_.end()) {
      found->second(request);
    } else if (others_) {
      others_(request);
    } else {
      ReplyError(request, ErrorCode::kUnknownPath, Verdict::kNotExecuted);
    }
  }

  std::string url_;
  web::http::experimental::listener::http_listener listener_;
  std::map<RouteKey, Handler> routes_;
  Handler others_;
  bool is_open_ = false;
  // Shared with replies that end after this object is destroyed.
  std::shared_ptr<OpenRequests> open_requests_ =
      std::make_shared<OpenRequests>();
};

Listener::Listener(std::string address, uint16_t port)
    : impl_(std::make_unique<Impl>("http://" + address + ":" +
                                   std::to_string(port))) {}

Listener::~Listener() {
  Close();
}

void Listener::Route(const std::string& method,
                     const std::string& path,
                     Handler handler) {
  impl_->routes_[RouteKey{method, path}] = std::move(handler);
}

void Listener::RouteOthers(Handler handler) {
  impl_->others_ = std::move(handler);
}

Status Listener::Open() {
  try {
    impl_->listener_.open().wait();
  } catch (const std::exception& failure) {
    return Error(ErrorCode::kInternal, impl_->url_ + ": " + failure.what());
  }
  impl_->is_open_ = true;
  return Done{};
}

void Listener::Close() {
  if (!impl_->is_open_) {
    return;
  }
  impl_->is_open_ = false;
  // When the library closes, it destroys sockets on which its own operations
  // are pending, which can crash the process. Waits for replies first.
  impl_->open_requests_->WaitForNone(kDrainLimit);
  std::this_thread::sleep_for(kFinalWriteTime);
  try {
    impl_->listener_.close().wait();
  } catch (const std::exception& failure) {
    VLOG(1) << "can't close cleanly: " << failure.what();
  }
}

std::string Listener::url() const {
  return impl_->url_;
}

void AddAdminRoutes(Listener& listener, AdminHooks hooks) {
  listener.Route("GET", "/healthz", [](web::http::http_request request) {
    ReplyText(request, 200, "ok\n", "text/plain");
  });
  listener.Route("GET", "/readyz",
                 [ready = hooks.ready_](web::http::http_request request) {
                   const bool is_ready = ready();
                   ReplyText(request, is_ready ? 200 : 503,
                             is_ready ? "ready\n" : "not ready\n",
                             "text/plain");
                 });
  listener.Route("GET", "/metrics",
                 [metrics = hooks.metrics_](web::http::http_request request) {
                   ReplyText(request, 200,
                             metrics == nullptr ? "" : metrics->Render(),
                             "text/plain");
                 });
  listener.Route("GET", "/timeline", [hooks](web::http::http_request request) {
    const auto reply = [request, timeline = hooks.timeline_] {
      ReplyText(request, 200, timeline ? timeline() : "",
                "application/x-ndjson");
    };
    if (hooks.run_in_background_) {
      hooks.run_in_background_(reply);
    } else {
      reply();
    }
  });
}

std::string ErrorJson(const Error& error,
                      Verdict verdict,
                      std::optional<Verdict> this_send) {
  nlohmann::json body = {{"error",
                          {{"code", ErrorName(error.code_)},
                           {"message", error.Message()},
                           {"verdict", VerdictName(verdict)}}}};
  if (this_send.has_value()) {
    body["error"]["this_send"] = VerdictName(*this_send);
  }
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void AddRetryAfter(web::http::http_response& response, Millis retry_after) {
  if (retry_after > Millis(0)) {
    const int64_t seconds =
        (retry_after.count() + kMillisPerSecond - 1) / kMillisPerSecond;
    response.headers().add("Retry-After", std::to_string(seconds));
  }
}

void ReplyError(web::http::http_request request,
                const Error& error,
                Verdict verdict,
                Millis retry_after,
                std::optional<Verdict> this_send) {
  web::http::http_response response(
      static_cast<web::http::status_code>(HttpStatusOf(error.code_)));
  response.set_body(ErrorJson(error, verdict, this_send), "application/json");
  AddRetryAfter(response, retry_after);
  IgnoreFailure(request.reply(response));
}

void ReplyText(web::http::http_request request,
               int status,
               const std::string& body,
               const std::string& content_type) {
  web::http::http_response response(
      static_cast<web::http::status_code>(status));
  response.set_body(body, content_type);
  IgnoreFailure(request.reply(response));
}

std::string QueryValue(const web::http::http_request& request,
                       const std::string& name,
                       const std::string& fallback) {
  const auto query = web::uri::split_query(request.request_uri().query());
  const auto found = query.find(name);
  return found == query.end() ? fallback : web::uri::decode(found->second);
}

std::string HeaderValue(const web::http::http_request& request,
                        const std::string& name) {
  const auto found = request.headers().find(name);
  return found == request.headers().end() ? std::string() : found->second;
}

}  // namespace bergamotscale::http
