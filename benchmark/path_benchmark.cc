// Measures the time that the path through entry and sidecar adds to calling the
// engine stand-in directly. One run alternates between rounds of direct calls
// and rounds of calls through the entry. With --open_rate, it only sends
// requests through the entry, at that rate.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include <gflags/gflags.h>
#include <pplx/threadpool.h>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "src/load/live_request.h"
#include "src/load/load_report.h"

DEFINE_string(engine, "", "URL of the engine stand-in");
DEFINE_string(entry, "", "URL of the entry");
DEFINE_string(key, "", "workspace key");
DEFINE_string(service_class, "suggestion", "class of the requests");
DEFINE_string(model, "keywords-8b", "model of the requests");
DEFINE_int32(streams, 1, "number of streams in flight");
DEFINE_int32(requests, 200, "requests per round");
DEFINE_int32(rounds, 4, "rounds of each kind");
DEFINE_int32(tokens, 16, "length of each answer, in tokens");
DEFINE_double(pause_ms,
              20,
              "longest pause of a stream between requests, in ms");
DEFINE_double(open_rate,
              0,
              "requests per second through the entry alone; 0 for both paths");
DEFINE_bool(orders, false, "send orders to a plain service instead");
DEFINE_uint64(seed, 1, "seed of the pauses");

namespace bergamotscale::load {
namespace {

using boost::asio::steady_timer;

constexpr double kMicrosPerMilli = 1000;
constexpr double kMicrosPerSecond = 1e6;
constexpr Millis kTimeout = Millis(10000);
constexpr int kHttpThreads = 4;
constexpr int kWarmUpRounds = 2;

struct Samples {
  std::vector<double> first_token_;
  std::vector<double> whole_;
  int failed_ = 0;
  std::map<std::string, int> codes_;  // of those that failed
};

// Keeps a number of streams in flight against one URL. Each stream pauses for a
// random time between requests, so that the starts are not synchronized with
// the engine's steps.
class Round {
 public:
  Round(const std::string& url, uint64_t seed, Samples* samples)
      : url_(url), random_(seed), samples_(samples) {}

  void Run() {
    const auto work = boost::asio::make_work_guard(io_);
    start_ = std::chrono::steady_clock::now();
    if (is_open_loop()) {
      SendAtRate();
    }
    for (int stream = 0; !is_open_loop() && stream < FLAGS_streams; ++stream) {
      Pause();
    }
    while (ended_ < FLAGS_requests) {
      io_.run_one();
    }
  }

 private:
  struct Live {
    Arrival arrival_;
    std::unique_ptr<LiveRequest> request_;
  };

  static bool is_open_loop() { return FLAGS_open_rate > 0; }

  void SendAtRate() {
    const double at = sent_ / FLAGS_open_rate * kMicrosPerSecond;
    const auto timer = std::make_shared<steady_timer>(
        io_, start_ + std::chrono::microseconds(static_cast<int64_t>(at)));
    timer->async_wait([this, timer](const boost::system::error_code&) {
      Send();
      if (sent_ < FLAGS_requests) {
        SendAtRate();
      }
    });
  }

  void Pause() {
    std::uniform_real_distribution<double> pause(0, FLAGS_pause_ms);
    const auto timer = std::make_shared<steady_timer>(
        io_, std::chrono::microseconds(
                 static_cast<int64_t>(pause(random_) * kMicrosPerMilli)));
    timer->async_wait(
        [this, timer](const boost::system::error_code&) { Send(); });
  }

  void Send() {
    if (sent_ == FLAGS_requests) {
      return;
    }
    const int64_t number = sent_++;
    auto live = std::make_unique<Live>();
    Arrival& arrival = live->arrival_;
    arrival.number_ = number;
    arrival.class_ = ClassId(FLAGS_service_class);
    arrival.model_ = ModelId(FLAGS_model);
    arrival.prompt_ = "number " + std::to_string(random_()) +
                      " [tokens=" + std::to_string(FLAGS_tokens) + "]";
    if (FLAGS_orders) {
      arrival.class_ = ClassId("order");
      arrival.order_ = true;
      arrival.path_ = "/v1/orders";
      arrival.key_ = IdempotencyKey("order-" + std::to_string(random_()));
    }
    live->request_ = std::make_unique<LiveRequest>(
        io_, url_, FLAGS_key, kTimeout, arrival,
        [this](const RequestResult& result) { End(result); });
    live_[number] = std::move(live);
  }

