#include "src/entry/upstream_table.h"

#include <algorithm>
#include <map>
#include <utility>

#include <glog/logging.h>

#include "src/entry/peer_subset.h"

namespace bergamotscale::entry {
namespace {

// An upstream whose latest report is older than this is not usable.
constexpr Millis kReportLifetime = Millis(3000);

// Interval at which the report ages in all views are updated.
constexpr Millis kViewRefreshInterval = Millis(50);

// LinkToAll() keeps links to all members for two plan intervals plus this time.
constexpr Millis kLinkToAllMargin = Millis(5000);

}  // namespace

class UpstreamTable::Impl {
 public:
  // A linked sidecar and its latest report.
  struct Peer {
    SidecarMember member_;
    std::unique_ptr<link::LinkClient> client_;
    link::Stream status_stream_;
    wire::SidecarStatus status_;
    config::OfferPacer offers_;
    Millis reported_;
    bool has_report_ = false;
    bool listed_ = true;
    bool in_subset_ = true;
    std::vector<link::Stream> work_;  // may contain streams that have ended
    int placed_since_ = 0;  // work streams opened since the latest report
    size_t view_ = 0;       // index in views_
  };

  Impl(boost::asio::io_context& io,
       const EntrySettings& settings,
       Clock steady,
       timeline::Timeline* timeline,
       GossipHooks gossip)
      : io_(io),
        link_options_(settings.link_),
        link_to_all_for_(settings.placement_.plan_interval_ * 2 +
                         kLinkToAllMargin),
        steady_(std::move(steady)),
        timeline_(timeline),
        gossip_(std::move(gossip)),
        subset_(settings.instance_, settings.zone_, settings.subset_) {}

  void AddPeer(const SidecarMember& member) {
    auto peer = std::make_unique<Peer>();
    peer->member_ = member;
    const InstanceId id = member.id_;
    peer->client_ = std::make_unique<link::LinkClient>(
        io_, member.endpoint_, link_options_,
        [this, id](bool usable) { OnLinkState(id, usable); });
    Peer* raw = peer.get();
    peers_[id] = std::move(peer);
    views_outdated_ = true;
    raw->client_->Start();
  }

  void OnLinkState(const InstanceId& id, bool usable) {
    const auto found = peers_.find(id);
    if (found == peers_.end()) {
      return;
    }
    Peer& peer = *found->second;
    timeline_->Add(
        usable ? timeline::EventType::kPeerUp : timeline::EventType::kPeerLost,
        RequestId(), id);
    LOG(INFO) << "link to " << id.value() << (usable ? " up" : " down");
    if (usable) {
      OpenStatus(peer);
    } else {
      peer.has_report_ = false;
    }
    RefreshView(peer);
  }

  void OpenStatus(Peer& peer) {
    const InstanceId id = peer.member_.id_;
    link::StreamHooks hooks;
    hooks.on_message_ = [this, id](std::string_view frame) {
      OnStatusFrame(id, frame);
    };
    hooks.on_end_ = [this, id](link::StreamEnd) { OnStatusEnd(id); };
    Result<link::Stream> stream =
        peer.client_->Open(wire::kStatusPath, std::move(hooks));
    if (!stream.ok()) {
      return;
    }
    peer.status_stream_ = stream.value();
    // The sidecar may have restarted without the document.
    peer.offers_.Reset();
    peer.status_stream_.Send(wire::Encode(gossip_.make_gossip_(peer.offers_)));
  }

  void OnStatusEnd(const InstanceId& id) {
    const auto found = peers_.find(id);
    if (found != peers_.end()) {
      found->second->has_report_ = false;
      RefreshView(*found->second);
    }
  }

  void OnStatusFrame(const InstanceId& id, std::string_view frame) {
    const auto found = peers_.find(id);
    if (found == peers_.end()) {
      return;
    }
    const Result<wire::MessageType> type = wire::PeekType(frame);
    if (!type.ok()) {
      LOG(WARNING) << "status of " << id.value() << ": "
                   << type.error().Message();
    } else if (type.value() == wire::MessageType::kSidecarStatus) {
      ApplyStatus(*found->second, frame);
    } else if (type.value() == wire::MessageType::kGossip) {
      ApplyGossip(*found->second, frame);
    }
  }

  void ApplyStatus(Peer& peer, std::string_view frame) {
    Result<wire::SidecarStatus> status =
        wire::Decode<wire::SidecarStatus>(frame);
    if (!status.ok()) {
      return;
    }
    peer.status_ = std::move(status).value();
    // Dispatch requires sorted prefixes, for binary search.
    std::sort(peer.status_.cached_prefixes_.begin(),
              peer.status_.cached_prefixes_.end());
    peer.reported_ = steady_.Now();
    peer.has_report_ = true;
    peer.placed_since_ = 0;
    HasOpenWork(peer);  // removes streams that have ended
    RefreshView(peer);
  }

