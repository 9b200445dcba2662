// Requests that the gateway holds for want of room at the engine are still held
// when the grace of a planned stop ends. Judged: LOST.
#include <signal.h>

#include <atomic>
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
{"name":"plan","host":"h.example","path_prefix":"/plan/",
 "kind":"streaming","timeout_ms":8000,"target_latency_ms":1000,"priority":2,
 "service":"llm","max_attempts":1,"public":false,"sticky":true,
 "resumable":false,"gap_aim_ms":600}],
"services":[
{"name":"llm","health_path":"/health","max_conns":620,"protocol":"h1",
 "tls":false,"engine":{"slots":4,"kv_capacity":1256852}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
 "header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"t1","api_keys":["key1"]}]})";

constexpr int64_t kGraceMs = 8'000;
constexpr int kSlots = 4;
constexpr int kLongEvents = 95;
constexpr int kShortEvents = 5;
constexpr int64_t kPaceMs = 85;  // of a stream's events, below gap_aim_ms
constexpr int kLater = 6;

// Places of the engine; further requests wait in its queue.
std::atomic<int> free_slots{kSlots};

bool TakeSlot(const Connection& connection, int64_t until) {
  for (;;) {
    int free = free_slots.load();
    while (free > 0) {
      if (free_slots.compare_exchange_weak(free, free - 1)) {
        return true;
      }
    }
    if (connection.PeerHasClosed() || review::NowMs() >= until) {
      return false;
    }
    review::SleepFor(5);
  }
}

Call MakeCall(const std::string& id) {
  const bool is_long = id.compare(0, 4, "long") == 0;
  Call call;
  call.path_ = is_long ? "/advice/2f" : "/plan/2f";
  call.id_ = id;
  call.deadline_ms_ = is_long ? 10'000 : 8'000;
  call.more_headers_ = "X-Bergamotscale-Model: m\r\n";
  call.more_headers_ += is_long
                            ? "X-Bergamotscale-Token-Counts: 1460,600\r\n"
                              "X-Bergamotscale-Prefix-Hash: 91bd3f06:350," +
                                  id + ":1110\r\n"
                            : "X-Bergamotscale-Token-Counts: 17020,120\r\n"
                              "X-Bergamotscale-Prefix-Hash: 5c1e07a2:13300," +
                                  id + ":3720\r\n";
  call.body_ = review::Filler(is_long ? 1'500 : 17'000);
  return call;
}

void RunClient(const std::string& id,
               const std::string& address,
               Answer* answer) {
  const auto connection = Connection::Open(address);
  if (connection != nullptr) {
    *answer = review::Exchange(*connection, MakeCall(id));
  }
}

}  // namespace

int main() {
  review::Store store(review::OwnAddress(1));
  store.Put("keyed.op", "config", kConfig);
  const auto serve = [](const Request& request, Connection& connection,
                        Run* run) {
    const int64_t patience = std::strtol(
        request.Header("X-Bergamotscale-Deadline-Ms").c_str(), nullptr, 10);
    if (!TakeSlot(connection, review::NowMs() + patience)) {
      return connection.Write(review::AnswerHead(
          request, "503 Service Unavailable",
          "X-Bergamotscale-Not-Executed: 1\r\nContent-Length: 0\r\n"));
    }
    const int events =
        run->id_.compare(0, 4, "long") == 0 ? kLongEvents : kShortEvents;
    const bool keep =
        review::StreamEvents(events, kPaceMs, request, connection, run);
    ++free_slots;
    return keep;
  };
  review::Server engine(store, "i-1", "llm", review::OwnAddress(2), kSlots,
                        serve);
  review::Gateway gateway(review::OwnAddress(7), store.address());
  gateway.Start();
  if (!gateway.AwaitReady(10'000)) {
    review::CannotRun("the gateway was not ready");
  }
  review::SleepFor(500);

  // The engine's places are taken by streams, a further request waits there.
  std::vector<Answer> earlier(kSlots + 1);
  std::vector<Answer> later(kLater);
  std::vector<std::thread> clients;
  for (int i = 0; i <= kSlots; ++i) {
    const std::string id =
        i < kSlots ? "long" + std::to_string(i) : std::string("queued");
    clients.emplace_back(RunClient, id, gateway.address(), &earlier[i]);
    review::SleepFor(60);
  }
  int64_t stopped_at = -1;
  std::thread platform;
  if (review::WithTrouble()) {
    stopped_at = review::NowMs();
    review::Record("platform sends SIGTERM");
    gateway.Signal(SIGTERM);
    platform = std::thread([&gateway] { gateway.AwaitEnd(kGraceMs); });
  }
  // In the first second the platform's balancer still sends new connections.
  for (int i = 0; i < kLater; ++i) {
    review::SleepFor(100);
    clients.emplace_back(RunClient, "later" + std::to_string(i),
                         gateway.address(), &later[i]);
  }
  for (std::thread& client : clients) {
    client.join();
  }
  if (platform.joinable()) {
    platform.join();
  }

  // LOST: a whole request was read and its connection ended without a complete
  // answer, later than 200 ms after its last byte was sent. Those that a server
  // was still at work on, or that were at their deadline, don't count.
  int lost = 0;
  int answered = 0;
  const std::vector<Run> runs = engine.Runs();
  for (int i = 0; i < kLater; ++i) {
    const std::string id = "later" + std::to_string(i);
    bool passed_on = false;
    for (const Run& run : runs) {
      passed_on = passed_on || run.id_ == id;
    }
    if (later[i].whole_) {
      ++answered;
      continue;
    }
    const int64_t took = later[i].ended_at_ - later[i].sent_at_;
    const bool excused = stopped_at < 0 || !later[i].sent_ || passed_on ||
                         took <= 200 || took >= 8'000;
    lost += excused ? 0 : 1;
    review::Record(id + " was cut off " + std::to_string(took) +
                   " ms after it was sent; " +
                   (passed_on ? "a server had it" : "no server ever got it") +
                   (excused ? " (excused)" : ""));
  }
  review::Record(std::to_string(answered) + " later requests answered, " +
                 std::to_string(lost) + " lost");
  if (earlier[0].status_ != 200) {
    review::CannotRun("the first stream was not served");
  }
  review::Finish(lost > 0);
}