  void End(const RequestResult& result) {
    ++ended_;
    if (result.kind_ == ResultKind::kComplete) {
      samples_->first_token_.push_back(
          static_cast<double>(result.first_token_.count()) / kMicrosPerMilli);
      samples_->whole_.push_back(
          static_cast<double>(result.last_token_.count()) / kMicrosPerMilli);
    } else {
      ++samples_->failed_;
      ++samples_->codes_[std::string(ResultName(result.kind_)) + " " +
                         result.code_];
    }
    boost::asio::post(io_, [this, number = result.number_] {
      live_.erase(number);
      if (!is_open_loop()) {
        Pause();
      }
    });
  }

  std::string url_;
  std::mt19937_64 random_;
  Samples* samples_;
  boost::asio::io_context io_;
  std::unordered_map<int64_t, std::unique_ptr<Live>> live_;
  std::chrono::steady_clock::time_point start_;
  int sent_ = 0;
  int ended_ = 0;
};

void PrintRow(const char* name,
              const std::vector<double>& direct,
              const std::vector<double>& path) {
  const Percentiles a = ComputePercentiles(direct);
  const Percentiles b = ComputePercentiles(path);
  std::printf("%-12s %9.3f %9.3f %9.3f %9.3f %9.3f %9.3f\n", name, a.p50_,
              a.p99_, b.p50_, b.p99_, b.p50_ - a.p50_, b.p99_ - a.p99_);
}

void PrintFailures(const char* name, const Samples& samples) {
  for (const auto& [code, count] : samples.codes_) {
    std::printf("%s: %d %s\n", name, count, code.c_str());
  }
}

int RunOpenLoop() {
  Samples path;
  Round(FLAGS_entry, std::random_device()(), &path).Run();
  const Percentiles whole = ComputePercentiles(path.whole_);
  std::printf("%zu by the path, %d failed; whole answers %.2f ms, 99th %.2f\n",
              path.whole_.size(), path.failed_, whole.p50_, whole.p99_);
  PrintFailures("path", path);
  return path.failed_ == 0 ? 0 : 1;
}

int RunBenchmark() {
  if (FLAGS_open_rate > 0) {
    return RunOpenLoop();
  }
  // The sidecar adapts its concurrency limit from an initial value, and until
  // then requests wait in its queue. These rounds give it time to adapt.
  Samples warm_up;
  for (int round = 0; round < kWarmUpRounds; ++round) {
    Round(FLAGS_entry, FLAGS_seed, &warm_up).Run();
  }
  Samples direct;
  Samples path;
  for (int round = 0; round < FLAGS_rounds; ++round) {
    Round(FLAGS_engine, FLAGS_seed + round, &direct).Run();
    Round(FLAGS_entry, FLAGS_seed + round, &path).Run();
  }
  std::printf(
      "%d streams in flight, %d tokens, %zu direct, %zu by the path, "
      "%d and %d failed, seed %llu; ms\n",
      FLAGS_streams, FLAGS_tokens, direct.whole_.size(), path.whole_.size(),
      direct.failed_, path.failed_,
      static_cast<unsigned long long>(FLAGS_seed));
  std::printf("%-12s %9s %9s %9s %9s %9s %9s\n", "", "direct50", "direct99",
              "path50", "path99", "added50", "added99");
  PrintFailures("warm-up", warm_up);
  PrintFailures("direct", direct);
  PrintFailures("path", path);
  PrintRow("first token", direct.first_token_, path.first_token_);
  PrintRow("whole", direct.whole_, path.whole_);
  return direct.failed_ + path.failed_ == 0 ? 0 : 1;
}

}  // namespace
}  // namespace bergamotscale::load

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "measures the time that the path adds; see path_benchmark.sh");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  crossplat::threadpool::initialize_with_threads(
      bergamotscale::load::kHttpThreads);
  return bergamotscale::load::RunBenchmark();
}
