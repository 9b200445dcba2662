// The routes of opaque requests to groups of upstreams.
#ifndef BERGAMOTSCALE_SRC_ROUTE_ROUTE_TABLE_H_
#define BERGAMOTSCALE_SRC_ROUTE_ROUTE_TABLE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bergamotscale/ids.h"
#include "bergamotscale/units.h"

namespace bergamotscale::route {

// How often a request may be executed, and the form of its answer.
enum class CallKind {
  kIdempotent,  // may be executed more than once
  kAtMostOnce,  // at most one execution
  kStream,      // a stream of events; at most one execution unless resumable
};

// A group of upstreams with its share of a route's requests.
struct WeightedGroup {
  GroupId group_;
  int weight_ = 1;
};

struct Route {
  std::string name_;
  std::string host_;
  std::string path_prefix_;  // begins and ends with a slash
  CallKind kind_ = CallKind::kAtMostOnce;
  bool resumable_ = false;
  bool needs_key_ = true;
  // Measured from arrival: when the request times out, and when its answer (of
  // a stream, the first event) is due.
  Millis timeout_ = Millis(30'000);
  Millis target_ = Millis(1'000);
  // The longest pause between events of an answer that is on time.
  Millis gap_target_ = Millis(1'000);
  int priority_ = 0;  // 0 is the most urgent
  int max_attempts_ = 1;
  std::vector<WeightedGroup> groups_;

  // @return whether a request may be executed again after it may have run.
  bool is_retryable() const {
    return kind_ == CallKind::kIdempotent ||
           (kind_ == CallKind::kStream && resumable_);
  }
};

// The configuration of a group of upstreams.
struct Service {
  GroupId name_;
  // Tokens that fit in an instance's memory; 0 for services that are not
  // engines.
  Tokens kv_capacity_;
};

// Limits on the size of a request and on the time a caller takes to send it.
struct CallerLimits {
  Bytes max_header_ = Bytes(16'384);
  Bytes max_body_ = Bytes(4'194'304);
  Millis header_timeout_ = Millis(3'000);
  Millis idle_timeout_ = Millis(15'000);
};

struct KeyOwner {
  WorkspaceId workspace_;
  // Overrides the priority of the route.
  std::optional<int> priority_;
};

// The priority of a request. Workspaces often share one priority, so that the
// priority of the route decides among their requests.
struct Rank {
  int priority_ = 0;  // the workspace's if it has one; 0 is the most urgent
  int route_priority_ = 0;  // breaks ties of priority_

  friend bool operator<(const Rank& a, const Rank& b) {
    return a.priority_ != b.priority_ ? a.priority_ < b.priority_
                                      : a.route_priority_ < b.route_priority_;
  }
};

// The position of a rank among all ranks that requests of a table can have.
struct UrgencyLevel {
  int level_ = 0;  // 0 is the most urgent
  int levels_ = 1;
};

// @param owner the owner of the request's key; null if it needs none.
// Thread safety: safe.
Rank ComputeRank(const Route& route, const KeyOwner* owner);

struct WorkspaceKeys {
  KeyOwner owner_;
  std::vector<std::string> keys_;
};

// One version of the configuration of opaque requests. Immutable.
// Thread safety: safe.
class RouteTable {
 public:
  struct Content {
    int64_t version_ = 0;
    std::vector<Route> routes_;
    std::vector<Service> services_;
    std::vector<WorkspaceKeys> workspaces_;
    CallerLimits limits_;
    // Whether workspaces are configured; without them, no route requires a key.
    bool has_workspaces_ = false;
  };

  explicit RouteTable(Content content);
  ~RouteTable();
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  int64_t version() const;
  const CallerLimits& limits() const;
  const std::vector<Route>& routes() const;
  const std::vector<Service>& services() const;

  // @param host as sent, with or without a port; case does not matter.
  // @param target the request target, with or without a query.
  // @return the route with the longest prefix, or null. Lifetime: the table's.
  const Route* FindRoute(std::string_view host, std::string_view target) const;

  // @return whether requests on the route require the key of a workspace.
  bool NeedsKey(const Route& route) const;

  // @return the owner of the key, or null. Lifetime: the table's.
  const KeyOwner* FindKey(const std::string& key) const;

  // @return the tightest target of the group's routes that may have requests of
  // a more urgent rank; 0 if there is none.
  Millis TightestMoreUrgentTarget(const GroupId& group, const Rank& rank) const;
  // @return the tightest target of all routes of the group; 0 without routes.
  Millis TightestTarget(const GroupId& group) const;
  // @return the tightest gap target of the streaming routes of the group; 0
  // without such routes.
  Millis TightestGapTarget(const GroupId& group) const;

  // @return the level of the rank. Engines preempt by it, so it must order
  // requests as their ranks do, and equally in all gateways.
  UrgencyLevel FindUrgency(const Rank& rank) const;

  // @return the service of that name, or null. Lifetime: the table's.
  const Service* FindService(const GroupId& name) const;

 private:
  struct Impl;
  std::unique_ptr<const Impl> impl_;
};

// @return the group that serves a request, chosen by the groups' weights. Equal
// ids get equal groups. Precondition: the route has groups.
const GroupId& ChooseGroup(const Route& route, std::string_view request_id);

}  // namespace bergamotscale::route

#endif  // BERGAMOTSCALE_SRC_ROUTE_ROUTE_TABLE_H_
