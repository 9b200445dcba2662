#include "src/policy/dispatcher.h"

#include <algorithm>
#include <limits>
#include <random>
#include <unordered_map>

#include "src/policy/kept_upstreams.h"

namespace bergamotscale::policy {

namespace {

constexpr int kPercent = 100;
// A report of this age counts half against the mean of the others.
constexpr double kHalfAgeMillis = 1000;
// What a full batch costs over an empty one, in slower tokens.
constexpr double kFullBatchMillis = 30;
// A prompt that is new to all goes to the same upstream from every entry.
constexpr double kHomeMillis = 4;
// Under load, the most that an upstream's place among the homes of a prompt
// counts: every entry sends a prompt to the same few.
constexpr double kHomesMillis = 30;
// Waits that exceed the least by no more than this part of a class's
// first-token target are equal, so that cached prefixes decide.
constexpr int64_t kTopTierEvenPercent = 10;
constexpr int64_t kEvenPercent = 100;
// Random part of a score, so that entries with one report don't all follow it.
constexpr double kJitterMillis = 3;
constexpr double kStragglerMillis = 20'000;
constexpr size_t kMaxPrefixes = 20'000;
// Fewer upstreams than this in the own zone are no choice.
constexpr int kMinOwnZone = 2;
// A suspect tries so many places within its deadline.
constexpr int64_t kSuspectPlaces = 4;
// A wait under this is no reason to look beyond an upstream.
constexpr double kMinSlotMillis = 5;

struct Candidate {
  int index_ = 0;
  double score_ = 0;     // ms
  size_t prefixes_ = 0;  // of the prompt, cached there
};

uint64_t Mix(uint64_t value) {
  value ^= value >> 33;
  value *= 0xff51afd7ed558ccdULL;
  value ^= value >> 33;
  value *= 0xc4ceb9fe1a85ec53ULL;
  value ^= value >> 33;
  return value;
}

// Rendezvous weight of an upstream for a prefix or digest, the same everywhere.
uint64_t WeightOf(const InstanceId& sidecar, uint64_t key) {
  return Mix(std::hash<InstanceId>()(sidecar) ^ key);
}

// @return the weight for a prefix as a fraction.
double HomeWeight(const InstanceId& sidecar, uint64_t prefix) {
  return static_cast<double>(WeightOf(sidecar, prefix)) /
         static_cast<double>(std::numeric_limits<uint64_t>::max());
}

template <typename Id>
bool Contains(const std::vector<Id>& ids, const Id& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

double ReportedWait(const UpstreamView& view, const ClassId& class_id) {
  for (const ClassWait& wait : view.class_waits_) {
    if (wait.class_ == class_id) {
      return static_cast<double>(wait.wait_.count());
    }
  }
  return static_cast<double>(view.expected_wait_.count());
}

// @return how many of the prompt's prefixes the upstream reports as cached.
size_t ReportedPrefixes(const UpstreamView& view,
                        const std::vector<uint64_t>& hashes) {
  for (size_t count = hashes.size(); count > 0; --count) {
    if (std::binary_search(view.cached_prefixes_.begin(),
                           view.cached_prefixes_.end(), hashes[count - 1])) {
      return count;
    }
  }
  return 0;
}

// @return whether a request may be placed at the upstream at all.
bool CanServe(const UpstreamView& view, const DispatchRequest& request) {
  const bool has_model =
      request.model_.empty() || Contains(view.models_, request.model_);
  return view.usable_ && view.group_ == request.group_ && has_model &&
         !Contains(request.avoid_, view.sidecar_);
}

}  // namespace

Millis SuspectPatience(Millis deadline) {
  return deadline / kSuspectPlaces;
}

struct Dispatcher::Impl {
  // Where a prefix has run last, from this entry.
  struct Home {
    InstanceId sidecar_;
    int index_hint_ = -1;
  };
  // The longest known prefix of a prompt.
  struct Match {
    const Home* home_ = nullptr;
    size_t count_ = 0;
  };

