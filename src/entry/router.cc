#include "src/entry/router.h"

#include <atomic>
#include <random>
#include <sstream>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <glog/logging.h>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>

#include "src/entry/caller_request.h"
#include "src/entry/reported_verdict.h"
#include "src/entry/request_flow.h"
#include "src/entry/response_writer.h"

namespace bergamotscale::entry {
namespace {

constexpr char kKeyHeader[] = "Idempotency-Key";

// Generates request ids that are unique among all entries. Thread safety: safe.
class RequestIdGenerator {
 public:
  explicit RequestIdGenerator(const InstanceId& instance) {
    std::random_device device;
    std::ostringstream prefix;
    prefix << instance.value() << "-" << std::hex << device() << "-";
    prefix_ = prefix.str();
  }

  RequestId Next() {
    return RequestId(prefix_ + std::to_string(next_.fetch_add(1)));
  }

 private:
  std::string prefix_;
  std::atomic<int64_t> next_{1};
};

RawRequest ReadHeaders(const web::http::http_request& request) {
  RawRequest raw;
  raw.method_ = request.method();
  raw.path_ = request.request_uri().path();
  raw.authorization_ = http::HeaderValue(request, "Authorization");
  raw.service_class_ = http::HeaderValue(request, "X-Service-Class");
  raw.idempotency_key_ = http::HeaderValue(request, kKeyHeader);
  raw.content_type_ = request.headers().content_type();
  return raw;
}

}  // namespace

// A caller's request in progress.
struct ActiveRequest {
  std::string address_;  // identifies the connection to the guard
  std::unique_ptr<RequestFlow> flow_;
  std::shared_ptr<void> caller_watch_;
};

class Router::Impl : public std::enable_shared_from_this<Router::Impl> {
 public:
  Impl(TrafficContext& traffic,
       const LatestSnapshot<config::ConfigSnapshot>& config,
       ConnectionHooks connections)
      : traffic_(traffic),
        config_(config),
        connections_(std::move(connections)),
        ids_(traffic.instance_) {}

  // Runs on a thread of the HTTP library.
  void OnRequest(const web::http::http_request& request) {
    ++active_;
    connections_.request_started_(request.remote_address());
    RawRequest raw = ReadHeaders(request);
    request.extract_vector().then(
        [self = shared_from_this(), request,
         raw = std::move(raw)](pplx::task<std::vector<unsigned char>> read) {
          self->OnBody(request, raw, read);
        });
  }

  void OnBody(const web::http::http_request& request,
              RawRequest raw,
              const pplx::task<std::vector<unsigned char>>& read) {
    try {
      const std::vector<unsigned char> body = read.get();
      raw.body_.assign(body.begin(), body.end());
    } catch (const std::exception& failure) {
      VLOG(1) << "body could not be read: " << failure.what();
      Refuse(request, Error(ErrorCode::kMalformedBody, "body not received"));
      return;
    }
    const std::shared_ptr<const config::ConfigSnapshot> config = config_.Read();
    if (config == nullptr) {
      Refuse(request, ErrorCode::kNotConfigured);
      return;
    }
    Result<CallerRequest> checked = ReadCallerRequest(raw, config->document_);
    if (!checked.ok()) {
      Refuse(request, checked.error());
      return;
    }
    checked.value().id_ = ids_.Next();
    // Runs inline if this is already the traffic thread.
    boost::asio::dispatch(traffic_.io_,
                          [self = shared_from_this(), request,
                           checked = std::move(checked).value()]() mutable {
                            self->StartFlow(request, std::move(checked));
                          });
  }

  void Refuse(const web::http::http_request& request, const Error& error) {
    constexpr Millis kConfigRetryAfter = Millis(1000);
    traffic_.metrics_.Add("bergamot_refused", ErrorName(error.code_));
    const bool waiting_helps = error.code_ == ErrorCode::kNotConfigured;
    const std::string& address = request.remote_address();
    RefusedRequest refused;
    refused.is_order_ = !http::HeaderValue(request, kKeyHeader).empty();
    refused.verdict_ = Verdict::kNotExecuted;
    const ReportedVerdict reported = ResolveVerdict(refused);
    http::ReplyError(request, error, reported.request_,
                     waiting_helps ? kConfigRetryAfter : Millis(0),
                     reported.this_send_);
    connections_.request_finished_(address);
    --active_;
  }

  // Runs on the traffic thread.
  void StartFlow(const web::http::http_request& request,
                 CallerRequest checked) {
    const RequestId id = checked.id_;
    const std::weak_ptr<Impl> weak = weak_from_this();
    auto caller_left = [weak, id] {
      if (const std::shared_ptr<Impl> self = weak.lock()) {
        boost::asio::post(self->traffic_.io_,
                          [self, id] { self->OnCallerLeft(id); });
      }
    };
    auto writer = std::make_unique<ResponseWriter>(request, id, checked.model_,
                                                   caller_left);
    ActiveRequest& active = requests_[id];
    active.address_ = request.remote_address();
    active.flow_ = std::make_unique<RequestFlow>(
        traffic_, std::move(checked), std::move(writer), [weak, id] {
          if (const std::shared_ptr<Impl> self = weak.lock()) {
            self->OnEnd(id);
          }
        });
    active.caller_watch_ =
        connections_.caller_watch_(active.address_, caller_left);
    active.flow_->Start();
  }

  void OnCallerLeft(const RequestId& id) {
    const auto found = requests_.find(id);
    if (found != requests_.end()) {
      found->second.flow_->CallerLeft();
    }
  }

  // The flow is still on the call stack, so a later event destroys it.
  void OnEnd(const RequestId& id) {
    boost::asio::post(traffic_.io_, [self = shared_from_this(), id] {
      const auto found = self->requests_.find(id);
      if (found == self->requests_.end()) {
        return;
      }
      self->connections_.request_finished_(found->second.address_);
      self->requests_.erase(found);
      --self->active_;
    });
  }

  TrafficContext& traffic_;
  const LatestSnapshot<config::ConfigSnapshot>& config_;
  const ConnectionHooks connections_;
  RequestIdGenerator ids_;
  std::unordered_map<RequestId, ActiveRequest> requests_;
  std::atomic<int> active_{0};
};

Router::Router(TrafficContext& traffic,
               const LatestSnapshot<config::ConfigSnapshot>& config,
               ConnectionHooks connections)
    : impl_(std::make_shared<Impl>(traffic, config, std::move(connections))) {}

Router::~Router() = default;

void Router::Attach(http::Listener& listener) {
  listener.RouteOthers([impl = impl_](web::http::http_request request) {
    impl->OnRequest(request);
  });
}

int Router::active() const {
  return impl_->active_;
}

}  // namespace bergamotscale::entry
