#include <algorithm>
#include <cmath>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "src/policy/admission.h"
#include "src/policy/baselines.h"
#include "src/policy/concurrency_limiter.h"
#include "src/policy/demand_table.h"
#include "src/policy/dispatcher.h"
#include "src/policy/duplicate_gate.h"
#include "src/policy/output_estimator.h"
#include "src/policy/prefix_hasher.h"
#include "src/policy/quarantine.h"
#include "src/policy/retry_budget.h"
#include "tests/property.h"

namespace bergamotscale::policy {
namespace {

std::vector<UpstreamView> Views(int count) {
  std::vector<UpstreamView> views(count);
  for (int i = 0; i < count; ++i) {
    views[i].sidecar_ = InstanceId("s" + std::to_string(i));
    views[i].group_ = GroupId("engines");
    views[i].zone_ = ZoneId(i % 3 == 0 ? "a" : "b");
    views[i].usable_ = true;
    views[i].slots_ = 16;
    views[i].running_ = 8;
    views[i].between_tokens_ = Millis(20);
  }
  return views;
}

DispatchRequest Request() {
  DispatchRequest request;
  request.class_ = ClassId("quote");
  request.group_ = GroupId("engines");
  return request;
}

Dispatcher MakeDispatcher() {
  DispatcherOptions options;
  options.zone_ = ZoneId("a");
  options.zone_cost_ = Millis(10);
  return Dispatcher(options);
}

TEST_CASE("dispatch: usable upstreams of the group, each once") {
  testing::CheckProperty("usable", [] {
    std::vector<UpstreamView> views = Views(*rc::gen::inRange(1, 60));
    std::set<InstanceId> usable;
    for (UpstreamView& view : views) {
      view.usable_ = *rc::gen::arbitrary<bool>();
      view.running_ = *rc::gen::inRange(0, 16);
      view.expected_wait_ = Millis(*rc::gen::inRange(0, 3000));
    }
    DispatchRequest request = Request();
    request.avoid_ = {views[0].sidecar_};
    Dispatcher dispatcher = MakeDispatcher();
    const std::vector<int> chosen = dispatcher.Choose(request, views);
    RC_ASSERT(chosen.size() <= 3U);
    for (const int index : chosen) {
      RC_ASSERT(index != 0);
      RC_ASSERT(views[index].usable_);
      usable.insert(views[index].sidecar_);
    }
    RC_ASSERT(usable.size() == chosen.size());
  });
}

TEST_CASE(
    "dispatch: own zone first, another zone if the wait there is shorter") {
  std::vector<UpstreamView> views = Views(9);
  Dispatcher dispatcher = MakeDispatcher();
  for (const int index : dispatcher.Choose(Request(), views)) {
    CHECK(views[index].zone_ == ZoneId("a"));
  }
  for (UpstreamView& view : views) {
    view.expected_wait_ = Millis(view.zone_ == ZoneId("a") ? 200 : 0);
  }
  for (const int index : dispatcher.Choose(Request(), views)) {
    CHECK(views[index].zone_ == ZoneId("b"));
  }
}

TEST_CASE(
    "dispatch: an upstream that caches the prefix is first until loaded") {
  std::vector<UpstreamView> views = Views(9);
  DispatchRequest request = Request();
  request.prefix_hashes_ = {11, 22, 33};
  views[4].cached_prefixes_ = {11, 22};
  Dispatcher dispatcher = MakeDispatcher();
  CHECK(dispatcher.Choose(request, views).front() == 4);
  views[4].running_ = 16;
  views[4].expected_wait_ = Millis(2000);
  CHECK(dispatcher.Choose(request, views).front() != 4);
  dispatcher.OnStarted(request, views, 7);
  CHECK(dispatcher.Choose(request, views).front() == 7);
}

TEST_CASE(
    "dispatch: a straggler is chosen last, or if there is no other upstream") {
  std::vector<UpstreamView> views = Views(3);
  views[1].between_tokens_ = Millis(80);
  views[1].running_ = 0;
  Dispatcher dispatcher = MakeDispatcher();
  CHECK(dispatcher.Choose(Request(), views).back() == 1);
  views[0].usable_ = false;
  views[2].usable_ = false;
  CHECK(dispatcher.Choose(Request(), views) == std::vector<int>{1});
  views[1].usable_ = false;
  CHECK(dispatcher.Choose(Request(), views).empty());
  CHECK(dispatcher.EstimateBestWait(Request(), views) ==
        Dispatcher::kNoUpstreamWait);
}

TEST_CASE("dispatch: own placements count until the next report") {
  std::vector<UpstreamView> views = Views(2);
  views[0].placed_since_ = 60;
  Dispatcher dispatcher = MakeDispatcher();
  CHECK(dispatcher.Choose(Request(), views).front() == 1);
}

AdmissionRequest MakeAdmissionRequest(const char* workspace,
                                      const char* class_id) {
  AdmissionRequest request;
  request.workspace_ = WorkspaceId(workspace);
  request.class_ = ClassId(class_id);
  request.first_token_left_ = Millis(1000);
  request.deadline_left_ = Millis(60'000);
  request.expected_run_ = Millis(2000);
  return request;
}

Admission MakeAdmission() {
  std::vector<Workspace> workspaces(2);
  workspaces[0].name_ = WorkspaceId("big");
  workspaces[1].name_ = WorkspaceId("small");
  for (Workspace& workspace : workspaces) {
    workspace.requests_per_second_ = 10;
    workspace.burst_ = 20;
  }
  Admission admission;
  admission.Configure(workspaces);
  return admission;
}

TEST_CASE("admission: a burst is charged to its workspace alone") {
  Admission admission = MakeAdmission();
  int admitted = 0;
  for (int i = 0; i < 100; ++i) {
    const AdmissionDecision decision =
        admission.Admit(MakeAdmissionRequest("big", "quote"), Millis(0));
    admitted += decision.admitted() ? 1 : 0;
    if (!decision.admitted()) {
      CHECK(decision.code_ == ErrorCode::kRateLimited);
      CHECK(decision.retry_after_ == Millis(100));
    }
  }
  CHECK(admitted == 20);
  CHECK(admission.Admit(MakeAdmissionRequest("small", "quote"), Millis(0))
            .admitted());
  CHECK(admission.Admit(MakeAdmissionRequest("big", "quote"), Millis(200))
            .admitted());
}

TEST_CASE("admission: entries divide a workspace's limit by reported demand") {
  Admission entries[] = {MakeAdmission(), MakeAdmission()};
  DemandTable table;
  // Three of four requests come to the first entry, 40 per second in all, until
  // the sidecar stops sending reports.
  int admitted = 0;
  int admitted_alone = 0;
  for (int64_t i = 0; i < 2400; ++i) {
    const Millis now(i * 25);
    const bool connected = now < Millis(30'000);
    if (i % 40 == 0 && connected) {
      table.RecordReport(InstanceId("a"), entries[0].GetDemands(now), now);
      table.RecordReport(InstanceId("b"), entries[1].GetDemands(now), now);
      for (Admission& entry : entries) {
        entry.SetGlobalDemands(table.SumDemands(now), now);
      }
    }
    Admission& entry = entries[i % 4 == 0 ? 1 : 0];
    const bool ok =
        entry.Admit(MakeAdmissionRequest("big", "quote"), now).admitted();
    admitted += ok && now >= Millis(10'000) && connected ? 1 : 0;
    admitted_alone += ok && now >= Millis(40'000) ? 1 : 0;
  }
  // 10 per second for 20 s. Without reports, each entry allows 10 per second.
  CHECK(admitted >= 190);
  CHECK(admitted <= 210);
  CHECK(admitted_alone >= 390);
}

TEST_CASE("demands: an entry's report expires unless it is renewed") {
  DemandTable table;
  table.RecordReport(InstanceId("a"), {{WorkspaceId("w"), 3}}, Millis(0));
  table.RecordReport(InstanceId("b"), {{WorkspaceId("w"), 4}}, Millis(4000));
  REQUIRE(table.SumDemands(Millis(5000)).size() == 1);
  CHECK(table.SumDemands(Millis(5000))[0].per_second_ == 7);
  CHECK(table.SumDemands(Millis(6000))[0].per_second_ == 4);
  CHECK(table.SumDemands(Millis(10'000)).empty());
}

TEST_CASE(
    "admission: a request that would be late is rejected with a retry delay") {
  Admission admission = MakeAdmission();
  AdmissionRequest quote = MakeAdmissionRequest("big", "quote");
  CHECK(admission.Admit(quote, Millis(0)).admitted());
  // The estimated wait is long.
  AdmissionRequest plan = MakeAdmissionRequest("big", "plan");
  plan.expected_wait_ = Millis(1500);
  const AdmissionDecision refused = admission.Admit(plan, Millis(0));
  CHECK(refused.code_ == ErrorCode::kOverloaded);
  CHECK(refused.retry_after_ >= Millis(500));
  quote.expected_wait_ = Millis(59'000);
  CHECK(admission.Admit(quote, Millis(0)).code_ ==
        ErrorCode::kDeadlineUnreachable);
  quote.expected_wait_ = Dispatcher::kNoUpstreamWait;
  CHECK(admission.Admit(quote, Millis(0)).code_ == ErrorCode::kNoUpstream);
}

TEST_CASE(
    "retry budget: beyond the reserve, at most one retry per ten requests") {
  testing::CheckProperty("bound", [](const std::vector<bool>& retries) {
    RetryBudget budget(10, 5);
    int requests = 0;
    int granted = 0;
    for (const bool retry : retries) {
      if (retry) {
        granted += budget.TryRetry() ? 1 : 0;
      } else {
        budget.OnRequest();
        ++requests;
      }
      RC_ASSERT(granted <= 5 + requests / 10);
    }
  });
}

TEST_CASE("retry budget: the reserve covers all requests at one full engine") {
  constexpr int kFullBatch = 64;
  RetryBudget budget;
  for (int i = 0; i < kFullBatch; ++i) {
    CHECK(budget.TryRetry());
  }
}

TEST_CASE(
    "estimator: quantiles, and a longer remainder for an already long answer") {
  OutputEstimator estimator;
  const ClassId plan("plan");
  std::mt19937_64 random(7);
  std::lognormal_distribution<double> length(std::log(200), 1);
  for (int i = 0; i < 5000; ++i) {
    estimator.Observe(plan, Tokens(static_cast<int64_t>(length(random)) + 1));
  }
  CHECK(estimator.Quantile(plan, 50).count() > 150);
  CHECK(estimator.Quantile(plan, 50).count() < 270);
  CHECK(estimator.Quantile(plan, 90) > estimator.Quantile(plan, 50) * 2);
  const Tokens initial = estimator.Expected(plan);
  CHECK(estimator.Remaining(plan, Tokens(1000)) > initial);
  CHECK(estimator.Remaining(plan, Tokens(10'000'000)) >= Tokens(1));
}

TEST_CASE("prefixes: hashes are equal up to the first difference in the text") {
  const std::string shared(1000, 'x');
  const auto a = HashPrefixes(shared + "one" + std::string(500, 'a'));
  const auto b = HashPrefixes(shared + "two" + std::string(500, 'a'));
  REQUIRE(a.size() == 5);
  CHECK(std::equal(a.begin(), a.begin() + 3, b.begin()));
  CHECK(a[3] != b[3]);
  CHECK(a[4] != b[4]);
  CHECK(ComputeDigest("/a", "b") != ComputeDigest("/b", "a"));
}

// Simulates an engine whose inter-token latency grows with its batch.
// @return the limit after 60 s.
int RunToSteadyLimit(ConcurrencyLimiter& limiter,
                     int64_t start,
                     double base,
                     double per_request) {
  for (int64_t now = start; now < start + 60'000; now += 50) {
    const int running = limiter.limit();
    const double interval = base + per_request * running;
    limiter.ObserveChunk(Millis(now), Tokens(100),
                         Millis(std::lround(interval * 100)), running);
    limiter.ObserveAnswer(interval, Millis(30));
  }
  return limiter.limit();
}

TEST_CASE("limiter: finds the batch that meets the target") {
  ConcurrencyLimiter limiter;
  limiter.SetTarget(Millis(30));
  const int steady = RunToSteadyLimit(limiter, 0, 10, 0.5);
  CHECK(10 + 0.5 * steady <= 30);
  CHECK(10 + 0.5 * steady >= 26);
  const int slowed = RunToSteadyLimit(limiter, 60'000, 20, 1);
  CHECK(20 + slowed <= 30);
  CHECK(RunToSteadyLimit(limiter, 120'000, 90, 1) == 1);
  CHECK(limiter.Limits().urgent_extra_ >= 1);
  CHECK(limiter.between_tokens() == Millis(91));
}

TEST_CASE("limiter: an unused limit doesn't grow") {
  ConcurrencyLimiter limiter;
  limiter.SetTarget(Millis(30));
  for (int64_t now = 0; now < 60'000; now += 50) {
    limiter.ObserveChunk(Millis(now), Tokens(10), Millis(50), 2);
  }
  CHECK(limiter.limit() == 16);
  limiter.ObserveRefusal(4);
  CHECK(limiter.limit() == 4);
}

TEST_CASE("limiter: grows again from any limit") {
  for (int low = 1; low <= 8; ++low) {
    CAPTURE(low);
    ConcurrencyLimiter limiter;
    limiter.SetTarget(Millis(30));
    limiter.ObserveRefusal(low);
    CHECK(limiter.limit() == low);
    CHECK(RunToSteadyLimit(limiter, 0, 10, 0.5) >= 32);
  }
}

// Several upstreams crash on the same digest and report to one quarantine.
TEST_CASE(
    "quarantine: only the crashing request is blocked, after two crashes") {
  testing::CheckProperty("two crashes", [] {
    Quarantine quarantine;
    const uint64_t crashing = 1;
    int crashes = 0;
    std::set<uint64_t> unanswered;
    const int neighbours = *rc::gen::inRange(0, 20);
    std::vector<RunningAttempt> running = {{crashing, false}};
    for (int i = 0; i < neighbours; ++i) {
      running.push_back({static_cast<uint64_t>(100 + i), false});
      unanswered.insert(100 + i);
    }
    quarantine.OnCrash(running, Millis(0));
    ++crashes;
    // The caller retries the crashing request while new requests run beside it.
    for (int retry_number = 0; retry_number < 5; ++retry_number) {
      const Millis now(1000 + retry_number);
      const CrashStatus status = quarantine.Check(crashing, now);
      if (status == CrashStatus::kBlocked) {
        continue;
      }
      quarantine.OnCrash(
          {{crashing, status == CrashStatus::kSuspect}, {500, false}}, now);
      ++crashes;
    }
    RC_ASSERT(crashes == 2);
    RC_ASSERT(quarantine.Check(500, Millis(2000)) == CrashStatus::kClear);
    for (const uint64_t digest : unanswered) {
      RC_ASSERT(quarantine.Check(digest, Millis(2000)) ==
                CrashStatus::kSuspect);
      quarantine.OnCompleted({digest, true}, Millis(2000));
      RC_ASSERT(quarantine.Check(digest, Millis(2000)) == CrashStatus::kClear);
    }
  });
}

TEST_CASE(
    "quarantine: one crash that entry and sidecar report blocks no request") {
  Quarantine sidecar;
  Quarantine entry;
  const auto records = sidecar.OnCrash({{1, false}, {2, false}}, Millis(0));
  for (const CrashRecord& record : records) {
    CHECK(entry.Merge(record, Millis(1)));
    CHECK_FALSE(entry.Merge(record, Millis(1)));
  }
  entry.OnCrash({{1, false}}, Millis(2));
  CHECK(entry.Check(1, Millis(3)) == CrashStatus::kSuspect);
  for (const CrashRecord& record :
       sidecar.OnCrash({{1, true}, {3, false}}, Millis(4))) {
    CHECK(entry.Merge(record, Millis(5)));
  }
  CHECK(entry.Check(1, Millis(6)) == CrashStatus::kBlocked);
  CHECK(entry.Check(3, Millis(6)) == CrashStatus::kClear);
}

TEST_CASE("quarantine: crashes of copies at two upstreams block the request") {
  Quarantine first;
  Quarantine second;
  const auto at_first = first.OnCrash({{1, false}, {2, false}}, Millis(0), 11);
  const auto at_second =
      second.OnCrash({{1, false}, {3, false}}, Millis(0), 22);
  for (const CrashRecord& record : at_second) {
    first.Merge(record, Millis(1));
  }
  CHECK(first.Check(1, Millis(2)) == CrashStatus::kBlocked);
  CHECK(first.Check(2, Millis(2)) == CrashStatus::kSuspect);
  CHECK(first.Check(3, Millis(2)) == CrashStatus::kSuspect);
  // The same crash reported twice counts once.
  for (const CrashRecord& record : at_first) {
    first.Merge(record, Millis(3));
  }
  CHECK(first.Check(2, Millis(4)) == CrashStatus::kSuspect);
}

TEST_CASE(
    "duplicate gate: one request of a digest runs until one has completed") {
  DuplicateGate gate;
  std::vector<std::string> started;
  const auto make_start = [&started](const char* name) {
    return [&started, name] { started.emplace_back(name); };
  };
  CHECK(gate.Enter(1, RequestId("a"), make_start("a")));
  CHECK_FALSE(gate.Enter(1, RequestId("b"), make_start("b")));
  CHECK_FALSE(gate.Enter(1, RequestId("c"), make_start("c")));
  CHECK_FALSE(gate.Enter(1, RequestId("d"), make_start("d")));
  CHECK(gate.Enter(2, RequestId("e"), make_start("e")));
  gate.Leave(1, RequestId("c"), false);
  gate.Leave(1, RequestId("a"), false);
  CHECK(started == std::vector<std::string>{"b"});
  gate.Leave(1, RequestId("b"), true);
  CHECK(started == std::vector<std::string>{"b", "d"});
  CHECK(gate.Enter(1, RequestId("f"), make_start("f")));
  CHECK(gate.Enter(1, RequestId("g"), make_start("g")));
}

TEST_CASE("quarantine: memory is bounded and records expire") {
  QuarantineOptions options;
  options.max_digests_ = 100;
  Quarantine quarantine(options);
  quarantine.OnCrash({{7, true}}, Millis(0));
  for (uint64_t digest = 1000; digest < 2000; ++digest) {
    quarantine.OnCrash({{digest, false}}, Millis(1));
  }
  CHECK(quarantine.size() == 100);
  CHECK(quarantine.Check(7, Millis(2)) == CrashStatus::kBlocked);
  CHECK(quarantine.Records(Millis(2), 10).size() == 10);
  const Millis later = options.suspect_retention_ + Millis(2);
  CHECK(quarantine.Check(1999, later) == CrashStatus::kClear);
}

TEST_CASE("baselines choose usable upstreams only") {
  std::vector<UpstreamView> views = Views(4);
  views[1].usable_ = false;
  views[2].running_ = 1;
  const std::vector<int> own = {3, 0, 2, 1};
  BaselineDispatcher robin(Baseline::kRoundRobin, 1);
  CHECK(robin.Choose(views, own) == 0);
  CHECK(robin.Choose(views, own) == 2);
  CHECK(BaselineDispatcher(Baseline::kLeastConnections, 1).Choose(views, own) ==
        3);
  CHECK(BaselineDispatcher(Baseline::kPushLeastLoaded, 1).Choose(views, own) ==
        2);
  CHECK(BaselineDispatcher(Baseline::kPowerOfTwo, 1).Choose(views, own) != 1);
  CHECK_FALSE(robin.Choose({}, {}).has_value());
}

}  // namespace
}  // namespace bergamotscale::policy
