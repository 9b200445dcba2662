#include "src/gateway/listen_retry.h"

#include <algorithm>
#include <utility>

#include "src/core/chrono_time.h"

namespace bergamotscale::gateway {
namespace {

constexpr Millis kFirstDelay = Millis(50);
constexpr Millis kMaxDelay = Millis(1'000);

}  // namespace

ListenRetry::ListenRetry(boost::asio::io_context& io, DecisionLog* log)
    : timer_(io), log_(log), delay_(kFirstDelay) {}

void ListenRetry::Add(std::string name,
                      std::string address,
                      std::function<Status()> start) {
  Pending pending{std::move(name), std::move(address), std::move(start), ""};
  if (!TryStart(&pending)) {
    pending_.push_back(std::move(pending));
    ScheduleRetry();
  }
}

void ListenRetry::Stop() {
  pending_.clear();
  timer_.cancel();
}

bool ListenRetry::IsPending(const std::string& name) const {
  return std::any_of(
      pending_.begin(), pending_.end(),
      [&name](const Pending& pending) { return pending.name_ == name; });
}

bool ListenRetry::TryStart(Pending* pending) {
  const Status started = pending->start_();
  const std::string error = started.ok() ? "" : started.error().Message();
  if (started.ok()) {
    log_->Write(LogLine("listening")
                    .Add("name", pending->name_)
                    .Add("address", pending->address_));
  } else if (error != pending->last_error_) {
    log_->Write(LogLine("listen_failed")
                    .Add("name", pending->name_)
                    .Add("address", pending->address_)
                    .Add("reason", error));
  }
  pending->last_error_ = error;
  return started.ok();
}

void ListenRetry::ScheduleRetry() {
  if (scheduled_) {
    return;
  }
  scheduled_ = true;
  timer_.expires_after(ToChrono(delay_));
  delay_ = std::min(delay_ * 2, kMaxDelay);
  timer_.async_wait([this](const boost::system::error_code& error) {
    scheduled_ = false;
    if (error) {
      return;
    }
    pending_.remove_if([this](Pending& pending) { return TryStart(&pending); });
    if (!pending_.empty()) {
      ScheduleRetry();
    }
  });
}

}  // namespace bergamotscale::gateway
