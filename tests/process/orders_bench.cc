#include "tests/process/orders_bench.h"

#include <algorithm>
#include <future>
#include <sstream>

#include <doctest/doctest.h>
#include <xxhash.h>
#include <nlohmann/json.hpp>

#include "bergamotscale/clock.h"
#include "src/config/config_record.h"
#include "src/config/key_hash.h"
#include "src/log/log_client.h"
#include "tests/support/free_port.h"

namespace bergamotscale::tests {
namespace {

using nlohmann::json;

constexpr char kAddress[] = "127.0.0.1";
constexpr char kWorkspaceKey[] = "test-key";
constexpr char kPath[] = "/v1/orders";
// Number of services with a sidecar, and of entries.
constexpr int kPairs = 2;
constexpr int kMaxSends = 30;
const Millis kCallTimeout(2500);
constexpr std::chrono::milliseconds kThinkTime(5);
constexpr std::chrono::milliseconds kRetryDelay(100);

int64_t Now() {
  return Clock::Wall().Now().count();
}

json EndpointOf(uint16_t port) {
  return {{"address", kAddress}, {"port", port}};
}

// @param idempotent whether entries may retry a request that may have been
// executed. With either value, claims must keep an order from running twice.
json ConfigOf(bool idempotent) {
  json document = json::parse(R"({
    "classes": [{"name": "order", "tier": 1, "first_token_ms": 2000,
      "between_tokens_ms": 40, "deadline_ms": 2000, "idempotent": true}],
    "workspaces": [{"name": "workshop", "key_hashes": [")" +
                              config::HashWorkspaceKey(kWorkspaceKey) + R"("],
      "requests_per_second": 10000, "burst": 10000, "classes": ["order"]}],
    "groups": [{"name": "orders", "kind": "service"}],
    "models": [],
    "services": [{"path": "/v1/orders", "group": "orders", "class": "order",
      "idempotent": true}],
    "operators": []})");
  document["classes"][0]["idempotent"] = idempotent;
  document["services"][0]["idempotent"] = idempotent;
  return document;
}

std::string ReadText(const std::string& file) {
  std::ostringstream text;
  text << std::ifstream(file).rdbuf();
  return text.str();
}

std::string DigestOf(const std::string& body) {
  return std::to_string(XXH3_64bits(body.data(), body.size()));
}

// @return whether the response is for this request: the service returns the
// digest of the body that it executed.
bool AnswerBelongsTo(const Send& send) {
  const json answer = json::parse(send.answer_, nullptr, false);
  return answer.is_object() && answer.value("path", "") == kPath &&
         answer.contains("digest") &&
         answer["digest"].dump() == DigestOf(send.body_);
}

SendResult ResultOf(const Result<http::Reply>& reply) {
  if (!reply.ok()) {
    return SendResult::kUnanswered;
  }
  if (reply.value().status_ == 200) {
    return SendResult::kAnswered;
  }
  const json body = json::parse(reply.value().body_, nullptr, false);
  const json::json_pointer place("/error/verdict");
  if (!body.is_object() || !body.contains(place)) {
    return SendResult::kUnanswered;
  }
  return body[place] == "not_run" ? SendResult::kNotExecuted
                                  : SendResult::kMayHaveExecuted;
}

// @return whether the response states that this send was not executed.
bool SaysThisSendNotExecuted(const Result<http::Reply>& reply) {
  if (!reply.ok()) {
    return false;
  }
  const json body = json::parse(reply.value().body_, nullptr, false);
  const json::json_pointer place("/error/this_send");
  return body.is_object() && body.contains(place) && body[place] == "not_run";
}

}  // namespace

OrdersBench::OrdersBench(uint64_t seed, KeyUse keys, Millis service_time)
    : random_(seed),
      keys_(keys),
      service_time_(service_time),
      guard_(boost::asio::make_work_guard(io_)),
      relay_thread_([this] { io_.run(); }) {
  AddLog();
  for (int index = 1; index <= kPairs; ++index) {
    AddService(index);
    AddSidecar(index);
  }
  for (int index = 1; index <= kPairs; ++index) {
    AddEntry(index);
  }
}

OrdersBench::~OrdersBench() {
  nodes_.clear();
  relays_.clear();
  guard_.reset();
  io_.stop();
  relay_thread_.join();
}

void OrdersBench::Add(const std::string& binary,
                      const std::string& name,
                      const std::string& settings) {
  Node node;
  node.binary_ = binary;
  node.name_ = name;
  node.settings_ = settings;
  nodes_.emplace(name, std::move(node));
}

