// The emulated engine: answers, batching, caches and faults.
#include <map>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "src/emulator/answer.h"
#include "src/emulator/engine_model.h"

namespace bergamotscale::emulator {
namespace {

const ModelId kModel("m");
constexpr Micros kLongTime = Micros(int64_t{1000} * 1000 * 1000);

EngineParameters PlainParameters() {
  EngineParameters parameters;
  parameters.step_base_ = Micros(1000);
  parameters.step_per_sequence_ = Micros(100);
  parameters.prefill_per_token_ = Micros(10);
  parameters.cache_event_loss_ = 0;
  return parameters;
}

EngineRequest RequestOf(int64_t id, const std::string& prompt, int64_t output) {
  EngineRequest request;
  request.id_ = SequenceId(id);
  request.prompt_tokens_ = CountPromptTokens(prompt);
  request.prefix_hashes_ = HashPrefixBlocks(kModel, prompt);
  request.prompt_digest_ = PromptDigest(kModel, prompt);
  request.output_tokens_ = Tokens(output);
  return request;
}

// @return the number of tokens generated for each sequence.
std::map<int64_t, int64_t> CountTokens(const std::vector<EngineEvent>& events) {
  std::map<int64_t, int64_t> counts;
  for (const EngineEvent& event : events) {
    if (event.type_ == EngineEventType::kToken) {
      ++counts[event.id_.value()];
    }
  }
  return counts;
}

Micros FinishTime(const std::vector<EngineEvent>& events, int64_t id) {
  for (const EngineEvent& event : events) {
    if (event.type_ == EngineEventType::kFinished &&
        event.id_ == SequenceId(id)) {
      return event.at_;
    }
  }
  return kLongTime;
}

TEST_CASE(
    "answer: deterministic, of bounded or directed length, the same by token") {
  const std::string prompt = JoinMessages({{"user", "hello [tokens=7]"}});
  CHECK(AnswerLength(kModel, prompt, Tokens(0)) == Tokens(7));
  CHECK(AnswerLength(kModel, prompt, Tokens(3)) == Tokens(3));
  std::string joined;
  for (int64_t index = 0; index < 7; ++index) {
    joined += TokenText(kModel, prompt, index);
  }
  CHECK(joined == AnswerText(kModel, prompt, Tokens(0)));
  CHECK(AnswerText(kModel, prompt, Tokens(0)) !=
        AnswerText(ModelId("other"), prompt, Tokens(0)));
  CHECK(AnswerText(kModel, prompt + "x", Tokens(0)) != joined);
}

TEST_CASE("answer: lengths are heavy-tailed and bounded") {
  int64_t above_median = 0;
  int64_t longest = 0;
  int64_t sum = 0;
  constexpr int kDraws = 2000;
  for (int i = 0; i < kDraws; ++i) {
    const int64_t length =
        AnswerLength(kModel, std::to_string(i), Tokens(0)).count();
    REQUIRE(length >= 1);
    REQUIRE(length <= kMaxAnswerLength.count());
    above_median += length > 120 ? 1 : 0;
    longest = std::max(longest, length);
    sum += length;
  }
  CHECK(above_median > kDraws * 45 / 100);
  CHECK(above_median < kDraws * 55 / 100);
  CHECK(longest > 1000);
  CHECK(sum / kDraws > 140);  // the mean is well above the median
}

TEST_CASE("engine: a prefill step, then one token per step") {
  EngineModel engine(PlainParameters());
  const std::string prompt(400, 'p');  // 100 tokens
  REQUIRE(engine.Submit(RequestOf(1, prompt, 3), Micros(0)));
  std::vector<EngineEvent> events;
  engine.Advance(kLongTime, &events);
  REQUIRE(events.size() == 4);
  CHECK(events[0].at_ == Micros(1000 + 100 * 10));
  CHECK(events[1].at_ - events[0].at_ == Micros(1100));
  CHECK(events[3].type_ == EngineEventType::kFinished);
  CHECK(!engine.NextEventTime().has_value());
}

TEST_CASE("engine: a larger batch slows each token") {
  EngineModel engine(PlainParameters());
  for (int64_t id = 1; id <= 10; ++id) {
    engine.Submit(RequestOf(id, "p" + std::to_string(id), 100), Micros(0));
  }
  std::vector<EngineEvent> events;
  engine.Advance(kLongTime, &events);
  // The first request runs alone for one step, the others join after it.
  CHECK(CountTokens(events).at(10) == 100);
  CHECK(FinishTime(events, 10).count() >= 99 * 2000);
}

TEST_CASE("engine: a cached prefix needs no prefill; its events come late") {
  EngineModel engine(PlainParameters());
  const std::string prompt(6400, 'p');  // 1600 tokens, 100 blocks
  std::vector<EngineEvent> events;
  engine.Submit(RequestOf(1, prompt, 1), Micros(0));
  engine.Advance(Micros(100000), &events);
  const Micros cold = FinishTime(events, 1);
  engine.Submit(RequestOf(2, prompt, 1), Micros(100000));
  engine.Advance(Micros(200000), &events);
  const Micros warm = FinishTime(events, 2) - Micros(100000);
  CHECK(cold.count() == 4 * 1000 + 1600 * 10);
  CHECK(warm.count() == 1000 + 10);
  CHECK(events.back().cached_tokens_ == Tokens(1599));
  CHECK(engine.CacheEventsFrom(0, cold).empty());
  CHECK(engine.CacheEventsFrom(0, cold + Micros(300000)).size() == 100);
  CHECK(engine.CacheEventsFrom(90, kLongTime).size() == 10);
}

TEST_CASE("engine: the prefix cache is bounded and evicts the oldest entries") {
  EngineParameters parameters = PlainParameters();
  parameters.prefix_capacity_ = Tokens(160);
  EngineModel engine(parameters);
  std::vector<EngineEvent> events;
  engine.Submit(RequestOf(1, std::string(640, 'a'), 1), Micros(0));
  engine.Advance(Micros(100000), &events);
  engine.Submit(RequestOf(2, std::string(640, 'b'), 1), Micros(100000));
  engine.Advance(Micros(200000), &events);
  engine.Submit(RequestOf(3, std::string(640, 'a'), 1), Micros(200000));
  engine.Advance(Micros(300000), &events);
  CHECK(events.back().cached_tokens_ == Tokens(0));
}

TEST_CASE("engine: KV memory bounds the batch, and urgent requests run first") {
  EngineParameters parameters = PlainParameters();
  parameters.kv_capacity_ = Tokens(250);
  EngineModel engine(parameters);
  const std::string prompt(400, 'p');
  std::vector<EngineEvent> events;
  for (int64_t id = 1; id <= 3; ++id) {
    EngineRequest request = RequestOf(id, prompt + std::to_string(id), 60);
    request.priority_ = id == 3 ? 1 : 2;
    engine.Submit(request, Micros(0));
  }
  engine.Advance(Micros(5000), &events);
  CHECK(engine.running() == 2);
  CHECK(engine.waiting() == 1);
  engine.Advance(kLongTime, &events);
  const std::map<int64_t, int64_t> counts = CountTokens(events);
  for (int64_t id = 1; id <= 3; ++id) {
    CHECK(counts.at(id) == 60);  // preemption generates no token twice
  }
  CHECK(FinishTime(events, 3) < FinishTime(events, 2));
}

TEST_CASE("engine: a cancelled request is gone, and a resumed one continues") {
  EngineModel engine(PlainParameters());
  std::vector<EngineEvent> events;
  engine.Submit(RequestOf(1, "p", 100), Micros(0));
  engine.Advance(Micros(5000), &events);
  CHECK(engine.Cancel(SequenceId(1), Micros(5000)));
  CHECK(!engine.Cancel(SequenceId(1), Micros(5000)));
  EngineRequest resumed = RequestOf(2, "p", 100);
  resumed.done_ = Tokens(40);
  engine.Submit(resumed, Micros(5000));
  events.clear();
  engine.Advance(kLongTime, &events);
  CHECK(events.front().id_ == SequenceId(2));
  CHECK(events.front().index_ == 40);
  CHECK(CountTokens(events).at(2) == 60);
}

TEST_CASE("engine: KV state moves to another engine") {
  EngineModel source(PlainParameters());
  EngineModel target(PlainParameters());
  const std::string prompt(4000, 'p');
  std::vector<EngineEvent> events;
  source.Submit(RequestOf(1, prompt, 50), Micros(0));
  source.Advance(Micros(20000), &events);
  const auto blob = source.ExportKv(SequenceId(1));
  REQUIRE(blob.has_value());
  target.ImportKv(*blob, Micros(20000));
  EngineRequest resumed = RequestOf(1, prompt, 50);
  resumed.done_ = Tokens(CountTokens(events).at(1));
  target.Submit(resumed, Micros(20000));
  events.clear();
  target.Advance(kLongTime, &events);
  CHECK(events.front().at_ == Micros(20000 + 1000 + 10));
}

TEST_CASE("engine: load reports lag") {
  EngineModel engine(PlainParameters());
  std::vector<EngineEvent> events;
  engine.Submit(RequestOf(1, "p", 100000), Micros(0));
  engine.Advance(Micros(100000), &events);
  CHECK(engine.ReportAt(Micros(100000)).running_ == 0);
  engine.Advance(Micros(700000), &events);
  CHECK(engine.ReportAt(Micros(700000)).running_ == 1);
}

TEST_CASE("engine: a straggler is slow, a hung engine silent") {
  EngineModel engine(PlainParameters());
  std::vector<EngineEvent> events;
  engine.SetStragglerFactor(5);
  engine.Submit(RequestOf(1, "p", 10), Micros(0));
  engine.Advance(Micros(5050), &events);
  CHECK(events.size() == 1);
  engine.SetHung(true, Micros(5050));
  engine.Advance(Micros(900000), &events);
  CHECK(events.size() == 1);
  CHECK(!engine.NextEventTime().has_value());
  engine.SetHung(false, Micros(900000));
  engine.Advance(kLongTime, &events);
  CHECK(CountTokens(events).at(1) == 10);
}

TEST_CASE("engine: crashes in mid-stream and on a marked request") {
  EngineModel engine(PlainParameters());
  std::vector<EngineEvent> events;
  engine.CrashAfterTokens(3);
  engine.Submit(RequestOf(1, "p", 100), Micros(0));
  engine.Advance(kLongTime, &events);
  CHECK(CountTokens(events).at(1) == 3);
  CHECK(events.back().type_ == EngineEventType::kCrashed);
  CHECK(!engine.Submit(RequestOf(2, "p", 1), kLongTime));
  engine.Restart(kLongTime);
  EngineRequest marked = RequestOf(3, "p", 1);
  marked.crashes_engine_ = true;
  CHECK(engine.Submit(marked, kLongTime));
  events.clear();
  engine.Advance(kLongTime + Micros(100000), &events);
  REQUIRE(events.size() == 1);
  CHECK(events[0].type_ == EngineEventType::kCrashed);
}

}  // namespace
}  // namespace bergamotscale::emulator
