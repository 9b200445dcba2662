// The upstream instances of a gateway: load, health and connections.
#ifndef BERGAMOTSCALE_SRC_GATEWAY_UPSTREAM_SET_H_
#define BERGAMOTSCALE_SRC_GATEWAY_UPSTREAM_SET_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "bergamotscale/clock.h"
#include "bergamotscale/ids.h"
#include "src/policy/gateway_members.h"
#include "src/policy/placer.h"
#include "src/policy/rate_queue.h"
#include "src/policy/shared_rate_limits.h"
#include "src/policy/short_prompt_pool.h"
#include "src/policy/stream_origins.h"
#include "src/route/directory.h"
#include "src/web/client_connection.h"

namespace bergamotscale::gateway {

// Running requests and prompt tokens not yet prefilled on an instance.
struct InstanceLoad {
  uint64_t id_hash_ = 0;
  int running_ = 0;
  double unread_tokens_ = 0;
};

// Short prompts of a group of engines; see policy::ShortPromptPool.
struct ShortPromptLoad {
  uint64_t group_hash_ = 0;
  int running_ = 0;
  double tokens_per_s_ = 0;
};

// The load that a gateway puts on upstreams.
struct LoadReport {
  std::vector<InstanceLoad> instances_;
  std::vector<ShortPromptLoad> short_prompts_;
};

// The number of engines reserved for short prompts has changed.
struct PoolChange {
  GroupId group_;
  int size_ = 0;
  policy::PoolDemand demand_;
  Millis report_age_;  // mean age of the latest reports of all peers
};

// How evenly the engines of a group are loaded, as far as this gateway knows.
struct GroupBalance {
  GroupId group_;
  int engines_ = 0;
  int fast_ = 0;  // see policy::EngineSpeed
  // Standard deviation over the engines of the prompt tokens not yet prefilled.
  double spread_tokens_ = 0;
  // Estimated prompt tokens that no report shows yet; less than zero if engines
  // are estimated to have prefilled more than that.
  double unseen_tokens_ = 0;
  Millis report_age_;  // mean age of the latest reports of all peers
};

// The prefill speed that a gateway has seen at an instance.
struct SpeedSample {
  uint64_t id_hash_ = 0;
  double tokens_per_ms_ = 0;
};

// A prompt that was sent to an instance, as shared with peers.
struct SentPrompt {
  uint64_t id_hash_ = 0;
  std::vector<policy::SharedPromptPart> shared_;
};

// Identifies an incarnation of an instance.
struct UpstreamKey {
  InstanceId id_;
  int64_t started_at_ = 0;

  friend bool operator==(const UpstreamKey& a, const UpstreamKey& b) {
    return a.id_ == b.id_ && a.started_at_ == b.started_at_;
  }
};

// The request rate that an upstream takes, or this gateway's share of it, has
// changed.
struct RateChange {
  UpstreamKey upstream_;
  double per_second_ = 0;  // zero: it takes any rate
  policy::RateShare share_;
  int members_ = 0;  // gateways that are taken into account
};

// How a request to an instance ended.
enum class CallOutcome {
  kServed,
  kRejected,        // not executed: full, draining, or another instance
  kFailed,          // an error response of the instance
  kConnectionLost,  // the connection ended, or the response was malformed
  kUnreachable,     // no connection
  kCancelled,       // cancelled by the gateway; does not affect the health
};

// Whether streams that may be taken up can begin at a version.
enum class VersionUse {
  kNone,
  kIfNeeded,  // if no upstream of a preferred version takes them
  kPreferred,
};

struct ConnectionResult {
  std::unique_ptr<web::ClientConnection> connection_;  // null if it failed
  // The failure says nothing about the upstream: this process can open no
  // further connection.
  bool is_local_failure_ = false;
  bool reused_ = false;
  std::string reason_;
};

// Tracks the upstream instances, chooses one for each request and keeps idle
// connections to them. Thread safety: use from the traffic thread.
class UpstreamSet {
 public:
  UpstreamSet(boost::asio::io_context& io, Clock boot, ZoneId own_zone);
  ~UpstreamSet();
  UpstreamSet(const UpstreamSet&) = delete;
  UpstreamSet& operator=(const UpstreamSet&) = delete;

  // Weighs loads by the age of the peers' reports; see policy::LoadForecast.
  // Off by default.
  void SetBalancesStaleLoad(bool balances);

  // Sets the function that is told of each change of a pool.
  void SetPoolHook(std::function<void(const PoolChange&)> on_pool_change);

  // Sets the function that tells at which versions streams may begin.
  void SetVersionHook(
      std::function<VersionUse(const policy::StreamOrigin&)> use_of);
  // Sets the function that is told of each change of a rate.
  void SetRateHook(std::function<void(const RateChange&)> on_rate_change);
  // Sets the gateways that share the rates that upstreams take; without it,
  // this gateway is the only one.
  void SetMembers(policy::GatewayMembers members);
  // Records a sign of life of another gateway.
  void OnPeerSeen(uint64_t member);

  // Replaces the list of instances. Instances that are no longer listed get no
  // more requests.
  void Update(const std::vector<route::UpstreamEntry>& entries);
  // @param capacity size in tokens of the prefix cache of an instance of the
  // group.
  void SetCacheCapacity(const GroupId& group, Tokens capacity);