void OrdersBench::AddLog() {
  ports_["log"] = testing::FreePort();
  Add("fake_log", "log",
      json{{"port", ports_["log"]},
           {"journal_file", folder_.File("log.journal")},
           {"restore", true}}
          .dump());
}

void OrdersBench::AddService(int index) {
  const std::string name = "service-" + std::to_string(index);
  ports_[name] = testing::FreePort();
  Add("fake_service", name,
      json{{"port", ports_[name]},
           {"delay_ms", service_time_.count()},
           {"journal_file", folder_.File(name + ".journal")}}
          .dump());
}

void OrdersBench::AddSidecar(int index) {
  const std::string number = std::to_string(index);
  const std::string name = "sidecar-" + number;
  ports_[name] = testing::FreePort();
  ports_["link-" + number] = testing::FreePort();
  Add("bergamot_sidecar", name,
      json{{"instance", name},
           {"availability_zone", "a"},
           {"group", "orders"},
           {"kind", "service"},
           {"upstream_url", UrlOf("service-" + number)},
           {"link", EndpointOf(ports_["link-" + number])},
           {"http", EndpointOf(ports_[name])},
           {"log_url", UrlOf("log")},
           {"health_interval_ms", 100},
           {"log_timeout_ms", 1000},
           {"upstream_timeout_ms", 2000},
           {"orders", {{"claim_timeout_ms", 1000}, {"outcome_wait_ms", 1000}}}}
          .dump());
}

void OrdersBench::AddEntry(int index) {
  const std::string name = "entry-" + std::to_string(index);
  ports_[name] = testing::FreePort();
  json sidecars = json::array();
  for (int sidecar = 1; sidecar <= kPairs; ++sidecar) {
    const std::string number = std::to_string(sidecar);
    const link::Endpoint target{kAddress, ports_["link-" + number]};
    relays_.push_back(std::make_unique<testing::Relay>(io_, target));
    sidecars.push_back({{"id", "sidecar-" + number},
                        {"group", "orders"},
                        {"availability_zone", "a"},
                        {"address", kAddress},
                        {"port", relays_.back()->endpoint().port_}});
  }
  Add("bergamot_entry", name,
      json{{"instance", name},
           {"availability_zone", "a"},
           {"public", EndpointOf(ports_[name])},
           {"listener", EndpointOf(testing::FreePort())},
           {"log_url", UrlOf("log")},
           {"sidecars", sidecars}}
          .dump());
}

void OrdersBench::StartProcess(const std::string& name) {
  Node& node = nodes_.at(name);
  node.process_.reset();
  node.process_ = std::make_unique<ChildProcess>(folder_, node.binary_, name,
                                                 node.settings_);
}

bool OrdersBench::Publish() {
  config::PublicationRecord record;
  record.id_ = PublicationId("test");
  record.document_ = ConfigOf(keys_ == KeyUse::kNoKeys || random_() % 2 == 0);
  record.author_ = "test";
  log::LogClient client(UrlOf("log"), Millis(2000));
  std::promise<bool> appended;
  client.Append(log::kConfigStream, config::EncodeRecord(record),
                [&appended](const Result<LogOffset>& result) {
                  appended.set_value(result.ok());
                });
  return appended.get_future().get();
}

bool OrdersBench::Start() {
  StartProcess("log");
  if (!WaitUntilOk(UrlOf("log") + "/healthz") || !Publish()) {
    return false;
  }
  for (const auto& [name, node] : nodes_) {
    if (name != "log") {
      StartProcess(name);
    }
  }
  for (const auto& [name, node] : nodes_) {
    const bool ready = name == "log" || name.find("service") == 0;
    if (!WaitUntilOk(UrlOf(name) + (ready ? "/healthz" : "/readyz"))) {
      MESSAGE(name << " is not ready: "
                   << ReadText(folder_.File(name + ".log")));
      return false;
    }
  }
  return WarmUp();
}

// Sends orders until each entry has answered one, which shows that it has a
// link to a sidecar.
bool OrdersBench::WarmUp() {
  constexpr int kTries = 100;
  for (size_t entry = 0; entry < kPairs; ++entry) {
    int tries = 0;
    Send send;
    do {
      send = SendOnce(
          "warm-" + std::to_string(entry) + "-" + std::to_string(tries), entry);
      sends_.push_back(send);
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    } while (send.result_ != SendResult::kAnswered && ++tries < kTries);
    if (tries == kTries) {
      return false;
    }
  }
  return true;
}

