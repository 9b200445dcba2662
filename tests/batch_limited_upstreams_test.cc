// Batch-limited upstreams for classes with a tight inter-token target.
#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "src/policy/batch_limited_upstreams.h"
#include "src/policy/batch_target.h"
#include "src/policy/dispatcher.h"

namespace bergamotscale::policy {
namespace {

std::vector<ServiceClass> Classes() {
  std::vector<ServiceClass> classes(3);
  const char* const names[] = {"quote", "order", "plan"};
  const int64_t targets[] = {28, 40, 60};
  for (size_t i = 0; i < classes.size(); ++i) {
    classes[i].name_ = ClassId(names[i]);
    classes[i].tier_ = Tier(static_cast<int64_t>(i) + 1);
    classes[i].between_tokens_ = Millis(targets[i]);
    classes[i].first_token_ = Millis(2000);
  }
  return classes;
}

// Upstreams with full batches. At each of the first `with_quotes`, `quotes`
// requests of the tight class run.
std::vector<UpstreamView> MakeBusyUpstreams(int count,
                                            int with_quotes,
                                            int quotes) {
  std::vector<UpstreamView> views(count);
  for (int i = 0; i < count; ++i) {
    views[i].sidecar_ = InstanceId("s" + std::to_string(i));
    views[i].group_ = GroupId("engines");
    views[i].usable_ = true;
    views[i].slots_ = i < with_quotes ? 20 : 60;
    views[i].running_ = views[i].slots_;
    views[i].between_tokens_ = Millis(i < with_quotes ? 25 : 35);
    const int running = i < with_quotes ? quotes : 0;
    views[i].class_waits_ = {{ClassId("quote"), Millis(0), running},
                             {ClassId("plan"), Millis(0), 0}};
  }
  return views;
}

size_t CountAfterUpdates(BatchLimitedUpstreams* batch_limited,
                         const std::vector<UpstreamView>& views) {
  for (int i = 0; i < 60; ++i) {
    batch_limited->Update(views);
  }
  return batch_limited->GetIndices(GroupId("engines")).size();
}

TEST_CASE(
    "batch-limited upstreams: as many as the tight demand needs, plus spare") {
  BatchLimitedUpstreams batch_limited;
  batch_limited.Configure(Classes());
  CHECK(CountAfterUpdates(&batch_limited, MakeBusyUpstreams(9, 2, 16)) == 2);
  CHECK(CountAfterUpdates(&batch_limited, MakeBusyUpstreams(9, 2, 20)) == 3);
  CHECK(CountAfterUpdates(&batch_limited, MakeBusyUpstreams(9, 9, 20)) == 9);
  CHECK(CountAfterUpdates(&batch_limited, MakeBusyUpstreams(9, 9, 2)) == 2);
  CHECK(batch_limited.IsRestricted(ClassId("quote")));
  CHECK_FALSE(batch_limited.IsRestricted(ClassId("plan")));
}

TEST_CASE(
    "batch-limited upstreams: none for services, equal targets or no reports") {
  BatchLimitedUpstreams batch_limited;
  CHECK_FALSE(batch_limited.IsRestricted(ClassId("quote")));
  batch_limited.Configure(Classes());
  std::vector<UpstreamView> services = MakeBusyUpstreams(3, 0, 0);
  for (UpstreamView& view : services) {
    view.between_tokens_ = Millis(0);
  }
  batch_limited.Update(services);
  CHECK_FALSE(batch_limited.IsRestricted(ClassId("quote")));
  CHECK(batch_limited.CanRun(services.back()));
  std::vector<ServiceClass> equal = Classes();
  for (ServiceClass& service_class : equal) {
    service_class.between_tokens_ = Millis(28);
  }
  batch_limited.Configure(equal);
  batch_limited.Update(MakeBusyUpstreams(9, 2, 16));
  CHECK_FALSE(batch_limited.IsRestricted(ClassId("quote")));
}

TEST_CASE(
    "batch-limited upstreams: a straggler or an unusable one is replaced") {
  BatchLimitedUpstreams batch_limited;
  batch_limited.Configure(Classes());
  std::vector<UpstreamView> views = MakeBusyUpstreams(9, 2, 16);
  CountAfterUpdates(&batch_limited, views);
  views[0].usable_ = false;
  views[1].between_tokens_ = Millis(200);
  batch_limited.Update(views);
  const std::vector<int> indices = batch_limited.GetIndices(GroupId("engines"));
  REQUIRE_FALSE(indices.empty());
  CHECK(indices.front() == 2);
}

std::set<int> ChooseRepeatedly(Dispatcher* dispatcher,
                               const DispatchRequest& request,
                               const std::vector<UpstreamView>& views) {
  std::set<int> indices_seen;
  for (int i = 0; i < 50; ++i) {
    for (const int index : dispatcher->Choose(request, views)) {
      indices_seen.insert(index);
    }
  }
  return indices_seen;
}

TEST_CASE(
    "dispatch: a tight class runs at batch-limited upstreams while it can") {
  Dispatcher dispatcher{DispatcherOptions()};
  dispatcher.Configure(Classes());
  std::vector<UpstreamView> views = MakeBusyUpstreams(9, 2, 16);
  for (int i = 0; i < 10; ++i) {
    dispatcher.Refresh(views);
  }
  DispatchRequest quote;
  quote.class_ = ClassId("quote");
  quote.group_ = GroupId("engines");
  CHECK(ChooseRepeatedly(&dispatcher, quote, views) == std::set<int>{0, 1});
  SUBCASE("another upstream serves it while its own batch is small") {
    views[5].running_ = 4;
    CHECK(ChooseRepeatedly(&dispatcher, quote, views) ==
          std::set<int>{0, 1, 5});
  }
  SUBCASE("it goes to any upstream if it would wait too long") {
    views[0].class_waits_[0].wait_ = Millis(1500);
    views[1].class_waits_[0].wait_ = Millis(1500);
    CHECK(dispatcher.EstimateBestWait(quote, views) < Millis(1000));
    CHECK(*ChooseRepeatedly(&dispatcher, quote, views).rbegin() > 1);
  }
  SUBCASE("suspects and other classes go to any upstream") {
    quote.suspect_ = true;
    CHECK(*ChooseRepeatedly(&dispatcher, quote, views).rbegin() > 1);
    DispatchRequest plan = quote;
    plan.suspect_ = false;
    plan.class_ = ClassId("plan");
    CHECK(*ChooseRepeatedly(&dispatcher, plan, views).rbegin() > 1);
  }
}

// @return the upstreams that an entry with that seed chooses for a prompt of
// class plan.
std::set<int> ChooseForPrompt(uint64_t seed,
                              uint64_t prefix,
                              const std::vector<UpstreamView>& views) {
  DispatcherOptions options;
  options.seed_ = seed;
  Dispatcher dispatcher{options};
  dispatcher.Configure(Classes());
  DispatchRequest plan;
  plan.class_ = ClassId("plan");
  plan.group_ = GroupId("engines");
  plan.prefix_hashes_ = {prefix};
  const std::vector<int> chosen = dispatcher.Choose(plan, views);
  return {chosen.begin(), chosen.end()};
}

TEST_CASE(
    "dispatch: under load all entries choose the same upstreams for a prompt") {
  std::vector<UpstreamView> views = MakeBusyUpstreams(9, 0, 0);
  for (size_t i = 0; i < views.size(); ++i) {
    views[i].class_waits_[1].wait_ = Millis(1000 + 20 * static_cast<int>(i));
  }
  std::set<int> preferred;
  int same = 0;
  constexpr int kPrompts = 50;
  for (uint64_t prompt = 1; prompt <= kPrompts; ++prompt) {
    const std::set<int> indices_seen = ChooseForPrompt(1, prompt, views);
    same += indices_seen == ChooseForPrompt(2, prompt, views) ? 1 : 0;
    preferred.insert(indices_seen.begin(), indices_seen.end());
  }
  // The random part of a score changes few choices, and all upstreams share the
  // load.
  CHECK(same >= kPrompts / 2);
  CHECK(preferred.size() == views.size());
  // The load bound: no upstream whose wait is longer by more than the class's
  // first-token target.
  views[4].class_waits_[1].wait_ = Millis(3100);
  for (uint64_t prompt = 1; prompt <= kPrompts; ++prompt) {
    CHECK(ChooseForPrompt(1, prompt, views).count(4) == 0);
  }
}

TEST_CASE("dispatch: batch-limited upstreams are found among thousands") {
  Dispatcher dispatcher{DispatcherOptions()};
  dispatcher.Configure(Classes());
  const std::vector<UpstreamView> views = MakeBusyUpstreams(2000, 2, 16);
  for (int i = 0; i < 10; ++i) {
    dispatcher.Refresh(views);
  }
  DispatchRequest quote;
  quote.class_ = ClassId("quote");
  quote.group_ = GroupId("engines");
  CHECK(ChooseRepeatedly(&dispatcher, quote, views) == std::set<int>{0, 1});
}

TEST_CASE("batch target: follows the classes at an upstream") {
  BatchTarget target;
  target.Configure(Classes());
  WorkQueue queue;
  queue.Configure(Classes());
  CHECK(target.UpdateTarget(queue, Millis(0)) == Millis(28));
  CHECK(target.UpdateTarget(queue, Millis(10'000)) == Millis(40));
  QueueItem item;
  item.handle_ = 1;
  item.class_ = ClassId("quote");
  item.first_token_due_ = Millis(20'000);
  item.deadline_ = Millis(90'000);
  queue.Push(item, Millis(10'000));
  CHECK(target.UpdateTarget(queue, Millis(10'000)) == Millis(28));
  const auto started = queue.PopNext(Millis(10'000), {4, 0, 0});
  REQUIRE(started.has_value());
  CHECK(target.UpdateTarget(queue, Millis(60'000)) == Millis(28));
  queue.RecordEnd(*started, Tokens(10));
  CHECK(target.UpdateTarget(queue, Millis(60'100)) == Millis(28));
  CHECK(target.UpdateTarget(queue, Millis(70'000)) == Millis(40));
}

}  // namespace
}  // namespace bergamotscale::policy
