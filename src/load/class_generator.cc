#include "src/load/class_generator.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "src/emulator/answer.h"

namespace bergamotscale::load {
namespace {

constexpr double kMillisPerSecond = 1000;
// All prompts of a workspace and class share a prefix of this many tokens.
constexpr int64_t kSharedPrefixTokens = 96;
constexpr int64_t kMinLeaveMillis = 200;
constexpr int64_t kMaxLeaveMillis = 4000;

}  // namespace

ClassGenerator::ClassGenerator(const WorkloadOptions& options,
                               const MixProfile& mix,
                               const ClassProfile& profile)
    : options_(options), mix_(mix), profile_(profile) {
  std::seed_seq seed{options.seed_ & UINT32_MAX, options.seed_ >> 32,
                     static_cast<uint64_t>(profile.tier_.value())};
  random_.seed(seed);
}

void ClassGenerator::AppendArrivals(std::vector<Arrival>* arrivals) {
  const double base = options_.requests_per_second_ * profile_.share_;
  const double peak = base * std::max(1.0, MaxBurstFactor());
  if (peak <= 0) {
    return;
  }
  std::exponential_distribution<double> gap(peak / kMillisPerSecond);
  const auto length = static_cast<double>(options_.length_.count());
  for (double time = gap(random_); time < length; time += gap(random_)) {
    const Millis at(static_cast<int64_t>(time));
    const double threshold = Uniform();
    Arrival arrival = Draw(at);
    if (threshold * peak < base * BurstFactorAt(at)) {
      arrivals->push_back(std::move(arrival));
    }
  }
}

bool ClassGenerator::HasBurst() const {
  return options_.burst_.has_value() &&
         options_.burst_->class_ == profile_.class_;
}

double ClassGenerator::MaxBurstFactor() const {
  return HasBurst() ? options_.burst_->factor_ : 1;
}

double ClassGenerator::BurstFactorAt(Millis time) const {
  const bool inside = HasBurst() && time >= options_.burst_->start_ &&
                      time < options_.burst_->start_ + options_.burst_->length_;
  return inside ? options_.burst_->factor_ : 1;
}

double ClassGenerator::Uniform() {
  return std::generate_canonical<double, 53>(random_);
}

Tokens ClassGenerator::DrawTokens(const TokenDistribution& distribution) {
  const auto median = static_cast<double>(distribution.median_.count());
  std::lognormal_distribution<double> lognormal(std::log(median),
                                                distribution.sigma_);
  const auto drawn = static_cast<int64_t>(std::llround(lognormal(random_)));
  return Tokens(std::clamp<int64_t>(drawn, 1, distribution.max_.count()));
}

size_t ClassGenerator::DrawWorkspace() {
  std::discrete_distribution<size_t> pick(mix_.workspace_shares_.begin(),
                                          mix_.workspace_shares_.end());
  return pick(random_);
}

Arrival ClassGenerator::Draw(Millis time) {
  Arrival arrival;
  arrival.time_ = time;
  arrival.class_ = profile_.class_;
  arrival.tier_ = profile_.tier_;
  arrival.workspace_ = mix_.workspaces_.at(DrawWorkspace());
  arrival.zone_ = mix_.zones_.at(random_() % mix_.zones_.size());
  arrival.caller_ = static_cast<int>(random_() % mix_.callers_);
  arrival.model_ = mix_.model_;
  arrival.output_tokens_ = DrawTokens(profile_.output_);
  BuildPrompt(DrawTokens(profile_.prompt_), &arrival);
  DrawKind(&arrival);
  return arrival;
}

void ClassGenerator::DrawKind(Arrival* arrival) {
  const double leaves = Uniform();
  const Millis leaves_after(
      kMinLeaveMillis +
      static_cast<int64_t>(Uniform() * (kMaxLeaveMillis - kMinLeaveMillis)));
  if (profile_.order_) {
    arrival->order_ = true;
    arrival->path_ = mix_.order_path_;
    arrival->key_ = IdempotencyKey("order-" + std::to_string(random_()));
  } else if (leaves < options_.early_leavers_) {
    arrival->leaves_at_ = arrival->time_ + leaves_after;
  }
}

void ClassGenerator::BuildPrompt(Tokens tokens, Arrival* arrival) {
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

}  // namespace bergamotscale::load
