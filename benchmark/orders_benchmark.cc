// Measures how many orders per second the log can carry and the latency that a
// claim adds. The order executors of several sidecars run in one process and
// use a log stand-in, which accepts 300 appends per second, over real HTTP.
// Prints one line for each rate.
#include <algorithm>
#include <atomic>
#include <cstdio>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include <gflags/gflags.h>
#include <glog/logging.h>
#include <boost/asio/post.hpp>

#include "src/log/log_client.h"
#include "src/sidecar/io_thread.h"
#include "src/sidecar/orders_feed.h"
#include "src/sidecar/ticker.h"
#include "standins/platform/log_server.h"

DEFINE_int32(sidecars, 18, "number of order executors that share the log");
DEFINE_int32(port, 19300, "port of the log stand-in");
DEFINE_int32(seconds, 5, "duration of each rate, in seconds");
DEFINE_int32(interval_ms,
             80,
             "mean time between two appends of a sidecar, in ms");

namespace bergamotscale {
namespace {

using SteadyClock = std::chrono::steady_clock;

struct Tally {
  std::mutex mutex_;
  std::vector<double> claim_ms_;
  int refused_ = 0;
};

// One sidecar's executor on a thread of its own.
class Node {
 public:
  Node(int number, const std::string& log_url)
      : client_(log_url, Millis(2000)),
        feed_(thread_.io(), client_, OptionsOf(number)),
        ticker_(thread_.io(), Millis(5), [this] { feed_.executor().Tick(); }) {
    thread_.Start();
    thread_.Run([this] {
      feed_.Start();
      ticker_.Start();
    });
  }
  ~Node() { thread_.Stop(); }

  void BeginOrder(const std::string& key, Tally& tally) {
    boost::asio::post(thread_.io(), [this, key, &tally] {
      const auto start = SteadyClock::now();
      orders::OrderHooks hooks;
      hooks.execute_ = [this, start, &tally](const orders::ClaimId& claim) {
        const std::chrono::duration<double, std::milli> waited =
            SteadyClock::now() - start;
        {
          const std::lock_guard<std::mutex> lock(tally.mutex_);
          tally.claim_ms_.push_back(waited.count());
        }
        feed_.executor().Complete(claim, orders::Outcome());
      };
      hooks.replay_ = [](const orders::Outcome&) {};
      hooks.refuse_ = [&tally](const Error&, Verdict) {
        const std::lock_guard<std::mutex> lock(tally.mutex_);
        ++tally.refused_;
      };
      feed_.executor().Begin({WorkspaceId("workspace"), IdempotencyKey(key)}, 1,
                             hooks);
    });
  }

  int64_t Appends() {
    int64_t appends = 0;
    thread_.Run(
        [this, &appends] { appends = feed_.executor().batcher().appends(); });
    return appends;
  }

 private:
  static orders::ExecutorOptions OptionsOf(int number) {
    orders::ExecutorOptions options;
    options.boot_id_ = "sidecar-" + std::to_string(number);
    options.sidecar_ = InstanceId(options.boot_id_);
    options.batcher_.interval_ = Millis(FLAGS_interval_ms);
    return options;
  }

  sidecar::IoThread thread_;
  log::LogClient client_;
  sidecar::OrdersFeed feed_;
  sidecar::Ticker ticker_;
};

double Quantile(std::vector<double>& samples, double share) {
  if (samples.empty()) {
    return 0;
  }
  const auto at =
      samples.begin() + static_cast<int64_t>(share * (samples.size() - 1));
  std::nth_element(samples.begin(), at, samples.end());
  return *at;
}

int64_t AppendsOf(const std::vector<std::unique_ptr<Node>>& nodes) {
  int64_t appends = 0;
  for (const auto& node : nodes) {
    appends += node->Appends();
  }
  return appends;
}

void RunRate(std::vector<std::unique_ptr<Node>>& nodes, int rate) {
  Tally tally;
  const int64_t appends_before = AppendsOf(nodes);
  const int total = rate * FLAGS_seconds;
  const auto start = SteadyClock::now();
  for (int order = 0; order < total; ++order) {
    std::this_thread::sleep_until(
        start + std::chrono::microseconds(int64_t{1'000'000} * order / rate));
    const std::string key = std::to_string(rate) + "/" + std::to_string(order);
    nodes[order % nodes.size()]->BeginOrder(key, tally);
  }
  const std::chrono::duration<double> took = SteadyClock::now() - start;
  const int64_t appends = AppendsOf(nodes) - appends_before;
  // Orders that are still open end within the claim timeout.
  std::this_thread::sleep_for(std::chrono::milliseconds(3000));
  const std::lock_guard<std::mutex> lock(tally.mutex_);
  std::printf(
      "%6d offered/s: %6zu executed, %5d refused, %5.0f appends/s, "
      "claim p50 %6.1f ms, p99 %6.1f ms\n",
      rate, tally.claim_ms_.size(), tally.refused_,
      static_cast<double>(appends) / took.count(),
      Quantile(tally.claim_ms_, 0.5), Quantile(tally.claim_ms_, 0.99));
  std::fflush(stdout);
}

int Run() {
  standins::LogServerOptions options;
  options.port_ = static_cast<uint16_t>(FLAGS_port);
  standins::LogServer log(options);
  if (!log.Open().ok()) {
    LOG(ERROR) << "the log stand-in did not start; is --port already in use?";
    return 1;
  }
  std::vector<std::unique_ptr<Node>> nodes;
  nodes.reserve(FLAGS_sidecars);
  for (int number = 0; number < FLAGS_sidecars; ++number) {
    nodes.push_back(std::make_unique<Node>(number, log.url()));
  }
  std::this_thread::sleep_for(std::chrono::seconds(1));
  for (const int rate : {10, 100, 300, 1000, 3000, 10000}) {
    RunRate(nodes, rate);
  }
  return 0;
}

}  // namespace
}  // namespace bergamotscale

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return bergamotscale::Run();
}