  void Gather(const DispatchRequest& request,
              const std::vector<UpstreamView>& views);
  void Sample(const DispatchRequest& request,
              const std::vector<UpstreamView>& views);
  void Consider(int index,
                const DispatchRequest& request,
                const std::vector<UpstreamView>& views);
  Match FindMatch(const std::vector<uint64_t>& hashes) const;
  void Measure(const DispatchRequest& request,
               const std::vector<UpstreamView>& views);
  double Wait(const UpstreamView& view, const ClassId& class_id) const;
  double LeastWait(const ClassId& class_id,
                   const std::vector<UpstreamView>& views) const;
  static size_t PrefixesAt(const UpstreamView& view,
                           const DispatchRequest& request,
                           const Match& match);
  double Score(const UpstreamView& view,
               const DispatchRequest& request,
               size_t prefixes);
  bool IsStraggler(const UpstreamView& view) const;
  double PlacedSince(const UpstreamView& view) const;
  double FreeSlots(const UpstreamView& view) const;
  bool CanTakeAtOnce(const UpstreamView& view, const ClassId& class_id) const;
  bool KeepsOwnZone(const DispatchRequest& request,
                    const std::vector<UpstreamView>& views) const;
  void DropOtherZones(const std::vector<UpstreamView>& views);
  std::vector<int> PlaceOfSuspect(const DispatchRequest& request,
                                  const std::vector<UpstreamView>& views) const;
  int HomeOf(const DispatchRequest& request,
             const std::vector<UpstreamView>& views) const;
  void SetEvenWaits(const std::vector<ServiceClass>& classes);
  void WeighWaits(const DispatchRequest& request,
                  const std::vector<UpstreamView>& views);

