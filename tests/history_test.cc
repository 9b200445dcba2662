#include "tests/support/history.h"

#include <doctest/doctest.h>

namespace bergamotscale::tests {
namespace {

Send SendOf(const std::string& key, SendResult result, int64_t at) {
  Send send;
  send.key_ = key;
  send.request_id_ = key + std::to_string(at);
  send.body_ = key;
  send.sent_at_ = at;
  send.ended_at_ = at + 5;
  send.result_ = result;
  send.answer_ = result == SendResult::kAnswered ? "answer to " + key : "";
  return send;
}

Execution RunOf(const std::string& key, int64_t at) {
  return Execution{key, "request of " + key, at, "service-1", "1"};
}

bool Belongs(const Send& send) {
  return send.answer_ == "answer to " + send.body_;
}

// @return the names of the broken rules, each followed by a semicolon.
std::string BrokenBy(const std::vector<Send>& sends,
                     const std::vector<Execution>& executions) {
  std::string rules;
  for (const Violation& found : CheckHistory(sends, executions, Belongs)) {
    rules += std::string(RuleName(found.rule_)) + ";";
  }
  return rules;
}

// A history that breaks no rule: one order is answered after a retry, one is
// reported as not run, and one may have run.
std::vector<Send> GoodSends() {
  return {SendOf("a", SendResult::kUnanswered, 0),
          SendOf("a", SendResult::kAnswered, 20),
          SendOf("a", SendResult::kAnswered, 40),
          SendOf("b", SendResult::kNotExecuted, 0),
          SendOf("c", SendResult::kMayHaveExecuted, 0)};
}
const std::vector<Execution> kGoodRuns = {RunOf("a", 2), RunOf("c", 3)};

}  // namespace

TEST_CASE("history: a good history breaks no rule") {
  CHECK(BrokenBy(GoodSends(), kGoodRuns).empty());
}

TEST_CASE("history: a second execution is found") {
  auto runs = kGoodRuns;
  runs.push_back(RunOf("a", 30));
  CHECK(BrokenBy(GoodSends(), runs) == "executed twice;");
}

TEST_CASE("history: an order without an end is found") {
  auto sends = GoodSends();
  sends.push_back(SendOf("d", SendResult::kUnanswered, 0));
  CHECK(BrokenBy(sends, kGoodRuns) == "open end;");
}

TEST_CASE("history: a false report of not run is found") {
  auto runs = kGoodRuns;
  SUBCASE("executed before the verdict") {
    runs.push_back(RunOf("b", 1));
  }
  SUBCASE("executed after the only verdict") {
    runs.push_back(RunOf("b", 100));
  }
  CHECK(BrokenBy(GoodSends(), runs) == "false not run;");
}

TEST_CASE("history: a send falsely reported as not run is found") {
  auto sends = GoodSends();
  sends.push_back(SendOf("d", SendResult::kMayHaveExecuted, 0));
  sends.back().this_send_not_run_ = true;
  auto runs = kGoodRuns;
  runs.push_back(RunOf("d", 100));
  CHECK(BrokenBy(sends, runs) == "false not run;");
  // The other send may have run.
  sends.push_back(SendOf("d", SendResult::kMayHaveExecuted, 50));
  CHECK(BrokenBy(sends, runs).empty());
}

TEST_CASE("history: a not run request that ran later is found by its id") {
  auto sends = GoodSends();
  sends.push_back(SendOf("b", SendResult::kMayHaveExecuted, 50));
  auto runs = kGoodRuns;
  runs.push_back(Execution{"b", "b0", 60, "service-1", "1"});
  CHECK(BrokenBy(sends, runs) == "false not run;");
  runs.back().request_id_ = "b50";
  CHECK(BrokenBy(sends, runs).empty());
}

TEST_CASE("history: an answer to another request is found") {
  auto sends = GoodSends();
  sends[1].answer_ = "answer to x";
  sends[2].answer_ = "answer to x";
  CHECK(BrokenBy(sends, kGoodRuns) == "foreign answer;foreign answer;");
}

TEST_CASE("history: a second answer that differs is found") {
  auto sends = GoodSends();
  sends[2].answer_ += "!";
  CHECK(BrokenBy(sends, kGoodRuns) == "foreign answer;answers differ;");
}

TEST_CASE("history: an answer without an execution is found") {
  auto sends = GoodSends();
  sends.push_back(SendOf("d", SendResult::kAnswered, 0));
  CHECK(BrokenBy(sends, kGoodRuns) == "invented answer;");
}

TEST_CASE("history: a journal with a restart and a truncated line is read") {
  const std::string lines =
      R"({"number":0,"id":"r","key":"a","digest":1,"start":5,"outcome":"running"})"
      "\n"
      R"({"number":0,"id":"r","key":"a","digest":1,"start":5,"outcome":"finished"})"
      "\n"
      R"({"number":0,"id":"s","key":"a","digest":1,"start":9,"outcome":"running"})"
      "\n"
      R"({"number":1,"id":)";
  CHECK(ParseJournal(lines, "service-1").size() == 2);
}

}  // namespace bergamotscale::tests
