// Streams whose engine crashes while large requests fill the gateway's memory.
// lost_body RECORD: exits with 1 if rule UNASKED was broken, 0 if it held, 2 if
// the case couldn't run. TROUBLE=0 leaves out the crash.
#include <csignal>

#include "review/second/case_support.h"

namespace bergamotscale::review {
namespace {

// One crashes: 0.17 of them, as in the list of disruptions of the site.
constexpr int kEngines = 6;
constexpr int kStreams = 6;
constexpr int kEvents = 60;
constexpr Millis kPace = Millis(70);
// The limit of the configuration, and a little less.
constexpr size_t kMaxBody = 4'194'304;
constexpr size_t kStreamBody = kMaxBody;
constexpr size_t kUploadBody = 4'000'000;
// Uploads before the crash and right after it.
constexpr int kUploadsBefore = 18;
constexpr int kUploadsAfter = 10;
constexpr int kUploadWorkMs = 2'000;

constexpr char kConfig[] =
    R"({"version":1,"routes":[)"
    R"({"name":"caption","host":"h.example","path_prefix":"/caption/",)"
    R"("kind":"streaming","timeout_ms":8000,"target_latency_ms":300,)"
    R"("priority":1,"service":"llm","max_attempts":2,"public":false,)"
    R"("sticky":true,"resumable":true,"gap_aim_ms":250},)"
    R"({"name":"read","host":"h.example","path_prefix":"/read/",)"
    R"("kind":"safe","timeout_ms":4000,"target_latency_ms":300,)"
    R"("priority":2,"service":"app","max_attempts":2,"public":false}],)"
    R"("services":[{"name":"llm","max_conns":620,)"
    R"("engine":{"slots":128,"kv_capacity":1150253}},)"
    R"({"name":"app","max_conns":100}],)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
    R"("tenants":[{"name":"t1","api_keys":["key1"],"priority":1}]})";

std::string MakeBody(const std::string& id, size_t size) {
  std::string body = id + " ";
  body.resize(size, static_cast<char>('a' + size % 26));
  return body;
}

tests::CallerRequest MakeStream(const std::string& id) {
  tests::CallerRequest request;
  request.path_ = "/caption/1";
  request.id_ = id;
  request.patience_ = Millis(8'000);
  request.headers_ = "X-Events: " + std::to_string(kEvents) +
                     "\r\nX-Bergamotscale-Token-Counts: 9190,300\r\n"
                     "X-Bergamotscale-Prefix-Hash: 5c1e07a2:6300," +
                     id + ":2890\r\n";
  request.body_ = MakeBody(id, kStreamBody);
  return request;
}

tests::CallerRequest MakeUpload(const std::string& id) {
  tests::CallerRequest request;
  request.path_ = "/read/1";
  request.id_ = id;
  request.patience_ = Millis(4'000);
  request.headers_ = "X-Work-Ms: " + std::to_string(kUploadWorkMs) + "\r\n";
  request.body_ = MakeBody(id, kUploadBody);
  return request;
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
    options.slots_ = 128;
    options.pace_ = kPace;
    engines.push_back(std::make_unique<Engine>(store, record, options));
  };
  for (int i = 0; i < kEngines; ++i) {
    add_engine();
  }
  tests::ServerStandIn app(store, "i-app", "app", tests::LoopbackIp(20));
  tests::GatewayProcess gateway(folder.File(""), tests::LoopbackIp(4),
                                store.address());
  gateway.Start();
  if (!gateway.AwaitReady(Millis(10'000))) {
    record.Add("the gateway is not ready");
    return kCouldNotRun;
  }
  SleepFor(Millis(1'500));

  std::vector<std::thread> threads;
  std::atomic<int> begun{0};
  const auto send = [&](const tests::CallerRequest& request) {
    threads.emplace_back([&, request] {
      const auto wire = Wire::Open(gateway.address());
      if (wire == nullptr) {
        return;
      }
      const tests::CallerAnswer answer = tests::Exchange(*wire, request);
      StreamSeen seen;
      seen.status_ = answer.status_;
      seen.is_whole_ = answer.is_whole_;
      seen.sent_at_ = answer.sent_at_;
      seen.ended_at_ = answer.ended_at_;
      CountEvents(answer.body_, &seen);
      begun += seen.events_ > 0 ? 1 : 0;
      record.Add("client " + request.id_ + " sent " +
                 std::to_string(request.body_.size()) +
                 " bytes: " + seen.Text());
    });
  };
  for (int i = 0; i < kStreams; ++i) {
    send(MakeStream("stream" + std::to_string(i + 1)));
  }
  SleepFor(Millis(1'500));
  for (int i = 0; i < kUploadsBefore; ++i) {
    send(MakeUpload("upload" + std::to_string(i + 1)));
  }
  SleepFor(Millis(1'200));
  std::vector<EngineRun> runs;
  if (HasTrouble()) {
    const auto most = std::max_element(
        engines.begin(), engines.end(), [](const auto& a, const auto& b) {
          return a->CountRuns("stream") < b->CountRuns("stream");
        });
    record.Add("an engine crashes, which runs " +
               std::to_string((*most)->CountRuns("stream")) + " streams");
    runs = (*most)->AllRuns();
    most->reset();
  }
  SleepFor(Millis(50));
  for (int i = 0; i < kUploadsAfter; ++i) {
    send(MakeUpload("upload" + std::to_string(kUploadsBefore + i + 1)));
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  if (const char* keep = std::getenv("KEEP_LOG")) {
    std::ofstream(keep) << std::ifstream(gateway.log_file()).rdbuf();
  }

  for (const auto& engine : engines) {
    if (engine != nullptr) {
      const std::vector<EngineRun> more = engine->AllRuns();
      runs.insert(runs.end(), more.begin(), more.end());
    }
  }
  int changed = 0;
  for (const EngineRun& run : runs) {
    if (run.body_ != MakeBody(run.id_, kStreamBody)) {
      ++changed;
      record.Add("the run of " + run.id_ + " from event " +
                 std::to_string(run.first_event_) + " had a body of " +
                 std::to_string(run.body_.size()) +
                 " bytes that isn't its client's");
    }
  }
  record.Add("runs: " + std::to_string(runs.size()) +
             ", with a changed body: " + std::to_string(changed));
  if (begun < kStreams) {
    record.Add("not all streams began");
    return changed > 0 ? kBroken : kCouldNotRun;
  }
  return changed > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace bergamotscale::review

int main(int argc, char** argv) {
  return argc == 2 ? bergamotscale::review::RunCase(argv[1])
                   : bergamotscale::review::kCouldNotRun;
}
