#include "src/policy/dispatcher.h"

#include <algorithm>
#include <limits>
#include <random>
#include <unordered_map>

#include "src/policy/batch_limited_upstreams.h"

namespace bergamotscale::policy {

namespace {

constexpr int kPercent = 100;
// The age at which a report has the same weight as the mean wait of the
// candidates.
constexpr double kReportHalfWeightMillis = 1000;
// Penalty of a full batch compared with an empty one, for its slower decode.
constexpr double kFullBatchPenaltyMillis = 30;
// Bonus of the upstream preferred for a prompt that has no known location, so
// that every entry sends it to the same upstream.
constexpr double kPreferredBonusMillis = 4;
// The largest bonus by rendezvous weight under load, so that every entry sends
// a prompt to the same few upstreams.
constexpr double kMaxRendezvousBonusMillis = 30;
// Waits that exceed the shortest one by at most this percentage of the class's
// first-token target count as equal, so that cached prefixes decide.
constexpr int64_t kTopTierWaitTolerancePercent = 10;
constexpr int64_t kWaitTolerancePercent = 100;
// The random part of a score, so that entries with the same report don't all
// choose the same upstream.
constexpr double kMaxJitterMillis = 3;
constexpr double kStragglerPenaltyMillis = 20'000;
constexpr size_t kMaxPrefixes = 20'000;
// An entry prefers its own zone only if the zone has at least this many
// upstreams.
constexpr int kMinOwnZoneUpstreams = 2;
// The number of upstreams that a suspect can try within its deadline.
constexpr int64_t kSuspectAttempts = 4;
// Waits shorter than this count as none.
constexpr double kMinWaitMillis = 5;

struct Candidate {
  int index_ = 0;
  double score_ = 0;     // ms
  size_t prefixes_ = 0;  // number of the prompt's prefixes cached there
};

uint64_t MixBits(uint64_t value) {
  value ^= value >> 33;
  value *= 0xff51afd7ed558ccdULL;
  value ^= value >> 33;
  value *= 0xc4ceb9fe1a85ec53ULL;
  value ^= value >> 33;
  return value;
}

// The rendezvous weight of an upstream for a prefix or digest, equal in all
// entries.
uint64_t RendezvousWeight(const InstanceId& sidecar, uint64_t key) {
  return MixBits(std::hash<InstanceId>()(sidecar) ^ key);
}

// @return the rendezvous weight for a prefix, from 0 to 1.
double RendezvousFraction(const InstanceId& sidecar, uint64_t prefix) {
  return static_cast<double>(RendezvousWeight(sidecar, prefix)) /
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

// @return the number of the prompt's prefixes that the upstream reports as
// cached.
size_t CountReportedPrefixes(const UpstreamView& view,
                             const std::vector<uint64_t>& hashes) {
  for (size_t count = hashes.size(); count > 0; --count) {
    if (std::binary_search(view.cached_prefixes_.begin(),
                           view.cached_prefixes_.end(), hashes[count - 1])) {
      return count;
    }
  }
  return 0;
}

// @return whether the upstream may get the request at all.
bool CanServe(const UpstreamView& view, const DispatchRequest& request) {
  const bool has_model =
      request.model_.empty() || Contains(view.models_, request.model_);
  return view.usable_ && view.group_ == request.group_ && has_model &&
         !Contains(request.avoid_, view.sidecar_);
}

}  // namespace

Millis GetSuspectAttemptTimeout(Millis deadline) {
  return deadline / kSuspectAttempts;
}

struct Dispatcher::Impl {
  // The upstream at which this entry last ran a prefix.
  struct PrefixLocation {
    InstanceId sidecar_;
    int index_hint_ = -1;
  };
  // The longest prefix of a prompt with a known location.
  struct PrefixMatch {
    const PrefixLocation* location_ = nullptr;
    size_t count_ = 0;
  };