std::string OrdersBench::UrlOf(const std::string& name) const {
  return "http://" + std::string(kAddress) + ":" +
         std::to_string(ports_.at(name));
}

std::string OrdersBench::EntryUrl(size_t index) const {
  return UrlOf("entry-" + std::to_string(index + 1));
}

void OrdersBench::RunCaller(uint64_t seed) {
  std::mt19937_64 random(seed);
  while (calling_) {
    SendOrder(random, "order-" + std::to_string(++next_order_));
    std::this_thread::sleep_for(kThinkTime);
  }
}

// Sends the order and retries at the other entry until there is a response.
// With keys, some callers also retry after the response, and must get the same
// one. Callers without keys also retry requests that may have been executed, as
// nothing tells them whether a retry is safe.
void OrdersBench::SendOrder(std::mt19937_64& random, const std::string& key) {
  size_t entry = random() % kPairs;
  for (int sends = 0; sends < kMaxSends; ++sends) {
    const Send send = SendOnce(key, entry);
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      sends_.push_back(send);
    }
    const bool retries_anyway = keys_ == KeyUse::kKeys && random() % 8 == 0;
    const bool answered = send.result_ == SendResult::kAnswered;
    const bool unsure = send.result_ == SendResult::kMayHaveExecuted &&
                        keys_ == KeyUse::kNoKeys;
    const bool open = send.result_ == SendResult::kUnanswered || unsure;
    if (!open && !(answered && retries_anyway)) {
      return;
    }
    entry = (entry + 1) % kPairs;
    if (!answered) {
      std::this_thread::sleep_for(kRetryDelay);
    }
  }
}

Send OrdersBench::SendOnce(const std::string& key, size_t entry) {
  Send send;
  send.key_ = key;
  send.body_ = json{{"order", key}}.dump();
  http::Call call;
  call.method_ = "POST";
  call.url_ = EntryUrl(entry) + kPath;
  call.body_ = send.body_;
  call.timeout_ = kCallTimeout;
  call.headers_.push_back(
      {"Authorization", std::string("Bearer ") + kWorkspaceKey});
  if (keys_ == KeyUse::kKeys) {
    call.headers_.push_back({"Idempotency-Key", key});
  }
  send.sent_at_ = Now();
  const Result<http::Reply> reply = http::CallAndWait(call);
  send.ended_at_ = Now();
  send.result_ = ResultOf(reply);
  send.answer_ = reply.ok() ? reply.value().body_ : reply.error().detail_;
  send.this_send_not_run_ = SaysThisSendNotExecuted(reply);
  return send;
}

void OrdersBench::Kill(const std::string& name) {
  nodes_.at(name).process_->Signal(SIGKILL);
  nodes_.at(name).process_->Wait();
}

bool OrdersBench::Restart(const std::string& name) {
  StartProcess(name);
  return WaitUntilOk(UrlOf(name) + "/readyz");
}

Send OrdersBench::SendTo(const std::string& key, size_t entry) {
  Send send;
  for (int sends = 0; sends < kMaxSends; ++sends) {
    send = SendOnce(key, entry);
    sends_.push_back(send);
    if (send.result_ != SendResult::kUnanswered) {
      break;
    }
  }
  return send;
}

std::vector<Execution> OrdersBench::Executions() const {
  std::vector<Execution> executions;
  for (int index = 1; index <= kPairs; ++index) {
    const std::string name = "service-" + std::to_string(index);
    const auto some =
        ParseJournal(ReadText(folder_.File(name + ".journal")), name);
    executions.insert(executions.end(), some.begin(), some.end());
  }
  if (keys_ == KeyUse::kKeys) {
    return executions;
  }
  // Without keys, an execution is identified by the digest of its body.
  std::map<std::string, std::string> keys;
  for (const Send& send : sends_) {
    keys[DigestOf(send.body_)] = send.key_;
  }
  for (Execution& execution : executions) {
    execution.key_ = keys[execution.digest_];
  }
  return executions;
}

std::vector<Violation> OrdersBench::Check() {
  return CheckHistory(sends_, Executions(), AnswerBelongsTo);
}

int OrdersBench::CountOf(SendResult result) const {
  return static_cast<int>(std::count_if(
      sends_.begin(), sends_.end(),
      [result](const Send& send) { return send.result_ == result; }));
}

}  // namespace bergamotscale::tests
