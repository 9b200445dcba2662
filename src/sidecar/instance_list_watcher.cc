#include "src/sidecar/instance_list_watcher.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "src/http/client.h"

namespace bergamotscale::sidecar {

bool IsListedAsLeaving(const std::string& body, const InstanceId& instance) {
  const nlohmann::json list =
      nlohmann::json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!list.is_object() || !list.contains("instances") ||
      !list["instances"].is_array()) {
    return false;
  }
  const nlohmann::json id = instance.value();
  const nlohmann::json leaving = "leaving";
  const auto& instances = list["instances"];
  return std::any_of(instances.begin(), instances.end(),
                     [&id, &leaving](const nlohmann::json& listed) {
                       return listed.is_object() &&
                              listed.value("id", nlohmann::json()) == id &&
                              listed.value("state", nlohmann::json()) ==
                                  leaving;
                     });
}

class InstanceListWatcher::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& io,
       const std::string& url,
       InstanceId instance,
       Millis interval,
       std::function<void()> on_leaving)
      : io_(io),
        timer_(io),
        url_(url.empty() ? url : url + "/instances"),
        instance_(std::move(instance)),
        interval_(interval),
        on_leaving_(std::move(on_leaving)) {}

  void Poll() {
    if (url_.empty()) {
      return;
    }
    http::Call call;
    call.url_ = url_;
    auto self = shared_from_this();
    http::CallOnce(call, [self](const Result<http::Reply>& reply) {
      const std::string body = reply.ok() ? reply.value().body_ : "";
      boost::asio::post(self->io_, [self, body] { self->OnReply(body); });
    });
  }

  void Stop() {
    stopped_ = true;
    timer_.cancel();
  }

 private:
  void OnReply(const std::string& body) {
    if (stopped_) {
      return;
    }
    if (IsListedAsLeaving(body, instance_)) {
      on_leaving_();
      return;
    }
    auto self = shared_from_this();
    timer_.expires_after(std::chrono::milliseconds(interval_.count()));
    timer_.async_wait([self](const boost::system::error_code& error) {
      if (!error && !self->stopped_) {
        self->Poll();
      }
    });
  }

  boost::asio::io_context& io_;
  boost::asio::steady_timer timer_;
  std::string url_;
  InstanceId instance_;
  Millis interval_;
  std::function<void()> on_leaving_;
  bool stopped_ = false;
};

InstanceListWatcher::InstanceListWatcher(boost::asio::io_context& io,
                                         const std::string& url,
                                         InstanceId instance,
                                         Millis interval,
                                         std::function<void()> on_leaving)
    : impl_(std::make_shared<Impl>(io,
                                   url,
                                   std::move(instance),
                                   interval,
                                   std::move(on_leaving))) {}

InstanceListWatcher::~InstanceListWatcher() {
  impl_->Stop();
}

void InstanceListWatcher::Start() {
  impl_->Poll();
}

}  // namespace bergamotscale::sidecar
