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

// With few peers, a load is told this often; less than the time in which an
// engine reads a prompt.
constexpr Millis kInterval = Millis(25);
// With many peers the pace falls, so that a gateway's datagrams stay at most
// one in this time.
constexpr Millis kLeastSpacing = Millis(10);
// A peer that has not been heard for this long is no member any more.
constexpr Millis kPeerLifetime = Millis(3'000);
// First addresses that are not members are tried this often.
constexpr Millis kFirstInterval = Millis(1'000);
// Peers seldom change, so they are named this often only: a list of 27 is a
// quarter of a datagram.
constexpr Millis kHeardInterval = Millis(1'000);
// Long enough ago for the next datagram to name them.
constexpr Millis kNeverTold = Millis(0) - kHeardInterval;
// Suspicions that each datagram tells, as datagrams may be lost; all of them
// follow with the peers.
constexpr size_t kNewestSuspicions = 8;
constexpr size_t kAllSuspicions = 64;
// News of a moment that one datagram tells.
constexpr size_t kMaxNews = 16;
// Between datagrams of news, for each peer: with 25 bytes a suspicion, less
// than a tenth of a link of 10 Mbit/s.
constexpr Millis kNewsSpacing = Millis(4);
// Larger datagrams would be split by the network.
constexpr size_t kMaxHeard = 32;
constexpr size_t kMaxDatagram = 65'536;

std::string TextOf(const udp::endpoint& endpoint) {
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

class Peers::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& io,
       Clock boot,
       udp::endpoint own,
       std::vector<udp::endpoint> first,
       PeerHooks hooks)
      : boot_(std::move(boot)),
        own_(std::move(own)),
        first_(std::move(first)),
        hooks_(std::move(hooks)),
        socket_(io),
        timer_(io),
        news_timer_(io),
        incarnation_(Clock::Wall().Now().count()) {}

  Status Start() {
    error_code error;
    socket_.open(udp::v4(), error);
    if (!error) {
      socket_.bind(own_, error);
    }
    if (error) {
      return Error(ErrorCode::kInternal, "peers: " + error.message());
    }
    socket_.non_blocking(true, error);
    Receive();
    SendAll();
    Schedule();
    return Done{};
  }

  void Stop() {
    stopped_ = true;
    timer_.cancel();
    news_timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
  }

  void SendNews() {
    ++news_;
    if (news_ > 1 || stopped_) {
      return;
    }
    const Millis spacing = kNewsSpacing * static_cast<int64_t>(peers_.size());
    const Millis since = boot_.Now() - news_sent_;
    news_timer_.expires_after(ToChrono(std::max(spacing - since, Millis(0))));
    news_timer_.async_wait(
        [self = shared_from_this()](const error_code& error) {
          if (!error && !self->stopped_) {
            self->SendPendingNews();
          }
        });
  }

  policy::OtherLinks LinksIn(uint32_t zone_hash) const {
    policy::OtherLinks links;
    for (const auto& [endpoint, peer] : peers_) {
      if (peer.place_.zone_hash_ == zone_hash) {
        links.all_kbps_ += peer.place_.link_kbps_;
        links.ready_kbps_ += peer.place_.sheds_ ? 0 : peer.place_.link_kbps_;
      }
    }
    return links;
  }

  void SetFirst(std::vector<udp::endpoint> first) { first_ = std::move(first); }

 private:
  struct Peer {
    Millis heard_at_;
    int64_t incarnation_ = 0;
    int64_t number_ = 0;
    PeerPlace place_;
  };

  void SendAll() {
    ForgetSilent();
    const std::string bytes = WritePeerMessage(Message());
    SendToPeers(bytes);
    const Millis now = boot_.Now();
    if (now - first_tried_ < kFirstInterval && number_ > 1) {
      return;
    }
    first_tried_ = now;
    for (const udp::endpoint& endpoint : first_) {
      if (endpoint != own_ && peers_.count(endpoint) == 0) {
        SendTo(endpoint, bytes);
      }
    }
  }

  void SendPendingNews() {
    PeerMessage message = NextMessage();
    message.suspicions_ = hooks_.suspicions_(std::min(news_, kMaxNews));
    news_ = 0;
    news_sent_ = boot_.Now();
    SendToPeers(WritePeerMessage(message));
  }

  void SendToPeers(const std::string& bytes) {
    for (const auto& [endpoint, peer] : peers_) {
      SendTo(endpoint, bytes);
    }
  }

  // A datagram that can't be sent now is lost, as others are on their way.
  void SendTo(const udp::endpoint& endpoint, const std::string& bytes) {
    hooks_.on_sent_(Bytes(static_cast<int64_t>(bytes.size())));
    error_code ignored;
    socket_.send_to(boost::asio::buffer(bytes), endpoint, 0, ignored);
  }

  PeerMessage NextMessage() {
    PeerMessage message;
    message.incarnation_ = incarnation_;
    message.number_ = ++number_;
    message.place_ = hooks_.own_place_();
    return message;
  }

  PeerMessage Message() {
    PeerMessage message = NextMessage();
    const Millis now = boot_.Now();
    size_t suspicions = kNewestSuspicions;
    if (now - heard_told_ >= kHeardInterval) {
      heard_told_ = now;
      message.heard_ = Heard();
      suspicions = kAllSuspicions;
    }
    message.has_loads_ = true;
    message.loads_ = hooks_.own_loads_();
    message.suspicions_ = hooks_.suspicions_(suspicions);
    message.prompts_ = hooks_.recent_prompts_();
    return message;
  }

  std::vector<std::string> Heard() const {
    std::vector<std::string> heard;
    for (const auto& [endpoint, peer] : peers_) {
      if (heard.size() < kMaxHeard) {
        heard.push_back(TextOf(endpoint));
      }
    }
    return heard;
  }

  void ForgetSilent() {
    const Millis now = boot_.Now();
    for (auto it = peers_.begin(); it != peers_.end();) {
      const bool silent = now - it->second.heard_at_ > kPeerLifetime;
      it = silent ? peers_.erase(it) : std::next(it);
    }
    hooks_.on_members_(static_cast<int>(peers_.size()) + 1);
  }

  void Schedule() {
    const Millis spaced = kLeastSpacing * static_cast<int64_t>(peers_.size());
    timer_.expires_after(ToChrono(std::max(kInterval, spaced)));
    timer_.async_wait([self = shared_from_this()](const error_code& error) {
      if (!error && !self->stopped_) {
        self->SendAll();
        self->Schedule();
      }
    });
  }

  void Receive() {
    socket_.async_receive_from(
        boost::asio::buffer(buffer_), from_,
        [self = shared_from_this()](const error_code& error, size_t size) {
          if (self->stopped_) {
            return;
          }
          if (!error) {
            self->hooks_.on_received_(Bytes(static_cast<int64_t>(size)));
            self->Take(std::string_view(self->buffer_.data(), size));
          }
          self->Receive();
        });
  }

  void Take(std::string_view bytes) {
    const Result<PeerMessage> read = ReadPeerMessage(bytes);
    // Datagrams that are no messages are somebody else's.
    if (!read.ok() || from_ == own_) {
      return;
    }
    const PeerMessage& message = read.value();
    const auto [found, is_new] = peers_.try_emplace(from_);
    if (is_new) {
      // It has to learn of the others.
      heard_told_ = kNeverTold;
    }
    Peer& peer = found->second;
    const bool late = message.incarnation_ < peer.incarnation_ ||
                      (message.incarnation_ == peer.incarnation_ &&
                       message.number_ <= peer.number_);
    if (late) {
      return;
    }
    peer = {boot_.Now(), message.incarnation_, message.number_, message.place_};
    if (message.has_loads_) {
      hooks_.on_loads_(TextOf(from_), message.loads_);
    }
    hooks_.on_prompts_(message.prompts_);
    for (const policy::SuspicionRecord& record : message.suspicions_) {
      hooks_.on_suspicion_(record);
    }
    Greet(message.heard_);
  }

  // Peers that a peer hears are told of this gateway, and so answer.
  void Greet(const std::vector<std::string>& heard) {
    for (const std::string& text : heard) {
      udp::endpoint endpoint;
      if (ParseEndpoint(text, &endpoint) && endpoint != own_ &&
          peers_.count(endpoint) == 0 &&
          std::find(first_.begin(), first_.end(), endpoint) == first_.end()) {
        first_.push_back(endpoint);
        if (first_.size() > kMaxHeard) {
          first_.erase(first_.begin());
        }
      }
    }
  }

  const Clock boot_;
  const udp::endpoint own_;
  std::vector<udp::endpoint> first_;
  const PeerHooks hooks_;
  udp::socket socket_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer news_timer_;
  size_t news_ = 0;  // not told yet
  Millis news_sent_;
  const int64_t incarnation_;
  int64_t number_ = 0;
  Millis first_tried_;
  Millis heard_told_ = kNeverTold;
  std::map<udp::endpoint, Peer> peers_;
  std::array<char, kMaxDatagram> buffer_{};
  udp::endpoint from_;
  bool stopped_ = false;
};

Peers::Peers(boost::asio::io_context& io,
             Clock boot,
             udp::endpoint own,
             std::vector<udp::endpoint> first,
             PeerHooks hooks)
    : impl_(std::make_shared<Impl>(io,
                                   std::move(boot),
                                   std::move(own),
                                   std::move(first),
                                   std::move(hooks))) {}

Peers::~Peers() {
  impl_->Stop();
}

Status Peers::Start() {
  return impl_->Start();
}

void Peers::SendNews() {
  impl_->SendNews();
}

policy::OtherLinks Peers::LinksIn(uint32_t zone_hash) const {
  return impl_->LinksIn(zone_hash);
}

void Peers::SetFirst(std::vector<udp::endpoint> first) {
  impl_->SetFirst(std::move(first));
}

}  // namespace bergamotscale::gateway
