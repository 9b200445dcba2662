// A resumable stream whose engine pauses, while the other engines are full.
// stalled_stream RECORD: exits with 1 if rule LOST was broken, 0 if it held, 2
// if the case couldn't run. TROUBLE=0 leaves out the pause.
#include <csignal>

#include <algorithm>

#include "review/second/case_support.h"

namespace bergamotscale::review {
namespace {

constexpr int kGateways = 2;
constexpr int kFullEngines = 2;
constexpr int kSlots = 16;
constexpr int kQueue = 2;
constexpr int kOffers = 12;
constexpr int kOfferEvents = 24;
constexpr int kSummaryEvents = 95;
constexpr Millis kPace = Millis(70);
constexpr Millis kPause = Millis(3'100);
constexpr Millis kStability = Millis(3'000);
// More than three of them break the rule.
constexpr int kAllowed = 3;

// Routes like route-offer and dispute-summary in the sheet of rafiq-ride-grown.
constexpr char kConfig[] =
    R"({"version":1,"routes":[)"
    R"({"name":"offer","host":"h.example","path_prefix":"/offer/",)"
    R"("kind":"streaming","timeout_ms":5000,"target_latency_ms":600,)"
    R"("priority":1,"service":"llm","max_attempts":2,"public":false,)"
    R"("sticky":true,"resumable":true,"gap_aim_ms":400},)"
    R"({"name":"summary","host":"h.example","path_prefix":"/summary/",)"
    R"("kind":"streaming","timeout_ms":10000,"target_latency_ms":1500,)"
    R"("priority":2,"service":"llm","max_attempts":1,"public":false,)"
    R"("sticky":true,"resumable":false,"gap_aim_ms":1000},)"
    R"({"name":"read","host":"h.example","path_prefix":"/read/",)"
    R"("kind":"safe","timeout_ms":2500,"target_latency_ms":150,)"
    R"("priority":2,"service":"app","max_attempts":2,"public":false}],)"
    R"("services":[{"name":"llm","max_conns":620,)"
    R"("engine":{"slots":16,"kv_capacity":1150253}},)"
    R"({"name":"app","max_conns":100}],)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
    R"("tenants":[{"name":"t1","api_keys":["key1"],"priority":1}]})";

tests::CallerRequest MakeStream(const std::string& route,
                                const std::string& id,
                                int events,
                                Millis patience) {
  tests::CallerRequest request;
  request.path_ = "/" + route + "/1";
  request.id_ = id;
  request.patience_ = patience;
  request.headers_ = "X-Events: " + std::to_string(events) +
                     "\r\nX-Bergamotscale-Token-Counts: 9190,200\r\n"
                     "X-Bergamotscale-Prefix-Hash: " +
                     id + "a:6300," + id + "b:2890\r\n";
  request.body_ = std::string(1'500, 's');
  return request;
}

struct Client {
  std::string id_;
  bool is_kept_ = false;  // the connection had carried a request
  StreamSeen seen_;
};

void RunClient(const std::string& gateway,
               const std::string& route,
               int events,
               Millis patience,
               CaseRecord& record,
               Client* client) {
  const auto wire = Wire::Open(gateway);
  if (wire == nullptr) {
    return;
  }
  tests::CallerRequest read;
  read.method_ = "GET";
  read.path_ = "/read/1";
  read.id_ = client->id_ + "-read";
  client->is_kept_ = tests::Exchange(*wire, read).status_ == 200;
  SleepFor(Millis(300));
  const tests::CallerAnswer answer =
      tests::Exchange(*wire, MakeStream(route, client->id_, events, patience));
  client->seen_.status_ = answer.status_;
  client->seen_.is_whole_ = answer.is_whole_;
  client->seen_.sent_at_ = answer.sent_at_;
  client->seen_.ended_at_ = answer.ended_at_;
  CountEvents(answer.body_, &client->seen_);
  record.Add("client " + client->id_ + ": " + client->seen_.Text());
}

int RunCase(const std::string& file) {
  CaseRecord record(file);
  tests::ScratchFolder folder;
  tests::StoreStandIn store(tests::LoopbackIp(1));
  store.Put("keyed.op", "config", kConfig);
  std::vector<std::unique_ptr<Engine>> engines;
  const auto add_engine = [&] {
    EngineOptions options;
    const int number = static_cast<int>(engines.size()) + 1;
    options.id_ = "i-engine" + std::to_string(number);
    options.ip_ = tests::LoopbackIp(9 + number);
    options.slots_ = kSlots;
    options.queue_ = kQueue;
    options.pace_ = kPace;
    engines.push_back(std::make_unique<Engine>(store, record, options));
  };
  for (int i = 0; i < kFullEngines; ++i) {
    add_engine();
  }
  tests::ServerStandIn app(store, "i-app", "app", tests::LoopbackIp(20));
  const std::string seeds = "[\"" + tests::LoopbackIp(4) + ":8229\",\"" +
                            tests::LoopbackIp(5) + ":8229\"]";
  std::vector<std::unique_ptr<tests::GatewayProcess>> gateways;
  for (int i = 0; i < kGateways; ++i) {
    gateways.push_back(std::make_unique<tests::GatewayProcess>(
        folder.File(""), tests::LoopbackIp(4 + i), store.address(),
        tests::TemplateFields{{"seeds", seeds}}));
    gateways.back()->Start();
  }
  for (const auto& gateway : gateways) {
    if (!gateway->AwaitReady(Millis(10'000))) {
      record.Add("a gateway is not ready");
      return kCouldNotRun;
    }
  }
  SleepFor(kStability + Millis(500));
  std::vector<Client> summaries(kFullEngines * (kSlots + kQueue));
  std::vector<Client> offers(kOffers);
  std::vector<std::thread> threads;
  for (size_t i = 0; i < summaries.size(); ++i) {
    summaries[i].id_ = "summary" + std::to_string(i + 1);
    threads.emplace_back([&, i] {
      RunClient(gateways[i % kGateways]->address(), "summary", kSummaryEvents,
                Millis(10'000), record, &summaries[i]);
    });
    SleepFor(Millis(5));
  }
  SleepFor(Millis(500));
  record.Add("an engine is added");
  add_engine();
  SleepFor(Millis(1'000));
  for (const auto& gateway : gateways) {
    gateway->Signal(SIGHUP);
  }
  record.Add("SIGHUP to the gateways, with the same settings");
  for (size_t i = 0; i < offers.size(); ++i) {
    offers[i].id_ = "offer" + std::to_string(i + 1);
    threads.emplace_back([&, i] {
      RunClient(gateways[i % kGateways]->address(), "offer", kOfferEvents,
                Millis(5'000), record, &offers[i]);
    });
    SleepFor(Millis(5));
  }
  SleepFor(Millis(700));
  for (const auto& engine : engines) {
    record.Add("an engine holds " + std::to_string(engine->active()) +
               " requests, of which " + std::to_string(engine->running()) +
               " run");
  }
  if (HasTrouble()) {
    engines.back()->Pause(kPause);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }

  int broken = 0;
  int refused = 0;
  int wrong = 0;
  for (const Client& client : offers) {
    const bool is_broken = client.seen_.events_ > 0 && !client.seen_.is_whole_;
    broken += is_broken && client.is_kept_ ? 1 : 0;
    refused += client.seen_.status_ != 200 ? 1 : 0;
    wrong += client.seen_.in_order_ ? 0 : 1;
  }
  if (const char* keep = std::getenv("KEEP_LOG")) {
    std::ofstream out(keep);
    for (const auto& gateway : gateways) {
      out << std::ifstream(gateway->log_file()).rdbuf();
    }
  }
  record.Add("streams broken off on kept connections: " +
             std::to_string(broken) + ", refused: " + std::to_string(refused) +
             ", not in order: " + std::to_string(wrong));
  if (refused > static_cast<int>(offers.size()) / 2) {
    return kCouldNotRun;
  }
  return broken > kAllowed ? kBroken : kHeld;
}

}  // namespace
}  // namespace bergamotscale::review

int main(int argc, char** argv) {
  return argc == 2 ? bergamotscale::review::RunCase(argv[1])
                   : bergamotscale::review::kCouldNotRun;
}
