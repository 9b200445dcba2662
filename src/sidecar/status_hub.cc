#include "src/sidecar/status_hub.h"

#include <utility>

namespace bergamotscale::sidecar {
namespace {

// Messages to a peer with more unsent data than this are dropped.
constexpr Bytes kMaxQueuedBytes(1'048'576);

}  // namespace

StatusHub::StatusHub(GossipHook on_gossip) : on_gossip_(std::move(on_gossip)) {}

link::StreamHooks StatusHub::Accept(link::Stream stream) {
  auto peer = std::make_shared<Peer>();
  peer->stream_ = std::move(stream);
  peers_.push_back(peer);
  std::weak_ptr<Peer> weak = peer;
  link::StreamHooks hooks;
  hooks.on_message_ = [this, weak](std::string_view frame) {
    if (auto locked = weak.lock()) {
      OnMessage(*locked, frame);
    }
  };
  hooks.on_end_ = [this, weak](link::StreamEnd) { peers_.remove(weak.lock()); };
  return hooks;
}

void StatusHub::OnMessage(Peer& peer, std::string_view frame) {
  const Result<wire::Gossip> gossip = wire::Decode<wire::Gossip>(frame);
  if (!gossip.ok()) {
    return;
  }
  peer.offers_.OnPeerRevision(gossip.value().revision_,
                              gossip.value().needs_document_);
  on_gossip_(gossip.value());
}

void StatusHub::Send(Peer& peer, const std::string& frame) {
  if (peer.stream_.queued() < kMaxQueuedBytes) {
    peer.stream_.Send(frame);
  }
}

void StatusHub::Broadcast(const wire::SidecarStatus& status) {
  const std::string frame = wire::Encode(status);
  for (const auto& peer : peers_) {
    Send(*peer, frame);
  }
}

void StatusHub::Broadcast(const wire::Gossip& gossip) {
  const std::string frame = wire::Encode(gossip);
  for (const auto& peer : peers_) {
    Send(*peer, frame);
  }
}

void StatusHub::BroadcastConfig(const wire::Gossip& brief,
                                const std::string& document,
                                Millis now) {
  const std::string frame = wire::Encode(brief);
  for (const auto& peer : peers_) {
    if (!peer->offers_.StartOfferIfDue(brief.revision_, now)) {
      Send(*peer, frame);
      continue;
    }
    wire::Gossip with_document = brief;
    with_document.document_ = document;
    Send(*peer, wire::Encode(with_document));
  }
}

void StatusHub::Finish() {
  for (const auto& peer : peers_) {
    peer->stream_.Finish();
  }
}

}  // namespace bergamotscale::sidecar