  void GatherCandidates(const DispatchRequest& request,
                        const std::vector<UpstreamView>& views);
  void SampleCandidates(const DispatchRequest& request,
                        const std::vector<UpstreamView>& views);
  void AddCandidate(int index,
                    const DispatchRequest& request,
                    const std::vector<UpstreamView>& views);
  PrefixMatch FindMatch(const std::vector<uint64_t>& hashes) const;
  void MeasureCandidates(const DispatchRequest& request,
                         const std::vector<UpstreamView>& views);
  double EstimateWait(const UpstreamView& view, const ClassId& class_id) const;
  double ShortestWait(const ClassId& class_id,
                      const std::vector<UpstreamView>& views) const;
  static size_t CountPrefixesAt(const UpstreamView& view,
                                const DispatchRequest& request,
                                const PrefixMatch& match);
  double ComputeScore(const UpstreamView& view,
                      const DispatchRequest& request,
                      size_t prefixes);
  bool IsStraggler(const UpstreamView& view) const;
  double RequestsPlacedSince(const UpstreamView& view) const;
  double FreeSlots(const UpstreamView& view) const;
  bool CanStartAtOnce(const UpstreamView& view, const ClassId& class_id) const;
  bool StaysInOwnZone(const DispatchRequest& request,
                      const std::vector<UpstreamView>& views) const;
  void RemoveOtherZones(const std::vector<UpstreamView>& views);
  std::vector<int> ChooseForSuspect(
      const DispatchRequest& request,
      const std::vector<UpstreamView>& views) const;
  int FindPreferred(const DispatchRequest& request,
                    const std::vector<UpstreamView>& views) const;
  void SetWaitTolerances(const std::vector<ServiceClass>& classes);
  void ApplyWaitTolerance(const DispatchRequest& request,
                          const std::vector<UpstreamView>& views);

