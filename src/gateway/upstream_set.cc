#include "src/gateway/upstream_set.h"

#include <algorithm>
#include <deque>
#include <limits>
#include <map>
#include <random>
#include <unordered_map>
#include <utility>

#include <xxhash.h>
#include <boost/asio/post.hpp>

#include "src/policy/instance_health.h"
#include "src/policy/instance_notices.h"
#include "src/policy/prefix_cache_estimate.h"

namespace bergamotscale::gateway {
namespace {

using boost::asio::ip::tcp;

// Connecting within a region takes a few milliseconds. A lost SYN is
// retransmitted only after a second, so waiting longer does not help.
constexpr Millis kConnectTimeout = Millis(400);
// An idle connection is dropped this long before the instance would close it,
// so that no request races with the close.
constexpr Millis kKeepAliveMargin = Millis(1'000);
// A dead idle connection goes unnoticed, so older ones are not reused.
constexpr Millis kMaxIdle = Millis(4'000);
// A peer's loads are ignored once they are this old.
constexpr Millis kPeerLoadLifetime = Millis(1'000);
constexpr Millis kPeerCheckInterval = Millis(100);
// Interval of the number of engines reserved for short prompts.
constexpr Millis kPoolInterval = Millis(100);
// Interval of the check at which versions streams may begin.
constexpr Millis kVersionInterval = Millis(20);
// An instance that fails more of its calls is no engine for short prompts.
constexpr double kMaxPoolFailureShare = 0.25;
// Sent prompts are shared with peers for this long, a few datagrams.
constexpr Millis kPromptShareTime = Millis(350);
// Shorter shared parts are not worth sharing with peers.
constexpr Tokens kMinSharedTokens = Tokens(500);

struct IdleConnection {
  std::unique_ptr<web::ClientConnection> connection_;
  Millis since_;
  Millis until_;
};

struct Instance {
  route::UpstreamEntry entry_;
  uint64_t id_hash_ = 0;
  uint64_t rate_hash_ = 0;  // in notices of rates, which must not be mixed up
  policy::InstanceHealth health_;
  std::deque<IdleConnection> idle_;  // newest last
  int running_ = 0;
  double unread_tokens_ = 0;
  bool listed_ = true;
  bool reserved_ = false;  // for short prompts, as of the latest choice
  VersionUse use_ = VersionUse::kPreferred;  // of its version
};

// The engines of a group, for choosing those that get short prompts only.
struct EngineGroup {
  policy::ShortPromptPool pool_;
  policy::PrefillSpeed speed_;
  std::vector<Instance*> order_;  // equal in all entries
  int running_short_ = 0;         // of this entry
  Millis sized_at_;
};

struct RecentPrompt {
  SentPrompt prompt_;
  Millis sent_at_;
};

struct PeerLoads {
  LoadReport loads_;
  Millis received_at_;
};

// Load that all peers together put on an instance.
struct PeerLoadSum {
  int running_ = 0;
  double unread_tokens_ = 0;
};

// Identifies the incarnation, because a restarted instance has an empty cache.
// The start time is hashed with the id: as a seed it could cancel out the
// difference of two short ids.
uint64_t HashIncarnation(const route::UpstreamEntry& entry) {
  const std::string text =
      entry.id_.value() + " " + std::to_string(entry.started_at_);
  return XXH3_64bits(text.data(), text.size());
}

// 32 bits, because each datagram between gateways holds one for each instance.
// In a fleet of 7,000 instances, two collide with a probability of 1 in 170;
// their loads are then added up.
uint64_t ShortHash(uint64_t hash) {
  return static_cast<uint32_t>(hash);
}

uint64_t HashGroup(const GroupId& group) {
  return static_cast<uint32_t>(
      XXH3_64bits(group.value().data(), group.value().size()));
}

bool Contains(const std::vector<UpstreamKey>& keys, const UpstreamKey& key) {
  return std::find(keys.begin(), keys.end(), key) != keys.end();
}

}  // namespace

class UpstreamSet::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& io, Clock boot, ZoneId own_zone)
      : io_(io),
        boot_(std::move(boot)),
        own_zone_(std::move(own_zone)),
        random_(std::random_device{}()) {}

  void Update(const std::vector<route::UpstreamEntry>& entries) {
    for (auto& [id, instance] : instances_) {
      instance.listed_ = false;
    }
    for (const route::UpstreamEntry& entry : entries) {
      Instance& instance = instances_[entry.id_];
      const bool is_new_incarnation =
          instance.entry_.started_at_ != entry.started_at_ ||
          instance.entry_.version_ != entry.version_ ||
          instance.entry_.ip_ != entry.ip_ ||
          instance.entry_.port_ != entry.port_;
      if (is_new_incarnation) {
        // Records of an earlier incarnation no longer apply.
        cache_estimate_.Forget(instance.id_hash_);
        instance = Instance();
      }
      instance.entry_ = entry;
      instance.rate_hash_ = HashIncarnation(entry);
      instance.id_hash_ = ShortHash(instance.rate_hash_);
      cache_estimate_.SetCapacity(instance.id_hash_,
                                  cache_capacity_[entry.group_]);
      instance.listed_ = true;
      if (!IsOpen(instance)) {
        instance.idle_.clear();
      }
    }
    notices_.Expire(boot_.Now());
    for (auto it = instances_.begin(); it != instances_.end();) {
      if (it->second.listed_) {
        ++it;
      } else {
        cache_estimate_.Forget(it->second.id_hash_);
        it = instances_.erase(it);
      }
    }
    OrderEngines();
    CheckVersions(boot_.Now());
  }

  bool Choose(const GroupId& group,
              const policy::PlacementRequest& request,
              const std::vector<UpstreamKey>& tried,
              Choice* choice) {
    const Millis now = boot_.Now();
    ExpirePeerLoads(now);
    if (now - versions_checked_at_ >= kVersionInterval) {
      CheckVersions(now);
    }
    const bool has_pool = request.engine_ && ReserveEngines(group, now);
    // Without a usable engine of its kind, a request goes to any.
    for (const VersionUse use :
         {VersionUse::kPreferred, VersionUse::kIfNeeded}) {
      for (const bool by_pool : {true, false}) {
        if ((has_pool || !by_pool) &&
            ChooseAmong(group, request, tried, {by_pool, use}, now, choice)) {
          return true;
        }
      }
      if (!request.begins_stream_) {
        break;
      }
    }
    return false;
  }

  void CheckVersions(Millis now) {
    versions_checked_at_ = now;
    for (auto& [id, instance] : instances_) {
      instance.use_ = use_of_version_
                          ? use_of_version_({instance.entry_.group_,
                                             instance.entry_.version_})
                          : VersionUse::kPreferred;
    }
  }

  bool HasVersion(const policy::StreamOrigin& origin) const {
    return std::any_of(instances_.begin(), instances_.end(),
                       [&](const auto& item) {
                         const Instance& instance = item.second;
                         return instance.entry_.group_ == origin.group_ &&
                                instance.entry_.version_ == origin.version_ &&
                                IsOpen(instance);
                       });
  }

  // Which instances of a group a choice is limited to.
  struct Subset {
    bool by_pool_ = false;  // short prompts only reserved engines, others none
    VersionUse use_ = VersionUse::kPreferred;  // at least, for new streams
  };

  static bool IsIn(const Instance& instance,
                   const policy::PlacementRequest& request,
                   const Subset& subset) {
    if (request.version_.has_value() &&
        instance.entry_.version_ != *request.version_) {
      return false;
    }
    return (!subset.by_pool_ || instance.reserved_ == request.short_prompt_) &&
           (!request.begins_stream_ || instance.use_ >= subset.use_);
  }

  bool ChooseAmong(const GroupId& group,
                   const policy::PlacementRequest& request,
                   const std::vector<UpstreamKey>& tried,
                   const Subset& subset,
                   Millis now,
                   Choice* choice) {
    std::vector<policy::InstanceView> views;
    std::vector<const Instance*> candidates;
    for (auto& [id, instance] : instances_) {
      if (instance.entry_.group_ != group || !TakesRequests(instance, now) ||
          !IsIn(instance, request, subset)) {
        continue;
      }
      views.push_back(MakeInstanceView(instance, now));
      views.back().uncached_tokens_ = static_cast<double>(
          cache_estimate_
              .CountUncachedTokens(instance.id_hash_, request.shared_)
              .count());
      views.back().avoid_ =
          Contains(tried, KeyOf(instance)) || instance.health_.IsPaused(now);
      candidates.push_back(&instance);
    }
    const int best = policy::ChooseInstance(views, request, random_());
    if (best < 0) {
      return false;
    }
    const auto chosen = static_cast<size_t>(best);
    choice->upstream_ = KeyOf(*candidates[chosen]);
    choice->group_ = group;
    choice->version_ = candidates[chosen]->entry_.version_;
    choice->unread_tokens_ = views[chosen].uncached_tokens_ +
                             static_cast<double>(request.own_tokens_.count());
    choice->running_ = views[chosen].running_;
    choice->unread_ahead_ = views[chosen].unread_tokens_;
    choice->recomputes_cached_prefix_ = policy::IsCachedElsewhere(views, best);
    choice->short_prompt_ = request.short_prompt_;
    choice->paused_ = candidates[chosen]->health_.IsPaused(now);
    choice->lapsed_ = candidates[chosen]->entry_.registration_ ==
                      route::Registration::kLapsed;
    return true;
  }

  void OrderEngines() {
    for (auto& [group, engines] : engine_groups_) {
      engines.order_.clear();
    }
    for (auto& [id, instance] : instances_) {
      engine_groups_[instance.entry_.group_].order_.push_back(&instance);
    }
    for (auto& [group, engines] : engine_groups_) {
      std::sort(engines.order_.begin(), engines.order_.end(),
                [](const Instance* a, const Instance* b) {
                  return PoolRank(*a) < PoolRank(*b);
                });
    }
  }

  // The rank depends on the id alone, so that a restart changes no other
  // engine's place.
  static uint64_t PoolRank(const Instance& instance) {
    const std::string& id = instance.entry_.id_.value();
    return XXH3_64bits(id.data(), id.size());
  }

  // Marks the engines that are reserved for short prompts.
  // @return whether there are any.
  bool ReserveEngines(const GroupId& group, Millis now) {
    EngineGroup& engines = engine_groups_[group];
    if (now - engines.sized_at_ >= kPoolInterval) {
      engines.sized_at_ = now;
      SizePool(group, &engines, now);
    }
    int left = engines.pool_.size();
    for (Instance* instance : engines.order_) {
      instance->reserved_ = left > 0 && IsFitForPool(*instance, now);
      left -= instance->reserved_ ? 1 : 0;
    }
    return engines.pool_.size() > 0;
  }

  void SizePool(const GroupId& group, EngineGroup* engines, Millis now) {
    policy::PoolDemand demand;
    demand.running_ = engines->running_short_;
    demand.tokens_per_s_ = engines->pool_.TokensPerSecond(now);
    const auto peers = peer_short_prompts_.find(HashGroup(group));
    if (peers != peer_short_prompts_.end()) {
      demand.running_ += peers->second.running_;
      demand.tokens_per_s_ += peers->second.tokens_per_s_;
    }
    for (const Instance* instance : engines->order_) {
      demand.slots_ = std::max(demand.slots_, instance->entry_.slots_);
      demand.engines_ += IsFitForPool(*instance, now) ? 1 : 0;
    }
    demand.engine_tokens_per_ms_ = engines->speed_.tokens_per_ms();
    const int before = engines->pool_.size();
    const int size = engines->pool_.Update(demand, now);
    if (size != before && on_pool_change_) {
      on_pool_change_({group, size, demand});
    }
  }

  bool IsFitForPool(const Instance& instance, Millis now) const {
    return TakesRequests(instance, now) && !instance.health_.IsPaused(now) &&
           !rate_limits_.IsLimited(RateKey(instance)) &&
           instance.health_.FailureShare(now) < kMaxPoolFailureShare;
  }

  bool Refresh(Choice* choice) {
    const Instance* instance = Find(choice->upstream_);
    const Millis now = boot_.Now();
    if (instance == nullptr || !TakesRequests(*instance, now) ||
        instance->health_.IsPaused(now)) {
      return false;
    }
    ExpirePeerLoads(now);
    const policy::InstanceView view = MakeInstanceView(*instance, now);
    choice->running_ = view.running_;
    choice->unread_ahead_ = view.unread_tokens_;
    return true;
  }

  void Connect(const UpstreamKey& key,
               bool force_new,
               std::function<void(ConnectionResult)> done) {
    Instance* instance = Find(key);
    if (instance == nullptr) {
      PostResult(std::move(done),
                 ConnectionResult{nullptr, false, false, "not listed"});
      return;
    }
    if (!force_new && UseIdle(instance, &done)) {
      return;
    }
    if (IsAtLimit() && !CloseOldestIdle()) {
      PostResult(std::move(done),
                 ConnectionResult{nullptr, true, false, "at the limit"});
      return;
    }
    boost::system::error_code error;
    const auto address =
        boost::asio::ip::make_address_v4(instance->entry_.ip_, error);
    if (error) {
      PostResult(std::move(done),
                 ConnectionResult{nullptr, false, false, "bad address"});
      return;
    }
    ++connections_opened_;
    const uint64_t number = static_cast<uint64_t>(connections_opened_);
    auto& connection = connecting_[number];
    connection = std::make_unique<web::ClientConnection>(
        io_, tcp::endpoint(address, instance->entry_.port_));
    connection->KeepWhileOpen(open_connections_);
    connection->Connect(
        kConnectTimeout,
        [weak = weak_from_this(), key, number,
         done = std::move(done)](const boost::system::error_code& failed) {
          if (const auto self = weak.lock()) {
            done(self->OnConnected(key, number, failed));
          }
        });
  }

  ConnectionResult OnConnected(const UpstreamKey& key,
                               uint64_t number,
                               const boost::system::error_code& failed) {
    const auto found = connecting_.find(number);
    ConnectionResult result;
    result.connection_ = std::move(found->second);
    connecting_.erase(found);
    result.connection_->set_opened_at(boot_.Now());
    if (failed) {
      result.connection_.reset();
      result.reason_ = failed.message();
      result.is_local_failure_ =
          failed == boost::system::errc::too_many_files_open ||
          failed == boost::system::errc::too_many_files_open_in_system ||
          failed == boost::system::errc::address_not_available ||
          failed == boost::system::errc::no_buffer_space ||
          failed == boost::system::errc::not_enough_memory;
      if (!result.is_local_failure_) {
        OnUnreachable(key);
      }
    }
    return result;
  }

  void ReturnConnection(const UpstreamKey& key,
                        std::unique_ptr<web::ClientConnection> connection) {
    Instance* instance = Find(key);
    if (instance == nullptr || !IsOpen(*instance) || !connection->usable()) {
      return;
    }
    const Millis now = boot_.Now();
    Millis keep = kMaxIdle;
    if (connection->keep_alive() > Millis(0)) {
      keep = std::min(keep, connection->keep_alive() - kKeepAliveMargin);
    }
    if (keep <= Millis(0)) {
      return;
    }
    web::ClientConnection* raw = connection.get();
    instance->idle_.push_back({std::move(connection), now, now + keep});
    raw->WatchIdle([weak = weak_from_this(), key, raw] {
      if (const auto self = weak.lock()) {
        self->DropIdle(key, raw);
      }
    });
  }

  void CloseExpiredConnections() {
    const Millis now = boot_.Now();
    for (auto& [id, instance] : instances_) {
      auto& idle = instance.idle_;
      idle.erase(std::remove_if(idle.begin(), idle.end(),
                                [now](const IdleConnection& item) {
                                  return now >= item.until_;
                                }),
                 idle.end());
    }
  }

  bool HasFreeConnection() const {
    if (!IsAtLimit()) {
      return true;
    }
    return std::any_of(
        instances_.begin(), instances_.end(),
        [](const auto& item) { return !item.second.idle_.empty(); });
  }

  bool MarkLeaving(const UpstreamKey& key) {
    const bool is_new =
        notices_.OnLeaving(key.id_, key.started_at_, boot_.Now());
    if (Instance* instance = Find(key)) {
      instance->idle_.clear();
    }
    return is_new;
  }

  static policy::SharedRateLimits::Key RateKey(const Instance& instance) {
    return {instance.entry_.id_, instance.entry_.started_at_};
  }

  void OnRateStated(const UpstreamKey& key,
                    const policy::RateStatement& statement) {
    const Instance* instance = Find(key);
    if (instance == nullptr) {
      return;
    }
    const auto rate_key = RateKey(*instance);
    if (rate_limits_.OnStatement(rate_key, instance->rate_hash_, statement,
                                 boot_.Now())) {
      if (!rate_limits_.IsLimited(rate_key)) {
        ReportRate(rate_key);
      }
      UpdateRateShares();
    }
  }

  void ApplyPeerRates(const std::vector<policy::RateNotice>& notices) {
    const Millis now = boot_.Now();
    for (const policy::RateNotice& notice : notices) {
      for (const auto& [id, instance] : instances_) {
        if (instance.rate_hash_ == notice.upstream_) {
          OnRateStated(KeyOf(instance),
                       {notice.per_second_, now - notice.age_, true});
        }
      }
    }
  }

  void UpdateRateShares() {
    const Millis now = boot_.Now();
    members_.Expire(now);
    for (const auto& key : rate_limits_.UpdateShares(members_, now)) {
      ReportRate(key);
    }
    rate_limits_.Expire(now);
  }

  void ReportRate(const policy::SharedRateLimits::Key& key) {
    if (on_rate_change_) {
      on_rate_change_({{key.first, key.second},
                       rate_limits_.LimitOf(key),
                       rate_limits_.ShareOf(key),
                       static_cast<int>(members_.members().size())});
    }
  }

  std::optional<policy::RateForecast> ForecastRate(const GroupId& group) const {
    policy::RateForecast forecast;
    const Millis now = boot_.Now();
    bool is_limited = false;
    for (const auto& [id, instance] : instances_) {
      if (instance.entry_.group_ != group || !IsOpen(instance) ||
          PausedUntil(instance) > now || instance.health_.IsPaused(now)) {
        continue;
      }
      const auto key = RateKey(instance);
      if (!rate_limits_.IsLimited(key)) {
        return std::nullopt;
      }
      is_limited = true;
      forecast.own_per_second_ += rate_limits_.ShareOf(key).per_second_;
      forecast.mean_per_second_ +=
          rate_limits_.LimitOf(key) / members_.CountForShares(now);
      const auto next_in = rate_limits_.TimeUntilAllowed(key, now);
      if (next_in.has_value()) {
        forecast.next_in_ =
            std::min(*next_in, forecast.next_in_.value_or(*next_in));
      }
    }
    return is_limited ? std::make_optional(forecast) : std::nullopt;
  }

  Millis TimeUntilUnpaused(const GroupId& group) const {
    const Millis now = boot_.Now();
    Millis earliest;
    for (const auto& [id, instance] : instances_) {
      if (instance.entry_.group_ != group || !IsOpen(instance)) {
        continue;
      }
      const Millis left = PausedUntil(instance) - now;
      if (left <= Millis(0)) {
        return Millis(0);
      }
      earliest = earliest == Millis(0) ? left : std::min(earliest, left);
    }
    return earliest;
  }

  // @return whether the instance takes requests at all: it neither drains nor
  // has it left.
  bool IsOpen(const Instance& instance) const {
    return !instance.entry_.draining_ &&
           instance.entry_.registration_ != route::Registration::kMissing &&
           !notices_.IsLeaving(instance.entry_.id_,
                               instance.entry_.started_at_);
  }

  // @return whether the instance takes requests now.
  bool TakesRequests(const Instance& instance, Millis now) const {
    return IsOpen(instance) && PausedUntil(instance) <= now &&
           rate_limits_.Allows(RateKey(instance), now);
  }

  // @return until when the instance has asked for no requests.
  Millis PausedUntil(const Instance& instance) const {
    return notices_.PausedUntil(instance.entry_.id_,
                                instance.entry_.started_at_);
  }

  Instance* Find(const UpstreamKey& key) {
    const auto found = instances_.find(key.id_);
    const bool same = found != instances_.end() &&
                      found->second.entry_.started_at_ == key.started_at_;
    return same ? &found->second : nullptr;
  }

  void OnUnreachable(const UpstreamKey& key) {
    if (Instance* instance = Find(key)) {
      instance->health_.OnUnreachable(boot_.Now());
      instance->idle_.clear();
    }
  }

  void RecordOutcome(Instance* instance, CallOutcome outcome) {
    const Millis now = boot_.Now();
    switch (outcome) {
      case CallOutcome::kServed:
        instance->health_.OnSuccess(now);
        break;
      case CallOutcome::kRejected:
      case CallOutcome::kFailed:
      case CallOutcome::kConnectionLost:
        instance->health_.OnFailure(now);
        break;
      case CallOutcome::kUnreachable:  // recorded when the connection failed
      case CallOutcome::kCancelled:
        break;
    }
  }

  void RecordPrompt(const Instance& instance,
                    const policy::PlacementRequest& request) {
    if (request.SharedTokens() < kMinSharedTokens) {
      return;
    }
    cache_estimate_.OnSent(instance.id_hash_, request.shared_);
    recent_prompts_.push_back(
        {{instance.id_hash_, request.shared_}, boot_.Now()});
  }

  std::vector<SentPrompt> RecentPrompts() {
    const Millis now = boot_.Now();
    while (!recent_prompts_.empty() &&
           now - recent_prompts_.front().sent_at_ > kPromptShareTime) {
      recent_prompts_.pop_front();
    }
    std::vector<SentPrompt> prompts;
    for (const RecentPrompt& recent : recent_prompts_) {
      prompts.push_back(recent.prompt_);
    }
    return prompts;
  }

  // Updates the sums with each message, so that the cost of a choice does not
  // grow with the number of peers.
  void ApplyPeerLoads(const std::string& peer, LoadReport loads) {
    PeerLoads& known = peer_loads_[peer];
    AddToSums(known.loads_, -1);
    AddToSums(loads, 1);
    known = PeerLoads{std::move(loads), boot_.Now()};
  }

  LoadReport OwnLoads() const {
    LoadReport loads;
    for (const auto& [id, instance] : instances_) {
      if (instance.running_ > 0) {
        loads.instances_.push_back(
            {instance.id_hash_, instance.running_, instance.unread_tokens_});
      }
    }
    const Millis now = boot_.Now();
    for (const auto& [group, engines] : engine_groups_) {
      const double tokens_per_s = engines.pool_.TokensPerSecond(now);
      if (engines.running_short_ > 0 || tokens_per_s >= 1) {
        loads.short_prompts_.push_back(
            {HashGroup(group), engines.running_short_, tokens_per_s});
      }
    }
    return loads;
  }

  boost::asio::io_context& io_;
  const Clock boot_;
  const ZoneId own_zone_;
  std::mt19937_64 random_;
  std::map<InstanceId, Instance> instances_;
  std::map<GroupId, EngineGroup> engine_groups_;
  std::unordered_map<std::string, PeerLoads> peer_loads_;
  std::unordered_map<uint64_t, PeerLoadSum> peer_sums_;
  std::unordered_map<uint64_t, ShortPromptLoad> peer_short_prompts_;  // sums
  std::function<void(const PoolChange&)> on_pool_change_;
  std::function<VersionUse(const policy::StreamOrigin&)> use_of_version_;
  Millis versions_checked_at_;
  Millis peer_loads_checked_at_;
  policy::InstanceNotices notices_;
  policy::GatewayMembers members_{0, false, Millis(0)};
  policy::SharedRateLimits rate_limits_;
  std::function<void(const RateChange&)> on_rate_change_;
  policy::PrefixCacheEstimate cache_estimate_;
  std::map<GroupId, Tokens> cache_capacity_;
  std::deque<RecentPrompt> recent_prompts_;
  // Pending connections by their number. Each is owned here, as its callback
  // must not keep it alive.
  std::unordered_map<uint64_t, std::unique_ptr<web::ClientConnection>>
      connecting_;
  int64_t connections_opened_ = 0;
  size_t max_connections_ = std::numeric_limits<size_t>::max();
  // Each open connection holds a copy.
  const std::shared_ptr<const int> open_connections_ =
      std::make_shared<const int>(0);

 private:
  bool IsAtLimit() const {
    return static_cast<size_t>(open_connections_.use_count() - 1) >=
           max_connections_;
  }

  // @return false if no connection is idle.
  bool CloseOldestIdle() {
    Instance* oldest = nullptr;
    for (auto& [id, instance] : instances_) {
      if (!instance.idle_.empty() &&
          (oldest == nullptr ||
           instance.idle_.front().since_ < oldest->idle_.front().since_)) {
        oldest = &instance;
      }
    }
    if (oldest == nullptr) {
      return false;
    }
    oldest->idle_.pop_front();
    return true;
  }

  void AddToSums(const LoadReport& loads, int sign) {
    for (const InstanceLoad& load : loads.instances_) {
      PeerLoadSum& sum = peer_sums_[load.id_hash_];
      sum.running_ += sign * load.running_;
      sum.unread_tokens_ += sign * load.unread_tokens_;
      if (sum.running_ <= 0) {
        peer_sums_.erase(load.id_hash_);
      }
    }
    for (const ShortPromptLoad& load : loads.short_prompts_) {
      ShortPromptLoad& sum = peer_short_prompts_[load.group_hash_];
      sum.running_ += sign * load.running_;
      sum.tokens_per_s_ += sign * load.tokens_per_s_;
    }
  }

  void ExpirePeerLoads(Millis now) {
    if (now - peer_loads_checked_at_ < kPeerCheckInterval) {
      return;
    }
    peer_loads_checked_at_ = now;
    for (auto it = peer_loads_.begin(); it != peer_loads_.end();) {
      if (now - it->second.received_at_ > kPeerLoadLifetime) {
        AddToSums(it->second.loads_, -1);
        it = peer_loads_.erase(it);
      } else {
        ++it;
      }
    }
  }

  static UpstreamKey KeyOf(const Instance& instance) {
    return {instance.entry_.id_, instance.entry_.started_at_};
  }

  policy::InstanceView MakeInstanceView(const Instance& instance,
                                        Millis now) const {
    policy::InstanceView view;
    view.id_hash_ = instance.id_hash_;
    view.same_zone_ = instance.entry_.zone_ == own_zone_;
    view.slots_ = instance.entry_.slots_;
    view.running_ = instance.running_;
    view.unread_tokens_ = instance.unread_tokens_;
    view.failure_share_ = instance.health_.FailureShare(now);
    const auto peers = peer_sums_.find(instance.id_hash_);
    if (peers != peer_sums_.end()) {
      view.running_ += peers->second.running_;
      view.unread_tokens_ += peers->second.unread_tokens_;
    }
    return view;
  }

  void PostResult(std::function<void(ConnectionResult)> done,
                  ConnectionResult result) {
    auto shared = std::make_shared<ConnectionResult>(std::move(result));
    boost::asio::post(
        io_, [done = std::move(done), shared] { done(std::move(*shared)); });
  }

  // Tries the most recently used connection first.
  bool UseIdle(Instance* instance,
               std::function<void(ConnectionResult)>* done) {
    const Millis now = boot_.Now();
    while (!instance->idle_.empty()) {
      IdleConnection idle = std::move(instance->idle_.back());
      instance->idle_.pop_back();
      if (now < idle.until_ && idle.connection_->IsAlive()) {
        PostResult(
            std::move(*done),
            ConnectionResult{std::move(idle.connection_), false, true, ""});
        return true;
      }
    }
    return false;
  }

  void DropIdle(const UpstreamKey& key, const web::ClientConnection* which) {
    Instance* instance = Find(key);
    if (instance == nullptr) {
      return;
    }
    auto& idle = instance->idle_;
    idle.erase(std::remove_if(idle.begin(), idle.end(),
                              [which](const IdleConnection& item) {
                                return item.connection_.get() == which;
                              }),
               idle.end());
  }
};

UpstreamSet::UpstreamSet(boost::asio::io_context& io,
                         Clock boot,
                         ZoneId own_zone)
    : impl_(std::make_shared<Impl>(io, std::move(boot), std::move(own_zone))) {}

UpstreamSet::~UpstreamSet() = default;

void UpstreamSet::SetPoolHook(
    std::function<void(const PoolChange&)> on_pool_change) {
  impl_->on_pool_change_ = std::move(on_pool_change);
}

void UpstreamSet::Update(const std::vector<route::UpstreamEntry>& entries) {
  impl_->Update(entries);
}

bool UpstreamSet::Choose(const GroupId& group,
                         const policy::PlacementRequest& request,
                         const std::vector<UpstreamKey>& tried,
                         Choice* choice) {
  return impl_->Choose(group, request, tried, choice);
}

bool UpstreamSet::Refresh(Choice* choice) const {
  return impl_->Refresh(choice);
}

bool UpstreamSet::MaySend(Choice* choice) {
  const Instance* instance = impl_->Find(choice->upstream_);
  const Millis now = impl_->boot_.Now();
  if (instance == nullptr || !impl_->IsOpen(*instance) ||
      impl_->PausedUntil(*instance) > now) {
    return false;
  }
  // The limit may be newer than the choice.
  choice->has_permission_ =
      choice->has_permission_ ||
      impl_->rate_limits_.TryTake(Impl::RateKey(*instance), now);
  return choice->has_permission_;
}

void UpstreamSet::SetRateHook(
    std::function<void(const RateChange&)> on_rate_change) {
  impl_->on_rate_change_ = std::move(on_rate_change);
}

void UpstreamSet::SetMembers(policy::GatewayMembers members) {
  impl_->members_ = std::move(members);
}

void UpstreamSet::OnPeerSeen(uint64_t member) {
  impl_->members_.OnSeen(member, impl_->boot_.Now());
}

void UpstreamSet::OnRateStated(const UpstreamKey& upstream,
                               const policy::RateStatement& statement) {
  impl_->OnRateStated(upstream, statement);
}

std::vector<policy::RateNotice> UpstreamSet::RateNotices() const {
  return impl_->rate_limits_.Notices(impl_->boot_.Now());
}

void UpstreamSet::ApplyPeerRates(
    const std::vector<policy::RateNotice>& notices) {
  impl_->ApplyPeerRates(notices);
}

void UpstreamSet::UpdateRateShares() {
  impl_->UpdateRateShares();
}

int UpstreamSet::rate_limited() const {
  return impl_->rate_limits_.CountLimited();
}

std::optional<policy::RateForecast> UpstreamSet::ForecastRate(
    const GroupId& group) const {
  return impl_->ForecastRate(group);
}

bool UpstreamSet::MarkLeaving(const UpstreamKey& upstream) {
  return impl_->MarkLeaving(upstream);
}

void UpstreamSet::Pause(const UpstreamKey& upstream, Millis pause) {
  impl_->notices_.OnPause(upstream.id_, upstream.started_at_, pause,
                          impl_->boot_.Now());
}

Millis UpstreamSet::TimeUntilUnpaused(const GroupId& group) const {
  return impl_->TimeUntilUnpaused(group);
}

void UpstreamSet::Connect(const UpstreamKey& upstream,
                          bool force_new,
                          std::function<void(ConnectionResult)> done) {
  impl_->Connect(upstream, force_new, std::move(done));
}

void UpstreamSet::ReturnConnection(
    const UpstreamKey& upstream,
    std::unique_ptr<web::ClientConnection> connection) {
  impl_->ReturnConnection(upstream, std::move(connection));
}

void UpstreamSet::SetVersionHook(
    std::function<VersionUse(const policy::StreamOrigin&)> use_of) {
  impl_->use_of_version_ = std::move(use_of);
}

bool UpstreamSet::IsListed(const UpstreamKey& upstream) const {
  return impl_->Find(upstream) != nullptr;
}

bool UpstreamSet::HasVersion(const policy::StreamOrigin& origin) const {
  return impl_->HasVersion(origin);
}

void UpstreamSet::SetMaxConnections(size_t max_connections) {
  impl_->max_connections_ = max_connections;
}

void UpstreamSet::CloseExpiredConnections() {
  impl_->CloseExpiredConnections();
}

bool UpstreamSet::HasFreeConnection() const {
  return impl_->HasFreeConnection();
}

void UpstreamSet::SetCacheCapacity(const GroupId& group, Tokens capacity) {
  impl_->cache_capacity_[group] = capacity;
}

std::vector<SentPrompt> UpstreamSet::RecentPrompts() {
  return impl_->RecentPrompts();
}

void UpstreamSet::ApplyPeerPrompts(const std::vector<SentPrompt>& prompts) {
  for (const SentPrompt& prompt : prompts) {
    impl_->cache_estimate_.OnSent(prompt.id_hash_, prompt.shared_);
  }
}

void UpstreamSet::Begin(Choice* choice,
                        const policy::PlacementRequest& request) {
  if (choice->short_prompt_) {
    ++impl_->engine_groups_[choice->group_].running_short_;
  }
  choice->has_permission_ = false;
  if (Instance* instance = impl_->Find(choice->upstream_)) {
    const auto key = Impl::RateKey(*instance);
    choice->has_permission_ =
        impl_->rate_limits_.IsLimited(key) &&
        impl_->rate_limits_.TryTake(key, impl_->boot_.Now());
    impl_->RecordPrompt(*instance, request);
    ++instance->running_;
    instance->unread_tokens_ += choice->unread_tokens_;
  }
}

void UpstreamSet::OnPrefillDone(const Choice& choice) {
  if (Instance* instance = impl_->Find(choice.upstream_)) {
    instance->unread_tokens_ =
        std::max(0.0, instance->unread_tokens_ - choice.unread_tokens_);
  }
}

void UpstreamSet::OnPrefillTimed(const GroupId& group,
                                 Tokens own_tokens,
                                 Millis elapsed) {
  impl_->engine_groups_[group].speed_.OnFirstByte(own_tokens, elapsed);
}

bool UpstreamSet::ClassifyPrompt(const GroupId& group,
                                 const std::string& route,
                                 const policy::PlacementRequest& request,
                                 Millis tightest_target) {
  EngineGroup& engines = impl_->engine_groups_[group];
  return engines.pool_.Classify(route, request.SharedTokens(),
                                request.own_tokens_, tightest_target,
                                impl_->boot_.Now());
}

bool UpstreamSet::HasReservedEngines(const GroupId& group) const {
  const auto found = impl_->engine_groups_.find(group);
  return found != impl_->engine_groups_.end() && found->second.pool_.size() > 0;
}

double UpstreamSet::PrefillTokensPerMs(const GroupId& group) const {
  const auto found = impl_->engine_groups_.find(group);
  return found == impl_->engine_groups_.end()
             ? policy::PrefillSpeed::kInitial
             : found->second.speed_.tokens_per_ms();
}

void UpstreamSet::End(const Choice& choice,
                      bool prefill_done,
                      CallOutcome outcome) {
  if (choice.short_prompt_) {
    --impl_->engine_groups_[choice.group_].running_short_;
  }
  Instance* instance = impl_->Find(choice.upstream_);
  if (instance == nullptr) {
    return;
  }
  if (choice.has_permission_) {
    impl_->rate_limits_.GiveBack(Impl::RateKey(*instance), impl_->boot_.Now());
  }
  if (!prefill_done) {
    OnPrefillDone(choice);
  }
  instance->running_ = std::max(0, instance->running_ - 1);
  impl_->RecordOutcome(instance, outcome);
}

LoadReport UpstreamSet::OwnLoads() const {
  return impl_->OwnLoads();
}

void UpstreamSet::ApplyPeerLoads(const std::string& peer, LoadReport loads) {
  impl_->ApplyPeerLoads(peer, std::move(loads));
}

int64_t UpstreamSet::connections_opened() const {
  return impl_->connections_opened_;
}

}  // namespace bergamotscale::gateway