  void ApplyGossip(Peer& peer, std::string_view frame) {
    const Result<wire::Gossip> gossip = wire::Decode<wire::Gossip>(frame);
    if (!gossip.ok()) {
      return;
    }
    peer.offers_.OnPeerRevision(gossip.value().revision_,
                                gossip.value().needs_document_);
    gossip_.apply_gossip_(gossip.value());
  }

  policy::UpstreamView ViewOf(const Peer& peer, Millis now) const {
    policy::UpstreamView view;
    view.sidecar_ = peer.member_.id_;
    view.group_ = peer.member_.group_;
    view.zone_ = peer.member_.zone_;
    view.report_age_ = now - peer.reported_;
    view.usable_ = peer.listed_ && peer.in_subset_ && peer.has_report_ &&
                   peer.client_->usable() && peer.status_.accepting_ &&
                   !peer.status_.leaving_ && view.report_age_ < kReportLifetime;
    view.running_ = peer.status_.running_;
    view.slots_ = peer.status_.slots_;
    view.placed_since_ = peer.placed_since_;
    view.between_tokens_ = peer.status_.between_tokens_;
    view.expected_wait_ = peer.status_.expected_wait_;
    view.cached_prefixes_ = peer.status_.cached_prefixes_;
    view.models_ = peer.status_.models_;
    for (const wire::ClassLoad& load : peer.status_.classes_) {
      view.waiting_ += load.waiting_;
      view.class_waits_.push_back(
          {load.class_, load.expected_wait_, load.running_});
    }
    return view;
  }

  // Updates one view after a report. RefreshViews() rebuilds all views after a
  // change of members.
  void RefreshView(const Peer& peer) {
    if (!views_outdated_) {
      views_[peer.view_] = ViewOf(peer, steady_.Now());
    }
  }

  void RefreshViews() {
    const Millis now = steady_.Now();
    if (!views_outdated_ && now - refreshed_ < kViewRefreshInterval) {
      return;
    }
    views_.clear();
    for (const auto& [id, peer] : peers_) {
      peer->view_ = views_.size();
      views_.push_back(ViewOf(*peer, now));
    }
    views_outdated_ = false;
    refreshed_ = now;
  }

  // Opens links to new members of the subset. Members outside it get no new
  // work.
  void ApplySubset() {
    for (auto& [id, peer] : peers_) {
      peer->listed_ = false;
      peer->in_subset_ = false;
    }
    for (const SidecarMember& member : members_.sidecars_) {
      const bool wanted = link_to_all_ || subset_.Contains(member.id_);
      const auto found = peers_.find(member.id_);
      if (found != peers_.end()) {
        found->second->listed_ = true;
        found->second->in_subset_ = wanted;
        ReconnectIfMoved(member);
      } else if (wanted) {
        AddPeer(member);
      }
    }
    views_outdated_ = true;
    RemoveUnusedPeers();
  }

  // Replaces the link to a member whose address has changed.
  void ReconnectIfMoved(const SidecarMember& member) {
    Peer& peer = *peers_[member.id_];
    if (!(peer.member_.endpoint_ == member.endpoint_)) {
      const bool in_subset = peer.in_subset_;
      peer.client_->Close();
      AddPeer(member);
      peers_[member.id_]->in_subset_ = in_subset;
    }
  }

  // Removes work streams that have ended. @return whether any remain.
  static bool HasOpenWork(Peer& peer) {
    std::vector<link::Stream>& work = peer.work_;
    work.erase(std::remove_if(
                   work.begin(), work.end(),
                   [](const link::Stream& stream) { return !stream.open(); }),
               work.end());
    return !work.empty();
  }

  // Removes peers that are no longer listed and whose link is down, and peers
  // outside the subset that have no work.
  void RemoveUnusedPeers() {
    const size_t before = peers_.size();
    for (auto peer = peers_.begin(); peer != peers_.end();) {
      Peer& candidate = *peer->second;
      const bool gone = !candidate.listed_ && !candidate.client_->usable();
      const bool idle =
          candidate.listed_ && !candidate.in_subset_ && !HasOpenWork(candidate);
      if (idle) {
        candidate.client_->Close();
      }
      peer = gone || idle ? peers_.erase(peer) : std::next(peer);
    }
    views_outdated_ = views_outdated_ || peers_.size() != before;
  }

  void WidenFullGroups(Millis now) {
    std::map<GroupId, bool> has_room;
    for (const policy::UpstreamView& view : views_) {
      const bool room = view.usable_ && view.running_ < view.slots_;
      has_room[view.group_] = has_room[view.group_] || room;
    }
    for (const auto& [group, room] : has_room) {
      if (!room) {
        subset_.Widen(group, now);
      }
    }
  }

