#include "src/gateway/upstream_set.h"

#include <utility>

#include "src/gateway/upstream_set_impl.h"

namespace bergamotscale::gateway {

UpstreamSet::Impl::Impl(boost::asio::io_context& io,
                        Clock boot,
                        ZoneId own_zone)
    : io_(io),
      boot_(std::move(boot)),
      own_zone_(std::move(own_zone)),
      random_(std::random_device{}()) {}

UpstreamSet::UpstreamSet(boost::asio::io_context& io,
                         Clock boot,
                         ZoneId own_zone)
    : impl_(std::make_shared<Impl>(io, std::move(boot), std::move(own_zone))) {}

UpstreamSet::~UpstreamSet() = default;

void UpstreamSet::SetBalancesStaleLoad(bool balances) {
  impl_->balances_stale_load_ = balances;
}

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

int64_t UpstreamSet::connections_opened() const {
  return impl_->connections_opened_;
}

}  // namespace bergamotscale::gateway
