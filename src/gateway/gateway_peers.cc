#include "src/gateway/gateway_impl.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

namespace bergamotscale::gateway {
namespace {

using boost::asio::ip::tcp;
using boost::asio::ip::udp;

}  // namespace

Status Gateway::Impl::ListenForPeers() {
  const Result<tcp::endpoint> own = web::ParseEndpoint(settings_.listen_peers_);
  if (!own.ok()) {
    return own.error();
  }
  const uint16_t port = own.value().port();
  const udp::endpoint address(own.value().address(), port);
  const std::vector<udp::endpoint> seeds = SeedPeers(port);
  expects_peers_ = std::any_of(
      seeds.begin(), seeds.end(),
      [&address](const udp::endpoint& seed) { return seed != address; });
  upstreams_.SetMembers(
      policy::GatewayMembers(MemberId(address), expects_peers_, boot_.Now()));
  StartDuties(MemberId(address));
  peers_ = std::make_unique<Peers>(io_, boot_, address, seeds, MakePeerHooks());
  listen_retry_.Add("peers", settings_.listen_peers_, [this] {
    peers_asked_at_ = boot_.Now();
    return peers_->Start();
  });
  listen_retry_.Add("peer calls", settings_.listen_peers_,
                    [this, at = own.value()] { return peer_calls_.Start(at); });
  return Done{};
}

void Gateway::Impl::StartDuties(uint64_t member) {
  if (!settings_.duties_.has_value() || !make_duty_store_ ||
      !make_duty_calls_) {
    return;
  }
  duties_ = std::make_unique<DutyRunner>(
      io_, boot_, settings_, member, make_duty_store_(io_),
      make_duty_calls_(io_), &metrics_, &log_);
  context_.on_run_ = [this](const WorkspaceId& workspace) {
    duties_->CountRequest(workspace);
  };
}

std::vector<udp::endpoint> Gateway::Impl::SeedPeers(uint16_t port) const {
  std::vector<udp::endpoint> seeds;
  for (const std::string& text : settings_.seed_peers_) {
    const Result<tcp::endpoint> endpoint = web::ParseEndpoint(text);
    if (endpoint.ok()) {
      seeds.emplace_back(endpoint.value().address(), port);
    }
  }
  return seeds;
}

PeerHooks Gateway::Impl::MakePeerHooks() {
  PeerHooks hooks;
  hooks.own_status_ = [this] {
    return PeerStatus{zone_hash_, link_kbps_, shedding_.is_shedding()};
  };
  hooks.own_loads_ = [this] { return upstreams_.OwnLoads(); };
  hooks.suspects_ = [this](size_t limit) {
    return quarantine_.Records(boot_.Now(), limit);
  };
  hooks.on_loads_ = [this](const std::string& peer, LoadReport loads) {
    upstreams_.ApplyPeerLoads(peer, std::move(loads));
    admission_.RunPassSoon();
  };
  hooks.recent_prompts_ = [this] { return upstreams_.RecentPrompts(); };
  hooks.on_prompts_ = [this](const std::vector<SentPrompt>& prompts) {
    upstreams_.ApplyPeerPrompts(prompts);
  };
  hooks.on_sent_ = [this](Bytes bytes) {
    link_budget_.RecordSent(bytes, boot_.Now());
  };
  hooks.on_received_ = [this](Bytes bytes) {
    link_budget_.RecordReceived(bytes, boot_.Now());
  };
  hooks.on_suspect_ = [this](const policy::CrashRecord& record) {
    return quarantine_.Merge(record, boot_.Now());
  };
  hooks.suspect_parts_ = [this](size_t limit) {
    return part_quarantine_.Suspects(boot_.Now(), limit);
  };
  hooks.on_suspect_parts_ = [this](const policy::SuspectParts& parts) {
    part_quarantine_.Merge(parts, boot_.Now());
  };
  hooks.rates_ = [this] { return upstreams_.RateNotices(); };
  hooks.on_rates_ = [this](const std::vector<policy::RateNotice>& notices) {
    upstreams_.ApplyPeerRates(notices);
  };
  hooks.versions_ = [this] {
    return context_.origins_.MixedVersions(boot_.Now());
  };
  hooks.origins_ = [this] {
    return context_.origins_.RecentRecords(boot_.Now());
  };
  hooks.on_versions_ = [this](const policy::VersionSets& versions) {
    context_.origins_.OnPeerVersions(versions, boot_.Now());
  };
  hooks.on_origin_ = [this](const policy::StreamRecord& record) {
    context_.origins_.Merge(record, boot_.Now());
  };
  hooks.speeds_ = [this] { return upstreams_.TakeSpeedSamples(); };
  hooks.on_speeds_ = [this](const std::vector<SpeedSample>& samples) {
    upstreams_.ApplyPeerSpeeds(samples);
  };
  hooks.on_peer_seen_ = [this](uint64_t peer) { upstreams_.OnPeerSeen(peer); };
  hooks.config_version_ = [this] {
    return listens_for_callers_ ? state_.Version() : 0;
  };
  hooks.on_config_version_ = [this](const udp::endpoint& peer,
                                    int64_t version) {
    OnPeerVersion(peer, version);
  };
  hooks.on_member_count_ = [this](int members) {
    // Without known peers, this gateway may be partitioned rather than alone.
    retry_budget_.SetMembers(members > 1 ? members : kInitialMembers);
    metrics_.Set("bergamot_gateway_members", "", members);
  };
  if (duties_ != nullptr) {
    duties_->SetPeerHooks(&hooks);
  }
  return hooks;
}

void Gateway::Impl::OnPeerVersion(const udp::endpoint& peer, int64_t version) {
  if (version > state_.peer_version_) {
    state_.peer_version_ = version;
  }
  peer_config_.OnPeerVersion(tcp::endpoint(peer.address(), peer.port()),
                             version);
  ListenIfServing();
}

PeerConfigHooks Gateway::Impl::MakePeerConfigHooks() {
  PeerConfigHooks hooks;
  hooks.own_version_ = [this] { return state_.Version(); };
  hooks.on_config_ = [this](std::string document, Millis as_of) {
    boost::asio::post(control_io_,
                      [this, document = std::move(document), as_of] {
                        control_.OfferPeerConfig(document, as_of);
                      });
  };
  return hooks;
}

web::SessionHooks Gateway::Impl::PeerCallHooks() {
  web::SessionHooks hooks = ProbeHooks();
  hooks.on_request_ = [this](const web::IncomingRequest& call,
                             const std::shared_ptr<web::Responder>& responder) {
    AnswerPeerConfig(state_, boot_.Now(), call.target_, *responder);
    return web::CallerHooks();
  };
  return hooks;
}

void Gateway::Impl::BroadcastSuspects() {
  if (peers_ != nullptr) {
    peers_->SendUpdateSoon();
  }
}

}  // namespace bergamotscale::gateway
