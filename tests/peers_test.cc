// What gateways tell one another by datagrams.
#include "src/gateway/peers.h"

#include <chrono>
#include <memory>
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
  hooks.suspicions_ = [] { return std::vector<policy::SuspicionRecord>(); };
  hooks.recent_prompts_ = [] { return std::vector<SentPrompt>(); };
  hooks.on_loads_ = [](const std::string&, const std::vector<InstanceLoad>&) {};
  hooks.on_prompts_ = [](const std::vector<SentPrompt>&) {};
  hooks.on_suspicion_ = [](const policy::SuspicionRecord&) { return false; };
  hooks.on_members_ = [](int) {};
  return hooks;
}

// Gateways on addresses of their own, which all know the first one only.
class Fleet {
 public:
  explicit Fleet(const std::vector<PeerPlace>& places) {
    for (size_t i = 0; i < places.size(); ++i) {
      peers_.push_back(std::make_unique<Peers>(
          io_, Clock::Boot(), EndpointOf(i),
          std::vector<udp::endpoint>{EndpointOf(0)}, HooksOf(places[i])));
      REQUIRE(peers_.back()->Start().ok());
    }
  }

  void RunFor(std::chrono::milliseconds time) {
    io_.restart();
    io_.run_for(time);
  }
  void Kill(size_t number) { peers_[number].reset(); }
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

}  // namespace
}  // namespace bergamotscale::gateway
