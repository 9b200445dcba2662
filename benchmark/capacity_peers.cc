// Minimal peers for tools/measure_capacity.sh: one process acts as many
// sidecars or as many entries, which exchange nothing but status messages. On
// SIGTERM or SIGINT it prints how much it sent and received.
#include <chrono>
#include <csignal>
#include <cstdint>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include <gflags/gflags.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "src/link/link.h"
#include "src/wire/messages.h"

DEFINE_int32(sidecars, 0, "number of simulated sidecars, at 127.1.x.y");
DEFINE_int32(entries, 0, "number of simulated entries");
DEFINE_int32(port, 0, "port of all sidecars");
DEFINE_string(peer, "", "address of the sidecar that the entries connect to");
DEFINE_int32(prefixes, 32, "cached prefixes in each status message");
DEFINE_int32(interval_ms, 100, "interval of status messages, in ms");
DEFINE_string(group, "keywording", "group of the sidecars");
DEFINE_string(model, "keywords-8b", "model of the sidecars");
DEFINE_int64(revision, 1, "configuration revision that the peers report");

namespace bergamotscale {
namespace {

constexpr int kAddressesPerByte = 250;

struct Traffic {
  int64_t messages_sent_ = 0;
  int64_t bytes_sent_ = 0;
  int64_t messages_received_ = 0;
  int64_t bytes_received_ = 0;
};

// @return the loopback address of a sidecar.
std::string AddressOf(int index) {
  return "127.1." + std::to_string(index / kAddressesPerByte) + "." +
         std::to_string(index % kAddressesPerByte + 1);
}

class Peers {
 public:
  Peers() : timer_(io_), signals_(io_, SIGTERM, SIGINT) {}

  int Run() {
    for (int index = 0; index < FLAGS_sidecars; ++index) {
      if (!AddSidecar(index)) {
        return 1;
      }
    }
    for (int index = 0; index < FLAGS_entries; ++index) {
      AddEntry(index);
    }
    signals_.async_wait(
        [this](const boost::system::error_code&, int) { io_.stop(); });
    Tick();
    io_.run();
    std::cout << "sent " << traffic_.messages_sent_ << " messages "
              << traffic_.bytes_sent_ << " bytes, received "
              << traffic_.messages_received_ << " messages "
              << traffic_.bytes_received_ << " bytes\n";
    return 0;
  }

 private:
  bool AddSidecar(int index) {
    servers_.push_back(std::make_unique<link::LinkServer>(
        io_, link::LinkOptions(),
        [this, index](const std::string&, link::Stream stream) {
          // Reports the current revision, because a peer with an older one
          // would be sent the whole document.
          Send(stream, GossipOf("sidecar-" + std::to_string(index)));
          sidecar_streams_.push_back({index, std::move(stream)});
          return CountingHooks();
        }));
    link::Endpoint endpoint;
    endpoint.address_ = AddressOf(index);
    endpoint.port_ = static_cast<uint16_t>(FLAGS_port);
    const auto bound = servers_.back()->Listen(endpoint);
    if (!bound.ok()) {
      std::cerr << endpoint.ToString() << ": " << bound.error().Message()
                << "\n";
    }
    return bound.ok();
  }

  void AddEntry(int index) {
    const auto endpoint = link::ParseEndpoint(FLAGS_peer);
    if (!endpoint.ok()) {
      return;
    }
    clients_.push_back(nullptr);
    const size_t place = clients_.size() - 1;
    clients_[place] = std::make_unique<link::LinkClient>(
        io_, endpoint.value(), link::LinkOptions(),
        [this, place, index](bool usable) {
          if (usable) {
            OpenStatus(place, index);
          }
        });
    clients_[place]->Start();
  }

  void OpenStatus(size_t place, int index) {
    auto stream = clients_[place]->Open(wire::kStatusPath, CountingHooks());
    if (!stream.ok()) {
      return;
    }
    Send(stream.value(), GossipOf("entry-" + std::to_string(index)));
    entry_streams_.push_back(stream.value());
  }

  link::StreamHooks CountingHooks() {
    link::StreamHooks hooks;
    hooks.on_message_ = [this](std::string_view frame) {
      ++traffic_.messages_received_;
      traffic_.bytes_received_ += static_cast<int64_t>(frame.size());
    };
    hooks.on_end_ = [](link::StreamEnd) {};
    return hooks;
  }

  void Send(link::Stream& stream, std::string frame) {
    ++traffic_.messages_sent_;
    traffic_.bytes_sent_ += static_cast<int64_t>(frame.size());
    stream.Send(std::move(frame));
  }

  void Tick() {
    for (SidecarStream& each : sidecar_streams_) {
      if (each.stream_.open()) {
        Send(each.stream_, StatusOf(each.index_));
      }
    }
    timer_.expires_after(std::chrono::milliseconds(FLAGS_interval_ms));
    timer_.async_wait([this](const boost::system::error_code&) { Tick(); });
  }

  static std::string GossipOf(const std::string& from) {
    wire::Gossip gossip;
    gossip.from_ = InstanceId(from);
    gossip.revision_ = Revision(FLAGS_revision);
    return wire::Encode(gossip);
  }

  static std::string StatusOf(int index) {
    wire::SidecarStatus status;
    status.sidecar_ = InstanceId("sidecar-" + std::to_string(index));
    status.group_ = GroupId(FLAGS_group);
    status.zone_ = ZoneId("zone-a");
    status.accepting_ = true;
    status.running_ = 16;
    status.slots_ = 32;
    status.classes_.resize(3);
    status.models_ = {ModelId(FLAGS_model)};
    for (int prefix = 0; prefix < FLAGS_prefixes; ++prefix) {
      status.cached_prefixes_.push_back(0x9e3779b97f4a7c15U * (prefix + 1));
    }
    return wire::Encode(status);
  }

  struct SidecarStream {
    int index_ = 0;
    link::Stream stream_;
  };

  boost::asio::io_context io_;
  boost::asio::steady_timer timer_;
  boost::asio::signal_set signals_;
  std::vector<std::unique_ptr<link::LinkServer>> servers_;
  std::vector<std::unique_ptr<link::LinkClient>> clients_;
  std::vector<SidecarStream> sidecar_streams_;
  std::vector<link::Stream> entry_streams_;
  Traffic traffic_;
};

}  // namespace
}  // namespace bergamotscale

int main(int argc, char** argv) {
  gflags::SetUsageMessage("simulated peers for tools/measure_capacity.sh");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return bergamotscale::Peers().Run();
}
