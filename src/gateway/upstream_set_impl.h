// The private part of upstream_set.h. The methods are in the upstream_*.cc
// files, by concern.
#ifndef BERGAMOTSCALE_SRC_GATEWAY_UPSTREAM_SET_IMPL_H_
#define BERGAMOTSCALE_SRC_GATEWAY_UPSTREAM_SET_IMPL_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/gateway/peer_load_sums.h"
#include "src/gateway/upstream_set.h"
#include "src/policy/engine_speed.h"
#include "src/policy/instance_health.h"
#include "src/policy/instance_notices.h"
#include "src/policy/load_forecast.h"
#include "src/policy/prefix_cache_estimate.h"

namespace bergamotscale::gateway {

class UpstreamSet::Impl : public std::enable_shared_from_this<Impl> {
 public:
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
    policy::EngineSpeed speed_;
    policy::LoadForecast peers_load_;
    // Assumed prefill speed; updated at intervals, as it is dear to compute.
    double tokens_per_ms_ = policy::PrefillSpeed::kInitial;
    bool listed_ = true;
    bool reserved_ = false;  // for short prompts, as of the latest choice
    VersionUse use_ = VersionUse::kPreferred;  // of its version
  };

  // The engines of a group, for choosing those that get short prompts only.
  struct EngineGroup {
    policy::ShortPromptPool pool_;
    policy::PrefillSpeed speed_;
    // Nearly equal in all entries.
    std::vector<Instance*> order_;
    int running_short_ = 0;  // of this entry
    Millis gap_target_;      // the tightest of the group's routes
    Millis sized_at_;
  };

  struct RecentPrompt {
    SentPrompt prompt_;
    Millis sent_at_;
  };

  // Prompt tokens that peers have sent to an instance and that it has not
  // prefilled yet.
  struct PeersUnread {
    double reported_ = 0;
    double estimated_ = 0;
  };

  // Which instances of a group a choice is limited to.
  struct Subset {
    bool by_pool_ = false;  // short prompts only reserved engines, others none
    VersionUse use_ = VersionUse::kPreferred;  // at least, for new streams
  };

  Impl(boost::asio::io_context& io, Clock boot, ZoneId own_zone);

  // upstream_directory.cc: the list of instances and their health.

  void Update(const std::vector<route::UpstreamEntry>& entries);
  Instance* Find(const UpstreamKey& key);
  // @return whether the instance takes requests at all: it neither drains nor
  // has it left.
  bool IsOpen(const Instance& instance) const;
  // @return whether the instance takes requests now.
  bool TakesRequests(const Instance& instance, Millis now) const;
  // @return until when the instance has asked for no requests.
  Millis PausedUntil(const Instance& instance) const;
  bool HasVersion(const policy::StreamOrigin& origin) const;
  void CheckVersions(Millis now);
  void OrderEngines();
  // Sorts the engines of a group: fast ones first, then by PoolRank().
  static void SortEngines(EngineGroup* engines);
  // Among engines of similar speed, the rank depends on the id alone, so that a
  // restart changes no other engine's place.
  static uint64_t PoolRank(const Instance& instance);
  bool MarkLeaving(const UpstreamKey& key);
  Millis TimeUntilUnpaused(const GroupId& group) const;
  void OnUnreachable(const UpstreamKey& key);
  void RecordOutcome(Instance* instance, CallOutcome outcome);

  // upstream_choice.cc: where a request is sent.

  bool Choose(const GroupId& group,
              const policy::PlacementRequest& request,
              const std::vector<UpstreamKey>& tried,
              Choice* choice);
  bool Refresh(Choice* choice);
  static bool IsIn(const Instance& instance,
                   const policy::PlacementRequest& request,
                   const Subset& subset);
  bool ChooseAmong(const GroupId& group,
                   const policy::PlacementRequest& request,
                   const std::vector<UpstreamKey>& tried,
                   const Subset& subset,
                   Millis now,
                   Choice* choice);
  // Marks the engines that are reserved for short prompts.
  // @return whether there are any.
  bool ReserveEngines(const GroupId& group, Millis now);
  void SizePool(const GroupId& group, EngineGroup* engines, Millis now);
  // @return how far the peers' reports are out of date; 0 if the setting
  // balance_stale_load is off.
  double Staleness(Millis now) const;
  // Updates what is learned about the engines of a group.
  void UpdateEstimates(EngineGroup* engines, Millis now);
  // @return the mean speed of the engines that short prompts would get.
  double PoolTokensPerMs(const EngineGroup& engines, Millis now) const;
  bool IsFitForPool(const Instance& instance, Millis now) const;
  PeersUnread GetPeersUnread(const Instance& instance, Millis now) const;

