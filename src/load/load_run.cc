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
        profile_(ProfileOf(mix)),
        arrivals_(arrivals),
        results_(arrivals.size()),
        arrival_timer_(io_) {}

  std::vector<RequestResult> Run() {
    start_ = std::chrono::steady_clock::now();
    SendNext();
    // Answers come on threads of the HTTP library and are posted here, so the
    // context must not run dry while requests are live.
    const auto work = boost::asio::make_work_guard(io_);
    while (!(sent_ == arrivals_.size() && live_.empty())) {
      io_.run_one();
    }
    return std::move(results_);
  }

 private:
  struct Live {
    std::unique_ptr<LiveRequest> request_;
    std::unique_ptr<steady_timer> leave_timer_;
  };

  void SendNext() {
    if (sent_ == arrivals_.size()) {
      return;
    }
    arrival_timer_.expires_at(TimeOf(arrivals_[sent_].time_));
    arrival_timer_.async_wait([this](const boost::system::error_code&) {
      Send(arrivals_[sent_]);
      ++sent_;
      SendNext();
    });
  }

  void Send(const Arrival& arrival) {
    const std::string& url =
        options_.entry_urls_[arrival.number_ % options_.entry_urls_.size()];
    Live& live = live_[arrival.number_];
    live.request_ = std::make_unique<LiveRequest>(
        io_, url, KeyOf(arrival), options_.timeout_, arrival,
        [this](const RequestResult& result) { End(result); });
    if (arrival.leaves_at_.has_value()) {
      live.leave_timer_ = std::make_unique<steady_timer>(io_);
      live.leave_timer_->expires_at(TimeOf(*arrival.leaves_at_));
      live.leave_timer_->async_wait(
          [this, number = arrival.number_](const boost::system::error_code& e) {
            const auto found = live_.find(number);
            if (!e && found != live_.end()) {
              found->second.request_->Leave();
            }
          });
    }
  }

  void End(const RequestResult& result) {
    results_[result.number_] = result;
    // The hook runs inside the request that is dropped here.
    boost::asio::post(io_,
                      [this, number = result.number_] { live_.erase(number); });
  }

  std::string KeyOf(const Arrival& arrival) const {
    if (options_.keys_.empty()) {
      return WorkspaceKeyOf(arrival.workspace_);
    }
    const auto found =
        std::find(profile_.workspaces_.begin(), profile_.workspaces_.end(),
                  arrival.workspace_);
    const size_t rank = found - profile_.workspaces_.begin();
    return options_.keys_[std::min(rank, options_.keys_.size() - 1)];
  }

  std::chrono::steady_clock::time_point TimeOf(Millis since_start) const {
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
  std::unordered_map<int64_t, Live> live_;
};

}  // namespace

std::vector<RequestResult> RunLoad(const LoadRunOptions& options,
                                   Mix mix,
                                   const std::vector<Arrival>& arrivals) {
  return LoadRun(options, mix, arrivals).Run();
}

}  // namespace bergamotscale::load
