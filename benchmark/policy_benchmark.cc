// Measures the cost of a decision as the numbers of upstreams, classes and
// requests grow.
#include <cstdint>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "src/policy/admission.h"
#include "src/policy/dispatcher.h"
#include "src/policy/prefix_hasher.h"
#include "src/policy/quarantine.h"
#include "src/policy/work_queue.h"

namespace bergamotscale::policy {
namespace {

constexpr int kSlots = 32;
constexpr int kPrefixes = 200;

std::vector<ServiceClass> Classes(int64_t count) {
  std::vector<ServiceClass> classes(count);
  for (int64_t i = 0; i < count; ++i) {
    classes[i].name_ = ClassId("class" + std::to_string(i));
    classes[i].tier_ = Tier(1 + i);
    classes[i].floor_percent_ = 2;
  }
  return classes;
}

std::vector<UpstreamView> Views(int64_t count) {
  std::vector<UpstreamView> views(count);
  for (int64_t i = 0; i < count; ++i) {
    UpstreamView& view = views[i];
    view.sidecar_ = InstanceId("sidecar" + std::to_string(i));
    view.group_ = GroupId("engines");
    view.zone_ = ZoneId(i % 3 == 0 ? "a" : "b");
    view.usable_ = true;
    view.slots_ = kSlots;
    view.running_ = static_cast<int>(i % kSlots);
    view.between_tokens_ = Millis(20);
    view.expected_wait_ = Millis(i % 50);
    for (uint64_t prefix = 0; prefix < kPrefixes; ++prefix) {
      view.cached_prefixes_.push_back(prefix * 1000 + i);
    }
  }
  return views;
}

void Dispatch(benchmark::State& state) {
  const std::vector<UpstreamView> views = Views(state.range(0));
  DispatcherOptions options;
  options.zone_ = ZoneId("a");
  Dispatcher dispatcher(options);
  DispatchRequest request;
  request.class_ = ClassId("class0");
  request.group_ = GroupId("engines");
  request.prefix_hashes_ = {3, 1007, 77, 99};
  for (auto _ : state) {
    const std::vector<int> chosen = dispatcher.Choose(request, views);
    benchmark::DoNotOptimize(chosen.data());
    dispatcher.OnStarted(request, views, chosen.front());
  }
}
BENCHMARK(Dispatch)->Arg(9)->Arg(24)->Arg(100)->Arg(1000)->Arg(7000);

QueueItem Item(uint64_t handle, const std::vector<ServiceClass>& classes) {
  const ServiceClass& service_class = classes[handle % classes.size()];
  QueueItem item;
  item.handle_ = handle;
  item.class_ = service_class.name_;
  item.tier_ = service_class.tier_;
  item.first_token_due_ = Millis(static_cast<int64_t>(handle % 5000));
  item.deadline_ = Millis(static_cast<int64_t>(60'000 + handle % 1000));
  item.expected_output_ = Tokens(100);
  return item;
}

// Pushes and pops one request while range(0) requests of range(1) classes wait.
void PushAndPop(benchmark::State& state) {
  const std::vector<ServiceClass> classes = Classes(state.range(1));
  WorkQueue queue;
  queue.Configure(classes);
  uint64_t handle = 0;
  while (static_cast<int64_t>(queue.size()) < state.range(0)) {
    queue.Push(Item(handle, classes), Millis(0));
    ++handle;
  }
  const SlotLimits limits{kSlots, 4, 2};
  for (auto _ : state) {
    queue.Push(Item(handle, classes), Millis(0));
    ++handle;
    const auto next = queue.PopNext(Millis(0), limits);
    queue.RecordEnd(*next, Tokens(100));
  }
}
BENCHMARK(PushAndPop)
    ->Args({1, 3})
    ->Args({100, 3})
    ->Args({7000, 3})
    ->Args({7000, 12})
    ->Args({7000, 48});

void PushAndWithdraw(benchmark::State& state) {
  const std::vector<ServiceClass> classes = Classes(3);
  WorkQueue queue;
  queue.Configure(classes);
  uint64_t handle = 0;
  while (static_cast<int64_t>(queue.size()) < state.range(0)) {
    queue.Push(Item(handle, classes), Millis(0));
    ++handle;
  }
  for (auto _ : state) {
    queue.Push(Item(handle, classes), Millis(0));
    queue.Withdraw(handle, Millis(0));
    ++handle;
  }
}
BENCHMARK(PushAndWithdraw)->Arg(1)->Arg(100)->Arg(7000);

void Admit(benchmark::State& state) {
  std::vector<Workspace> workspaces(state.range(0));
  for (int64_t i = 0; i < state.range(0); ++i) {
    workspaces[i].name_ = WorkspaceId("workspace" + std::to_string(i));
  }
  Admission admission;
  admission.Configure(workspaces);
  AdmissionRequest request;
  request.workspace_ = workspaces[0].name_;
  request.class_ = ClassId("class0");
  request.first_token_left_ = Millis(1000);
  request.deadline_left_ = Millis(60'000);
  int64_t now = 0;
  for (auto _ : state) {
    now += 100;
    benchmark::DoNotOptimize(admission.Admit(request, Millis(now)));
  }
}
BENCHMARK(Admit)->Arg(10)->Arg(5300);

void CheckQuarantine(benchmark::State& state) {
  Quarantine quarantine;
  for (uint64_t digest = 0; digest < 10'000; ++digest) {
    quarantine.OnCrash({{digest, false}}, Millis(0));
  }
  uint64_t digest = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(quarantine.Check(++digest, Millis(1)));
  }
}
BENCHMARK(CheckQuarantine);

void HashPrompt(benchmark::State& state) {
  const std::string prompt(state.range(0), 'x');
  for (auto _ : state) {
    benchmark::DoNotOptimize(HashPrefixes(prompt));
  }
}
BENCHMARK(HashPrompt)->Arg(1000)->Arg(16'000);

}  // namespace
}  // namespace bergamotscale::policy

BENCHMARK_MAIN();
