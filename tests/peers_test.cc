// What gateways tell one another by datagrams.
#include "src/gateway/peers.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include "tests/support/free_port.h"

namespace bergamotscale::gateway {
namespace {

using boost::asio::ip::udp;

constexpr uint32_t kZone = 7;
constexpr uint32_t kOtherZone = 8;
// Longer than datagrams take to cross, and than a silent peer is a member.
constexpr std::chrono::milliseconds kCrossing(300);
constexpr std::chrono::milliseconds kSilence(3'500);

PeerHooks HooksOf(const PeerPlace& place) {
  PeerHooks hooks;
  hooks.own_place_ = [place] { return place; };
  hooks.own_loads_ = [] { return std::vector<InstanceLoad>(); };
  hooks.suspicions_ = [](size_t) {
    return std::vector<policy::SuspicionRecord>();
  };
  hooks.recent_prompts_ = [] { return std::vector<SentPrompt>(); };
  hooks.on_loads_ = [](const std::string&, const std::vector<InstanceLoad>&) {};
  hooks.on_prompts_ = [](const std::vector<SentPrompt>&) {};
  hooks.on_suspicion_ = [](const policy::SuspicionRecord&) { return false; };
  hooks.on_sent_ = [](Bytes) {};
  hooks.on_received_ = [](Bytes) {};
  hooks.on_members_ = [](int) {};
  return hooks;
}

// A gateway that knows many suspicions, and what it sends and hears.
struct Busy {
  PeerHooks Hooks() {
    PeerHooks hooks = HooksOf({kZone, 10'000, false});
    hooks.own_loads_ = [] { return std::vector<InstanceLoad>{{11, 2, 3'000}}; };
    hooks.suspicions_ = [](size_t limit) {
      constexpr size_t kKnown = 64;
      std::vector<policy::SuspicionRecord> records;
      for (size_t i = 0; i < std::min(limit, kKnown); ++i) {
        records.push_back({(uint64_t{1} << 60) + i, 1, false, Millis(60'000),
                           uint64_t{1} << 61});
      }
      return records;
    };
    hooks.on_sent_ = [this](Bytes bytes) { sent_ += bytes; };
    hooks.on_suspicion_ = [this](const policy::SuspicionRecord& record) {
      suspicions_.insert(record.digest_);
      return true;
    };
    hooks.on_loads_ = [this](const std::string&,
                             const std::vector<InstanceLoad>& loads) {
      lost_loads_ += loads.empty() ? 1 : 0;
    };
    return hooks;
  }

  Bytes sent_;
  std::set<uint64_t> suspicions_;
  int lost_loads_ = 0;
};

// Gateways on addresses of their own, which all know the first one only.
class Fleet {
 public:
  explicit Fleet(const std::vector<PeerPlace>& places) {
    for (const PeerPlace& place : places) {
      Add(HooksOf(place));
    }
  }

  void Add(PeerHooks hooks) {
    peers_.push_back(std::make_unique<Peers>(
        io_, Clock::Boot(), EndpointOf(peers_.size()),
        std::vector<udp::endpoint>{EndpointOf(0)}, std::move(hooks)));
    REQUIRE(peers_.back()->Start().ok());
  }

  void RunFor(std::chrono::milliseconds time) {
    io_.restart();
    io_.run_for(time);
  }
  void Kill(size_t number) { peers_[number].reset(); }
  void SendNews(size_t number) { peers_[number]->SendNews(); }
  policy::OtherLinks LinksAt(size_t number) {
    return peers_[number]->LinksIn(kZone);
  }

 private:
  udp::endpoint EndpointOf(size_t number) const {
    return {boost::asio::ip::make_address_v4("127.0.0." +
                                             std::to_string(number + 1)),
            port_};
  }

  boost::asio::io_context io_;
  const uint16_t port_ = testing::FreePort();
  std::vector<std::unique_ptr<Peers>> peers_;
};

TEST_CASE("peers: each knows the links of its zone, and who sheds") {
  Fleet fleet({{kZone, 10'000, false},
               {kZone, 200'000, false},
               {kZone, 20'000, true},
               {kOtherZone, 500'000, false}});
  fleet.RunFor(kCrossing * 5);
  const policy::OtherLinks links = fleet.LinksAt(0);
  CHECK(links.all_kbps_ == 220'000);
  CHECK(links.ready_kbps_ == 200'000);
  CHECK(fleet.LinksAt(2).ready_kbps_ == 210'000);
}

TEST_CASE("peers: the link of a peer that is gone no longer counts") {
  Fleet fleet({{kZone, 10'000, false}, {kZone, 200'000, false}});
  fleet.RunFor(kCrossing);
  REQUIRE(fleet.LinksAt(0).ready_kbps_ == 200'000);
  fleet.Kill(1);
  fleet.RunFor(kSilence);
  CHECK(fleet.LinksAt(0).all_kbps_ == 0);
}

// Servers that crash in a row make a suspect of each of their requests.
TEST_CASE("peers: a row of crashes fills no link, and all of it is told") {
  constexpr int kGateways = 8;
  std::vector<Busy> gateways(kGateways);
  Fleet fleet({});
  for (Busy& gateway : gateways) {
    fleet.Add(gateway.Hooks());
  }
  fleet.RunFor(kCrossing * 5);
  gateways[1].suspicions_.clear();
  const Bytes before = gateways[0].sent_;
  constexpr int64_t kStormMs = 1'000;
  for (int64_t i = 0; i < kStormMs; ++i) {
    fleet.SendNews(0);
    fleet.RunFor(std::chrono::milliseconds(1));
  }
  // A fifth of 10 Mbit/s.
  constexpr int64_t kBytesPerMs = 250;
  CHECK(gateways[0].sent_ - before < Bytes(kBytesPerMs * kStormMs));
  fleet.RunFor(kCrossing);
  CHECK(gateways[1].suspicions_.size() == 64);
  CHECK(gateways[1].lost_loads_ == 0);
}

TEST_CASE("peers: the first news is told at once") {
  std::vector<Busy> gateways(2);
  Fleet fleet({});
  for (Busy& gateway : gateways) {
    fleet.Add(gateway.Hooks());
  }
  fleet.RunFor(kCrossing);
  gateways[1].suspicions_.clear();
  fleet.SendNews(0);
  fleet.RunFor(std::chrono::milliseconds(20));
  CHECK_FALSE(gateways[1].suspicions_.empty());
}

}  // namespace
}  // namespace bergamotscale::gateway
