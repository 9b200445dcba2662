#include "src/load/workload.h"

#include <algorithm>
#include <utility>

#include "src/config/key_hash.h"
#include "src/emulator/answer.h"
#include "src/load/class_generator.h"

namespace bergamotscale::load {
namespace {

constexpr double kMicrosPerSecond = 1e6;
constexpr int kCapacitySamples = 4000;
constexpr double kWorkspaceRequestsPerSecond = 1000;
constexpr int kWorkspaceBurst = 2000;
constexpr int kFloorPercent = 10;
constexpr uint64_t kCapacitySeed = 20260101;

ServiceClass MakeServiceClass(const ClassProfile& profile) {
  ServiceClass result;
  result.name_ = profile.class_;
  result.tier_ = profile.tier_;
  result.first_token_ = profile.first_token_target_;
  result.between_tokens_ = profile.between_tokens_target_;
  result.deadline_ = profile.deadline_;
  result.floor_percent_ = profile.tier_ == Tier(1) ? 0 : kFloorPercent;
  result.idempotent_ = !profile.order_;
  return result;
}

// Marks requests at even distances in the list, but no orders.
void MarkCrashingRequests(int count, std::vector<Arrival>* arrivals) {
  for (int i = 0; i < count; ++i) {
    size_t at = arrivals->size() * (i + 1) / (count + 1);
    while (at < arrivals->size() &&
           ((*arrivals)[at].order_ || (*arrivals)[at].crashes_engine_)) {
      ++at;
    }
    if (at < arrivals->size()) {
      (*arrivals)[at].crashes_engine_ = true;
      (*arrivals)[at].prompt_ += emulator::kCrashMarker;
      (*arrivals)[at].leaves_at_.reset();
    }
  }
}

}  // namespace

std::vector<Arrival> GenerateArrivals(const WorkloadOptions& options) {
  const MixProfile& mix = GetMixProfile(options.mix_);
  std::vector<Arrival> arrivals;
  for (const ClassProfile& profile : mix.classes_) {
    ClassGenerator(options, mix, profile).AppendArrivals(&arrivals);
  }
  std::stable_sort(
      arrivals.begin(), arrivals.end(),
      [](const Arrival& a, const Arrival& b) { return a.time_ < b.time_; });
  MarkCrashingRequests(options.crashing_requests_, &arrivals);
  int64_t number = 0;
  for (Arrival& arrival : arrivals) {
    arrival.number_ = number++;
    arrival.prompt_tokens_ =
        emulator::CountPromptTokens(MakeEnginePrompt(arrival));
  }
  return arrivals;
}

std::string MakeWorkspaceKey(const WorkspaceId& workspace) {
  return "key-" + workspace.value();
}

ConfigDocument MakeMixConfig(Mix mix) {
  const MixProfile& profile = GetMixProfile(mix);
  ConfigDocument config;
  std::vector<ClassId> classes;
  for (const ClassProfile& each : profile.classes_) {
    config.classes_.push_back(MakeServiceClass(each));
    classes.push_back(each.class_);
    if (each.order_) {
      config.services_.push_back(
          ServiceRoute{profile.order_path_, profile.service_group_, each.class_,
                       /*idempotent=*/false});
    }
  }
  for (const WorkspaceId& name : profile.workspaces_) {
    config.workspaces_.push_back(
        Workspace{name,
                  {config::HashWorkspaceKey(MakeWorkspaceKey(name))},
                  kWorkspaceRequestsPerSecond,
                  kWorkspaceBurst,
                  classes});
  }
  config.groups_ = {
      UpstreamGroup{profile.engine_group_, GroupKind::kEngine, false, 0},
      UpstreamGroup{profile.service_group_, GroupKind::kService, false, 0}};
  config.models_ = {Model{profile.model_, profile.engine_group_}};
  return config;
}

std::string MakeEnginePrompt(const Arrival& arrival) {
  return emulator::JoinMessages({{"user", arrival.prompt_}});
}

double CapacityOf(Mix mix,
                  const emulator::EngineParameters& engine,
                  int engines,
                  int batch) {
  WorkloadOptions options;
  options.mix_ = mix;
  options.seed_ = kCapacitySeed;
  options.requests_per_second_ = kCapacitySamples / 60.0;
  const std::vector<Arrival> sample = GenerateArrivals(options);
  const double token_micros =
      static_cast<double>(engine.step_base_.count()) / batch +
      static_cast<double>(engine.step_per_sequence_.count());
  double micros = 0;
  for (const Arrival& arrival : sample) {
    if (!arrival.order_) {
      micros +=
          static_cast<double>(arrival.output_tokens_.count()) * token_micros;
      micros += static_cast<double>(arrival.prompt_tokens_.count()) *
                static_cast<double>(engine.prefill_per_token_.count());
    }
  }
  return engines * kMicrosPerSecond * static_cast<double>(sample.size()) /
         micros;
}

}  // namespace bergamotscale::load