  // upstream_rates.cc: the rates of requests that upstreams take.

  static policy::SharedRateLimits::Key RateKey(const Instance& instance);
  void OnRateStated(const UpstreamKey& key,
                    const policy::RateStatement& statement);
  void ApplyPeerRates(const std::vector<policy::RateNotice>& notices);
  void UpdateRateShares();
  void ReportRate(const policy::SharedRateLimits::Key& key);
  std::optional<policy::RateForecast> ForecastRate(const GroupId& group) const;

  // upstream_connections.cc: idle and new connections.

  void Connect(const UpstreamKey& key,
               bool force_new,
               std::function<void(ConnectionResult)> done);
  ConnectionResult OnConnected(const UpstreamKey& key,
                               uint64_t number,
                               const boost::system::error_code& failed);
  void ReturnConnection(const UpstreamKey& key,
                        std::unique_ptr<web::ClientConnection> connection);
  void CloseExpiredConnections();
  bool HasFreeConnection() const;

  // upstream_load.cc: what is sent, and what peers should know of it.

  void RecordPrompt(const Instance& instance,
                    const policy::PlacementRequest& request);
  std::vector<SentPrompt> RecentPrompts();
  LoadReport OwnLoads() const;
  // @return the group as it is identified in datagrams.
  static uint64_t HashGroup(const GroupId& group);

  boost::asio::io_context& io_;
  const Clock boot_;
  const ZoneId own_zone_;
  std::mt19937_64 random_;
  std::map<InstanceId, Instance> instances_;
  std::map<GroupId, EngineGroup> engine_groups_;
  PeerLoadSums peer_loads_;
  std::function<void(const PoolChange&)> on_pool_change_;
  std::function<VersionUse(const policy::StreamOrigin&)> use_of_version_;
  Millis versions_checked_at_;
  policy::InstanceNotices notices_;
  policy::GatewayMembers members_{0, false, Millis(0)};
  policy::SharedRateLimits rate_limits_;
  std::function<void(const RateChange&)> on_rate_change_;
  policy::PrefixCacheEstimate cache_estimate_;
  std::map<GroupId, Tokens> cache_capacity_;
  std::deque<RecentPrompt> recent_prompts_;
  std::vector<SpeedSample> speed_samples_;  // not sent to peers yet
  // Pending connections by their number. Each is owned here, as its callback
  // must not keep it alive.
  std::unordered_map<uint64_t, std::unique_ptr<web::ClientConnection>>
      connecting_;
  int64_t connections_opened_ = 0;
  bool balances_stale_load_ = false;
  size_t max_connections_ = std::numeric_limits<size_t>::max();
  // Each open connection holds a copy.
  const std::shared_ptr<const int> open_connections_ =
      std::make_shared<const int>(0);

 private:
  static UpstreamKey KeyOf(const Instance& instance);
  policy::InstanceView MakeInstanceView(const Instance& instance,
                                        Millis now) const;
  // Sets the load and the speed of the instance.
  void DescribeLoad(const Instance& instance, Millis now, Choice* choice) const;
  bool IsAtLimit() const;
  // @return false if no connection is idle.
  bool CloseOldestIdle();
  void PostResult(std::function<void(ConnectionResult)> done,
                  ConnectionResult result);
  // Tries the most recently used connection first.
  bool UseIdle(Instance* instance, std::function<void(ConnectionResult)>* done);
  void DropIdle(const UpstreamKey& key, const web::ClientConnection* which);
};

}  // namespace bergamotscale::gateway

#endif  // BERGAMOTSCALE_SRC_GATEWAY_UPSTREAM_SET_IMPL_H_
