#include "src/gateway/upstream_notices.h"

namespace bergamotscale::gateway {
namespace {

LogLine MakeLine(const char* event, const ResponseSource& source) {
  LogLine line(event);
  line.Add("request", source.request_.value())
      .Add("call", source.call_)
      .Add("age_ms", source.age_.count())
      .Add("upstream", source.upstream_.id_.value())
      .Add("started_at", source.upstream_.started_at_);
  return line;
}

// Only the response to this request tells that a limit has ended: the upstream
// had none at some time after the request was sent.
void RecordRate(ExchangeContext& context,
                const ResponseSource& source,
                const ResponseInfo& response) {
  const bool is_limit = response.requests_per_second_.has_value();
  const bool is_own = response.request_ == source.request_ &&
                      (response.is_authentic_ || response.not_executed_);
  if (response.tells_rate_ && (is_limit || is_own)) {
    context.upstreams_.OnRateStated(
        source.upstream_, {response.requests_per_second_,
                           is_limit ? context.boot_.Now() : source.sent_at_});
  }
}

}  // namespace

void RecordNotices(ExchangeContext& context,
                   const ResponseSource& source,
                   const ResponseInfo& response) {
  if (response.is_leaving_ &&
      context.upstreams_.MarkLeaving(source.upstream_)) {
    context.log_.Write(MakeLine("upstream_leaving", source));
    context.metrics_.Add("bergamot_gateway_upstreams_leaving");
  }
  RecordRate(context, source, response);
  if (response.pause_ > Millis(0)) {
    context.upstreams_.Pause(source.upstream_, response.pause_);
    context.log_.Write(MakeLine("upstream_paused", source)
                           .Add("for_ms", response.pause_.count()));
    context.metrics_.Add("bergamot_gateway_upstream_pauses");
  }
}

}  // namespace bergamotscale::gateway
