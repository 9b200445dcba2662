// A gateway that the store turned away reads the configurations that it missed
// in several parts. Judged: CONFIG (strict_revoke).
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

constexpr int kGrownRoutes = 700;  // by two changes of 350
constexpr int64_t kOutageMs = 9'000;
constexpr int64_t kRevokeMs = 5'000;
constexpr int kStormChanges = 12;
constexpr int64_t kStormGapMs = 330;
constexpr int kClients = 4;

std::string Route(const std::string& name) {
  return R"({"name":"r-)" + name + R"(","host":"h.example","path_prefix":"/)" +
         name +
         R"(/","kind":"safe","timeout_ms":1500,"target_latency_ms":300,)"
         R"("priority":2,"service":"app","max_attempts":2,"public":false,)"
         R"("sticky":false,"resumable":false})";
}

std::string Config(int version, int grown, bool with_key2) {
  std::string routes = Route("stock");
  for (int i = 0; i < grown; ++i) {
    routes += "," + Route("grown" + std::to_string(i));
  }
  return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + routes +
         R"(],"services":[{"name":"app","health_path":"/health",
"max_conns":100,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"t1","api_keys":["key1"],"priority":1},
{"name":"t2","api_keys":["key2")" +
         (with_key2 ? R"(,"key3")" : "") + "],\"priority\":1}]}";
}

std::atomic<bool> stopping{false};
std::mutex sent_mutex;
std::map<std::string, int64_t> sent_at;  // by request id

// Sends requests with the key that is taken away, one after another.
void RunClient(int number, const std::string& address) {
  std::unique_ptr<Connection> connection;
  for (int i = 0; !stopping; ++i) {
    if (connection == nullptr) {
      connection = Connection::Open(address);
      if (connection == nullptr) {
        review::SleepFor(100);
        continue;
      }
    }
    Call call;
    call.method_ = "GET";
    call.path_ = "/stock/fi50/2f";
    call.id_ = "c" + std::to_string(number) + "n" + std::to_string(i);
    call.key_ = "key3";
    const int64_t before = review::NowMs();
    const Answer answer = review::Exchange(*connection, call);
    {
      const std::lock_guard<std::mutex> lock(sent_mutex);
      sent_at[call.id_] = before;
    }
    if (!answer.whole_ || answer.closes_) {
      connection.reset();
    }
    review::SleepFor(25);
  }
}

}  // namespace

int main() {
  review::Store store(review::OwnAddress(1));
  int version = 7;
  store.Put("keyed.op", "config", Config(version, 0, true));
  const auto serve = [](const Request& request, Connection& connection,
                        Run* run) {
    return review::AnswerAfter(20, request, "in stock\n", connection, run);
  };
  review::Server app1(store, "i-1", "app", review::OwnAddress(2), 6, serve);
  review::Server app2(store, "i-2", "app", review::OwnAddress(3), 6, serve);
  review::Server app3(store, "i-3", "app", review::OwnAddress(4), 6, serve);
  review::Gateway gateway(review::OwnAddress(7), store.address());
  gateway.Start();
  if (!gateway.AwaitReady(10'000)) {
    review::CannotRun("the gateway was not ready");
  }
  for (const int routes : {kGrownRoutes / 2, kGrownRoutes}) {
    version += 2;
    const std::string config = Config(version, routes, true);
    store.Put("keyed.op", "config", config);
    review::Record("operator writes version " + std::to_string(version) + ", " +
                   std::to_string(config.size()) + " bytes");
    review::SleepFor(1'000);
  }
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back(RunClient, i, gateway.address());
  }
  review::SleepFor(500);

  const int64_t outage_at = review::NowMs();
  if (review::WithTrouble()) {
    review::Record("the store turns the gateway away");
    store.SetResetting(true);
  }
  for (int i = 0; i < kStormChanges; ++i) {
    review::SleepUntil(outage_at + 100 + i * kStormGapMs);
    version += 3;
    store.Put("keyed.op", "config", Config(version, kGrownRoutes, true));
  }
  version += 1;
  store.Put("keyed.op", "config", Config(version, kGrownRoutes, false));
  const int64_t revoked_at = review::NowMs();
  review::Record("operator's version " + std::to_string(version) +
                 " takes key3 away and is acknowledged");
  review::SleepUntil(outage_at + kOutageMs);
  store.SetResetting(false);
  review::Record("the store serves the gateway again");
  review::SleepFor(3'000);
  stopping = true;
  for (std::thread& client : clients) {
    client.join();
  }
  review::SleepFor(200);

  int before = 0;
  int late = 0;
  for (review::Server* server : {&app1, &app2, &app3}) {
    for (const Run& run : server->Runs()) {
      const int64_t since = sent_at[run.id_] - revoked_at;
      before += since < 0 ? 1 : 0;
      if (since > kRevokeMs) {
        ++late;
        review::Record(run.id_ + " with the key that was taken away was sent " +
                       std::to_string(since) +
                       " ms after the acknowledgement, and ran");
      }
    }
  }
  review::Record(std::to_string(before) + " requests with key3 ran before, " +
                 std::to_string(late) + " later than revoke_ms");
  if (before == 0) {
    review::CannotRun("no request ran with the key while it was allowed");
  }
  review::Finish(late > 0);
}