  DispatcherOptions options_;
  std::mt19937_64 rng_;
  BatchLimitedUpstreams batch_limited_;
  bool only_batch_limited_ = false;  // limits the current sample
  std::unordered_map<ClassId, Millis> wait_tolerances_;
  // For the current request: waits of up to this many ms count as equal, and
  // whether the request has to wait at every candidate.
  double equal_wait_limit_ = 0;
  bool must_wait_ = false;
  std::unordered_map<uint64_t, PrefixLocation> prefix_locations_;
  std::unordered_map<uint64_t, PrefixLocation> older_prefix_locations_;
  // Reused between calls.
  std::vector<Candidate> candidates_;
  std::vector<int64_t> token_intervals_;
  double mean_wait_ = 0;
  int64_t median_interval_ = 0;
};

void Dispatcher::Impl::AddCandidate(int index,
                                    const DispatchRequest& request,
                                    const std::vector<UpstreamView>& views) {
  const UpstreamView& view = views[index];
  if (!CanServe(view, request) ||
      (only_batch_limited_ && !batch_limited_.CanRun(view))) {
    return;
  }
  for (const Candidate& existing : candidates_) {
    if (existing.index_ == index) {
      return;
    }
  }
  candidates_.push_back(Candidate{index, 0, 0});
}

// Collects and measures the candidates of a request. A tight class gets
// upstreams that are not batch-limited only if it would wait at those that are.
void Dispatcher::Impl::GatherCandidates(
    const DispatchRequest& request,
    const std::vector<UpstreamView>& views) {
  // Only one suspect runs at an upstream, so restricting suspects to few
  // upstreams would make them wait.
  only_batch_limited_ =
      batch_limited_.IsRestricted(request.class_) && !request.suspect_;
  SampleCandidates(request, views);
  MeasureCandidates(request, views);
  const auto max_wait =
      static_cast<double>(batch_limited_.GetMaxWait(request.class_).count());
  if (only_batch_limited_ && ShortestWait(request.class_, views) > max_wait) {
    only_batch_limited_ = false;
    SampleCandidates(request, views);
    MeasureCandidates(request, views);
  }
}

// Adds all usable upstreams if there are few, or else a random sample and the
// upstreams that may hold the prompt's prefixes.
void Dispatcher::Impl::SampleCandidates(
    const DispatchRequest& request,
    const std::vector<UpstreamView>& views) {
  candidates_.clear();
  const int count = static_cast<int>(views.size());
  if (count <= options_.sample_size_) {
    for (int index = 0; index < count; ++index) {
      AddCandidate(index, request, views);
    }
    return;
  }
  const PrefixMatch match = FindMatch(request.prefix_hashes_);
  const int hint =
      match.location_ == nullptr ? -1 : match.location_->index_hint_;
  if (hint >= 0 && hint < count &&
      views[hint].sidecar_ == match.location_->sidecar_) {
    AddCandidate(hint, request, views);
  }
  if (!request.prefix_hashes_.empty()) {
    AddCandidate(static_cast<int>(request.prefix_hashes_.front() % count),
                 request, views);
  }
  const std::vector<int>& batch_limited =
      batch_limited_.GetIndices(request.group_);
  const int batch_limited_count =
      only_batch_limited_ ? static_cast<int>(batch_limited.size()) : 0;
  for (int i = 0; i < std::min(batch_limited_count, options_.sample_size_ / 2);
       ++i) {
    const int index = batch_limited[rng_() % batch_limited.size()];
    if (index < count) {
      AddCandidate(index, request, views);
    }
  }
  const int max_tries = 4 * options_.sample_size_;
  for (int i = 0; i < max_tries; ++i) {
    if (static_cast<int>(candidates_.size()) >= options_.sample_size_) {
      break;
    }
    AddCandidate(static_cast<int>(rng_() % count), request, views);
  }
}

Dispatcher::Impl::PrefixMatch Dispatcher::Impl::FindMatch(
    const std::vector<uint64_t>& hashes) const {
  for (size_t count = hashes.size(); count > 0; --count) {
    for (const auto* locations :
         {&prefix_locations_, &older_prefix_locations_}) {
      const auto found = locations->find(hashes[count - 1]);
      if (found != locations->end()) {
        return PrefixMatch{&found->second, count};
      }
    }
  }
  return {};
}

// Computes the mean wait and the median inter-token latency of the candidates.
void Dispatcher::Impl::MeasureCandidates(
    const DispatchRequest& request,
    const std::vector<UpstreamView>& views) {
  double sum = 0;
  token_intervals_.clear();
  for (const Candidate& candidate : candidates_) {
    const UpstreamView& view = views[candidate.index_];
    sum += ReportedWait(view, request.class_);
    if (view.between_tokens_.count() > 0) {
      token_intervals_.push_back(view.between_tokens_.count());
    }
  }
  const size_t count = std::max<size_t>(candidates_.size(), 1);
  mean_wait_ = sum / static_cast<double>(count);
  median_interval_ = 0;
  if (!token_intervals_.empty()) {
    const auto middle = token_intervals_.begin() +
                        static_cast<ptrdiff_t>(token_intervals_.size()) / 2;
    std::nth_element(token_intervals_.begin(), middle, token_intervals_.end());
    median_interval_ = *middle;
  }
}

// Divides the reservations placed since the last report by those per request,
// because all but one of a request's reservations are withdrawn.
double Dispatcher::Impl::RequestsPlacedSince(const UpstreamView& view) const {
  return static_cast<double>(view.placed_since_) /
         std::max(options_.reservations_, 1);
}

// @return the estimated number of free slots; negative if more requests are
// placed there than it has slots.
double Dispatcher::Impl::FreeSlots(const UpstreamView& view) const {
  return view.slots_ - view.running_ - RequestsPlacedSince(view);
}

double Dispatcher::Impl::EstimateWait(const UpstreamView& view,
                                      const ClassId& class_id) const {
  const double age = static_cast<double>(view.report_age_.count());
  const double fresh =
      kReportHalfWeightMillis / (kReportHalfWeightMillis + age);
  const double reported = ReportedWait(view, class_id);
  const double wait = reported * fresh + mean_wait_ * (1 - fresh);
  const double free = FreeSlots(view);
  if (free > 0) {
    return wait;
  }
  const double placed = RequestsPlacedSince(view);
  const double slot = std::max(kMinWaitMillis, reported / (view.waiting_ + 1));
  return wait + slot * std::min(-free + 1, placed);
}

// @return the shortest wait among the candidates; infinite if there are none.
double Dispatcher::Impl::ShortestWait(
    const ClassId& class_id,
    const std::vector<UpstreamView>& views) const {
  double least = std::numeric_limits<double>::infinity();
  for (const Candidate& candidate : candidates_) {
    least = std::min(least, EstimateWait(views[candidate.index_], class_id));
  }
  return least;
}

bool Dispatcher::Impl::IsStraggler(const UpstreamView& view) const {
  return view.between_tokens_.count() * kPercent >
         median_interval_ * options_.straggler_percent_;
}

// @return the number of the prompt's prefixes that the upstream caches.
size_t Dispatcher::Impl::CountPrefixesAt(const UpstreamView& view,
                                         const DispatchRequest& request,
                                         const PrefixMatch& match) {
  const size_t reported = CountReportedPrefixes(view, request.prefix_hashes_);
  const bool is_location =
      match.location_ != nullptr && match.location_->sidecar_ == view.sidecar_;
  return is_location ? std::max(reported, match.count_) : reported;
}

bool Dispatcher::Impl::CanStartAtOnce(const UpstreamView& view,
                                      const ClassId& class_id) const {
  return FreeSlots(view) > 0 && !IsStraggler(view) &&
         ReportedWait(view, class_id) < kMinWaitMillis;
}

// @return whether an upstream of the own zone can start the request at once and
// no upstream of another zone holds more of its prompt. A better score alone
// would not keep a request in its zone: reservations are placed at several
// upstreams, and the first grant wins, whichever zone it comes from.
bool Dispatcher::Impl::StaysInOwnZone(
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
    if (CanStartAtOnce(view, request.class_)) {
      ready = true;
      own_prefixes = std::max(own_prefixes, candidate.prefixes_);
    }
  }
  return own >= kMinOwnZoneUpstreams && ready && own_prefixes >= other_prefixes;
}

void Dispatcher::Impl::RemoveOtherZones(
    const std::vector<UpstreamView>& views) {
  const auto in_other_zone = [this, &views](const Candidate& candidate) {
    return views[candidate.index_].zone_ != options_.zone_;
  };
  candidates_.erase(
      std::remove_if(candidates_.begin(), candidates_.end(), in_other_zone),
      candidates_.end());
}

double Dispatcher::Impl::ComputeScore(const UpstreamView& view,
                                      const DispatchRequest& request,
                                      size_t prefixes) {
  double score =
      std::max(EstimateWait(view, request.class_), equal_wait_limit_);
  const double slots = std::max(view.slots_, 1);
  score +=
      kFullBatchPenaltyMillis * (view.running_ + view.placed_since_) / slots;
  if (view.zone_ != options_.zone_) {
    score += static_cast<double>(options_.zone_cost_.count());
  }
  score -= static_cast<double>(options_.prefix_saving_.count()) *
           static_cast<double>(prefixes);
  if (must_wait_ && !request.prefix_hashes_.empty()) {
    score -= kMaxRendezvousBonusMillis *
             RendezvousFraction(view.sidecar_, request.prefix_hashes_.front());
  }
  if (IsStraggler(view)) {
    score += kStragglerPenaltyMillis;
  }
  std::uniform_real_distribution<double> jitter(0, kMaxJitterMillis);
  return score + jitter(rng_);
}

// Duplicates of a suspect go to the same upstream from every entry, so that
// they run one after another.
std::vector<int> Dispatcher::Impl::ChooseForSuspect(
    const DispatchRequest& request,
    const std::vector<UpstreamView>& views) const {
  std::vector<int> choice;
  uint64_t most = 0;
  for (size_t i = 0; i < views.size(); ++i) {
    const UpstreamView& view = views[i];
    if (!CanServe(view, request)) {
      continue;
    }
    const uint64_t weight = RendezvousWeight(view.sidecar_, request.digest_);
    if (choice.empty() || weight > most) {
      choice = {static_cast<int>(i)};
      most = weight;
    }
  }
  return choice;
}

// @return the candidate with the highest rendezvous weight for the prompt's
// first prefix; -1 if there is none.
int Dispatcher::Impl::FindPreferred(
    const DispatchRequest& request,
    const std::vector<UpstreamView>& views) const {
  int preferred = -1;
  uint64_t most = 0;
  if (request.prefix_hashes_.empty()) {
    return preferred;
  }
  for (const Candidate& candidate : candidates_) {
    const uint64_t weight = RendezvousWeight(views[candidate.index_].sidecar_,
                                             request.prefix_hashes_.front());
    if (preferred < 0 || weight > most) {
      preferred = candidate.index_;
      most = weight;
    }
  }
  return preferred;
}

void Dispatcher::Impl::SetWaitTolerances(
    const std::vector<ServiceClass>& classes) {
  wait_tolerances_.clear();
  Tier top = classes.empty() ? Tier(1) : classes.front().tier_;
  for (const ServiceClass& service_class : classes) {
    top = std::min(top, service_class.tier_);
  }
  for (const ServiceClass& service_class : classes) {
    const int64_t percent = service_class.tier_ == top
                                ? kTopTierWaitTolerancePercent
                                : kWaitTolerancePercent;
    wait_tolerances_[service_class.name_] =
        Millis(service_class.first_token_.count() * percent / kPercent);
  }
}

// Sets the longest wait that is treated as equal to the shortest one. Under
// load, avoiding a prefill through the cache helps all requests, while choosing
// a slightly shorter queue helps none.
void Dispatcher::Impl::ApplyWaitTolerance(
    const DispatchRequest& request,
    const std::vector<UpstreamView>& views) {
  const double least = ShortestWait(request.class_, views);
  const auto tolerance = wait_tolerances_.find(request.class_);
  must_wait_ = least > 0;
  equal_wait_limit_ =
      !must_wait_ || tolerance == wait_tolerances_.end()
          ? 0
          : least + static_cast<double>(tolerance->second.count());
}

Dispatcher::Dispatcher(DispatcherOptions options)
    : impl_(std::make_unique<Impl>()) {
  impl_->rng_.seed(options.seed_);
  impl_->options_ = std::move(options);
}
Dispatcher::~Dispatcher() = default;
Dispatcher::Dispatcher(Dispatcher&&) noexcept = default;
Dispatcher& Dispatcher::operator=(Dispatcher&&) noexcept = default;

void Dispatcher::Configure(const std::vector<ServiceClass>& classes) {
  impl_->batch_limited_.Configure(classes);
  impl_->SetWaitTolerances(classes);
}

void Dispatcher::Refresh(const std::vector<UpstreamView>& views) {
  impl_->batch_limited_.Update(views);
}

std::vector<int> Dispatcher::Choose(const DispatchRequest& request,
                                    const std::vector<UpstreamView>& views) {
  if (request.suspect_ && request.digest_ != 0) {
    return impl_->ChooseForSuspect(request, views);
  }
  impl_->GatherCandidates(request, views);
  impl_->ApplyWaitTolerance(request, views);
  std::vector<Candidate>& candidates = impl_->candidates_;
  const Impl::PrefixMatch match = impl_->FindMatch(request.prefix_hashes_);
  const int preferred =
      match.location_ == nullptr ? impl_->FindPreferred(request, views) : -1;
  for (Candidate& candidate : candidates) {
    const UpstreamView& view = views[candidate.index_];
    candidate.prefixes_ = Impl::CountPrefixesAt(view, request, match);
    candidate.score_ =
        impl_->ComputeScore(view, request, candidate.prefixes_) -
        (candidate.index_ == preferred ? kPreferredBonusMillis : 0);
  }
  if (impl_->StaysInOwnZone(request, views)) {
    impl_->RemoveOtherZones(views);
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

void Dispatcher::OnStarted(const DispatchRequest& request,
                           const std::vector<UpstreamView>& views,
                           int index) {
  const UpstreamView& upstream = views[index];
  for (const uint64_t hash : request.prefix_hashes_) {
    impl_->prefix_locations_[hash] =
        Impl::PrefixLocation{upstream.sidecar_, index};
  }
  // Two generations bound the memory without tracking the order of use.
  if (impl_->prefix_locations_.size() >= kMaxPrefixes) {
    impl_->older_prefix_locations_ = std::move(impl_->prefix_locations_);
    impl_->prefix_locations_.clear();
  }
}

Millis Dispatcher::EstimateBestWait(const DispatchRequest& request,
                                    const std::vector<UpstreamView>& views) {
  impl_->GatherCandidates(request, views);
  if (impl_->candidates_.empty()) {
    return kNoUpstreamWait;
  }
  return Millis(
      static_cast<int64_t>(impl_->ShortestWait(request.class_, views)));
}

}  // namespace bergamotscale::policy
