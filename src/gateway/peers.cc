#include "src/gateway/peers.h"

#include <algorithm>
#include <array>
#include <map>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "src/core/chrono_time.h"
#include "src/web/listener.h"

namespace bergamotscale::gateway {
namespace {

using boost::asio::ip::udp;
using boost::system::error_code;

// Interval of datagrams with few peers; shorter than the prefill of a prompt.
constexpr Millis kSendInterval = Millis(25);
// With many peers the interval grows, so that a gateway sends at most one
// datagram in this time.
constexpr Millis kMinSpacingPerPeer = Millis(10);
// A peer without datagrams for this long is no longer a member.
constexpr Millis kPeerLifetime = Millis(3'000);
// Seed addresses that are not members are contacted at this interval.
constexpr Millis kSeedInterval = Millis(1'000);
// The same while no peer is known.
constexpr Millis kFirstSeedInterval = Millis(100);
// Interval of the peer list. Peers change rarely, and a list of 27 is a quarter
// of a datagram.
constexpr Millis kPeerListInterval = Millis(1'000);
// Makes the next datagram include the peer list.
constexpr Millis kNeverSent = Millis(0) - kPeerListInterval;
// Each datagram carries the newest suspects, because datagrams may be lost. One
// with the peer list carries up to kMaxSuspects.
constexpr size_t kNewestSuspects = 8;
constexpr size_t kMaxSuspects = 64;
// Limit of suspects in one update.
constexpr size_t kMaxUpdateSuspects = 16;
// Spacing of updates for each peer: with 25 bytes a suspect, they use less than
// a tenth of a link of 10 Mbit/s.
constexpr Millis kUpdateSpacingPerPeer = Millis(4);
// Longer lists would make the network fragment the datagram.
constexpr size_t kMaxListedPeers = 32;
constexpr size_t kMaxDatagram = 65'536;

std::string ToText(const udp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

bool ParseEndpoint(const std::string& text, udp::endpoint* endpoint) {
  const Result<boost::asio::ip::tcp::endpoint> read = web::ParseEndpoint(text);
  if (!read.ok() || read.value().port() == 0) {
    return false;
  }
  *endpoint = udp::endpoint(read.value().address(), read.value().port());
  return true;
}

}  // namespace

uint64_t MemberId(const udp::endpoint& address) {
  constexpr int kPortBits = 16;
  return (uint64_t{address.address().to_v4().to_uint()} << kPortBits) |
         address.port();
}

class Peers::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& io,
       Clock boot,
       udp::endpoint own_address,
       std::vector<udp::endpoint> seeds,
       PeerHooks hooks)
      : boot_(std::move(boot)),
        own_address_(std::move(own_address)),
        seeds_(std::move(seeds)),
        hooks_(std::move(hooks)),
        socket_(io),
        timer_(io),
        update_timer_(io),
        incarnation_(Clock::Wall().Now().count()) {}

  Status Start() {
    error_code error;
    socket_.open(udp::v4(), error);
    if (!error) {
      socket_.bind(own_address_, error);
    }
    if (error) {
      const std::string reason = error.message();
      socket_.close(error);
      return Error(ErrorCode::kInternal, "listen for peers: " + reason);
    }
    socket_.non_blocking(true, error);
    Receive();
    SendAll();
    ScheduleSend();
    return Done{};
  }

  void Stop() {
    stopped_ = true;
    timer_.cancel();
    update_timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
  }

  void SendUpdateSoon() {
    ++pending_updates_;
    if (pending_updates_ > 1 || stopped_) {
      return;
    }
    const Millis spacing =
        kUpdateSpacingPerPeer * static_cast<int64_t>(peers_.size());
    const Millis since = boot_.Now() - update_sent_at_;
    update_timer_.expires_after(ToChrono(std::max(spacing - since, Millis(0))));
    update_timer_.async_wait(
        [self = shared_from_this()](const error_code& error) {
          if (!error && !self->stopped_) {
            self->SendPendingUpdate();
          }
        });
  }

  policy::PeerLinkSpeeds LinksInZone(uint32_t zone_hash) const {
    policy::PeerLinkSpeeds links;
    for (const auto& [endpoint, peer] : peers_) {
      if (peer.status_.zone_hash_ == zone_hash) {
        links.all_kbps_ += peer.status_.link_kbps_;
        links.ready_kbps_ +=
            peer.status_.is_shedding_ ? 0 : peer.status_.link_kbps_;
      }
    }
    return links;
  }

  void SetSeedPeers(std::vector<udp::endpoint> seeds) {
    seeds_ = std::move(seeds);
  }

 private:
  struct Peer {
    Millis last_received_at_;
    int64_t incarnation_ = 0;
    int64_t sequence_number_ = 0;
    PeerStatus status_;
  };

  void SendAll() {
    RemoveSilentPeers();
    const std::string bytes = WritePeerMessage(BuildMessage());
    SendToPeers(bytes);
    const Millis now = boot_.Now();
    const Millis seed_interval =
        peers_.empty() ? kFirstSeedInterval : kSeedInterval;
    if (now - seeds_tried_at_ < seed_interval && sequence_number_ > 1) {
      return;
    }
    seeds_tried_at_ = now;
    for (const udp::endpoint& endpoint : seeds_) {
      if (endpoint != own_address_ && peers_.count(endpoint) == 0) {
        SendTo(endpoint, bytes);
      }
    }
  }

  void SendPendingUpdate() {
    PeerMessage message = BuildHeader();
    message.suspects_ =
        hooks_.suspects_(std::min(pending_updates_, kMaxUpdateSuspects));
    message.suspect_parts_ = hooks_.suspect_parts_(kNewestSuspects);
    pending_updates_ = 0;
    update_sent_at_ = boot_.Now();
    SendToPeers(WritePeerMessage(message));
  }

  void SendToPeers(const std::string& bytes) {
    for (const auto& [endpoint, peer] : peers_) {
      SendTo(endpoint, bytes);
    }
  }

  // A datagram that can't be sent now is dropped, because newer ones follow.
  void SendTo(const udp::endpoint& endpoint, const std::string& bytes) {
    hooks_.on_sent_(Bytes(static_cast<int64_t>(bytes.size())));
    error_code ignored;
    socket_.send_to(boost::asio::buffer(bytes), endpoint, 0, ignored);
  }

  PeerMessage BuildHeader() {
    PeerMessage message;
    message.incarnation_ = incarnation_;
    message.sequence_number_ = ++sequence_number_;
    message.status_ = hooks_.own_status_();
    message.config_version_ = hooks_.config_version_();
    if (hooks_.duties_) {
      message.duties_ = hooks_.duties_();
    }
    return message;
  }

  PeerMessage BuildMessage() {
    PeerMessage message = BuildHeader();
    const Millis now = boot_.Now();
    size_t max_suspects = kNewestSuspects;
    if (now - peer_list_sent_at_ >= kPeerListInterval) {
      peer_list_sent_at_ = now;
      message.known_peers_ = KnownPeers();
      max_suspects = kMaxSuspects;
    }
    message.has_loads_ = true;
    message.loads_ = hooks_.own_loads_();
    message.suspects_ = hooks_.suspects_(max_suspects);
    message.suspect_parts_ = hooks_.suspect_parts_(max_suspects);
    message.prompts_ = hooks_.recent_prompts_();
    message.rates_ = hooks_.rates_();
    message.versions_ = hooks_.versions_();
    message.origins_ = hooks_.origins_();
    message.speeds_ = hooks_.speeds_();
    return message;
  }

  std::vector<std::string> KnownPeers() const {
    std::vector<std::string> known_peers;
    for (const auto& [endpoint, peer] : peers_) {
      if (known_peers.size() < kMaxListedPeers) {
        known_peers.push_back(ToText(endpoint));
      }
    }
    return known_peers;
  }

  void RemoveSilentPeers() {
    const Millis now = boot_.Now();
    for (auto it = peers_.begin(); it != peers_.end();) {
      const bool silent = now - it->second.last_received_at_ > kPeerLifetime;
      it = silent ? peers_.erase(it) : std::next(it);
    }
    hooks_.on_member_count_(static_cast<int>(peers_.size()) + 1);
  }

  void ScheduleSend() {
    const Millis min_interval =
        kMinSpacingPerPeer * static_cast<int64_t>(peers_.size());
    timer_.expires_after(ToChrono(std::max(kSendInterval, min_interval)));
    timer_.async_wait([self = shared_from_this()](const error_code& error) {
      if (!error && !self->stopped_) {
        self->SendAll();
        self->ScheduleSend();
      }
    });
  }

  void Receive() {
    socket_.async_receive_from(
        boost::asio::buffer(buffer_), sender_,
        [self = shared_from_this()](const error_code& error, size_t size) {
          if (self->stopped_) {
            return;
          }
          if (!error) {
            self->hooks_.on_received_(Bytes(static_cast<int64_t>(size)));
            self->HandleDatagram(std::string_view(self->buffer_.data(), size));
          }
          self->Receive();
        });
  }

  void HandleDatagram(std::string_view bytes) {
    const Result<PeerMessage> read = ReadPeerMessage(bytes);
    // Ignores bytes that are not a peer message, and own datagrams.
    if (!read.ok() || sender_ == own_address_) {
      return;
    }
    const PeerMessage& message = read.value();
    const auto [found, is_new] = peers_.try_emplace(sender_);
    if (is_new) {
      // The next datagram includes the peer list, so that the new peer learns
      // about the others.
      peer_list_sent_at_ = kNeverSent;
    }
    Peer& peer = found->second;
    const bool late = message.incarnation_ < peer.incarnation_ ||
                      (message.incarnation_ == peer.incarnation_ &&
                       message.sequence_number_ <= peer.sequence_number_);
    if (late) {
      return;
    }
    peer = {boot_.Now(), message.incarnation_, message.sequence_number_,
            message.status_};
    if (message.has_loads_) {
      hooks_.on_loads_(ToText(sender_), message.loads_);
    }
    hooks_.on_peer_seen_(MemberId(sender_));
    hooks_.on_config_version_(sender_, message.config_version_);
    if (message.duties_.has_value() && hooks_.on_duties_) {
      hooks_.on_duties_(MemberId(sender_), *message.duties_);
    }
    hooks_.on_prompts_(message.prompts_);
    if (!message.rates_.empty()) {
      hooks_.on_rates_(message.rates_);
    }
    if (!message.versions_.empty()) {
      hooks_.on_versions_(message.versions_);
    }
    if (!message.speeds_.empty()) {
      hooks_.on_speeds_(message.speeds_);
    }
    for (const policy::StreamRecord& record : message.origins_) {
      hooks_.on_origin_(record);
    }
    for (const policy::CrashRecord& record : message.suspects_) {
      hooks_.on_suspect_(record);
    }
    for (const policy::SuspectParts& parts : message.suspect_parts_) {
      hooks_.on_suspect_parts_(parts);
    }
    AddSeeds(message.known_peers_);
  }

  // Adds the peers of a peer as seeds; they receive this gateway's datagrams
  // and respond.
  void AddSeeds(const std::vector<std::string>& known_peers) {
    for (const std::string& text : known_peers) {
      udp::endpoint endpoint;
      if (ParseEndpoint(text, &endpoint) && endpoint != own_address_ &&
          peers_.count(endpoint) == 0 &&
          std::find(seeds_.begin(), seeds_.end(), endpoint) == seeds_.end()) {
        seeds_.push_back(endpoint);
        if (seeds_.size() > kMaxListedPeers) {
          seeds_.erase(seeds_.begin());
        }
      }
    }
  }

  const Clock boot_;
  const udp::endpoint own_address_;
  std::vector<udp::endpoint> seeds_;
  const PeerHooks hooks_;
  udp::socket socket_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer update_timer_;
  size_t pending_updates_ = 0;  // requested but not sent yet
  Millis update_sent_at_;
  const int64_t incarnation_;
  int64_t sequence_number_ = 0;
  Millis seeds_tried_at_;
  Millis peer_list_sent_at_ = kNeverSent;
  std::map<udp::endpoint, Peer> peers_;
  std::array<char, kMaxDatagram> buffer_{};
  udp::endpoint sender_;
  bool stopped_ = false;
};

Peers::Peers(boost::asio::io_context& io,
             Clock boot,
             udp::endpoint own_address,
             std::vector<udp::endpoint> seeds,
             PeerHooks hooks)
    : impl_(std::make_shared<Impl>(io,
                                   std::move(boot),
                                   std::move(own_address),
                                   std::move(seeds),
                                   std::move(hooks))) {}

Peers::~Peers() {
  impl_->Stop();
}

Status Peers::Start() {
  return impl_->Start();
}

void Peers::SendUpdateSoon() {
  impl_->SendUpdateSoon();
}

policy::PeerLinkSpeeds Peers::LinksInZone(uint32_t zone_hash) const {
  return impl_->LinksInZone(zone_hash);
}

void Peers::SetSeedPeers(std::vector<udp::endpoint> seeds) {
  impl_->SetSeedPeers(std::move(seeds));
}

}  // namespace bergamotscale::gateway
