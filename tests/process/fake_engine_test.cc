// The engine stand-in as a process: under load with callers that leave, crashed
// by a request, and resuming an answer.
#include <fstream>
#include <sstream>
#include <string>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "bergamotscale/clock.h"
#include "src/load/load_report.h"
#include "src/load/load_run.h"
#include "tests/support/child_process.h"

namespace bergamotscale {
namespace {

using nlohmann::json;

std::string EngineSettingsText(uint16_t port, const std::string& journal) {
  return json{{"port", port},
              {"models", {"keywords-8b"}},
              {"journal_file", journal},
              {"engine",
               {{"step_base_us", 500},
                {"step_per_sequence_us", 50},
                {"prefill_per_token_us", 2}}}}
      .dump();
}

Result<http::Reply> Post(const std::string& url,
                         const std::string& path,
                         const json& body,
                         const std::string& id) {
  http::Call call;
  call.method_ = "POST";
  call.url_ = url + path;
  call.body_ = body.dump();
  call.headers_.push_back({"X-Request-Id", id});
  return http::CallAndWait(call);
}

json ChatBody(const std::string& content) {
  return {{"model", "keywords-8b"},
          {"messages", {{{"role", "user"}, {"content", content}}}}};
}

std::string ReadFileText(const std::string& file) {
  std::ostringstream text;
  text << std::ifstream(file).rdbuf();
  return text.str();
}

// An engine process whose journal file can still be read after a crash.
struct Engine {
  Engine()
      : port_(tests::FreePort()),
        url_("http://127.0.0.1:" + std::to_string(port_)),
        child_(folder_,
               "fake_engine",
               "engine",
               EngineSettingsText(port_, folder_.File("journal"))) {}

  std::string ReadJournalFile() const {
    return ReadFileText(folder_.File("journal"));
  }

  tests::ScratchFolder folder_;
  uint16_t port_;
  std::string url_;
  tests::ChildProcess child_;
};

TEST_CASE(
    "fake engine: answers are complete; leaving callers cancel requests") {
  Engine engine;
  REQUIRE(tests::WaitUntilOk(engine.url_ + "/readyz"));
  load::WorkloadOptions options;
  options.seed_ = 11;
  options.length_ = Millis(1500);
  options.requests_per_second_ = 60;
  options.early_leavers_ = 0.1;
  auto arrivals = load::GenerateArrivals(options);
  for (load::Arrival& arrival : arrivals) {
    arrival.order_ = false;  // the engine doesn't serve the orders' path
  }
  load::LoadRunOptions run;
  run.entry_urls_ = {engine.url_};
  const Millis start = Clock::Wall().Now();
  const auto results = load::RunLoad(run, options.mix_, arrivals);
  Tokens delivered(0);
  for (const load::RequestResult& result : results) {
    const bool good = result.kind_ == load::ResultKind::kComplete ||
                      result.kind_ == load::ResultKind::kCallerLeft;
    CHECK_MESSAGE(good, load::ResultName(result.kind_), " ", result.code_);
    delivered += result.delivered_;
  }
  http::Call call;
  call.url_ = engine.url_ + "/journal";
  const Result<http::Reply> journal = http::CallAndWait(call);
  REQUIRE(journal.ok());
  const auto written = load::TokensWritten(journal.value().body_, start);
  REQUIRE(written.ok());
  CHECK(written.value() >= delivered);
  engine.child_.Signal(SIGTERM);
  CHECK(engine.child_.Wait() == 0);
}

TEST_CASE(
    "fake engine: a [crash] request ends it, and its journal file shows it") {
  Engine engine;
  REQUIRE(tests::WaitUntilOk(engine.url_ + "/readyz"));
  const auto reply = Post(engine.url_, "/v1/chat/completions",
                          ChatBody("[crash] [tokens=50]"), "bad");
  CHECK(!reply.ok());
  CHECK(engine.child_.Wait() == 70);
  const std::string journal = engine.ReadJournalFile();
  CHECK(journal.find("\"id\":\"bad\"") != std::string::npos);
  CHECK(journal.find("\"outcome\":\"crashed\"") != std::string::npos);
}

TEST_CASE(
    "fake engine: resumes an answer and rejects a text that isn't its prefix") {
  Engine engine;
  REQUIRE(tests::WaitUntilOk(engine.url_ + "/readyz"));
  const auto whole = Post(engine.url_, "/v1/chat/completions",
                          ChatBody("[tokens=4]"), "whole");
  REQUIRE(whole.ok());
  const std::string text =
      json::parse(whole.value().body_)["choices"][0]["message"]["content"];
  const size_t half = text.size() / 2;
  json body = ChatBody("[tokens=4]");
  body["resume"] = {{"text", text.substr(0, half)}, {"tokens", 2}};
  const auto rest = Post(engine.url_, "/v1/chat/completions", body, "rest");
  REQUIRE(rest.ok());
  CHECK(json::parse(rest.value().body_)["choices"][0]["message"]["content"] ==
        text.substr(half));
  body["resume"]["text"] = "other";
  const auto refused = Post(engine.url_, "/v1/chat/completions", body, "no");
  REQUIRE(refused.ok());
  CHECK(refused.value().status_ == 400);
}

}  // namespace
}  // namespace bergamotscale
