// Gateways whose starts, stops, reloads and configurations overlap: each
// request that was accepted gets an answer, and processes end in order.
#include <sys/socket.h>

#include <csignal>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <functional>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

#include "tests/support/child_process.h"
#include "tests/support/gateway_process.h"

namespace bergamotscale::tests {
namespace {

constexpr Millis kReadyTimeout = Millis(10'000);
constexpr Millis kGrace = Millis(8'000);
constexpr Millis kLossSlack = Millis(200);

struct Attempt {
  CallerRequest request_;
  CallerAnswer answer_;
  bool is_first_ = false;  // on its connection
};

// Callers that keep using connections, and what they got.
class OverlapBench : public SmallSystem {
 public:
  OverlapBench() = default;
  ~OverlapBench() { StopCallers(); }
  OverlapBench(const OverlapBench&) = delete;
  OverlapBench& operator=(const OverlapBench&) = delete;

  // Starts callers that send orders, and streams if asked for, one after
  // another on kept connections.
  void StartCallers(int count, const std::string& address, bool sends_streams) {
    for (int i = 0; i < count; ++i) {
      callers_.emplace_back([this, i, address, sends_streams] {
        std::unique_ptr<Wire> wire;
        for (int turn = 0; !stopping_; ++turn) {
          if (wire == nullptr) {
            wire = Wire::Open(address);
          }
          if (wire == nullptr) {
            SleepFor(Millis(10));
            continue;
          }
          const std::string id =
              "c" + std::to_string(i) + "-" + std::to_string(turn);
          const bool sends_stream = sends_streams && (i + turn) % 4 == 0;
          Attempt attempt{sends_stream ? MakeStream(id, 8 + i % 12)
                                       : MakeOrder(id, 5 + (i + turn) % 90),
                          {},
                          false};
          attempt.answer_ = Exchange(*wire, attempt.request_);
          if (!attempt.answer_.is_whole_ || attempt.answer_.closes_) {
            wire = nullptr;
          }
          Add(std::move(attempt));
        }
      });
    }
  }

  // Runs the caller in a thread of its own.
  void StartCaller(const CallerRequest& request,
                   std::function<CallerAnswer(Wire&)> run) {
    callers_.emplace_back([this, request, run = std::move(run)] {
      const auto wire = Wire::Open(gateway_.address());
      if (wire != nullptr) {
        Add({request, run(*wire), true});
      }
    });
  }

  // Publishes configurations without changes of routes.
  void Publish(int count, Millis pause) {
    for (int i = 0; i < count; ++i) {
      store_.Put("keyed.op", "config", MakeConfig(++version_));
      SleepFor(pause);
    }
  }

  void StopCallers() {
    stopping_ = true;
    for (std::thread& caller : callers_) {
      caller.join();
    }
    callers_.clear();
  }

  // Checks what the callers saw. @return the number of whole successes.
  int CheckAnswers() {
    StopCallers();
    int served = 0;
    for (const Attempt& attempt : attempts_) {
      const CallerAnswer& answer = attempt.answer_;
      const std::string& id = attempt.request_.id_;
      const int runs = app_.RunsOf(id) + engine_.RunsOf(id);
      const Millis took = answer.ended_at_ - answer.sent_at_;
      CAPTURE(id);
      CAPTURE(runs);
      CAPTURE(answer.status_);
      CAPTURE(took.count());
      CHECK(runs <= 1);
      if (answer.is_whole_) {
        CHECK((answer.status_ == 200 || answer.status_ == 503));
        CHECK((answer.status_ == 200) == (runs == 1));
        served += answer.status_ == 200 ? 1 : 0;
      } else {
        // A request may cross the close of a kept connection.
        CHECK_FALSE(attempt.is_first_);
        CHECK(runs == 0);
        CHECK(answer.status_ == 0);
        CHECK(took <= kLossSlack);
        ++crossed_;
      }
    }
    MESSAGE(attempts_.size() << " requests, " << served << " served, "
                             << crossed_ << " crossed a close");
    return served;
  }

 private:
  void Add(Attempt attempt) {
    const std::lock_guard<std::mutex> lock(mutex_);
    attempts_.push_back(std::move(attempt));
  }

  std::mutex mutex_;
  std::vector<Attempt> attempts_;
  std::vector<std::thread> callers_;
  std::atomic<bool> stopping_{false};
  int64_t version_ = 1;
  int crossed_ = 0;
};

TEST_CASE("gateway overlap: a second process takes over its addresses") {
  constexpr int kCallers = 24;
  // The first process ends some 4 s after its stop began.
  constexpr Millis kSecondStarts = Millis(3'000);
  OverlapBench bench;
  REQUIRE(bench.Start(Millis(200)));
  GatewayProcess& first = bench.gateway_;
  const ScratchFolder folder;
  GatewayProcess second(folder.File(""), LoopbackIp(4), bench.store_.address(),
                        {{"listen.front", "\"" + first.address() + "\""},
                         {"listen.ready", "\"" + first.ready_address() + "\""},
                         {"bounds.grace_s", "1.5"}});
  bench.StartCallers(kCallers, first.address(), true);
  SleepFor(Millis(100));
  first.Signal(SIGTERM);
  SleepFor(kSecondStarts);
  CHECK_FALSE(first.HasEnded());
  second.Start();
  CHECK(first.AwaitEnd(kGrace));
  CHECK(first.status() == 0);
  CHECK_FALSE(second.HasEnded());
  const Millis until = SteadyNow() + kReadyTimeout;
  while (!first.IsReady() && SteadyNow() < until) {
    SleepFor(Millis(10));
  }
  // Both have the same addresses.
  CHECK(first.IsReady());
  SleepFor(Millis(100));
  CHECK(bench.CheckAnswers() > kCallers);
  second.Signal(SIGTERM);
  CHECK(second.AwaitEnd(kGrace));
  CHECK(second.status() == 0);
}

CallerRequest MakeUpload(int number) {
  CallerRequest upload = MakeOrder("up" + std::to_string(number), 300);
  upload.patience_ = Millis(6'000);
  upload.body_ = std::string(200'000, 'u');
  return upload;
}

// Sends the request in pieces over a time.
CallerAnswer SendSlowly(Wire& wire, const CallerRequest& request, Millis time) {
  constexpr size_t kPieces = 20;
  const std::string all = request.Head() + request.body_;
  const size_t step = all.size() / kPieces + 1;
  Millis began;
  for (size_t at = 0; at < all.size(); at += step) {
    SleepFor(at == 0 ? Millis(0) : time / kPieces);
    began = SteadyNow();
    if (!wire.Write(all.substr(at, step))) {
      // The answer may be there already.
      break;
    }
  }
  return ReadAnswer(wire, request, began);
}

// Sends the request at once and shuts down the sending side behind it.
CallerAnswer SendAndHalfClose(Wire& wire, const CallerRequest& request) {
  const Millis began = SteadyNow();
  wire.Write(request.Head() + request.body_);
  wire.ShutdownSending();
  return ReadAnswer(wire, request, began);
}

TEST_CASE("gateway overlap: signals in rows cut off no upload and no stream") {
  constexpr int kUploads = 20;
  constexpr int kHalfClosed = 40;
  OverlapBench bench;
  REQUIRE(bench.Start(Millis(500)));
  bench.StartCallers(16, bench.gateway_.address(), true);
  for (int i = 0; i < kUploads; ++i) {
    const CallerRequest upload = MakeUpload(i);
    bench.StartCaller(upload, [upload, i](Wire& wire) {
      return SendSlowly(wire, upload, Millis(400 + 100 * i));
    });
  }
  for (int i = 0; i < kHalfClosed; ++i) {
    const std::string id = "half" + std::to_string(i);
    const CallerRequest request =
        i % 3 == 0 ? MakeStream(id, 10 + i) : MakeOrder(id, 20 * i % 900);
    bench.StartCaller(request, [request, i](Wire& wire) {
      SleepFor(Millis(25) * i);
      return SendAndHalfClose(wire, request);
    });
  }
  SleepFor(Millis(200));
  std::thread publisher([&] { bench.Publish(60, Millis(25)); });
  for (int i = 0; i < 20; ++i) {
    bench.gateway_.SetField("bounds.drain_ms", i % 2 == 0 ? "2000" : "1900");
    bench.gateway_.WriteSettings();
    bench.gateway_.Signal(SIGHUP);
    SleepFor(Millis(i % 4));
  }
  CHECK_FALSE(bench.gateway_.HasEnded());
  SleepFor(Millis(100));
  for (int i = 0; i < 30; ++i) {
    bench.gateway_.Signal(i % 3 == 0 ? SIGTERM : SIGHUP);
    SleepFor(Millis(i));
  }
  CHECK(bench.gateway_.AwaitEnd(kGrace));
  publisher.join();
  CHECK(bench.gateway_.status() == 0);
  CHECK(bench.CheckAnswers() > kUploads + kHalfClosed);
}

// Sends what uses a gateway's memory: large uploads, answers without end, and
// large answers that are not read for a while.
CallerRequest MakeFaulty(int number) {
  CallerRequest request;
  request.path_ = number % 4 == 1 ? "/stream/1" : "/read/1";
  request.id_ = "faulty" + std::to_string(number);
  const char* const headers[] = {"X-Endless: answer\r\n",
                                 "X-Endless: event\r\n", "X-Work-Ms: 600\r\n",
                                 "X-Answer-Bytes: 4000000\r\n"};
  request.headers_ = headers[number % 4];
  request.body_ = std::string(number % 4 == 2 ? 4'000'000 : 0, 'u');
  return request;
}

TEST_CASE("gateway overlap: memory pressure, signals and a stop together") {
  constexpr int kFaulty = 80;
  constexpr int kMemoryMb = 160;
  OverlapBench bench;
  bench.gateway_.SetField("limits.memory_mb", std::to_string(kMemoryMb));
  REQUIRE(bench.Start(Millis(300)));
  std::vector<std::thread> faulty;
  faulty.reserve(kFaulty);
  std::atomic<int> unanswered{0};
  for (int i = 0; i < kFaulty; ++i) {
    faulty.emplace_back([&, i] {
      // The last ones come beside the stop.
      SleepFor(Millis(i < kFaulty / 2 ? 0 : 15 * i));
      const CallerRequest request = MakeFaulty(i);
      const auto wire = Wire::Open(bench.gateway_.address());
      if (wire == nullptr) {
        return;
      }
      const Millis began = SteadyNow();
      const bool is_sent = wire->Write(request.Head() + request.body_);
      const bool reads_late = i % 4 == 3;
      SleepFor(Millis(reads_late ? 1'500 : 0));
      const CallerAnswer answer = ReadAnswer(*wire, request, began);
      // A caller that didn't read may be cut off.
      if (answer.status_ == 0 && !reads_late) {
        MESSAGE("no answer: " << request.id_ << " sent: " << is_sent);
        ++unanswered;
      }
    });
  }
  bench.StartCallers(8, bench.gateway_.address(), false);
  std::thread publisher([&] { bench.Publish(40, Millis(25)); });
  Bytes peak;
  for (int i = 0; i < 10; ++i) {
    bench.gateway_.Signal(SIGHUP);
    SleepFor(Millis(30));
  }
  CHECK_FALSE(bench.gateway_.HasEnded());
  for (int i = 0; i < 30; ++i) {
    bench.gateway_.Signal(i % 2 == 0 ? SIGTERM : SIGHUP);
    SleepFor(Millis(30));
    peak = std::max(peak, bench.gateway_.PeakMemory());
  }
  MESSAGE("peak of " << peak.count() / 1'000'000 << " MB");
  CHECK(peak.count() > 0);
  CHECK(peak.count() < kMemoryMb * int64_t{1'000'000});
  CHECK(bench.gateway_.AwaitEnd(kGrace));
  CHECK(bench.gateway_.status() == 0);
  publisher.join();
  for (std::thread& caller : faulty) {
    caller.join();
  }
  CHECK(unanswered == 0);
  CHECK(bench.CheckAnswers() > 0);
}

TEST_CASE("gateway overlap: signals while the address is in use") {
  OverlapBench bench;
  bench.store_.Put("keyed.op", "config", MakeConfig(1));
  bench.gateway_.SetField("bounds.grace_s", "1.5");
  for (const bool stops : {true, false}) {
    CAPTURE(stops);
    auto holder =
        std::make_unique<AddressHolder>(bench.gateway_.address(), SOCK_STREAM);
    REQUIRE(holder->is_held());
    bench.gateway_.Start();
    SleepFor(Millis(150));
    for (int i = 0; i < 15; ++i) {
      bench.gateway_.Signal(SIGHUP);
      SleepFor(Millis(4) * (i % 5));
    }
    CHECK_FALSE(bench.gateway_.HasEnded());
    if (stops) {
      for (int i = 0; i < 6; ++i) {
        bench.gateway_.Signal(i % 2 == 0 ? SIGTERM : SIGHUP);
      }
      CHECK(bench.gateway_.AwaitEnd(kGrace));
      CHECK(bench.gateway_.status() == 0);
    } else {
      holder.reset();
      CHECK(bench.gateway_.AwaitReady(kReadyTimeout));
      const auto wire = Wire::Open(bench.gateway_.address());
      REQUIRE(wire != nullptr);
      CHECK(Exchange(*wire, MakeOrder("held", 5)).status_ == 200);
    }
  }
}

// A stream that has begun is cut off as soon as its caller's input ends.
TEST_CASE("gateway overlap: a caller that half-closes midway gets it all") {
  OverlapBench bench;
  REQUIRE(bench.Start(Millis(300)));
  CallerRequest read;
  read.path_ = "/read/1";
  read.id_ = "midway-read";
  read.headers_ = "X-Answer-Bytes: 3000000\r\n";
  for (const CallerRequest& request : {MakeStream("midway-stream", 6), read}) {
    CAPTURE(request.id_);
    const auto wire = Wire::Open(bench.gateway_.address());
    REQUIRE(wire != nullptr);
    REQUIRE(wire->Write(request.Head() + request.body_));
    std::string first;
    REQUIRE(wire->ReadExactly(1, &first));
    wire->ShutdownSending();
    wire->SetReadTimeout(Millis(3'000));
    std::string head;
    REQUIRE(wire->ReadHead(&head));
    std::string body;
    const std::string length = HeaderOf(head, "Content-Length");
    const bool is_whole = length.empty()
                              ? wire->ReadChunks(&body)
                              : wire->ReadExactly(std::stoul(length), &body);
    CAPTURE(body.size());
    CHECK(is_whole);
  }
}

// Connections of callers and to upstreams left none for the store.
TEST_CASE(
    "gateway overlap: at its descriptor limit it reaches the store again") {
  OverlapBench bench;
  bench.gateway_.LimitDescriptors(80);
  REQUIRE(bench.Start(Millis(300)));
  bench.StartCallers(40, bench.gateway_.address(), false);
  SleepFor(Millis(1'000));
  bench.store_.SetMode(StoreStandIn::Mode::kResetting);
  SleepFor(Millis(3'000));
  bench.store_.SetMode(StoreStandIn::Mode::kServing);
  SleepFor(Millis(6'000));
  std::ifstream file(bench.gateway_.log_file());
  std::ostringstream log;
  log << file.rdbuf();
  CHECK(log.str().find("dependency_regained name=\"configuration log\"") !=
        std::string::npos);
  bench.CheckAnswers();
}

TEST_CASE("gateway overlap: a deployment of gateways starts and stops") {
  constexpr int kGateways = 33;
  ScratchFolder folder;
  StoreStandIn store(LoopbackIp(1));
  ServerStandIn app(store, "i-1", "app", LoopbackIp(2));
  store.Put("keyed.op", "config", MakeConfig(1));
  std::vector<std::unique_ptr<GatewayProcess>> gateways;
  gateways.reserve(kGateways);
  const std::string seeds = "[\"" + LoopbackIp(10) + ":8229\",\"" +
                            LoopbackIp(11) + ":8229\",\"" + LoopbackIp(12) +
                            ":8229\"]";
  for (int i = 0; i < kGateways; ++i) {
    gateways.push_back(std::make_unique<GatewayProcess>(
        folder.File(""), LoopbackIp(10 + i), store.address(),
        TemplateFields{{"seeds", seeds}, {"bounds.grace_s", "1.5"}}));
  }
  for (const auto& gateway : gateways) {
    gateway->Start();
  }
  for (const auto& gateway : gateways) {
    CHECK(gateway->AwaitReady(kReadyTimeout));
  }
  std::vector<CallerAnswer> answers(kGateways);
  std::vector<std::thread> callers;
  callers.reserve(kGateways);
  for (int i = 0; i < kGateways; ++i) {
    callers.emplace_back([&, i] {
      const auto wire = Wire::Open(gateways[i]->address());
      if (wire != nullptr) {
        answers[i] = Exchange(*wire, MakeOrder("g" + std::to_string(i), 400));
      }
    });
  }
  SleepFor(Millis(200));
  for (const auto& gateway : gateways) {
    gateway->Signal(SIGHUP);
    gateway->Signal(SIGTERM);
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  for (int i = 0; i < kGateways; ++i) {
    CAPTURE(i);
    CHECK(gateways[i]->AwaitEnd(kGrace));
    CHECK(gateways[i]->status() == 0);
    CHECK(answers[i].status_ == 200);
    CHECK(answers[i].is_whole_);
    CHECK(app.RunsOf("g" + std::to_string(i)) == 1);
  }
}

}  // namespace
}  // namespace bergamotscale::tests
