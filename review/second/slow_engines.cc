// Engines that read their requests slowly, while clients send large ones.
// slow_engines RECORD: the platform kills a gateway that exceeds its memory.
// Exits with 1 if that happened and its clients lost their requests, 0 if not,
// 2 if the case couldn't run. With TROUBLE=0 the engines read at once.
#include <csignal>

#include <algorithm>

#include "review/second/case_support.h"

namespace bergamotscale::review {
namespace {

constexpr int kEngines = 9;
constexpr int kClients = 150;
// Time between two clients.
constexpr Millis kSpacing = Millis(50);
constexpr size_t kBody = 4'000'000;
constexpr int kEvents = 24;
constexpr int64_t kMemoryMb = 260;
// The larger reading of the limit.
constexpr int64_t kBytesPerMb = 1'048'576;
// What a slow engine reads of a request in a second.
constexpr size_t kBytesPerSecond = 500'000;

// More than three of them break the rule.
constexpr int kAllowed = 3;

constexpr char kConfig[] =
    R"({"version":1,"routes":[)"
    R"({"name":"batch","host":"h.example","path_prefix":"/batch/",)"
    R"("kind":"streaming","timeout_ms":8000,"target_latency_ms":1000,)"
    R"("priority":2,"service":"llm","max_attempts":1,"public":false,)"
    R"("sticky":true,"resumable":false,"gap_aim_ms":600},)"
    R"({"name":"read","host":"h.example","path_prefix":"/read/",)"
    R"("kind":"safe","timeout_ms":1500,"target_latency_ms":300,)"
    R"("priority":2,"service":"app","max_attempts":2,"public":false}],)"
    R"("services":[{"name":"llm","max_conns":620,)"
    R"("engine":{"slots":128,"kv_capacity":1150253}},)"
    R"({"name":"app","max_conns":100}],)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
    R"("tenants":[{"name":"t1","api_keys":["key1"],"priority":1}]})";

int RunCase(const std::string& file) {
  CaseRecord record(file);
  tests::ScratchFolder folder;
  tests::StoreStandIn store(tests::LoopbackIp(1));
  store.Put("keyed.op", "config", kConfig);
  std::vector<std::unique_ptr<Engine>> engines;
  for (int i = 0; i < kEngines; ++i) {
    EngineOptions options;
    options.id_ = "i-engine" + std::to_string(i + 1);
    options.ip_ = tests::LoopbackIp(10 + i);
    options.slots_ = 128;
    options.queue_ = 268;
    options.bytes_per_second_ = HasTrouble() ? kBytesPerSecond : 0;
    engines.push_back(std::make_unique<Engine>(store, record, options));
  }
  tests::ServerStandIn app(store, "i-app", "app", tests::LoopbackIp(30));
  tests::GatewayProcess gateway(folder.File(""), tests::LoopbackIp(4),
                                store.address());
  gateway.Start();
  if (!gateway.AwaitReady(Millis(10'000))) {
    record.Add("the gateway is not ready");
    return kCouldNotRun;
  }
  SleepFor(Millis(1'500));

  // The platform: a process that exceeds its memory is killed.
  std::atomic<bool> is_done{false};
  std::atomic<bool> was_killed{false};
  int64_t peak = 0;
  std::thread platform([&] {
    while (!is_done && !was_killed) {
      peak = std::max(peak, gateway.PeakMemory().count());
      if (peak > kMemoryMb * kBytesPerMb) {
        record.Add("the gateway holds " + std::to_string(peak / kBytesPerMb) +
                   " MB of " + std::to_string(kMemoryMb) +
                   " MB: the platform kills it");
        gateway.Signal(SIGKILL);
        was_killed = true;
      }
      SleepFor(Millis(10));
    }
  });

  std::vector<std::thread> threads;
  std::atomic<int> served{0};
  std::atomic<int> refused{0};
  std::atomic<int> lost{0};
  std::atomic<int> not_taken{0};
  for (int i = 0; i < kClients; ++i) {
    threads.emplace_back([&, i] {
      tests::CallerRequest request;
      request.path_ = "/batch/1";
      request.id_ = "batch" + std::to_string(i + 1);
      request.patience_ = Millis(8'000);
      request.headers_ = "X-Events: " + std::to_string(kEvents) +
                         "\r\nX-Bergamotscale-Token-Counts: 17020,120\r\n"
                         "X-Bergamotscale-Prefix-Hash: 5c1e07a2:13300," +
                         request.id_ + ":3720\r\n";
      request.body_ = std::string(kBody, 'b');
      const auto wire = Wire::Open(gateway.address());
      if (wire == nullptr) {
        ++not_taken;
        return;
      }
      tests::CallerRequest read;
      read.method_ = "GET";
      read.path_ = "/read/1";
      read.id_ = request.id_ + "-read";
      if (tests::Exchange(*wire, read).status_ != 200) {
        ++not_taken;
        return;
      }
      const tests::CallerAnswer answer = tests::Exchange(*wire, request);
      if (answer.is_whole_ && answer.status_ == 200) {
        ++served;
      } else if (answer.is_whole_) {
        ++refused;
      } else {
        lost += std::any_of(engines.begin(), engines.end(),
                            [&](const auto& engine) {
                              return engine->HasReceived(request.id_);
                            })
                    ? 1
                    : 0;
      }
      record.Add("client " + request.id_ + ": status " +
                 std::to_string(answer.status_) +
                 (answer.is_whole_ ? "" : ", connection ended"));
    });
    SleepFor(kSpacing);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  is_done = true;
  platform.join();
  if (const char* keep = std::getenv("KEEP_LOG")) {
    std::ofstream(keep) << std::ifstream(gateway.log_file()).rdbuf();
  }
  record.Add("peak of the gateway: " + std::to_string(peak / kBytesPerMb) +
             " of " + std::to_string(kMemoryMb) + " MB; served " +
             std::to_string(served) + ", refused " + std::to_string(refused) +
             ", passed on from kept connections and without an answer " +
             std::to_string(lost) + ", not taken " + std::to_string(not_taken));
  return was_killed && lost > kAllowed ? kBroken : kHeld;
}

}  // namespace
}  // namespace bergamotscale::review

int main(int argc, char** argv) {
  return argc == 2 ? bergamotscale::review::RunCase(argv[1])
                   : bergamotscale::review::kCouldNotRun;
}
