// Measures the cost of choosing an instance, of the admission queue, and of the
// gateway's work on events and peer messages, as the number of upstreams grows.
#include <cstdint>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "src/gateway/event_splitter.h"
#include "src/gateway/peer_message.h"
#include "src/policy/admission_queue.h"
#include "src/policy/placer.h"
#include "src/policy/prefix_cache_estimate.h"

namespace bergamotscale {
namespace {

std::vector<policy::InstanceView> Views(int64_t count) {
  std::vector<policy::InstanceView> views(static_cast<size_t>(count));
  for (size_t i = 0; i < views.size(); ++i) {
    views[i].id_hash_ = 1'000 + i;
    views[i].slots_ = 128;
    views[i].running_ = static_cast<int>(i % 50);
    views[i].unread_tokens_ = static_cast<double>(i * 37 % 20'000);
    views[i].uncached_tokens_ = 13'000;
  }
  return views;
}

policy::PlacementRequest LongPrompt() {
  policy::PlacementRequest request;
  request.engine_ = true;
  request.shared_ = {{77, Tokens(13'000)}};
  request.own_tokens_ = Tokens(3'000);
  return request;
}

void PlaceCachedPart(benchmark::State& state) {
  std::vector<policy::InstanceView> views = Views(state.range(0));
  views[3].uncached_tokens_ = 0;
  const policy::PlacementRequest request = LongPrompt();
  uint64_t random = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(policy::ChooseInstance(views, request, ++random));
  }
}
BENCHMARK(PlaceCachedPart)->Arg(9)->Arg(50)->Arg(7'000);

void PlaceUncachedPart(benchmark::State& state) {
  const std::vector<policy::InstanceView> views = Views(state.range(0));
  const policy::PlacementRequest request = LongPrompt();
  uint64_t random = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(policy::ChooseInstance(views, request, ++random));
  }
}
BENCHMARK(PlaceUncachedPart)->Arg(9)->Arg(50)->Arg(7'000);

void OrderQueue(benchmark::State& state) {
  policy::AdmissionQueue queue;
  for (int64_t i = 0; i < state.range(0); ++i) {
    queue.Add({static_cast<int>(i % 3), Millis(i * 7 % 1'000)});
  }
  for (auto _ : state) {
    benchmark::DoNotOptimize(queue.GetOrder(Millis(500)));
  }
}
BENCHMARK(OrderQueue)->Arg(10)->Arg(200);

void UpdateCacheEstimate(benchmark::State& state) {
  policy::PrefixCacheEstimate estimate;
  uint64_t part = 0;
  for (auto _ : state) {
    estimate.OnSent(1, {{part++ % 160, Tokens(13'000)}});
    benchmark::DoNotOptimize(
        estimate.CountUncachedTokens(1, {{5, Tokens(13'000)}}));
  }
}
BENCHMARK(UpdateCacheEstimate);

void SplitEvent(benchmark::State& state) {
  gateway::EventSplitter splitter;
  const std::string event = "id: 12345\ndata: " + std::string(55, 'x') + "\n\n";
  for (auto _ : state) {
    benchmark::DoNotOptimize(splitter.ExtractEvents(event));
  }
}
BENCHMARK(SplitEvent);

void EncodeAndDecodePeerMessage(benchmark::State& state) {
  gateway::PeerMessage message;
  for (int64_t i = 0; i < state.range(0); ++i) {
    message.loads_.instances_.push_back(
        {static_cast<uint64_t>(i) << 40, 12, 3'456});
  }
  for (auto _ : state) {
    const std::string bytes = gateway::WritePeerMessage(message);
    benchmark::DoNotOptimize(gateway::ReadPeerMessage(bytes));
    state.counters["bytes"] = static_cast<double>(bytes.size());
  }
}
BENCHMARK(EncodeAndDecodePeerMessage)->Arg(9)->Arg(50);

}  // namespace
}  // namespace bergamotscale

BENCHMARK_MAIN();