  boost::asio::io_context& io_;
  const link::LinkOptions link_options_;
  const Millis link_to_all_for_;
  const Clock steady_;
  timeline::Timeline* const timeline_;
  const GossipHooks gossip_;
  PeerSubset subset_;
  Members members_;
  bool link_to_all_ = false;
  Millis link_to_all_until_;
  std::map<InstanceId, std::unique_ptr<Peer>> peers_;
  std::vector<policy::UpstreamView> views_;
  Millis refreshed_;
  bool views_outdated_ = true;  // views_ doesn't match peers_
};

UpstreamTable::UpstreamTable(boost::asio::io_context& io,
                             const EntrySettings& settings,
                             Clock steady,
                             timeline::Timeline* timeline,
                             GossipHooks gossip)
    : impl_(std::make_unique<Impl>(io,
                                   settings,
                                   std::move(steady),
                                   timeline,
                                   std::move(gossip))) {}

UpstreamTable::~UpstreamTable() = default;

void UpstreamTable::SetMembers(const Members& members) {
  if (impl_->subset_.SetMembers(members)) {
    impl_->members_ = members;
    impl_->ApplySubset();
  } else {
    impl_->RemoveUnusedPeers();
  }
}

void UpstreamTable::WidenGroup(const GroupId& group) {
  if (impl_->subset_.Widen(group, impl_->steady_.Now())) {
    impl_->ApplySubset();
  }
}

bool UpstreamTable::LinkToAll() {
  impl_->link_to_all_until_ = impl_->steady_.Now() + impl_->link_to_all_for_;
  const size_t before = impl_->peers_.size();
  if (!std::exchange(impl_->link_to_all_, true)) {
    impl_->ApplySubset();
  }
  return impl_->peers_.size() > before;
}

void UpstreamTable::AdaptSubset() {
  const Millis now = impl_->steady_.Now();
  impl_->RefreshViews();
  const size_t before = impl_->subset_.size();
  impl_->WidenFullGroups(now);
  const bool narrowed = impl_->subset_.Narrow(now);
  const bool ended = impl_->link_to_all_ && now >= impl_->link_to_all_until_;
  if (ended) {
    impl_->link_to_all_ = false;
  }
  if (ended || narrowed || impl_->subset_.size() != before) {
    impl_->ApplySubset();
  } else {
    impl_->RemoveUnusedPeers();
  }
}

size_t UpstreamTable::link_count() const {
  return impl_->peers_.size();
}

const std::vector<policy::UpstreamView>& UpstreamTable::Views() {
  impl_->RefreshViews();
  return impl_->views_;
}

std::vector<placement::EngineView> UpstreamTable::EngineViews() const {
  std::vector<placement::EngineView> views;
  views.reserve(impl_->peers_.size());
  const Millis now = impl_->steady_.Now();
  for (const auto& [id, peer] : impl_->peers_) {
    const policy::UpstreamView view = impl_->ViewOf(*peer, now);
    placement::EngineView engine;
    engine.sidecar_ = id;
    engine.group_ = view.group_;
    engine.accepting_ = view.usable_ && peer->status_.models_are_current_;
    engine.models_ = peer->status_.models_;
    engine.loaded_ = peer->status_.loaded_;
    engine.withheld_ = peer->status_.withheld_;
    engine.slots_ = peer->status_.slots_;
    engine.loads_ = peer->status_.model_loads_;
    views.push_back(std::move(engine));
  }
  for (const SidecarMember& member : impl_->members_.sidecars_) {
    if (impl_->peers_.count(member.id_) == 0) {
      placement::EngineView unknown;
      unknown.sidecar_ = member.id_;
      unknown.group_ = member.group_;
      views.push_back(std::move(unknown));
    }
  }
  return views;
}

Result<link::Stream> UpstreamTable::OpenWork(const InstanceId& sidecar,
                                             link::StreamHooks hooks) {
  const auto found = impl_->peers_.find(sidecar);
  if (found == impl_->peers_.end()) {
    return ErrorCode::kUpstreamUnreachable;
  }
  Impl::Peer& peer = *found->second;
  ++peer.placed_since_;
  impl_->RefreshView(peer);
  Result<link::Stream> stream =
      peer.client_->Open(wire::kWorkPath, std::move(hooks));
  if (stream.ok()) {
    peer.work_.push_back(stream.value());
  }
  return stream;
}

void UpstreamTable::SendGossip() {
  for (const auto& [id, peer] : impl_->peers_) {
    if (peer->status_stream_.open()) {
      peer->status_stream_.Send(
          wire::Encode(impl_->gossip_.make_gossip_(peer->offers_)));
    }
  }
}

void UpstreamTable::Close() {
  for (const auto& [id, peer] : impl_->peers_) {
    peer->client_->Close();
  }
}

}  // namespace bergamotscale::entry
