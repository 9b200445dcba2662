#include "src/load/workload.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

#include "src/config/key_hash.h"
#include "src/emulator/answer.h"

namespace bergamotscale::load {
namespace {

constexpr int kWorkspaces = 10;
constexpr double kMillisPerSecond = 1000;
constexpr double kMicrosPerSecond = 1e6;
// Every prompt of a workspace and class starts with this many equal tokens.
constexpr int64_t kSharedPrefixTokens = 96;
constexpr int64_t kEarliestLeaveMillis = 200;
constexpr int64_t kLatestLeaveMillis = 4000;
constexpr int kCapacitySamples = 4000;
constexpr double kWorkspaceRequestsPerSecond = 1000;
constexpr int kWorkspaceBurst = 2000;
constexpr int kFloorPercent = 10;
constexpr uint64_t kCapacitySeed = 20260101;

MixProfile BaseProfile(const std::string& workspace_prefix, int zones) {
  MixProfile profile;
  double total = 0;
  for (int i = 1; i <= kWorkspaces; ++i) {
    profile.workspaces_.emplace_back(workspace_prefix + std::to_string(i));
    profile.workspace_shares_.push_back(1.0 / i);
    total += 1.0 / i;
  }
  for (double& share : profile.workspace_shares_) {
    share /= total;
  }
  for (int i = 1; i <= zones; ++i) {
    profile.zones_.emplace_back("zone-" + std::to_string(i));
  }
  return profile;
}

ClassProfile QuickProfile(const std::string& name) {
  ClassProfile quick;
  quick.class_ = ClassId(name);
  quick.tier_ = Tier(1);
  quick.first_token_target_ = Millis(1000);
  quick.between_tokens_target_ = Millis(28);
  quick.deadline_ = Millis(15000);
  quick.share_ = 0.6;
  quick.prompt_ = TokenDistribution{Tokens(200), 0.5, Tokens(800)};
  quick.output_ = TokenDistribution{Tokens(40), 0.6, Tokens(300)};
  return quick;
}

ClassProfile OrderProfile() {
  ClassProfile order;
  order.class_ = ClassId("order");
  order.tier_ = Tier(2);
  order.first_token_target_ = Millis(1900);
  order.between_tokens_target_ = Millis(28);
  order.deadline_ = Millis(30000);
  order.share_ = 0.15;
  order.prompt_ = TokenDistribution{Tokens(120), 0.3, Tokens(400)};
  order.output_ = TokenDistribution{Tokens(16), 0.3, Tokens(64)};
  order.order_ = true;
  return order;
}

ClassProfile LongProfile(const std::string& name) {
  ClassProfile bulk;
  bulk.class_ = ClassId(name);
  bulk.tier_ = Tier(3);
  bulk.first_token_target_ = Millis(10000);
  bulk.between_tokens_target_ = Millis(60);
  bulk.deadline_ = Millis(120000);
  bulk.share_ = 0.25;
  bulk.prompt_ = TokenDistribution{Tokens(500), 0.6, Tokens(3000)};
  bulk.output_ = TokenDistribution{Tokens(250), 0.9, Tokens(2000)};
  return bulk;
}

MixProfile TagworksProfile() {
  MixProfile profile = BaseProfile("agency-", 3);
  profile.classes_ = {QuickProfile("suggestion"), OrderProfile(),
                      LongProfile("bulk")};
  profile.model_ = ModelId("keywords-8b");
  profile.engine_group_ = GroupId("keywording");
  profile.service_group_ = GroupId("agency");
  profile.order_path_ = "/v1/orders";
  return profile;
}

MixProfile StovesProfile() {
  MixProfile profile = BaseProfile("fitter-", 4);
  profile.classes_ = {QuickProfile("quote"), OrderProfile(),
                      LongProfile("bend-plan")};
  profile.model_ = ModelId("bends-8b");
  profile.engine_group_ = GroupId("planning");
  profile.service_group_ = GroupId("workshop-orders");
  profile.order_path_ = "/v1/orders";
  return profile;
}

// Draws the arrivals of one class. Each class has a generator of its own, so
// that a burst of one leaves the others' arrivals as they are.
class ClassGenerator {
 public:
  ClassGenerator(const WorkloadOptions& options,
                 const MixProfile& mix,
                 const ClassProfile& profile)
      : options_(options), mix_(mix), profile_(profile) {
    std::seed_seq seed{options.seed_ & UINT32_MAX, options.seed_ >> 32,
                       static_cast<uint64_t>(profile.tier_.value())};
    random_.seed(seed);
  }

  void AppendArrivals(std::vector<Arrival>* arrivals) {
    const double base = options_.requests_per_second_ * profile_.share_;
    const double peak = base * std::max(1.0, HighestFactor());
    if (peak <= 0) {
      return;
    }
    std::exponential_distribution<double> gap(peak / kMillisPerSecond);
    const auto length = static_cast<double>(options_.length_.count());
    for (double time = gap(random_); time < length; time += gap(random_)) {
      const Millis at(static_cast<int64_t>(time));
      const double kept = Uniform();
      Arrival arrival = Draw(at);
      if (kept * peak < base * FactorAt(at)) {
        arrivals->push_back(std::move(arrival));
      }
    }
  }

 private:
  bool BurstIsOurs() const {
    return options_.burst_.has_value() &&
           options_.burst_->class_ == profile_.class_;
  }

  double HighestFactor() const {
    return BurstIsOurs() ? options_.burst_->factor_ : 1;
  }

