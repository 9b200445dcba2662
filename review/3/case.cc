// A heartbeat whose answer was lost is written late, behind the report that the
// server drains. Judged: DRAIN.
#include <atomic>
#include <map>
#include <mutex>
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
{"name":"booking","host":"h.example","path_prefix":"/booking/",
 "kind":"unsafe","timeout_ms":1500,"target_latency_ms":300,"priority":2,
 "service":"app","max_attempts":1,"public":false}],
"services":[{"name":"app","health_path":"/health","max_conns":100,
 "protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
 "header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"t1","api_keys":["key1"],"priority":1}]})";

constexpr int64_t kDrainMs = 2'000;
// From the lost answer to the acknowledgement of the drain: longer than
// stability_window_ms, so the store counts as stable.
constexpr int64_t kStableMs = 3'100;
// The platform's largest delay of a late write.
constexpr int64_t kMaxLateMs = 6'000;
// The server exits so long after its report that it drains.
constexpr int64_t kExitMs = 3'000;
constexpr int64_t kOrderMs = 450;
constexpr int kClients = 9;

std::atomic<bool> stopping{false};
std::atomic<bool> has_exited{false};
std::mutex orders_mutex;
std::map<std::string, Answer> orders;

void RunClient(int number, const std::string& address) {
  std::unique_ptr<Connection> connection;
  for (int i = 0; !stopping; ++i) {
    if (connection == nullptr) {
      connection = Connection::Open(address);
      if (connection == nullptr) {
        review::CannotRun("client can't connect");
      }
    }
    Call order;
    order.path_ = "/booking/2f";
    order.id_ = "c" + std::to_string(number) + "n" + std::to_string(i);
    order.body_ = review::Filler(600);
    const Answer answer = review::Exchange(*connection, order);
    {
      const std::lock_guard<std::mutex> lock(orders_mutex);
      orders[order.id_] = answer;
    }
    if (!answer.whole_ || answer.closes_) {
      connection.reset();
    }
    review::SleepFor(20);
  }
}

// @return when the server has written its next heartbeat.
int64_t AwaitHeartbeat(const review::Server& server) {
  const int64_t seq = server.seq();
  while (server.seq() == seq) {
    review::SleepFor(2);
  }
  return review::NowMs();
}

}  // namespace

int main() {
  review::Store store(review::OwnAddress(1));
  store.Put("keyed.op", "config", kConfig);
  const auto serve = [](const Request& request, Connection& connection,
                        Run* run) {
    return review::AnswerAfter(kOrderMs, request, "booked\n", connection, run);
  };
  // Ends with its work when it exits.
  const auto serve_until_exit = [](const Request& request,
                                   Connection& connection, Run* run) {
    if (has_exited) {
      return false;
    }
    run->began_ = review::NowMs();
    while (review::NowMs() < run->began_ + kOrderMs) {
      review::SleepFor(5);
      if (has_exited) {
        run->ended_ = review::NowMs();
        return false;
      }
    }
    return review::AnswerAfter(0, request, "booked\n", connection, run);
  };
  review::Server app1(store, "i-1", "app", review::OwnAddress(2), 6, serve);
  review::Server app2(store, "i-2", "app", review::OwnAddress(3), 6, serve);
  review::Server leaving(store, "i-3", "app", review::OwnAddress(4), 6,
                         serve_until_exit);
  review::Gateway gateway(review::OwnAddress(7), store.address());
  gateway.Start();
  if (!gateway.AwaitReady(10'000)) {
    review::CannotRun("the gateway was not ready");
  }
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back(RunClient, i, gateway.address());
  }
  review::SleepFor(1'000);

  // A heartbeat is sent, and gets no answer.
  const int64_t lost_at = AwaitHeartbeat(leaving);
  const std::string lost_entry = leaving.NextEntry();
  if (review::WithTrouble()) {
    review::Record("a heartbeat of i-3 gets no answer: " + lost_entry);
  }
  review::SleepUntil(lost_at + kStableMs);
  leaving.SetDraining();
  leaving.Heartbeat();
  const int64_t acknowledged = review::NowMs();
  review::Record("i-3 reports that it drains, acknowledged");
  // It goes on to report so with its further heartbeats.
  while (review::NowMs() < lost_at + 4'000) {
    AwaitHeartbeat(leaving);
  }
  review::SleepFor(20);
  const int64_t late_by = review::NowMs() - lost_at;
  if (late_by > kMaxLateMs) {
    review::CannotRun("the late write would be too late");
  }
  if (review::WithTrouble()) {
    store.Put("keyed.servers", "i-3", lost_entry);
    review::Record(
        "the store carries out the heartbeat that it did not answer, " +
        std::to_string(late_by) + " ms late");
  }
  review::SleepUntil(acknowledged + kExitMs);
  has_exited = true;
  leaving.Leave();
  review::Record("i-3 has exited");
  review::SleepFor(1'500);
  stopping = true;
  for (std::thread& client : clients) {
    client.join();
  }

  // DRAIN: a request reaches a server later than drain_ms after the
  // acknowledgement.
  int before = 0;
  int late = 0;
  int cut = 0;
  for (const Run& run : leaving.Runs()) {
    if (run.began_ < 0) {
      continue;
    }
    const int64_t since = run.began_ - acknowledged;
    before += since < 0 ? 1 : 0;
    if (since > kDrainMs) {
      ++late;
      const Answer& answer = orders[run.id_];
      const bool is_lost = answer.status_ != 200 || !answer.whole_;
      cut += is_lost ? 1 : 0;
      review::Record("order " + run.id_ + " reached i-3 " +
                     std::to_string(since) + " ms after its drain; " +
                     (is_lost ? "it was cut off, the client saw status " +
                                    std::to_string(answer.status_)
                              : "it was answered"));
    }
  }
  review::Record(std::to_string(before) + " orders at i-3 before its drain, " +
                 std::to_string(late) + " later than drain_ms after it, " +
                 std::to_string(cut) + " of these cut off by its exit");
  if (before == 0) {
    review::CannotRun("the leaving server got no order before");
  }
  review::Finish(late > 0);
}
