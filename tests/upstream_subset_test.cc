// Tests that UpstreamTable links to a subset of many sidecars, over real
// connections.
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <boost/asio/io_context.hpp>

#include "src/entry/upstream_table.h"

namespace bergamotscale::entry {
namespace {

constexpr int kSidecars = 12;
constexpr std::chrono::seconds kWaitLimit(10);

// Sidecars of one group that only report their status, and the UpstreamTable of
// one entry.
class Fleet {
  // Declared first, because the other members use them until destroyed.
  boost::asio::io_context io_;
  timeline::Timeline timeline_{InstanceId("e-0"), Clock::Wall(), 100};
  std::vector<link::Stream> status_;

 public:
  Fleet() {
    for (int i = 0; i < kSidecars; ++i) {
      servers_.push_back(std::make_unique<link::LinkServer>(
          io_, link::LinkOptions(),
          [this](const std::string& path, link::Stream stream) {
            return Accept(path, std::move(stream));
          }));
      const auto bound = servers_.back()->Listen({"127.0.0.1", 0});
      REQUIRE(bound.ok());
      SidecarMember member;
      member.id_ = InstanceId("s-" + std::to_string(10 + i));
      member.group_ = group_;
      member.zone_ = ZoneId("a");
      member.endpoint_ = bound.value();
      members_.sidecars_.push_back(member);
    }
    // With 400 entries, hardly any sidecar is assigned to this one.
    for (int i = 0; i < 400; ++i) {
      members_.entries_.push_back(
          {InstanceId("e-" + std::to_string(i)), ZoneId("a")});
    }
    EntrySettings settings;
    settings.instance_ = InstanceId("e-0");
    settings.zone_ = ZoneId("a");
    settings.subset_.full_mesh_up_to_ = 1;
    settings.subset_.sidecars_per_group_ = 4;
    GossipHooks gossip;
    gossip.make_gossip_ = [](config::OfferPacer&) { return wire::Gossip(); };
    gossip.apply_gossip_ = [](const wire::Gossip&) {};
    table_ = std::make_unique<UpstreamTable>(io_, settings, Clock::Steady(),
                                             &timeline_, gossip);
    table_->SetMembers(members_);
  }
  ~Fleet() { table_->Close(); }

  size_t Usable() {
    size_t usable = 0;
    for (const policy::UpstreamView& view : table_->Views()) {
      usable += view.usable_ ? 1 : 0;
    }
    return usable;
  }

  bool RunUntil(const std::function<bool()>& condition) {
    const auto end = std::chrono::steady_clock::now() + kWaitLimit;
    while (!condition()) {
      if (std::chrono::steady_clock::now() > end) {
        return false;
      }
      io_.run_for(std::chrono::milliseconds(1));
      io_.restart();
    }
    return true;
  }

  // Makes all sidecars report this number of running requests.
  void ReportRunning(int running) {
    running_ = running;
    for (link::Stream& stream : status_) {
      stream.Send(wire::Encode(Status()));
    }
  }

  const GroupId group_ = GroupId("engines");
  Members members_;
  std::vector<std::unique_ptr<link::LinkServer>> servers_;
  std::unique_ptr<UpstreamTable> table_;

 private:
  wire::SidecarStatus Status() const {
    wire::SidecarStatus status;
    status.accepting_ = true;
    status.slots_ = 4;
    status.running_ = running_;
    return status;
  }

  link::StreamHooks Accept(const std::string& path, link::Stream stream) {
    link::StreamHooks hooks;
    hooks.on_message_ = [](std::string_view) {};
    hooks.on_end_ = [](link::StreamEnd) {};
    if (path == wire::kStatusPath) {
      stream.Send(wire::Encode(Status()));
      status_.push_back(stream);
    }
    return hooks;
  }

  int running_ = 0;
};

TEST_CASE(
    "upstream table: the subset is bounded, and the holder's view is full") {
  Fleet fleet;
  const size_t link_count = fleet.table_->link_count();
  CHECK(link_count >= 4);
  CHECK(link_count < kSidecars / 2);
  CHECK(fleet.RunUntil([&] { return fleet.Usable() == link_count; }));
  CHECK(fleet.table_->EngineViews().size() == kSidecars);
  CHECK(fleet.table_->LinkToAll());
  CHECK(fleet.RunUntil([&] { return fleet.Usable() == kSidecars; }));
  CHECK(!fleet.table_->LinkToAll());
}

TEST_CASE("upstream table: full or lost members make it add links") {
  Fleet fleet;
  const size_t link_count = fleet.table_->link_count();
  REQUIRE(fleet.RunUntil([&] { return fleet.Usable() == link_count; }));
  fleet.table_->AdaptSubset();
  CHECK(fleet.table_->link_count() == link_count);
  fleet.ReportRunning(4);
  CHECK(fleet.RunUntil([&] {
    fleet.table_->AdaptSubset();
    return fleet.table_->link_count() > link_count;
  }));
  Fleet lossy;
  for (size_t i = 0; i < lossy.servers_.size(); ++i) {
    for (const policy::UpstreamView& view : lossy.table_->Views()) {
      if (view.sidecar_ == lossy.members_.sidecars_[i].id_) {
        lossy.servers_[i]->Close();
      }
    }
  }
  CHECK(lossy.RunUntil([&] {
    lossy.table_->WidenGroup(lossy.group_);
    return lossy.Usable() > 0;
  }));
}

TEST_CASE("upstream table: a member outside the subset keeps its work's link") {
  Fleet fleet;
  const size_t link_count = fleet.table_->link_count();
  REQUIRE(fleet.RunUntil([&] { return fleet.Usable() == link_count; }));
  link::StreamHooks hooks;
  bool ended = false;
  hooks.on_message_ = [](std::string_view) {};
  hooks.on_end_ = [&](link::StreamEnd) { ended = true; };
  const InstanceId busy = fleet.table_->Views().front().sidecar_;
  Result<link::Stream> work = fleet.table_->OpenWork(busy, hooks);
  REQUIRE(work.ok());
  // Adds 200 members to the group, so that the busy sidecar drops out of the
  // subset.
  Members moved = fleet.members_;
  for (int i = 0; i < 200; ++i) {
    SidecarMember more = moved.sidecars_.front();
    more.id_ = InstanceId("t-" + std::to_string(i));
    moved.sidecars_.push_back(more);
  }
  fleet.table_->SetMembers(moved);
  const auto view_of_busy = [&]() -> const policy::UpstreamView* {
    for (const policy::UpstreamView& view : fleet.table_->Views()) {
      if (view.sidecar_ == busy) {
        return &view;
      }
    }
    return nullptr;
  };
  REQUIRE(view_of_busy() != nullptr);
  CHECK(!view_of_busy()->usable_);
  CHECK(!ended);
  work.value().Reset();
  CHECK(fleet.RunUntil([&] {
    fleet.table_->AdaptSubset();
    return view_of_busy() == nullptr;
  }));
}

}  // namespace
}  // namespace bergamotscale::entry