  double FactorAt(Millis time) const {
    const bool inside =
        BurstIsOurs() && time >= options_.burst_->start_ &&
        time < options_.burst_->start_ + options_.burst_->length_;
    return inside ? options_.burst_->factor_ : 1;
  }

  double Uniform() { return std::generate_canonical<double, 53>(random_); }

  Tokens DrawTokens(const TokenDistribution& distribution) {
    const auto median = static_cast<double>(distribution.median_.count());
    std::lognormal_distribution<double> lognormal(std::log(median),
                                                  distribution.sigma_);
    const auto drawn = static_cast<int64_t>(std::llround(lognormal(random_)));
    return Tokens(std::clamp<int64_t>(drawn, 1, distribution.most_.count()));
  }

  size_t DrawWorkspace() {
    std::discrete_distribution<size_t> pick(mix_.workspace_shares_.begin(),
                                            mix_.workspace_shares_.end());
    return pick(random_);
  }

  Arrival Draw(Millis time) {
    Arrival arrival;
    arrival.time_ = time;
    arrival.class_ = profile_.class_;
    arrival.tier_ = profile_.tier_;
    arrival.workspace_ = mix_.workspaces_.at(DrawWorkspace());
    arrival.zone_ = mix_.zones_.at(random_() % mix_.zones_.size());
    arrival.caller_ = static_cast<int>(random_() % mix_.callers_);
    arrival.model_ = mix_.model_;
    arrival.output_tokens_ = DrawTokens(profile_.output_);
    WritePrompt(DrawTokens(profile_.prompt_), &arrival);
    const double leaves = Uniform();
    const Millis leaves_after(
        kEarliestLeaveMillis +
        static_cast<int64_t>(Uniform() *
                             (kLatestLeaveMillis - kEarliestLeaveMillis)));
    if (profile_.order_) {
      arrival.order_ = true;
      arrival.path_ = mix_.order_path_;
      arrival.key_ = IdempotencyKey("order-" + std::to_string(random_()));
    } else if (leaves < options_.early_leavers_) {
      arrival.leaves_at_ = time + leaves_after;
    }
    return arrival;
  }

  void WritePrompt(Tokens tokens, Arrival* arrival) {
    constexpr int64_t kBytes = emulator::kBytesPerToken;
    const std::string line =
        arrival->workspace_.value() + " " + profile_.class_.value() + ". ";
    std::string prompt;
    while (static_cast<int64_t>(prompt.size()) < kSharedPrefixTokens * kBytes) {
      prompt += line;
    }
    prompt.resize(kSharedPrefixTokens * kBytes);
    prompt += " " + std::to_string(random_()) + " ";
    const std::string directive =
        emulator::kLengthDirective +
        std::to_string(arrival->output_tokens_.count()) + "]";
    const auto wanted = static_cast<size_t>(tokens.count() * kBytes);
    if (prompt.size() + directive.size() < wanted) {
      prompt.resize(wanted - directive.size(), '.');
    }
    arrival->prompt_ = prompt + directive;
  }

  const WorkloadOptions& options_;
  const MixProfile& mix_;
  const ClassProfile& profile_;
  std::mt19937_64 random_;
};

ServiceClass ServiceClassOf(const ClassProfile& profile) {
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

// Marks requests of the most urgent class, which the rules protect most.
void MarkCrashing(int count, std::vector<Arrival>* arrivals) {
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

const MixProfile& ProfileOf(Mix mix) {
  static const MixProfile* const kTagworks = new MixProfile(TagworksProfile());
  static const MixProfile* const kStoves = new MixProfile(StovesProfile());
  return mix == Mix::kTagworks ? *kTagworks : *kStoves;
}

std::vector<Arrival> GenerateArrivals(const WorkloadOptions& options) {
  const MixProfile& mix = ProfileOf(options.mix_);
  std::vector<Arrival> arrivals;
  for (const ClassProfile& profile : mix.classes_) {
    ClassGenerator(options, mix, profile).AppendArrivals(&arrivals);
  }
  std::stable_sort(
      arrivals.begin(), arrivals.end(),
      [](const Arrival& a, const Arrival& b) { return a.time_ < b.time_; });
  MarkCrashing(options.crashing_requests_, &arrivals);
  int64_t number = 0;
  for (Arrival& arrival : arrivals) {
    arrival.number_ = number++;
    arrival.prompt_tokens_ =
        emulator::CountPromptTokens(EnginePromptOf(arrival));
  }
  return arrivals;
}

std::string WorkspaceKeyOf(const WorkspaceId& workspace) {
  return "key-" + workspace.value();
}

ConfigDocument ConfigOf(Mix mix) {
  const MixProfile& profile = ProfileOf(mix);
  ConfigDocument config;
  std::vector<ClassId> classes;
  for (const ClassProfile& each : profile.classes_) {
    config.classes_.push_back(ServiceClassOf(each));
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
                  {config::HashWorkspaceKey(WorkspaceKeyOf(name))},
                  kWorkspaceRequestsPerSecond,
                  kWorkspaceBurst,
                  classes});
  }
  config.groups_ = {
      UpstreamGroup{profile.engine_group_, GroupKind::kEngine, false},
      UpstreamGroup{profile.service_group_, GroupKind::kService, false}};
  config.models_ = {Model{profile.model_, profile.engine_group_}};
  return config;
}

std::string EnginePromptOf(const Arrival& arrival) {
  return emulator::PromptOf({{"user", arrival.prompt_}});
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
