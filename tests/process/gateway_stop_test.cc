// Planned stops of a gateway: each request that it has read gets an answer, and
// an answer that says "not run" is true.
#include <csignal>

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <doctest/doctest.h>
#include <boost/filesystem.hpp>

#include "tests/support/gateway_process.h"

namespace bergamotscale::tests {
namespace {

constexpr Millis kGrace = Millis(8'000);
constexpr int kOrderWorkMs = 450;

struct StopBench : SmallSystem {
  StopBench() { REQUIRE(Start(Millis(500))); }

  int RunsOf(const std::string& id) {
    return engine_.RunsOf(id) + app_.RunsOf(id);
  }

  // Checks what a caller saw of a request that it sent later than the accept
  // window.
  void CheckAnswered(const CallerRequest& request, const CallerAnswer& answer) {
    CAPTURE(request.id_);
    CAPTURE(answer.status_);
    CAPTURE((answer.ended_at_ - answer.sent_at_).count());
    if (RunsOf(request.id_) > 0) {
      CHECK(answer.is_whole_);
      CHECK(answer.status_ != 503);
    }
  }

  // The same of all callers, of which some must have sent a request.
  void CheckAllAnswered(const std::vector<CallerRequest>& requests,
                        const std::vector<CallerAnswer>& answers) {
    int sent = 0;
    for (size_t i = 0; i < requests.size(); ++i) {
      sent += answers[i].is_sent_ ? 1 : 0;
      CheckAnswered(requests[i], answers[i]);
    }
    CHECK(sent > 0);
  }

  // Waits for the end of the gateway, which has been signalled, and of the
  // callers.
  void AwaitEnd(std::vector<std::thread>* clients) {
    CHECK(gateway_.AwaitEnd(kGrace));
    for (std::thread& client : *clients) {
      client.join();
    }
  }
};

// An order that followed a stream on its connection was passed on, ran, and was
// cut off when the process ended.
TEST_CASE(
    "gateway stop: the next request on a kept connection is not cut off") {
  constexpr int kClients = 12;
  StopBench bench;
  std::vector<CallerRequest> requests(kClients);
  std::vector<CallerAnswer> answers(kClients);
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    const std::string number = std::to_string(i);
    const bool sends_order = i % 2 == 0;
    requests[i] = sends_order ? MakeOrder("next" + number, kOrderWorkMs)
                              : MakeStream("next" + number, 97);
    clients.emplace_back([&, i, sends_order] {
      const auto wire = Wire::Open(bench.gateway_.address());
      const CallerAnswer first =
          Exchange(*wire, MakeStream("first" + std::to_string(i),
                                     sends_order ? 97 + i % 6 : 54));
      if (first.is_whole_ && !first.closes_) {
        SleepFor(Millis(i % 3));
        answers[i] = Exchange(*wire, requests[i]);
      }
    });
    SleepFor(Millis(15));
  }
  bench.gateway_.Signal(SIGTERM);
  bench.AwaitEnd(&clients);
  bench.CheckAllAnswered(requests, answers);
}

// Orders whose upload ended late in the grace time ran and were cut off, or got
// no answer.
TEST_CASE("gateway stop: an upload that ends late is answered") {
  constexpr int kUploads = 24;
  constexpr Millis kFirst = Millis(6'000);
  constexpr Millis kLast = Millis(7'400);
  StopBench bench;
  std::vector<CallerRequest> requests(kUploads);
  std::vector<CallerAnswer> answers(kUploads);
  std::vector<std::thread> clients;
  const Millis stop_at = SteadyNow() + Millis(300);
  for (int i = 0; i < kUploads; ++i) {
    requests[i] = MakeOrder("upload" + std::to_string(i), kOrderWorkMs);
    clients.emplace_back([&, i] {
      const auto wire = Wire::Open(bench.gateway_.address());
      const std::string all = requests[i].Head() + requests[i].body_;
      const size_t step = all.size() / 10;
      wire->Write(all.substr(0, step));
      const Millis end =
          stop_at + kFirst + (kLast - kFirst) * i / (kUploads - 1);
      const Millis pause = (end - SteadyNow()) / 10;
      size_t at = step;
      for (; at + step < all.size(); at += step) {
        SleepFor(pause);
        wire->Write(all.substr(at, step));
      }
      SleepFor(end - SteadyNow());
      const Millis began = SteadyNow();
      if (wire->Write(all.substr(at))) {
        answers[i] = ReadAnswer(*wire, requests[i], began);
      }
    });
  }
  SleepFor(stop_at - SteadyNow());
  bench.gateway_.Signal(SIGTERM);
  bench.AwaitEnd(&clients);
  int served = 0;
  for (int i = 0; i < kUploads; ++i) {
    bench.CheckAnswered(requests[i], answers[i]);
    CAPTURE(i);
    CHECK(answers[i].is_whole_);
    served += answers[i].status_ == 200 ? 1 : 0;
  }
  CHECK(served > 0);
}

// Requests that waited for an engine were dropped without an answer when the
// process ended.
TEST_CASE("gateway stop: requests that are held get an answer") {
  constexpr int kHeld = 6;
  StopBench bench;
  const auto make_plan = [](const std::string& id) {
    CallerRequest plan;
    plan.path_ = "/resume/1";
    plan.id_ = id;
    plan.patience_ = Millis(8'000);
    plan.headers_ =
        "X-Work-Ms: 20000\r\n"
        "X-Bergamotscale-Token-Counts: 17020,120\r\n"
        "X-Bergamotscale-Prefix-Hash: 5c1e07a2:13300," +
        id + ":3720\r\n";
    plan.body_ = std::string(17'000, 'p');
    return plan;
  };
  std::vector<CallerRequest> requests;
  std::vector<CallerAnswer> answers(kHeld + 1);
  std::vector<std::thread> clients;
  for (int i = 0; i <= kHeld; ++i) {
    requests.push_back(make_plan("plan" + std::to_string(i)));
  }
  const auto send = [&](int i) {
    clients.emplace_back([&, i] {
      const auto wire = Wire::Open(bench.gateway_.address());
      if (wire != nullptr) {
        answers[i] = Exchange(*wire, requests[i]);
      }
    });
    SleepFor(Millis(100));
  };
  // The engine has a prompt to read, so the gateway holds the others.
  send(0);
  bench.gateway_.Signal(SIGTERM);
  for (int i = 1; i <= kHeld; ++i) {
    send(i);
  }
  bench.AwaitEnd(&clients);
  int held = 0;
  for (int i = 0; i <= kHeld; ++i) {
    CAPTURE(i);
    CHECK(answers[i].is_whole_);
    if (bench.RunsOf(requests[i].id_) == 0) {
      ++held;
      CHECK(answers[i].status_ == 503);
      CHECK(HeaderOf(answers[i].head_, "Retry-After") != "");
    }
  }
  CHECK(held > 0);
}

// A stream was broken off because its upstream paused, late in a stop, when no
// other one could have ended it in time.
TEST_CASE("gateway stop: a stream whose upstream pauses ends whole") {
  constexpr int kStreams = 6;
  constexpr int kEvents = 78;
  StopBench bench;
  ServerStandIn other(bench.store_, "i-3", "llm", LoopbackIp(5));
  SleepFor(Millis(1'000));
  bench.gateway_.Signal(SIGTERM);
  SleepFor(Millis(600));
  std::vector<CallerRequest> requests(kStreams);
  std::vector<CallerAnswer> answers(kStreams);
  std::vector<std::thread> clients;
  for (int i = 0; i < kStreams; ++i) {
    CallerRequest& request = requests[i];
    request.path_ = "/resume/1";
    request.id_ = "pausing" + std::to_string(i);
    request.patience_ = Millis(8'000);
    // Pauses from 3.8 s to 5.6 s after the signal, and ends at 6 s.
    request.headers_ = "X-Events: " + std::to_string(kEvents) +
                       "\r\nX-Pace-Ms: 46\r\nX-Pause-At: 70\r\n"
                       "X-Pause-Ms: 1800\r\n";
    clients.emplace_back([&, i] {
      const auto wire = Wire::Open(bench.gateway_.address());
      answers[i] = Exchange(*wire, requests[i]);
    });
  }
  bench.AwaitEnd(&clients);
  for (int i = 0; i < kStreams; ++i) {
    CAPTURE(i);
    CHECK(answers[i].status_ == 200);
    CHECK(answers[i].is_whole_);
    const std::string last = "id: " + std::to_string(kEvents) + "\n";
    CHECK(answers[i].body_.find(last) != std::string::npos);
  }
}

// A stream was passed on late in a stop, because those before it had been
// short, and was cut off when the process ended.
TEST_CASE("gateway stop: a stream longer than those before is not cut off") {
  constexpr int kShort = 130;
  constexpr int kClients = 12;
  StopBench bench;
  std::vector<std::thread> clients;
  clients.reserve(kClients);
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      const auto wire = Wire::Open(bench.gateway_.address());
      for (int k = i; k < kShort; k += kClients) {
        Exchange(*wire, MakeStream("short" + std::to_string(k), 4));
      }
    });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  clients.clear();
  std::vector<CallerRequest> requests(kClients);
  std::vector<CallerAnswer> answers(kClients);
  for (int i = 0; i < kClients; ++i) {
    const std::string number = std::to_string(i);
    requests[i] = MakeStream("long" + number, 70);
    clients.emplace_back([&, i, number] {
      const auto wire = Wire::Open(bench.gateway_.address());
      const CallerAnswer first =
          Exchange(*wire, MakeStream("first" + number, 46 + i));
      if (first.is_whole_ && !first.closes_) {
        answers[i] = Exchange(*wire, requests[i]);
      }
    });
  }
  SleepFor(Millis(200));
  bench.gateway_.Signal(SIGTERM);
  bench.AwaitEnd(&clients);
  bench.CheckAllAnswered(requests, answers);
}

}  // namespace
}  // namespace bergamotscale::tests
