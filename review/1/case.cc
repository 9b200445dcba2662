// Streams that began before SIGTERM end within the grace, and their clients
// send their next requests on the same connections. Judged: LOST.
#include <signal.h>

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "review/standins/harness.h"

namespace {

using review::Answer;
using review::Call;
using review::Connection;
using review::Request;
using review::Run;

constexpr char kConfig[] =
    R"({"version":7,"routes":[
{"name":"advice","host":"h.example","path_prefix":"/advice/",
 "kind":"streaming","timeout_ms":10000,"target_latency_ms":250,"priority":0,
 "service":"llm","max_attempts":1,"public":false,"sticky":true,
 "resumable":false,"gap_aim_ms":150},
{"name":"booking","host":"h.example","path_prefix":"/booking/",
 "kind":"unsafe","timeout_ms":1500,"target_latency_ms":300,"priority":2,
 "service":"app","max_attempts":1,"public":false}],
"services":[
{"name":"llm","health_path":"/health","max_conns":620,"protocol":"h1",
 "tls":false,"engine":{"slots":128,"kv_capacity":1256852}},
{"name":"app","health_path":"/health","max_conns":100,"protocol":"h1",
 "tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
 "header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"t1","api_keys":["key1"],"priority":1}]})";

constexpr int64_t kGraceMs = 8'000;
constexpr int64_t kPaceMs = 74;  // of a stream's events, below gap_aim_ms
constexpr int64_t kOrderMs = 450;
constexpr int kClients = 12;
// Every second client sends an order after a stream of 101 to 103 events, the
// others a second stream after one of 54.
constexpr int kLongStream = 101;
constexpr int kShortStream = 54;
constexpr int kNextStream = 97;

bool SendsOrder(int number) {
  return number % 2 == 0;
}

// What one client saw.
struct Pair {
  Answer stream_;
  Answer next_;
};

Call StreamCall(const std::string& id) {
  Call call;
  call.path_ = "/advice/2f";
  call.id_ = id;
  call.deadline_ms_ = 10'000;
  call.more_headers_ =
      "X-Bergamotscale-Model: m\r\n"
      "X-Bergamotscale-Token-Counts: 1460,600\r\n"
      "X-Bergamotscale-Prefix-Hash: 5c1e07a2:210,91bd3f06:140," +
      id + ":1110\r\n";
  call.body_ = review::Filler(1'500);
  return call;
}

void RunClient(int number, const std::string& address, Pair* pair) {
  const auto connection = Connection::Open(address);
  if (connection == nullptr) {
    review::CannotRun("client can't connect");
  }
  const std::string suffix = std::to_string(number);
  pair->stream_ = review::Exchange(*connection, StreamCall("first" + suffix));
  if (!pair->stream_.whole_ || pair->stream_.closes_) {
    return;
  }
  // A client that was told nothing of a close uses its connection again.
  review::SleepFor(number % 3);
  Call next = StreamCall("next" + suffix);
  if (SendsOrder(number)) {
    next = Call();
    next.path_ = "/booking/2f";
    next.id_ = "next" + suffix;
    next.body_ = review::Filler(600);
  }
  pair->next_ = review::Exchange(*connection, next);
}

}  // namespace

int main() {
  review::Store store(review::OwnAddress(1));
  store.Put("keyed.op", "config", kConfig);
  const auto stream = [](const Request& request, Connection& connection,
                         Run* run) {
    int events = kNextStream;
    if (run->id_.compare(0, 5, "first") == 0) {
      const int number =
          static_cast<int>(std::strtol(run->id_.c_str() + 5, nullptr, 10));
      events = SendsOrder(number) ? kLongStream + number % 3 : kShortStream;
    }
    return review::StreamEvents(events, kPaceMs, request, connection, run);
  };
  const auto order = [](const Request& request, Connection& connection,
                        Run* run) {
    return review::AnswerAfter(kOrderMs, request, "booked\n", connection, run);
  };
  review::Server engine1(store, "i-1", "llm", review::OwnAddress(2), 128,
                         stream);
  review::Server engine2(store, "i-2", "llm", review::OwnAddress(3), 128,
                         stream);
  review::Server app1(store, "i-3", "app", review::OwnAddress(4), 6, order);
  review::Server app2(store, "i-4", "app", review::OwnAddress(5), 6, order);
  review::Server app3(store, "i-5", "app", review::OwnAddress(6), 6, order);
  review::Gateway gateway(review::OwnAddress(7), store.address());
  gateway.Start();
  if (!gateway.AwaitReady(10'000)) {
    review::CannotRun("the gateway was not ready");
  }
  review::SleepFor(500);

  std::vector<Pair> pairs(kClients);
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back(RunClient, i, gateway.address(), &pairs[i]);
    review::SleepFor(15);
  }
  int64_t stopped_at = -1;
  if (review::WithTrouble()) {
    // The streams have begun.
    stopped_at = review::NowMs();
    review::Record("platform sends SIGTERM");
    gateway.Signal(SIGTERM);
    gateway.AwaitEnd(kGraceMs);
  }
  for (std::thread& client : clients) {
    client.join();
  }
  review::SleepFor(kOrderMs + 200);  // the servers' own records

  // LOST: sent in the time of the planned stop, passed on, and its connection
  // ended without a complete answer. Requests of the first 3 s, or at their
  // deadline or their route's timeout, don't count.
  int answered = 0;
  int lost = 0;
  for (review::Server* server : {&engine1, &engine2, &app1, &app2, &app3}) {
    for (const Run& run : server->Runs()) {
      for (int i = 0; i < kClients; ++i) {
        const Answer& next = pairs[i].next_;
        if (run.id_ != "next" + std::to_string(i) || run.began_ < 0) {
          continue;
        }
        if (next.whole_) {
          ++answered;
          continue;
        }
        const int64_t timeout = SendsOrder(i) ? 1'500 : 10'000;
        const bool excused = stopped_at < 0 ||
                             next.sent_at_ <= stopped_at + 3'000 ||
                             next.ended_at_ - next.sent_at_ >= timeout;
        lost += excused ? 0 : 1;
        review::Record(
            run.id_ + (SendsOrder(i) ? " (order)" : " (stream)") +
            " was sent " + std::to_string(next.sent_at_ - stopped_at) +
            " ms after SIGTERM, ran from " + std::to_string(run.began_) +
            " to " + std::to_string(run.ended_) +
            " ms, and its client was cut off at " +
            std::to_string(next.ended_at_) + " ms" +
            (excused ? " (excused)" : ""));
      }
    }
  }
  int whole_streams = 0;
  for (const Pair& pair : pairs) {
    whole_streams += pair.stream_.whole_ ? 1 : 0;
  }
  review::Record(std::to_string(whole_streams) + " first streams whole, " +
                 std::to_string(answered) +
                 " next requests ran and were answered, " +
                 std::to_string(lost) + " ran and were lost");
  if (whole_streams == 0) {
    review::CannotRun("no stream was whole");
  }
  review::Finish(lost > 0);
}
