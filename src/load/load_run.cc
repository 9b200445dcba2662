#include "src/load/load_run.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <unordered_map>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace bergamotscale::load {
namespace {

using boost::asio::steady_timer;

class LoadRun {
 public:
  LoadRun(const LoadRunOptions& options,
          Mix mix,
          const std::vector<Arrival>& arrivals)
      : options_(options),
        profile_(GetMixProfile(mix)),
        arrivals_(arrivals),
        results_(arrivals.size()),
        arrival_timer_(io_) {}

  std::vector<RequestResult> Run() {
    start_ = std::chrono::steady_clock::now();
    SendNext();
    // Responses arrive on threads of the HTTP library and are posted here, so
    // the context must not run out of work while requests are in flight.
    const auto work = boost::asio::make_work_guard(io_);
    while (!(sent_ == arrivals_.size() && in_flight_.empty())) {
      io_.run_one();
    }
    return std::move(results_);
  }

 private:
  struct InFlight {
    std::unique_ptr<LiveRequest> request_;
    std::unique_ptr<steady_timer> leave_timer_;
  };

  void SendNext() {
    if (sent_ == arrivals_.size()) {
      return;
    }
    arrival_timer_.expires_at(ToTimePoint(arrivals_[sent_].time_));
    arrival_timer_.async_wait([this](const boost::system::error_code&) {
      Send(arrivals_[sent_]);
      ++sent_;
      SendNext();
    });
  }

  void Send(const Arrival& arrival) {
    const std::string& url =
        options_.entry_urls_[arrival.number_ % options_.entry_urls_.size()];
    InFlight& live = in_flight_[arrival.number_];
    live.request_ = std::make_unique<LiveRequest>(
        io_, url, FindKey(arrival), options_.timeout_, arrival,
        [this](const RequestResult& result) { End(result); });
    if (arrival.leaves_at_.has_value()) {
      live.leave_timer_ = std::make_unique<steady_timer>(io_);
      live.leave_timer_->expires_at(ToTimePoint(*arrival.leaves_at_));
      live.leave_timer_->async_wait(
          [this, number = arrival.number_](const boost::system::error_code& e) {
            const auto found = in_flight_.find(number);
            if (!e && found != in_flight_.end()) {
              found->second.request_->Disconnect();
            }
          });
    }
  }

  void End(const RequestResult& result) {
    results_[result.number_] = result;
    // This hook runs inside the request, which is therefore destroyed later.
    boost::asio::post(
        io_, [this, number = result.number_] { in_flight_.erase(number); });
  }

  std::string FindKey(const Arrival& arrival) const {
    if (options_.keys_.empty()) {
      return MakeWorkspaceKey(arrival.workspace_);
    }
    const auto found =
        std::find(profile_.workspaces_.begin(), profile_.workspaces_.end(),
                  arrival.workspace_);
    const size_t rank = found - profile_.workspaces_.begin();
    return options_.keys_[std::min(rank, options_.keys_.size() - 1)];
  }

  std::chrono::steady_clock::time_point ToTimePoint(Millis since_start) const {
    return start_ + std::chrono::milliseconds(since_start.count());
  }

  const LoadRunOptions& options_;
  const MixProfile& profile_;
  const std::vector<Arrival>& arrivals_;
  std::vector<RequestResult> results_;
  boost::asio::io_context io_;
  steady_timer arrival_timer_;
  std::chrono::steady_clock::time_point start_;
  size_t sent_ = 0;
  std::unordered_map<int64_t, InFlight> in_flight_;
};

}  // namespace

std::vector<RequestResult> RunLoad(const LoadRunOptions& options,
                                   Mix mix,
                                   const std::vector<Arrival>& arrivals) {
  return LoadRun(options, mix, arrivals).Run();
}

}  // namespace bergamotscale::load
