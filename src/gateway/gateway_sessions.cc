#include "src/gateway/gateway_impl.h"

#include <string>
#include <utility>

namespace bergamotscale::gateway {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusUnavailable = 503;
// Size of the system's buffers of connections of probes, operators and peers,
// whose requests are small.
constexpr Bytes kSmallSystemBuffer = Bytes(16 << 10);

}  // namespace

web::SessionLimits Gateway::Impl::Limits() const {
  const auto table = state_.table_.Read();
  return MakeSessionLimits(table == nullptr ? route::CallerLimits()
                                            : table->limits());
}

web::SessionHooks Gateway::Impl::CallerSessionHooks() {
  web::SessionHooks hooks;
  hooks.limits_ = [this] { return Limits(); };
  hooks.on_request_ = [this](web::IncomingRequest call,
                             std::shared_ptr<web::Responder> responder) {
    return StartExchange(context_, std::move(call), std::move(responder));
  };
  hooks.on_refused_ = [this](int status, const std::string& reason) {
    metrics_.Add("bergamot_gateway_malformed", std::to_string(status));
    log_.Write(
        LogLine("caller_refused").Add("status", status).Add("reason", reason));
  };
  // While the gateway sheds load, closed connections make callers use other
  // gateways. At the limit of sessions, they let callers in that wait.
  hooks.stopping_ = [this] {
    return stopping_ || shedding_.is_shedding() ||
           callers_.sessions() >= descriptors_.callers_;
  };
  hooks.on_gave_way_ = GaveWayHook();
  hooks.buffers_ = &buffers_;
  return hooks;
}

std::function<void(policy::SessionWait)> Gateway::Impl::GaveWayHook() {
  return [this](policy::SessionWait wait) {
    metrics_.Add("bergamot_gateway_connections_closed",
                 policy::SessionWaitName(wait));
  };
}

web::SessionHooks Gateway::Impl::ProbeHooks() {
  web::SessionHooks hooks;
  hooks.limits_ = [] { return MakeSessionLimits(route::CallerLimits()); };
  hooks.on_request_ = [this](const web::IncomingRequest& call,
                             const std::shared_ptr<web::Responder>& responder) {
    HandleProbe(call, *responder);
    return web::CallerHooks();
  };
  hooks.on_refused_ = [](int /*status*/, const std::string& /*reason*/) {};
  hooks.on_gave_way_ = GaveWayHook();
  hooks.stopping_ = [this] { return stopping_; };
  hooks.buffers_ = &buffers_;
  hooks.drops_bodies_ = true;
  hooks.system_buffer_ = kSmallSystemBuffer;
  return hooks;
}

void Gateway::Impl::HandleProbe(const web::IncomingRequest& call,
                                web::Responder& responder) {
  web::HeaderList headers;
  headers.Add("Content-Type", "text/plain");
  if (call.target_ == "/ready") {
    const std::string reason = NotReadyReason();
    LogReadiness(reason);
    responder.Reply(reason.empty() ? kStatusOk : kStatusUnavailable, headers,
                    reason.empty() ? "ready\n" : reason + "\n");
  } else if (call.target_ == "/metrics") {
    metrics_.Set("bergamot_gateway_sessions", "",
                 static_cast<double>(callers_.sessions()));
    metrics_.Set("bergamot_gateway_connections_opened", "",
                 static_cast<double>(upstreams_.connections_opened()));
    metrics_.Set("bergamot_gateway_buffered_bytes", "",
                 static_cast<double>(buffers_.held()));
    metrics_.Set("bergamot_gateway_log_lines_dropped", "",
                 static_cast<double>(log_.dropped()));
    for (const GroupBalance& balance : upstreams_.Balance()) {
      const std::string& group = balance.group_.value();
      metrics_.Set("bergamot_gateway_engine_spread_tokens", group,
                   balance.spread_tokens_);
      metrics_.Set("bergamot_gateway_unseen_tokens", group,
                   balance.unseen_tokens_);
      metrics_.Set("bergamot_gateway_fast_engines", group, balance.fast_);
      metrics_.Set("bergamot_gateway_load_report_age_ms", group,
                   static_cast<double>(balance.report_age_.count()));
    }
    responder.Reply(kStatusOk, headers, metrics_.Render());
  } else {
    responder.Reply(kStatusNotFound, headers, "not found\n");
  }
}

std::string Gateway::Impl::NotReadyReason() const {
  if (stopping_) {
    return "stopping";
  }
  if (state_.table_.Read() == nullptr) {
    return "no configuration yet";
  }
  if (state_.upstreams_.Read() == nullptr) {
    return "no upstreams known yet";
  }
  if (!listens_for_callers_) {
    return "not listening for callers yet";
  }
  if (listen_retry_.IsPending(kCallersListener)) {
    return "address for callers is in use";
  }
  if (state_.TableAge(boot_.Now()) >
      context_.freshness_limits_.max_age_for_keys_) {
    return "configuration not confirmed lately";
  }
  if (shedding_.is_shedding()) {
    return "link busy";
  }
  return {};
}

void Gateway::Impl::LogReadiness(const std::string& reason) {
  if (reason != not_ready_reason_ || !readiness_logged_) {
    readiness_logged_ = true;
    not_ready_reason_ = reason;
    log_.Write(LogLine(reason.empty() ? "ready" : "not_ready")
                   .Add("reason", reason)
                   .Add("config_age_ms", state_.TableAge(boot_.Now()).count()));
  }
}

}  // namespace bergamotscale::gateway
