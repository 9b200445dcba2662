// Streams that are taken up after all gateways were killed and all servers
// replaced by ones of another version, where the store took no records while
// the streams began. unnamed_version RECORD: exits with 1 if rule ORDER was
// broken, 0 if it held, 2 if the case couldn't run. With TROUBLE=0 the store
// takes records all the while.
#include <csignal>

#include <set>
#include <sstream>

#include "review/second/case_support.h"

namespace bergamotscale::review {
namespace {

constexpr int kGateways = 2;
constexpr int kServers = 3;
constexpr int kStreams = 24;
constexpr int kEvents = 40;
constexpr int kPaceMs = 50;
constexpr Millis kSettleTime = Millis(1'500);
// Streams run for this long before the kill.
constexpr Millis kRunTime = Millis(800);
// More than two streams break the rule.
constexpr int kAllowed = 2;

struct Stream {
  std::string id_;
  std::string events_;
  int second_status_ = 0;

  std::set<std::string> Versions() const {
    std::set<std::string> versions;
    std::istringstream lines(events_);
    for (std::string line; std::getline(lines, line);) {
      if (line.rfind("data: ", 0) == 0) {
        versions.insert(line.substr(6));
      }
    }
    return versions;
  }
  std::string LastId() const {
    const size_t at = events_.rfind("id: ");
    return at == std::string::npos
               ? ""
               : events_.substr(at + 4, events_.find('\n', at) - at - 4);
  }
};

tests::CallerRequest MakeRequest(const std::string& id) {
  tests::CallerRequest request;
  request.path_ = "/resume/1";
  request.id_ = id;
  request.patience_ = Millis(8'000);
  request.headers_ =
      "X-Names-Version: 1\r\nX-Events: " + std::to_string(kEvents) +
      "\r\nX-Pace-Ms: " + std::to_string(kPaceMs) + "\r\n";
  return request;
}

// Only whole events count.
void KeepWholeEvents(std::string* events) {
  const size_t end = events->rfind("\n\n");
  events->resize(end == std::string::npos ? 0 : end + 2);
}

int RunCase(const std::string& file) {
  CaseRecord record(file);
  tests::ScratchFolder folder;
  tests::StoreStandIn store(tests::LoopbackIp(1));
  store.Put("keyed.op", "config", tests::MakeConfig(1));
  std::vector<std::unique_ptr<tests::ServerStandIn>> servers;
  const auto add_server = [&](const std::string& version) {
    const int number = static_cast<int>(servers.size());
    servers.push_back(std::make_unique<tests::ServerStandIn>(
        store, "i-" + std::to_string(number), "llm",
        tests::LoopbackIp(100 + number)));
    servers.back()->SetVersion(version);
    servers.back()->Restart();
  };
  for (int i = 0; i < kServers; ++i) {
    add_server("v1");
  }
  const std::string seeds = "[\"" + tests::LoopbackIp(10) + ":8229\",\"" +
                            tests::LoopbackIp(11) + ":8229\"]";
  std::vector<std::unique_ptr<tests::GatewayProcess>> gateways;
  for (int i = 0; i < kGateways; ++i) {
    gateways.push_back(std::make_unique<tests::GatewayProcess>(
        folder.File(""), tests::LoopbackIp(10 + i), store.address(),
        tests::TemplateFields{{"seeds", seeds}}));
  }
  const auto start_all = [&] {
    for (const auto& gateway : gateways) {
      gateway->Start();
    }
    bool is_ready = true;
    for (const auto& gateway : gateways) {
      is_ready = gateway->AwaitReady(Millis(10'000)) && is_ready;
    }
    return is_ready;
  };

  if (HasTrouble()) {
    store.SetAppends(false);
    record.Add("the store takes no records (503) and serves all reads");
  }
  if (!start_all()) {
    return kCouldNotRun;
  }
  SleepFor(kSettleTime);

  std::vector<Stream> streams(kStreams);
  std::vector<std::thread> callers;
  for (int i = 0; i < kStreams; ++i) {
    Stream& stream = streams[static_cast<size_t>(i)];
    stream.id_ = "s" + std::to_string(i);
    callers.emplace_back([&, i] {
      const auto wire = Wire::Open(gateways[i % kGateways]->address());
      if (wire != nullptr) {
        stream.events_ = tests::Exchange(*wire, MakeRequest(stream.id_)).body_;
        KeepWholeEvents(&stream.events_);
      }
    });
  }
  SleepFor(kRunTime);
  record.Add("all gateways are killed");
  for (const auto& gateway : gateways) {
    gateway->Signal(SIGKILL);
  }
  for (const auto& gateway : gateways) {
    gateway->AwaitEnd(Millis(5'000));
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  callers.clear();
  record.Add("all servers of v1 leave, as many of v2 come");
  for (int i = 0; i < kServers; ++i) {
    servers[static_cast<size_t>(i)]->Leave();
  }
  for (int i = 0; i < kServers; ++i) {
    add_server("v2");
  }
  if (!start_all()) {
    return kCouldNotRun;
  }
  SleepFor(kSettleTime);
  store.SetAppends(true);
  record.Add("the gateways are back; the store takes records");
  SleepFor(kSettleTime);

  int begun = 0;
  for (int i = 0; i < kStreams; ++i) {
    Stream& stream = streams[static_cast<size_t>(i)];
    begun += stream.events_.empty() ? 0 : 1;
    callers.emplace_back([&, i] {
      tests::CallerRequest request = MakeRequest("t" + std::to_string(i));
      request.headers_ += "Last-Event-Id: " + stream.LastId() +
                          "\r\nResumes: " + stream.id_ + "\r\n";
      const auto wire = Wire::Open(gateways[(i + 1) % kGateways]->address());
      if (wire == nullptr) {
        return;
      }
      const tests::CallerAnswer answer = tests::Exchange(*wire, request);
      stream.second_status_ = answer.status_;
      if (answer.status_ == 200) {
        stream.events_ += answer.body_;
        KeepWholeEvents(&stream.events_);
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  int joined = 0;
  int refused = 0;
  for (const Stream& stream : streams) {
    std::string versions;
    for (const std::string& version : stream.Versions()) {
      versions += " " + version;
    }
    joined += stream.Versions().size() > 1 ? 1 : 0;
    refused += stream.second_status_ == 503 ? 1 : 0;
    record.Add("stream " + stream.id_ + ": taken up with status " +
               std::to_string(stream.second_status_) + ", versions" + versions);
  }
  record.Add("streams: " + std::to_string(begun) + " begun, " +
             std::to_string(refused) + " refused when taken up, " +
             std::to_string(joined) + " joined from two versions");
  if (begun < kStreams) {
    return kCouldNotRun;
  }
  return joined > kAllowed ? kBroken : kHeld;
}

}  // namespace
}  // namespace bergamotscale::review

int main(int argc, char** argv) {
  return argc == 2 ? bergamotscale::review::RunCase(argv[1])
                   : bergamotscale::review::kCouldNotRun;
}
