// A gateway's request path on loopback, with upstreams provided by the test.
#ifndef BERGAMOTSCALE_TESTS_SUPPORT_GATEWAY_BENCH_H_
#define BERGAMOTSCALE_TESTS_SUPPORT_GATEWAY_BENCH_H_

#include <unistd.h>

#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include "platform/header_codec.h"
#include "src/gateway/exchange.h"
#include "src/web/listener.h"
#include "tests/support/free_port.h"

namespace bergamotscale::testing {

// Routes "/stream/", "/resume/", "/order/" and "/read/" of host "h" to group
// "g". Workspace "w" has the key "key".
class GatewayBench {
 public:
  static constexpr size_t kMaxSessions = 1'000;
  static constexpr Millis kListConfirmed = Millis(60'000);

  // @param timeout of the routes.
  explicit GatewayBench(Bytes max_body = Bytes(10'000),
                        Millis timeout = Millis(1'500)) {
    route::RouteTable::Content content;
    content.version_ = 1;
    content.has_workspaces_ = true;
    content.workspaces_ = {{route::KeyOwner{WorkspaceId("w"), {}}, {"key"}}};
    content.routes_ = {MakeRoute("/stream/", route::CallKind::kStream, 1),
                       MakeRoute("/resume/", route::CallKind::kStream, 3),
                       MakeRoute("/order/", route::CallKind::kAtMostOnce, 2),
                       MakeRoute("/read/", route::CallKind::kIdempotent, 3)};
    content.routes_[1].resumable_ = true;
    for (route::Route& route : content.routes_) {
      route.timeout_ = timeout;
    }
    content.limits_.max_header_ = Bytes(4'096);
    content.limits_.max_body_ = max_body;
    content.limits_.header_timeout_ = Millis(500);
    state_.table_.Write(std::make_shared<const route::RouteTable>(content));
    ConfirmNow();
    retries_.SetMembers(1);
    const auto endpoint =
        web::ParseEndpoint("127.0.0.1:" + std::to_string(port_));
    started_ = listener_->Start(endpoint.value()).ok();
    thread_ = std::thread([this] { io_.run(); });
  }
  ~GatewayBench() {
    Do([this] {
      listener_->StopAccepting();
      io_.stop();
    });
    thread_.join();
  }

  // Runs `step` on the traffic thread and waits until it has returned.
  template <typename Step>
  void Do(Step step) {
    std::promise<void> done;
    boost::asio::post(io_, [&] {
      step();
      done.set_value();
    });
    done.get_future().wait();
  }

  // Marks the route table as confirmed at the current time.
  void ConfirmNow() { state_.table_as_of_ = boot_.Now().count(); }

  // Sets the upstreams, "i-0" and so on, by their URLs on loopback.
  void SetUpstreams(const std::vector<std::string>& urls,
                    int64_t started_at = 0) {
    std::vector<route::UpstreamEntry> entries;
    for (size_t i = 0; i < urls.size(); ++i) {
      route::UpstreamEntry entry;
      entry.id_ = InstanceId("i-" + std::to_string(i));
      entry.started_at_ = started_at;
      entry.group_ = GroupId("g");
      entry.ip_ = "127.0.0.1";
      entry.port_ = static_cast<uint16_t>(
          std::stoi(urls[i].substr(urls[i].rfind(':') + 1)));
      entry.zone_ = ZoneId("z");
      entries.push_back(entry);
    }
    Do([&] { upstreams_.Update(entries); });
    // The list is read again and again.
    state_.upstreams_as_of_ = (boot_.Now() + kListConfirmed).count();
  }

  uint16_t port() const { return port_; }
  bool started() const { return started_; }
  web::Listener& listener() { return *listener_; }
  gateway::ControlState& state() { return state_; }
  gateway::ExchangeContext& context() { return context_; }

  static std::string Request(const std::string& path,
                             const std::string& extra = "",
                             const std::string& body = "") {
    return "POST " + path +
           " HTTP/1.1\r\nHost: h\r\n"
           "X-Bergamotscale-Request-Id: r1\r\n"
           "X-Bergamotscale-Deadline-Ms: 3000\r\n"
           "X-Bergamotscale-Key: key\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n" + extra + "\r\n" + body;
  }
  static std::string Answer(const std::string& body,
                            const std::string& status = "200 OK",
                            const std::string& id = "r1") {
    return "HTTP/1.1 " + status + "\r\nX-Bergamotscale-Request-Id: " + id +
           "\r\nX-Bergamotscale-Response-Seal: seal\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  }

 private:
  static route::Route MakeRoute(const std::string& prefix,
                                route::CallKind kind,
                                int max_attempts) {
    route::Route route;
    route.name_ = prefix;
    route.host_ = "h";
    route.path_prefix_ = prefix;
    route.kind_ = kind;
    route.max_attempts_ = max_attempts;
    route.target_ = Millis(800);
    route.gap_target_ = Millis(50);
    route.groups_ = {{GroupId("g"), 1}};
    return route;
  }

  web::SessionHooks Hooks() {
    web::SessionHooks hooks;
    hooks.limits_ = [this] {
      return gateway::MakeSessionLimits(state_.table_.Read()->limits());
    };
    hooks.on_request_ = [this](web::IncomingRequest call,
                               std::shared_ptr<web::Responder> responder) {
      return gateway::StartExchange(context_, std::move(call),
                                    std::move(responder));
    };
    hooks.on_refused_ = [](int, const std::string&) {};
    hooks.stopping_ = [] { return false; };
    return hooks;
  }

  const Clock boot_ = Clock::Boot();
  boost::asio::io_context io_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_{io_.get_executor()};
  const gateway::HeaderCodec header_codec_ = platform::MakeHeaderCodec();
  gateway::ControlState state_;
  gateway::UpstreamSet upstreams_{io_, boot_, ZoneId("z")};
  gateway::AdmissionScheduler admission_{io_, boot_};
  policy::LinkBudget link_{0};
  policy::SharedRetryBudget retries_{
      policy::RetryBounds{0.2, 50, Millis(10'000)}};
  policy::Quarantine quarantine_;
  policy::PartQuarantine part_quarantine_;
  metrics::Metrics metrics_;
  gateway::DecisionLog log_{dup(STDERR_FILENO), Clock::Wall()};
  gateway::ExchangeContext context_{
      io_,      boot_,       header_codec_,    state_,
      {},       upstreams_,  admission_,       link_,
      retries_, quarantine_, part_quarantine_, metrics_,
      log_,     [] {}};
  const uint16_t port_ = FreePort();
  std::unique_ptr<web::Listener> listener_ =
      std::make_unique<web::Listener>(io_, Hooks(), kMaxSessions);
  bool started_ = false;
  std::thread thread_;
};

}  // namespace bergamotscale::testing

#endif  // BERGAMOTSCALE_TESTS_SUPPORT_GATEWAY_BENCH_H_
