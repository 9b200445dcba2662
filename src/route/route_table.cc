#include "src/route/route_table.h"

#include <algorithm>
#include <cctype>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace bergamotscale::route {
namespace {

std::string NormalizeHost(std::string_view host) {
  const std::string_view name = host.substr(0, host.find(':'));
  std::string normalized(name);
  std::transform(normalized.begin(), normalized.end(), normalized.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return normalized;
}

// A host contains no space, so the key is unambiguous.
std::string PrefixKey(const std::string& host, std::string_view prefix) {
  std::string key = host;
  key += ' ';
  key += prefix;
  return key;
}

// FNV-1a, so that all instances compute the same hash. A simple hash is enough,
// because request ids are random already.
uint64_t HashOf(std::string_view text) {
  constexpr uint64_t kOffsetBasis = 14695981039346656037U;
  constexpr uint64_t kPrime = 1099511628211U;
  uint64_t hash = kOffsetBasis;
  for (const char c : text) {
    hash = (hash ^ static_cast<unsigned char>(c)) * kPrime;
  }
  return hash ^ (hash >> 32);
}

// @param tightest zero if there is no target yet.
void KeepTighter(Millis target, Millis* tightest) {
  if (*tightest == Millis(0) || target < *tightest) {
    *tightest = target;
  }
}

}  // namespace

Rank ComputeRank(const Route& route, const KeyOwner* owner) {
  const bool overrides = owner != nullptr && owner->priority_.has_value();
  return {overrides ? *owner->priority_ : route.priority_, route.priority_};
}

struct RouteTable::Impl {
  explicit Impl(Content content) : content_(std::move(content)) {
    for (size_t i = 0; i < content_.routes_.size(); ++i) {
      const Route& route = content_.routes_[i];
      by_prefix_[PrefixKey(NormalizeHost(route.host_), route.path_prefix_)] = i;
      for (const WeightedGroup& weighted : route.groups_) {
        KeepTighter(route.target_, &tightest_targets_[weighted.group_]);
        if (route.kind_ == CallKind::kStream) {
          KeepTighter(route.gap_target_, &tightest_gaps_[weighted.group_]);
        }
      }
    }
    std::set<std::optional<int>> workspace_priorities;
    for (const WorkspaceKeys& workspace : content_.workspaces_) {
      for (const std::string& key : workspace.keys_) {
        by_key_[key] = &workspace.owner_;
      }
      workspace_priorities.insert(workspace.owner_.priority_);
      const std::optional<int>& priority = workspace.owner_.priority_;
      if (priority.has_value()) {
        most_urgent_priority_ = std::min(most_urgent_priority_, *priority);
      } else {
        all_have_priority_ = false;
      }
    }
    CollectRanks(workspace_priorities);
  }

  void CollectRanks(const std::set<std::optional<int>>& workspace_priorities) {
    for (const Route& route : content_.routes_) {
      if (!content_.has_workspaces_ || !route.needs_key_) {
        ranks_.push_back(ComputeRank(route, nullptr));
        continue;
      }
      for (const std::optional<int>& priority : workspace_priorities) {
        ranks_.push_back({priority.value_or(route.priority_), route.priority_});
      }
    }
    std::sort(ranks_.begin(), ranks_.end());
    const auto same = [](const Rank& a, const Rank& b) {
      return !(a < b) && !(b < a);
    };
    ranks_.erase(std::unique(ranks_.begin(), ranks_.end(), same), ranks_.end());
  }

  // @return the rank of the route's most urgent requests.
  Rank MostUrgentRank(const Route& route) const {
    const bool requires_key = content_.has_workspaces_ && route.needs_key_;
    if (!requires_key) {
      return ComputeRank(route, nullptr);
    }
    const int most_urgent =
        all_have_priority_ ? most_urgent_priority_
                           : std::min(most_urgent_priority_, route.priority_);
    return {most_urgent, route.priority_};
  }

