#include "tests/process/cluster.h"

#include <signal.h>
#include <sys/prctl.h>

#include <chrono>
#include <fstream>
#include <sstream>

#include <doctest/doctest.h>
#include <boost/filesystem/operations.hpp>
#include <boost/process/args.hpp>
#include <boost/process/extend.hpp>
#include <boost/process/io.hpp>

#include "src/http/client.h"
#include "tests/support/free_port.h"

namespace bergamotscale::testing {
namespace {

namespace bp = boost::process;
using nlohmann::json;

constexpr std::chrono::seconds kStartTimeout(15);
constexpr std::chrono::milliseconds kPollInterval(20);

// Kills the child when the test process ends, even if the test crashes.
struct KillWithParent : bp::extend::handler {
  template <typename Executor>
  void on_exec_setup(Executor& /*executor*/) const {  // NOLINT: library's name
    prctl(PR_SET_PDEATHSIG, SIGKILL);
  }
};

json EndpointJson(uint16_t port) {
  return {{"address", "127.0.0.1"}, {"port", port}};
}

}  // namespace

// The document of an example, with rate limits that no test reaches.
nlohmann::json Cluster::StartDocument() {
  std::ifstream file(std::string(BERGAMOTSCALE_EXAMPLES_DIR) +
                     "/hanbit_tagworks.json");
  json document = json::parse(file, nullptr, true, true);
  for (json& workspace : document["workspaces"]) {
    workspace["requests_per_second"] = 10000;
    workspace["burst"] = 10000;
  }
  return document;
}

Cluster::Cluster(const ClusterOptions& options)
    : options_(options), work_(io_.get_executor()) {
  folder_ = (boost::filesystem::temp_directory_path() /
             boost::filesystem::unique_path("bergamot-%%%%%%%%"))
                .string();
  boost::filesystem::create_directories(folder_);
  const uint16_t log_port = FreePort();
  Add("log", "fake_log", log_port, {{"port", log_port}});
  if (options_.instance_list_) {
    const uint16_t list_port = FreePort();
    Add("list", "fake_instance_list", list_port,
        {{"port", list_port}, {"lag_ms", 0}});
    REQUIRE(WaitFor("list", "/healthz"));
  }
  Publish(StartDocument());
  if (!options_.weight_store_.is_null()) {
    json store = options_.weight_store_;
    const uint16_t port = FreePort();
    store["port"] = port;
    Add("weights", "fake_weight_store", port, store);
  }
  for (int number = 1; number <= options_.engines_; ++number) {
    AddEngine(number);
  }
  for (int number = 1; number <= options_.services_; ++number) {
    AddService(number);
  }
  for (int number = 1; number <= options_.entries_; ++number) {
    AddEntry(number);
  }
  AddConsole();
  relay_thread_ = std::thread([this] { io_.run(); });
  for (const auto& entry : processes_) {
    REQUIRE_MESSAGE(WaitFor(entry.first, "/healthz"), entry.first);
  }
  for (int number = 1; number <= options_.entries_; ++number) {
    const std::string name = "entry-" + std::to_string(number);
    REQUIRE_MESSAGE(WaitFor(name, "/readyz"), name);
  }
  if (options_.instance_list_) {
    for (const json& member : members_) {
      SetListedState(member["id"], "live");
    }
    // A read puts the changes so far into effect. Later ones appear after the
    // lag that is set below.
    REQUIRE(WaitFor("list", "/instances"));
    http::Call call;
    call.method_ = "POST";
    call.url_ = Url("list") + "/lag";
    call.body_ = json{{"lag_ms", options_.list_lag_.count()}}.dump();
    REQUIRE(http::CallAndWait(call).ok());
  }
}

Cluster::~Cluster() {
  for (auto& [name, process] : processes_) {
    if (process.child_ != nullptr && process.child_->running()) {
      kill(process.child_->id(), SIGKILL);
      process.child_->wait();
    }
  }
  link_relays_.clear();
  engine_relays_.clear();
  work_.reset();
  io_.stop();
  if (relay_thread_.joinable()) {
    relay_thread_.join();
  }
  boost::system::error_code ignored;
  boost::filesystem::remove_all(folder_, ignored);
}

std::string Cluster::Url(const std::string& name) const {
  return "http://127.0.0.1:" + std::to_string(Port(name));
}

uint16_t Cluster::Port(const std::string& name) const {
  return processes_.at(name).port_;
}

std::string Cluster::ZoneOfEngine(int number) const {
  return "zone-" + std::to_string(1 + (number - 1) % options_.zones_);
}

std::string Cluster::ZoneOfEntry(int number) const {
  return ZoneOfEngine(number);
}

std::string Cluster::InstanceListUrl() const {
  return options_.instance_list_ ? Url("list") : std::string();
}

void Cluster::SetListedState(const std::string& name,
                             const std::string& state) {
  json change = {{"id", name}, {"state", state}, {"role", "sidecar"}};
  for (const json& member : members_) {
    if (member["id"] == name) {
      change["group"] = member["group"];
      change["zone"] = member["availability_zone"];
      change["address"] = member["address"];
      change["link_port"] = member["port"];
    }
  }
  http::Call call;
  call.method_ = "POST";
  call.url_ = Url("list") + "/instances";
  call.body_ = change.dump();
  const Result<http::Reply> reply = http::CallAndWait(call);
  REQUIRE(reply.ok());
  REQUIRE_MESSAGE(reply.value().status_ == 200, reply.value().body_);
}

void Cluster::Add(const std::string& name,
                  const std::string& binary,
                  uint16_t port,
                  const json& settings) {
  std::ofstream(folder_ + "/" + name + ".json") << settings.dump(2);
  Process& process = processes_[name];
  process.binary_ = binary;
  process.port_ = port;
  Start(name);
}

void Cluster::AddEngine(int number) {
  const std::string name = "engine-" + std::to_string(number);
  const uint16_t port = FreePort();
  json settings = {
      {"port", port},
      {"models", {kModel}},
      {"journal_file", folder_ + "/" + name + ".journal"},
      {"order_journal_file", folder_ + "/" + name + ".orders"},
      {"engine",
       {{"step_base_us", options_.step_base_us_},
        {"step_per_sequence_us", options_.step_per_sequence_us_}}}};
  if (!options_.weight_store_.is_null()) {
    settings["weight_store_url"] = Url("weights");
  }
  if (options_.engine_settings_) {
    settings.update(options_.engine_settings_(number));
  }
  Add(name, "fake_engine", port, settings);
  engine_relays_.push_back(
      std::make_unique<Relay>(io_, link::Endpoint{"127.0.0.1", port}));
  const uint16_t link_port = FreePort();
  link_relays_.push_back(
      std::make_unique<Relay>(io_, link::Endpoint{"127.0.0.1", link_port}));
  const std::string engine_url =
      options_.direct_engines_
          ? Url(name)
          : "http://" + engine_relays_.back()->endpoint().ToString();
  AddSidecar("sidecar-" + std::to_string(number), "keywording", "engine",
             engine_url, link_port, ZoneOfEngine(number));
  members_.back()["port"] = link_relays_.back()->endpoint().port_;
}

void Cluster::AddService(int number) {
  const std::string name =
      number == 1 ? "service" : "service-" + std::to_string(number);
  const uint16_t port = FreePort();
  Add(name, "fake_service", port,
      {{"port", port},
       {"delay_ms", 20},
       {"journal_file", folder_ + "/" + name + ".journal"}});
  AddSidecar("sidecar-" + name, "agency", "service", Url(name), FreePort(),
             ZoneOfEngine(number));
}

void Cluster::AddSidecar(const std::string& name,
                         const std::string& group,
                         const std::string& kind,
                         const std::string& upstream_url,
                         uint16_t link_port,
                         const std::string& zone) {
  const uint16_t port = FreePort();
  json settings = {{"instance", name},
                   {"availability_zone", zone},
                   {"group", group},
                   {"kind", kind},
                   {"upstream_url", upstream_url},
                   {"link", EndpointJson(link_port)},
                   {"http", EndpointJson(port)},
                   {"log_url", Url("log")},
                   {"instance_list_url", InstanceListUrl()}};
  settings.update(options_.sidecar_settings_);
  Add(name, "bergamot_sidecar", port, settings);
  members_.push_back({{"id", name},
                      {"group", group},
                      {"availability_zone", zone},
                      {"address", "127.0.0.1"},
                      {"port", link_port}});
}

void Cluster::AddEntry(int number) {
  const std::string name = "entry-" + std::to_string(number);
  const uint16_t port = FreePort();
  json settings = {
      {"instance", name},
      {"availability_zone", ZoneOfEntry(number)},
      {"public", EndpointJson(port)},
      {"listener", EndpointJson(FreePort())},
      {"log_url", Url("log")},
      {"instance_list_url", InstanceListUrl()},
      {"sidecars", options_.instance_list_ ? json::array() : members_}};
  settings.update(options_.entry_settings_);
  Add(name, "bergamot_entry", port, settings);
}

void Cluster::AddConsole() {
  const uint16_t port = FreePort();
  Add("console", "bergamot_console", port,
      {{"port", port}, {"log_url", Url("log")}});
}

void Cluster::Publish(const json& document) {
  REQUIRE(WaitFor("log", "/healthz"));
  const std::string file = folder_ + "/document.json";
  std::ofstream(file) << document.dump();
  bp::child publish(std::string(BERGAMOTSCALE_BIN_DIR) + "/bergamotctl",
                    bp::args({"publish", file, "--log=" + Url("log")}),
                    (bp::std_out & bp::std_err) > folder_ + "/publish.log");
  publish.wait();
  REQUIRE(publish.exit_code() == 0);
}

void Cluster::Signal(const std::string& name, int signal) {
  kill(processes_.at(name).child_->id(), signal);
}

void Cluster::Kill(const std::string& name) {
  Signal(name, SIGKILL);
  processes_.at(name).child_->wait();
}

void Cluster::Start(const std::string& name) {
  Process& process = processes_.at(name);
  std::FILE* log = std::fopen((folder_ + "/" + name + ".log").c_str(), "a");
  process.child_ = std::make_unique<bp::child>(
      std::string(BERGAMOTSCALE_BIN_DIR) + "/" + process.binary_,
      bp::args("--settings=" + folder_ + "/" + name + ".json"),
      (bp::std_out & bp::std_err) > log, KillWithParent());
  std::fclose(log);
}

int Cluster::WaitForExit(const std::string& name, Millis timeout) {
  bp::child& child = *processes_.at(name).child_;
  const auto end = std::chrono::steady_clock::now() +
                   std::chrono::milliseconds(timeout.count());
  while (child.running()) {
    if (std::chrono::steady_clock::now() > end) {
      return -1;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return child.exit_code();
}

bool Cluster::WaitFor(const std::string& name, const std::string& path) {
  const auto end = std::chrono::steady_clock::now() + kStartTimeout;
  while (std::chrono::steady_clock::now() < end) {
    http::Call call;
    call.url_ = Url(name) + path;
    call.timeout_ = Millis(2000);
    const Result<http::Reply> reply = http::CallAndWait(call);
    if (reply.ok() && reply.value().status_ == 200) {
      return true;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

std::vector<json> Cluster::FetchJournal(const std::string& name) const {
  http::Call call;
  call.url_ = Url(name) + "/journal";
  std::vector<json> records;
  const Result<http::Reply> reply = http::CallAndWait(call);
  if (!reply.ok()) {
    return records;
  }
  std::istringstream lines(reply.value().body_);
  for (std::string line; std::getline(lines, line);) {
    records.push_back(json::parse(line));
  }
  return records;
}

std::vector<json> Cluster::ReadOrderJournal(int number) const {
  return ReadJsonLines("engine-" + std::to_string(number) + ".orders");
}

std::vector<json> Cluster::ReadJournalFile(const std::string& name) const {
  return ReadJsonLines(name + ".journal");
}

std::vector<json> Cluster::ReadJsonLines(const std::string& file) const {
  std::ifstream lines(folder_ + "/" + file);
  std::vector<json> records;
  for (std::string line; std::getline(lines, line);) {
    records.push_back(json::parse(line));
  }
  return records;
}

}  // namespace bergamotscale::testing
