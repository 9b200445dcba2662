#include "src/sidecar/upstream_monitor.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "bergamotscale/clock.h"
#include "src/core/chrono_time.h"
#include "src/http/client.h"

namespace bergamotscale::sidecar {
namespace {

using nlohmann::json;

constexpr int kHttpOk = 200;
constexpr int kHttpServiceUnavailable = 503;
// Two consecutive probes must fit into the 3 s in which a silent upstream must
// be detected.
const Millis kProbeTimeout(900);
const Millis kSilentProbeInterval(100);
// A killed process may close its connections before its listening socket, so a
// probe that was accepted and then lost is repeated to tell a crash from an
// upstream that doesn't answer.
constexpr int kMaxProbeRepeats = 2;
const Millis kProbeRepeatDelay(100);

wire::LoadedModel ReadLoadedModel(const json& listed) {
  wire::LoadedModel loaded;
  loaded.model_ = ModelId(listed["id"].get<std::string>());
  const json version = listed.value("version", json());
  if (version.is_string()) {
    loaded.version_ = version.get<std::string>();
  }
  for (const json& adapter : listed.value("adapters", json::array())) {
    if (adapter.is_string()) {
      loaded.adapters_.push_back(adapter.get<std::string>());
    }
  }
  return loaded;
}

void ReadModels(const std::string& body, UpstreamReport* report) {
  const json parsed = json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!parsed.is_object() || !parsed.contains("data")) {
    return;
  }
  for (const json& listed : parsed["data"]) {
    const bool has_id =
        listed.is_object() && listed.contains("id") && listed["id"].is_string();
    if (!has_id) {
      continue;
    }
    wire::LoadedModel loaded = ReadLoadedModel(listed);
    report->models_.push_back(loaded.model_);
    if (!loaded.version_.empty() || !loaded.adapters_.empty()) {
      report->loaded_.push_back(std::move(loaded));
    }
  }
}

UpstreamState StateForStatus(int status) {
  if (status == kHttpOk) {
    return UpstreamState::kUp;
  }
  return status == kHttpServiceUnavailable ? UpstreamState::kLeaving
                                           : UpstreamState::kSilent;
}

UpstreamReport MakeReport(const Result<http::Reply>& reply) {
  UpstreamReport report;
  if (!reply.ok()) {
    const bool refused = reply.error().code_ == ErrorCode::kUpstreamUnreachable;
    report.state_ =
        refused ? UpstreamState::kUnreachable : UpstreamState::kSilent;
    return report;
  }
  report.state_ = StateForStatus(reply.value().status_);
  ReadModels(reply.value().body_, &report);
  return report;
}

}  // namespace

class UpstreamMonitor::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& io,
       GroupKind kind,
       const std::string& base_url,
       Millis interval,
       ReportHook on_report)
      : io_(io),
        timer_(io),
        url_(base_url +
             (kind == GroupKind::kEngine ? "/v1/models" : "/healthz")),
        interval_(interval),
        on_report_(std::move(on_report)) {}

  // @param repeats how often a probe that is lost may be repeated.
  void Probe(ReportHook hook, int repeats = kMaxProbeRepeats) {
    http::Call call;
    call.url_ = url_;
    call.timeout_ = kProbeTimeout;
    const Millis begin = clock_.Now();
    http::CallOnce(call, [self = shared_from_this(), hook = std::move(hook),
                          begin, repeats](const Result<http::Reply>& reply) {
      const UpstreamReport report = MakeReport(reply);
      const bool lost = report.state_ == UpstreamState::kSilent &&
                        !reply.ok() &&
                        self->clock_.Now() - begin < kProbeTimeout;
      boost::asio::post(self->io_, [self, hook, report, lost, repeats] {
        if (self->stopped_) {
          return;
        }
        if (lost && repeats > 0) {
          self->RepeatProbe(hook, repeats - 1);
        } else {
          hook(report);
        }
      });
    });
  }

  void ProbePeriodically() {
    Probe([this](const UpstreamReport& report) {
      on_report_(report);
      const bool silent = report.state_ == UpstreamState::kSilent;
      ScheduleProbe(silent ? std::min(kSilentProbeInterval, interval_)
                           : interval_);
    });
  }

  void Stop() {
    stopped_ = true;
    timer_.cancel();
  }

 private:
  void RepeatProbe(ReportHook hook, int repeats) {
    auto timer = std::make_shared<boost::asio::steady_timer>(io_);
    timer->expires_after(ToChrono(kProbeRepeatDelay));
    timer->async_wait([self = shared_from_this(), timer, hook = std::move(hook),
                       repeats](const boost::system::error_code& error) {
      if (!error && !self->stopped_) {
        self->Probe(hook, repeats);
      }
    });
  }

  void ScheduleProbe(Millis delay) {
    auto self = shared_from_this();
    timer_.expires_after(std::chrono::milliseconds(delay.count()));
    timer_.async_wait([self](const boost::system::error_code& error) {
      if (!error && !self->stopped_) {
        self->ProbePeriodically();
      }
    });
  }

  boost::asio::io_context& io_;
  boost::asio::steady_timer timer_;
  std::string url_;
  Millis interval_;
  ReportHook on_report_;
  const Clock clock_ = Clock::Steady();
  bool stopped_ = false;
};

UpstreamMonitor::UpstreamMonitor(boost::asio::io_context& io,
                                 GroupKind kind,
                                 std::string base_url,
                                 Millis interval,
                                 ReportHook on_report)
    : impl_(std::make_shared<Impl>(io,
                                   kind,
                                   base_url,
                                   interval,
                                   std::move(on_report))) {}

UpstreamMonitor::~UpstreamMonitor() {
  impl_->Stop();
}

void UpstreamMonitor::Start() {
  impl_->ProbePeriodically();
}

void UpstreamMonitor::Probe(ReportHook hook) {
  impl_->Probe(std::move(hook));
}

}  // namespace bergamotscale::sidecar