  DispatcherOptions options_;
  std::mt19937_64 random_;
  KeptUpstreams kept_;
  bool only_kept_ = false;  // what the present sample is limited to
  std::unordered_map<ClassId, Millis> even_waits_;
  // Of the present request: waits in ms up to this are equal, and whether it
  // has to wait at all candidates.
  double even_until_ = 0;
  bool waits_ = false;
  std::unordered_map<uint64_t, Home> homes_;
  std::unordered_map<uint64_t, Home> older_homes_;
  // Reused between calls.
  std::vector<Candidate> candidates_;
  std::vector<int64_t> gaps_;
  double mean_wait_ = 0;
  int64_t median_gap_ = 0;
};

void Dispatcher::Impl::Consider(int index,
                                const DispatchRequest& request,
                                const std::vector<UpstreamView>& views) {
  const UpstreamView& view = views[index];
  if (!CanServe(view, request) || (only_kept_ && !kept_.MayRun(view))) {
    return;
  }
  for (const Candidate& known : candidates_) {
    if (known.index_ == index) {
      return;
    }
  }
  candidates_.push_back(Candidate{index, 0, 0});
}

// Collects and measures candidates; those that aren't kept for a tight class
// only if it would wait at those that are.
void Dispatcher::Impl::Gather(const DispatchRequest& request,
                              const std::vector<UpstreamView>& views) {
  // Suspects run one at an upstream: few upstreams would keep them waiting.
  only_kept_ = kept_.Restricts(request.class_) && !request.suspect_;
  Sample(request, views);
  Measure(request, views);
  const auto patience =
      static_cast<double>(kept_.PatienceOf(request.class_).count());
  if (only_kept_ && LeastWait(request.class_, views) > patience) {
    only_kept_ = false;
    Sample(request, views);
    Measure(request, views);
  }
}

// Collects all usable upstreams if they are few, or else a random sample with
// those that may hold the prompt's prefix.
void Dispatcher::Impl::Sample(const DispatchRequest& request,
                              const std::vector<UpstreamView>& views) {
  candidates_.clear();
  const int count = static_cast<int>(views.size());
  if (count <= options_.sample_) {
    for (int index = 0; index < count; ++index) {
      Consider(index, request, views);
    }
    return;
  }
  const Match match = FindMatch(request.prefix_hashes_);
  const int hint = match.home_ == nullptr ? -1 : match.home_->index_hint_;
  if (hint >= 0 && hint < count &&
      views[hint].sidecar_ == match.home_->sidecar_) {
    Consider(hint, request, views);
  }
  if (!request.prefix_hashes_.empty()) {
    Consider(static_cast<int>(request.prefix_hashes_.front() % count), request,
             views);
  }
  const std::vector<int>& kept = kept_.IndicesOf(request.group_);
  const int kept_count = only_kept_ ? static_cast<int>(kept.size()) : 0;
  for (int i = 0; i < std::min(kept_count, options_.sample_ / 2); ++i) {
    const int index = kept[random_() % kept.size()];
    if (index < count) {
      Consider(index, request, views);
    }
  }
  const int most_tries = 4 * options_.sample_;
  for (int i = 0; i < most_tries; ++i) {
    if (static_cast<int>(candidates_.size()) >= options_.sample_) {
      break;
    }
    Consider(static_cast<int>(random_() % count), request, views);
  }
}

Dispatcher::Impl::Match Dispatcher::Impl::FindMatch(
    const std::vector<uint64_t>& hashes) const {
  for (size_t count = hashes.size(); count > 0; --count) {
    for (const auto* homes : {&homes_, &older_homes_}) {
      const auto found = homes->find(hashes[count - 1]);
      if (found != homes->end()) {
        return Match{&found->second, count};
      }
    }
  }
  return {};
}

// Takes the mean wait and the median time between tokens of the candidates.
void Dispatcher::Impl::Measure(const DispatchRequest& request,
                               const std::vector<UpstreamView>& views) {
  double sum = 0;
  gaps_.clear();
  for (const Candidate& candidate : candidates_) {
    const UpstreamView& view = views[candidate.index_];
    sum += ReportedWait(view, request.class_);
    if (view.between_tokens_.count() > 0) {
      gaps_.push_back(view.between_tokens_.count());
    }
  }
  const size_t count = std::max<size_t>(candidates_.size(), 1);
  mean_wait_ = sum / static_cast<double>(count);
  median_gap_ = 0;
  if (!gaps_.empty()) {
    const auto middle =
        gaps_.begin() + static_cast<ptrdiff_t>(gaps_.size()) / 2;
    std::nth_element(gaps_.begin(), middle, gaps_.end());
    median_gap_ = *middle;
  }
}

// Most of the places taken since the report are withdrawn again.
double Dispatcher::Impl::PlacedSince(const UpstreamView& view) const {
  return static_cast<double>(view.placed_since_) /
         std::max(options_.reservations_, 1);
}

// @return slots that are expected to be free now; below zero if more is placed
// there than it runs at once.
double Dispatcher::Impl::FreeSlots(const UpstreamView& view) const {
  return view.slots_ - view.running_ - PlacedSince(view);
}

double Dispatcher::Impl::Wait(const UpstreamView& view,
                              const ClassId& class_id) const {
  const double age = static_cast<double>(view.report_age_.count());
  const double fresh = kHalfAgeMillis / (kHalfAgeMillis + age);
  const double reported = ReportedWait(view, class_id);
  const double wait = reported * fresh + mean_wait_ * (1 - fresh);
  const double free = FreeSlots(view);
  if (free > 0) {
    return wait;
  }
  const double placed = PlacedSince(view);
  const double slot = std::max(kMinSlotMillis, reported / (view.waiting_ + 1));
  return wait + slot * std::min(-free + 1, placed);
}

// @return the least wait among the candidates; infinite if there are none.
double Dispatcher::Impl::LeastWait(
    const ClassId& class_id,
    const std::vector<UpstreamView>& views) const {
  double least = std::numeric_limits<double>::infinity();
  for (const Candidate& candidate : candidates_) {
    least = std::min(least, Wait(views[candidate.index_], class_id));
  }
  return least;
}

bool Dispatcher::Impl::IsStraggler(const UpstreamView& view) const {
  return view.between_tokens_.count() * kPercent >
         median_gap_ * options_.straggler_percent_;
}

// @return how many of the prompt's prefixes the upstream holds.
size_t Dispatcher::Impl::PrefixesAt(const UpstreamView& view,
                                    const DispatchRequest& request,
                                    const Match& match) {
  const size_t reported = ReportedPrefixes(view, request.prefix_hashes_);
  const bool is_home =
      match.home_ != nullptr && match.home_->sidecar_ == view.sidecar_;
  return is_home ? std::max(reported, match.count_) : reported;
}

bool Dispatcher::Impl::CanTakeAtOnce(const UpstreamView& view,
                                     const ClassId& class_id) const {
  return FreeSlots(view) > 0 && !IsStraggler(view) &&
         ReportedWait(view, class_id) < kMinSlotMillis;
}

// @return whether an upstream of the own zone can take the request at once, and
// none elsewhere holds more of its prompt. Of several reservations the first
// grant wins, wherever it is, so that a low score alone keeps no request here.
bool Dispatcher::Impl::KeepsOwnZone(
    const DispatchRequest& request,
    const std::vector<UpstreamView>& views) const {
  int own = 0;
  bool ready = false;
  size_t own_prefixes = 0;
  size_t other_prefixes = 0;
  for (const Candidate& candidate : candidates_) {
    const UpstreamView& view = views[candidate.index_];
    if (view.zone_ != options_.zone_) {
      other_prefixes = std::max(other_prefixes, candidate.prefixes_);
      continue;
    }
    ++own;
    if (CanTakeAtOnce(view, request.class_)) {
      ready = true;
      own_prefixes = std::max(own_prefixes, candidate.prefixes_);
    }
  }
  return own >= kMinOwnZone && ready && own_prefixes >= other_prefixes;
}

void Dispatcher::Impl::DropOtherZones(const std::vector<UpstreamView>& views) {
  const auto away = [this, &views](const Candidate& candidate) {
    return views[candidate.index_].zone_ != options_.zone_;
  };
  candidates_.erase(
      std::remove_if(candidates_.begin(), candidates_.end(), away),
      candidates_.end());
}

double Dispatcher::Impl::Score(const UpstreamView& view,
                               const DispatchRequest& request,
                               size_t prefixes) {
  double score = std::max(Wait(view, request.class_), even_until_);
  const double slots = std::max(view.slots_, 1);
  score += kFullBatchMillis * (view.running_ + view.placed_since_) / slots;
  if (view.zone_ != options_.zone_) {
    score += static_cast<double>(options_.zone_cost_.count());
  }
  score -= static_cast<double>(options_.prefix_saving_.count()) *
           static_cast<double>(prefixes);
  if (waits_ && !request.prefix_hashes_.empty()) {
    score -= kHomesMillis *
             HomeWeight(view.sidecar_, request.prefix_hashes_.front());
  }
  if (IsStraggler(view)) {
    score += kStragglerMillis;
  }
  std::uniform_real_distribution<double> jitter(0, kJitterMillis);
  return score + jitter(random_);
}

// Copies of one suspect that run at the same time run at one upstream, one
// after the other, whatever entry they came to.
std::vector<int> Dispatcher::Impl::PlaceOfSuspect(
    const DispatchRequest& request,
    const std::vector<UpstreamView>& views) const {
  std::vector<int> place;
  uint64_t most = 0;
  for (size_t i = 0; i < views.size(); ++i) {
    const UpstreamView& view = views[i];
    if (!CanServe(view, request)) {
      continue;
    }
    const uint64_t weight = WeightOf(view.sidecar_, request.digest_);
    if (place.empty() || weight > most) {
      place = {static_cast<int>(i)};
      most = weight;
    }
  }
  return place;
}

// The candidate with the highest hash for the prompt's first prefix.
int Dispatcher::Impl::HomeOf(const DispatchRequest& request,
                             const std::vector<UpstreamView>& views) const {
  int home = -1;
  uint64_t most = 0;
  if (request.prefix_hashes_.empty()) {
    return home;
  }
  for (const Candidate& candidate : candidates_) {
    const uint64_t weight = WeightOf(views[candidate.index_].sidecar_,
                                     request.prefix_hashes_.front());
    if (home < 0 || weight > most) {
      home = candidate.index_;
      most = weight;
    }
  }
  return home;
}

void Dispatcher::Impl::SetEvenWaits(const std::vector<ServiceClass>& classes) {
  even_waits_.clear();
  Tier top = classes.empty() ? Tier(1) : classes.front().tier_;
  for (const ServiceClass& each : classes) {
    top = std::min(top, each.tier_);
  }
  for (const ServiceClass& each : classes) {
    const int64_t percent =
        each.tier_ == top ? kTopTierEvenPercent : kEvenPercent;
    even_waits_[each.name_] =
        Millis(each.first_token_.count() * percent / kPercent);
  }
}

// Under load a prefill that the cache spares serves everybody, and which queue
// is a little shorter serves nobody.
void Dispatcher::Impl::WeighWaits(const DispatchRequest& request,
                                  const std::vector<UpstreamView>& views) {
  const double least = LeastWait(request.class_, views);
  const auto even = even_waits_.find(request.class_);
  waits_ = least > 0;
  even_until_ = !waits_ || even == even_waits_.end()
                    ? 0
                    : least + static_cast<double>(even->second.count());
}

Dispatcher::Dispatcher(DispatcherOptions options)
    : impl_(std::make_unique<Impl>()) {
  impl_->random_.seed(options.seed_);
  impl_->options_ = std::move(options);
}
Dispatcher::~Dispatcher() = default;
Dispatcher::Dispatcher(Dispatcher&&) noexcept = default;
Dispatcher& Dispatcher::operator=(Dispatcher&&) noexcept = default;

void Dispatcher::Configure(const std::vector<ServiceClass>& classes) {
  impl_->kept_.Configure(classes);
  impl_->SetEvenWaits(classes);
}

void Dispatcher::Refresh(const std::vector<UpstreamView>& views) {
  impl_->kept_.Update(views);
}

std::vector<int> Dispatcher::Choose(const DispatchRequest& request,
                                    const std::vector<UpstreamView>& views) {
  if (request.suspect_ && request.digest_ != 0) {
    return impl_->PlaceOfSuspect(request, views);
  }
  impl_->Gather(request, views);
  impl_->WeighWaits(request, views);
  std::vector<Candidate>& candidates = impl_->candidates_;
  const Impl::Match match = impl_->FindMatch(request.prefix_hashes_);
  const int home = match.home_ == nullptr ? impl_->HomeOf(request, views) : -1;
  for (Candidate& candidate : candidates) {
    const UpstreamView& view = views[candidate.index_];
    candidate.prefixes_ = Impl::PrefixesAt(view, request, match);
    candidate.score_ = impl_->Score(view, request, candidate.prefixes_) -
                       (candidate.index_ == home ? kHomeMillis : 0);
  }
  if (impl_->KeepsOwnZone(request, views)) {
    impl_->DropOtherZones(views);
  }
  const size_t wanted =
      static_cast<size_t>(std::max(impl_->options_.reservations_, 1));
  const size_t count = std::min(wanted, candidates.size());
  std::partial_sort(
      candidates.begin(), candidates.begin() + static_cast<ptrdiff_t>(count),
      candidates.end(), [](const Candidate& a, const Candidate& b) {
        return a.score_ < b.score_;
      });
  std::vector<int> chosen;
  chosen.reserve(count);
  for (size_t i = 0; i < count; ++i) {
    chosen.push_back(candidates[i].index_);
  }
  return chosen;
}

void Dispatcher::Started(const DispatchRequest& request,
                         const std::vector<UpstreamView>& views,
                         int index) {
  const UpstreamView& upstream = views[index];
  for (const uint64_t hash : request.prefix_hashes_) {
    impl_->homes_[hash] = Impl::Home{upstream.sidecar_, index};
  }
  // Two generations bound the memory without an order of use.
  if (impl_->homes_.size() >= kMaxPrefixes) {
    impl_->older_homes_ = std::move(impl_->homes_);
    impl_->homes_.clear();
  }
}

Millis Dispatcher::BestWait(const DispatchRequest& request,
                            const std::vector<UpstreamView>& views) {
  impl_->Gather(request, views);
  if (impl_->candidates_.empty()) {
    return kNoUpstreamWait;
  }
  return Millis(static_cast<int64_t>(impl_->LeastWait(request.class_, views)));
}

}  // namespace bergamotscale::policy