  const Content content_;
  std::unordered_map<std::string, size_t> by_prefix_;
  std::unordered_map<std::string, const KeyOwner*> by_key_;
  // The most urgent priority of the workspaces, and whether all have one.
  int most_urgent_priority_ = std::numeric_limits<int>::max();
  bool all_have_priority_ = true;
  std::map<GroupId, Millis> tightest_targets_;
  std::map<GroupId, Millis> tightest_gaps_;
  std::vector<Rank> ranks_;  // all that requests can have, ascending
};

RouteTable::RouteTable(Content content)
    : impl_(std::make_unique<const Impl>(std::move(content))) {}

RouteTable::~RouteTable() = default;

int64_t RouteTable::version() const {
  return impl_->content_.version_;
}

const CallerLimits& RouteTable::limits() const {
  return impl_->content_.limits_;
}

const std::vector<Route>& RouteTable::routes() const {
  return impl_->content_.routes_;
}

const std::vector<Service>& RouteTable::services() const {
  return impl_->content_.services_;
}

const Route* RouteTable::FindRoute(std::string_view host,
                                   std::string_view target) const {
  const std::string_view path = target.substr(0, target.find('?'));
  const std::string normalized = NormalizeHost(host);
  for (size_t end = path.rfind('/'); end != std::string_view::npos;
       end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
    const auto found =
        impl_->by_prefix_.find(PrefixKey(normalized, path.substr(0, end + 1)));
    if (found != impl_->by_prefix_.end()) {
      return &impl_->content_.routes_[found->second];
    }
  }
  return nullptr;
}

bool RouteTable::NeedsKey(const Route& route) const {
  return impl_->content_.has_workspaces_ && route.needs_key_;
}

const KeyOwner* RouteTable::FindKey(const std::string& key) const {
  const auto found = impl_->by_key_.find(key);
  return found == impl_->by_key_.end() ? nullptr : found->second;
}

Millis RouteTable::TightestTarget(const GroupId& group) const {
  const auto found = impl_->tightest_targets_.find(group);
  return found == impl_->tightest_targets_.end() ? Millis(0) : found->second;
}

Millis RouteTable::TightestGapTarget(const GroupId& group) const {
  const auto found = impl_->tightest_gaps_.find(group);
  return found == impl_->tightest_gaps_.end() ? Millis(0) : found->second;
}

Millis RouteTable::TightestMoreUrgentTarget(const GroupId& group,
                                            const Rank& rank) const {
  Millis tightest;
  for (const Route& route : impl_->content_.routes_) {
    const bool serves = std::any_of(route.groups_.begin(), route.groups_.end(),
                                    [&group](const WeightedGroup& weighted) {
                                      return weighted.group_ == group;
                                    });
    if (!serves || !(impl_->MostUrgentRank(route) < rank)) {
      continue;
    }
    KeepTighter(route.target_, &tightest);
  }
  return tightest;
}

UrgencyLevel RouteTable::FindUrgency(const Rank& rank) const {
  const std::vector<Rank>& ranks = impl_->ranks_;
  const auto found = std::lower_bound(ranks.begin(), ranks.end(), rank);
  return {static_cast<int>(found - ranks.begin()),
          std::max(static_cast<int>(ranks.size()), 1)};
}

const Service* RouteTable::FindService(const GroupId& name) const {
  for (const Service& service : impl_->content_.services_) {
    if (service.name_ == name) {
      return &service;
    }
  }
  return nullptr;
}

const GroupId& ChooseGroup(const Route& route, std::string_view request_id) {
  int64_t total = 0;
  for (const WeightedGroup& group : route.groups_) {
    total += group.weight_;
  }
  if (total <= 0) {
    return route.groups_.front().group_;
  }
  int64_t point =
      static_cast<int64_t>(HashOf(request_id) % static_cast<uint64_t>(total));
  for (const WeightedGroup& group : route.groups_) {
    point -= group.weight_;
    if (point < 0) {
      return group.group_;
    }
  }
  return route.groups_.back().group_;
}

}  // namespace bergamotscale::route