  struct Choice {
    UpstreamKey upstream_;
    GroupId group_;
    SoftwareVersion version_;
    // Prompt tokens that the instance is expected to prefill.
    double unread_tokens_ = 0;
    // Load of the instance before this request.
    int running_ = 0;
    double unread_ahead_ = 0;
    double prefill_tokens_per_ms_ = 0;  // speed of the instance
    // Whether another instance has cached the prefix that this one must
    // prefill.
    bool recomputes_cached_prefix_ = false;
    bool short_prompt_ = false;
    // Whether the instance's registration has expired in an outage.
    bool lapsed_ = false;
    // Whether connecting to the instance has failed a moment ago.
    bool paused_ = false;
    // Whether Begin() or MaySend() has taken a permission to send from the
    // instance's rate limit. Clear it when the request is sent; End() gives it
    // back otherwise.
    bool has_permission_ = false;
  };

  // Records a request to engines and classifies its prompt.
  // @param tightest_target the tightest target of all routes of the group.
  // @param tightest_gap_target the same of pauses between events.
  // @return whether it is short; see policy::ShortPromptPool.
  bool ClassifyPrompt(const GroupId& group,
                      const std::string& route,
                      const policy::PlacementRequest& request,
                      Millis tightest_target,
                      Millis tightest_gap_target);
  // @return whether engines of the group are reserved for short prompts.
  bool HasReservedEngines(const GroupId& group) const;

  // Records that the upstream announced in a response that it is leaving. It
  // gets no more requests, whatever the registry says.
  // @return whether this was not known yet.
  bool MarkLeaving(const UpstreamKey& upstream);
  // Records that the upstream asked for no requests for this time. Until then,
  // it gets none.
  void Pause(const UpstreamKey& upstream, Millis pause);
  // @return how long all instances of the group that could be used have asked
  // for no requests; zero if one of them has not asked, or there is none.
  Millis TimeUntilUnpaused(const GroupId& group) const;

  // Records which rate of requests an upstream takes from all gateways.
  void OnRateStated(const UpstreamKey& upstream,
                    const policy::RateStatement& statement);
  // @return what peers should know of such rates.
  std::vector<policy::RateNotice> RateNotices() const;
  void ApplyPeerRates(const std::vector<policy::RateNotice>& notices);
  // Divides the rates anew. Call it at an interval well below a second.
  void UpdateRateShares();
  // @return the number of instances that have stated a rate.
  int rate_limited() const;
  // @return the rate at which this gateway may send to the group, if all
  // instances that could be used are limited, and nothing otherwise. One that
  // could not be reached a moment ago can't be used.
  std::optional<policy::RateForecast> ForecastRate(const GroupId& group) const;

  // @return whether this incarnation is listed.
  bool IsListed(const UpstreamKey& upstream) const;
  // @return whether an instance of the version takes requests at all.
  bool HasVersion(const policy::StreamOrigin& origin) const;

  // Limits the connections to all instances together.
  void SetMaxConnections(size_t max_connections);
  // Closes idle connections that are too old to be used. Call it at an interval
  // of about a second.
  void CloseExpiredConnections();
  // @return whether another request can have a connection within the limit.
  bool HasFreeConnection() const;

  // Chooses where to send a request.
  // @param tried instances to which the request was already sent.
  // @return false if no instance is usable; `choice` is then unchanged.
  bool Choose(const GroupId& group,
              const policy::PlacementRequest& request,
              const std::vector<UpstreamKey>& tried,
              Choice* choice);

  // Updates the load in a choice. It is cheap enough to be called often for
  // many queued requests.
  // @return false if another instance must be chosen.
  bool Refresh(Choice* choice) const;

  // Checks again whether a request for which Begin() was called may be sent.
  bool MaySend(Choice* choice);

  // Yields an idle or a new connection through `done`, never from within this
  // call.
  // @param force_new whether idle connections must not be used.
  void Connect(const UpstreamKey& upstream,
               bool force_new,
               std::function<void(ConnectionResult)> done);
  // Keeps the connection for later requests, or closes it if it is unusable.
  void ReturnConnection(const UpstreamKey& upstream,
                        std::unique_ptr<web::ClientConnection> connection);

  // Counts a request in the instance's load, from before it is sent until
  // End().
  void Begin(Choice* choice, const policy::PlacementRequest& request);
  // Call when the first bytes of the response arrive: the prompt is prefilled.
  void OnPrefillDone(const Choice& choice);
  // Updates the prefill speed of the instance and its group. Only for first
  // bytes of prompts whose shared parts were cached.
  void OnPrefillTimed(const Choice& choice, Tokens own_tokens, Millis elapsed);
  void End(const Choice& choice, bool prefill_done, CallOutcome outcome);

  // @return the load that this gateway puts on upstreams.
  LoadReport OwnLoads() const;
  // @return recently sent prompts with long shared parts. Each is returned
  // several times, because datagrams may be lost.
  std::vector<SentPrompt> RecentPrompts();
  // Updates the cache estimate with prompts that a peer has sent.
  void ApplyPeerPrompts(const std::vector<SentPrompt>& prompts);
  // @return speeds seen since the last call, for peers; none while reports are
  // not stale, as they have no effect then. A lost one does no harm.
  std::vector<SpeedSample> TakeSpeedSamples();
  void ApplyPeerSpeeds(const std::vector<SpeedSample>& samples);
  // Replaces the load that a peer puts on instances. It expires if the peer
  // doesn't update it.
  void ApplyPeerLoads(const std::string& peer, LoadReport loads);

  // @return the balance of each group of engines.
  std::vector<GroupBalance> Balance() const;

  // @return the number of connections opened since the start.
  int64_t connections_opened() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace bergamotscale::gateway

#endif  // BERGAMOTSCALE_SRC_GATEWAY_UPSTREAM_SET_H_
