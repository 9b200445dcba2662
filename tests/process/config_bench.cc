#include "tests/process/config_bench.h"

#include <algorithm>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "bergamotscale/clock.h"
#include "src/log/log_client.h"
#include "tests/support/free_port.h"

namespace bergamotscale::tests {
namespace {

using config::PublishResult;
using config::PublishState;
using nlohmann::json;

constexpr char kAddress[] = "127.0.0.1";
constexpr char kMetric[] = "bergamot_config_revision ";
// Number of sidecars, of entries and of operators.
constexpr int kPairs = 2;
constexpr int kFewRecords = 12;
const Millis kLogTimeout(1000);
const Millis kPollTimeout(300);
// An accepted configuration must be in force in every process after this time.
const Millis kInForceLimit(9000);
constexpr std::chrono::milliseconds kPollPause(5);
constexpr std::chrono::milliseconds kBeforeFault(700);
constexpr std::chrono::milliseconds kCutPause(250);
constexpr int kMaxRoundPauseMs = 200;

Millis Now() {
  return Clock::Steady().Now();
}

json EndpointOf(uint16_t port) {
  return {{"address", kAddress}, {"port", port}};
}

std::string UrlOf(uint16_t port) {
  return "http://" + std::string(kAddress) + ":" + std::to_string(port);
}

ConfigDocument DocumentNamed(const std::string& name) {
  ConfigDocument document;
  document.groups_ = {{GroupId("engines"), GroupKind::kEngine, false}};
  document.models_ = {{ModelId(name), GroupId("engines")}};
  return document;
}

}  // namespace

// An operator who publishes from the test process.
struct ConfigBench::Operator {
  Operator(const std::string& name,
           const std::string& url,
           config::ConfigFollower::ChangeHook hook)
      : name_(name),
        client_(url, kLogTimeout),
        follower_(client_, config::ConfigFollowerOptions(), std::move(hook)),
        publisher_(client_, follower_) {
    follower_.Start();
  }
  std::string name_;
  log::LogClient client_;
  config::ConfigFollower follower_;
  config::ConfigPublisher publisher_;
};

ConfigBench::ConfigBench(uint64_t seed, std::vector<ConfigFault> faults)
    : random_(seed),
      faults_(std::move(faults)),
      guard_(boost::asio::make_work_guard(io_)),
      relay_thread_([this] { io_.run(); }) {
  AddLog();
  ports_["service"] = Add("fake_service", "service", json::object(), nullptr);
  for (int index = 1; index <= kPairs; ++index) {
    AddSidecar(index);
  }
  for (int index = 1; index <= kPairs; ++index) {
    AddEntry(index);
  }
  AddConsole();
}

ConfigBench::~ConfigBench() {
  polling_ = false;
  for (auto& [name, node] : nodes_) {
    if (node.poller_.joinable()) {
      node.poller_.join();
    }
  }
  operators_.clear();
  nodes_.clear();
  relays_.clear();
  guard_.reset();
  io_.stop();
  relay_thread_.join();
}

// @param endpoint name of the setting that receives the address and port; null
// if the setting is "port".
uint16_t ConfigBench::Add(const std::string& binary,
                          const std::string& name,
                          json settings,
                          const char* endpoint) {
  const uint16_t port = testing::FreePort();
  if (endpoint == nullptr) {
    settings["port"] = port;
  } else {
    settings[endpoint] = EndpointOf(port);
  }
  Node& node = nodes_[name];
  node.binary_ = binary;
  node.settings_ = settings.dump();
  node.url_ = UrlOf(port);
  return port;
}

void ConfigBench::AddLog() {
  json settings = {{"journal_file", folder_.File("log.journal")},
                   {"restore", true}};
  if (HasFault(ConfigFault::kRetentionLost)) {
    settings["retained_records"] = kFewRecords;
  }
  ports_["log"] = Add("fake_log", "log", settings, nullptr);
}

void ConfigBench::AddSidecar(int index) {
  const std::string name = "sidecar-" + std::to_string(index);
  ports_["link-" + name] = testing::FreePort();
  ports_[name] = Add("bergamot_sidecar", name,
                     {{"instance", name},
                      {"availability_zone", "a"},
                      {"group", "engines"},
                      {"kind", "service"},
                      {"upstream_url", UrlOf(ports_["service"])},
                      {"link", EndpointOf(ports_["link-" + name])},
                      {"log_url", UrlOf(ports_["log"])}},
                     "http");
}

void ConfigBench::AddEntry(int index) {
  const std::string name = "entry-" + std::to_string(index);
  json sidecars = json::array();
  for (int sidecar = 1; sidecar <= kPairs; ++sidecar) {
    const std::string id = "sidecar-" + std::to_string(sidecar);
    relays_.push_back(std::make_unique<testing::Relay>(
        io_, link::Endpoint{kAddress, ports_["link-" + id]}));
    sidecars.push_back({{"id", id},
                        {"group", "engines"},
                        {"availability_zone", "a"},
                        {"address", kAddress},
                        {"port", relays_.back()->endpoint().port_}});
  }
  ports_[name] = Add("bergamot_entry", name,
                     {{"instance", name},
                      {"availability_zone", "a"},
                      {"public", EndpointOf(testing::FreePort())},
                      {"log_url", UrlOf(ports_["log"])},
                      {"sidecars", sidecars}},
                     "listener");
}

void ConfigBench::AddConsole() {
  ports_["console"] = Add("bergamot_console", "console",
                          {{"log_url", UrlOf(ports_["log"])}}, nullptr);
}

bool ConfigBench::HasFault(ConfigFault fault) const {
  return std::find(faults_.begin(), faults_.end(), fault) != faults_.end();
}

void ConfigBench::StartProcess(const std::string& name) {
  Node& node = nodes_.at(name);
  node.process_.reset();
  node.process_ = std::make_unique<ChildProcess>(folder_, node.binary_, name,
                                                 node.settings_);
}

void ConfigBench::StartAndWait(const std::string& name) {
  StartProcess(name);
  WaitUntilOk(nodes_.at(name).url_ + "/healthz");
}

void ConfigBench::Signal(const std::string& name, int signal) {
  nodes_.at(name).process_->Signal(signal);
}

bool ConfigBench::Start() {
  StartAndWait("log");
  for (auto& [name, node] : nodes_) {
    if (name != "log") {
      StartProcess(name);
    }
  }
  for (auto& [name, node] : nodes_) {
    if (!WaitUntilOk(node.url_ + "/healthz")) {
      MESSAGE(name << " doesn't answer /healthz");
      return false;
    }
    if (name != "log" && name != "service") {
      history_.followers_.insert(name);
      node.poller_ =
          std::thread([this, name = name, &node = node] { Poll(name, node); });
    }
  }
  for (int index = 1; index <= kPairs; ++index) {
    const std::string name = "operator-" + std::to_string(index);
    operators_.push_back(std::make_unique<Operator>(
        name, UrlOf(ports_["log"]),
        [this, name](const config::ConfigSnapshot& snapshot) {
          const std::lock_guard<std::mutex> lock(mutex_);
          history_.in_force_.push_back(
              {name, snapshot.revision_, snapshot.text_, Now()});
          texts_.emplace(snapshot.revision_, snapshot.text_);
        }));
  }
  PublishAndWaitForAll();
  return AllHaveRevision(1);
}

int64_t ConfigBench::FetchRevision(const Node& node) {
  http::Call call;
  call.url_ = node.url_ + "/metrics";
  call.timeout_ = kPollTimeout;
  const Result<http::Reply> reply = http::CallAndWait(call);
  if (!reply.ok()) {
    return 0;
  }
  const std::string& text = reply.value().body_;
  const size_t found = text.find(kMetric);
  return found == std::string::npos
             ? 0
             : std::atoll(text.c_str() + found + sizeof(kMetric) - 1);
}

void ConfigBench::Poll(const std::string& name, Node& node) {
  while (polling_) {
    const int64_t revision = FetchRevision(node);
    if (revision > 0 && revision != node.revision_) {
      RecordRevision(name, node, revision);
    }
    std::this_thread::sleep_for(kPollPause);
  }
}

void ConfigBench::RecordRevision(const std::string& name,
                                 Node& node,
                                 int64_t revision) {
  const std::lock_guard<std::mutex> lock(mutex_);
  history_.in_force_.push_back({name, Revision(revision), "", Now()});
  node.revision_ = revision;
}

bool ConfigBench::AllHaveRevision(int64_t revision) const {
  return std::all_of(history_.followers_.begin(), history_.followers_.end(),
                     [&](const std::string& name) {
                       return nodes_.at(name).revision_ >= revision;
                     });
}

PublishResult ConfigBench::PublishOnce(Operator& author) {
  config::PublishRequest request;
  request.document_ = DocumentNamed("m" + std::to_string(++documents_));
  request.base_ = author.follower_.revision();
  request.author_ = author.name_;
  PublishResult result = author.publisher_.PublishAndWait(request);
  const std::lock_guard<std::mutex> lock(mutex_);
  history_.results_.push_back(
      {result.id_, result.state_, request.base_, result.revision_,
       SerializeConfigDocument(request.document_), Now()});
  if (result.state_ == PublishState::kAccepted) {
    newest_ = std::max<int64_t>(newest_, result.revision_.value());
  }
  return result;
}

Millis ConfigBench::PublishAndWaitForAll() {
  const Millis start = Now();
  const PublishResult result = PublishOnce(*operators_.front());
  const Millis end = Now() + kInForceLimit;
  while (!AllHaveRevision(result.revision_.value()) && Now() < end) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return Now() - start;
}

void ConfigBench::PublishRepeatedly(Operator& author, uint64_t seed) {
  std::mt19937_64 random(seed);
  while (publishing_) {
    PublishOnce(author);
    std::this_thread::sleep_for(
        std::chrono::milliseconds(random() % kMaxRoundPauseMs));
  }
}

void ConfigBench::Run(std::chrono::milliseconds fault_time) {
  publishing_ = true;
  std::vector<std::thread> authors;
  for (const std::unique_ptr<Operator>& author : operators_) {
    const uint64_t seed = random_();
    authors.emplace_back(
        [this, &author = *author, seed] { PublishRepeatedly(author, seed); });
  }
  std::this_thread::sleep_for(kBeforeFault);
  // Faults that are set by a call to the log come first, as the log can't
  // receive the call after its process is killed or stopped.
  for (const bool log_calls : {true, false}) {
    for (const ConfigFault fault : faults_) {
      const bool by_call =
          fault >= ConfigFault::kLogDown && fault <= ConfigFault::kLogSilent;
      if (by_call == log_calls) {
        BeginFault(fault);
        std::this_thread::sleep_for(std::chrono::milliseconds(random_() % 300));
      }
    }
  }
  const auto end = std::chrono::steady_clock::now() + fault_time;
  RestartDuringFaults();
  while (std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(kCutPause);
    if (HasFault(ConfigFault::kCutLinks)) {
      relays_[random_() % relays_.size()]->Cut();
    }
  }
  if (faults_.size() == 1 && HasFault(ConfigFault::kStartInOutage)) {
    CheckLearnedFromPeers();
  }
  for (const ConfigFault fault : faults_) {
    EndFault(fault);
  }
  PostLogFaults(R"({"down": false, "slow_ms": 0, "lose_answers": 0,
                    "silent": false})");
  log_recovered_at_ = Now();
  publishing_ = false;
  for (std::thread& author : authors) {
    author.join();
  }
  const Millis latest = Now() + kInForceLimit;
  while (!AllHaveRevision(newest_) && Now() < latest) {
    std::this_thread::sleep_for(kPollPause);
  }
}

int ConfigBench::CountOf(PublishState state) const {
  return static_cast<int>(
      std::count_if(history_.results_.begin(), history_.results_.end(),
                    [state](const testing::ReportedResult& reported) {
                      return reported.state_ == state;
                    }));
}

}  // namespace bergamotscale::tests
