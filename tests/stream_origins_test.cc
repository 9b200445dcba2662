#include "src/policy/stream_origins.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>

namespace bergamotscale::policy {
namespace {

const GroupId kGroup("g");

VersionSets Versions(const std::set<std::string>& names) {
  VersionSets versions;
  for (const std::string& name : names) {
    versions[kGroup].insert(SoftwareVersion(name));
  }
  return versions;
}

StreamOrigin Origin(const std::string& version) {
  return {kGroup, SoftwareVersion(version)};
}

OriginSource SourceOf(const StreamOrigins& origins,
                      const std::string& stream,
                      Millis now,
                      Millis list_age = Millis(0)) {
  return origins.Find(RequestId(stream), kGroup, list_age, true, now).source_;
}

TEST_CASE("stream origins: one version needs no record") {
  StreamOrigins origins;
  origins.OnListed(Versions({"a"}), Millis(0));
  CHECK(SourceOf(origins, "s", Millis(10)) == OriginSource::kUnknown);
  origins.OnStored(Versions({"a"}), Millis(20));
  const auto decision =
      origins.Find(RequestId("s"), kGroup, Millis(0), true, Millis(20));
  CHECK(decision.source_ == OriginSource::kOnlyVersion);
  CHECK(decision.origin_ == Origin("a"));
  // An old list hides versions.
  CHECK(SourceOf(origins, "s", Millis(20),
                 StreamOrigins::kMaxListAge + Millis(1)) ==
        OriginSource::kUnknown);
  // A version may have come and gone unseen.
  CHECK(origins.Find(RequestId("s"), kGroup, Millis(0), false, Millis(20))
            .source_ == OriginSource::kUnknown);
  CHECK(origins.RecentRecords(Millis(20)).empty());
}

TEST_CASE("stream origins: a version that has left counts for a time") {
  StreamOrigins origins;
  origins.OnStored(Versions({"a"}), Millis(0));
  origins.OnListed(Versions({"b"}), Millis(100));
  CHECK(SourceOf(origins, "s", Millis(200)) == OriginSource::kUnknown);
  const Millis later = StreamOrigins::kVersionLifetime + Millis(300);
  // The log doesn't name the one that is left.
  CHECK(SourceOf(origins, "s", later) == OriginSource::kUnknown);
  origins.OnStored(Versions({"b"}), later);
  CHECK(SourceOf(origins, "s", later) == OriginSource::kOnlyVersion);
}

// What each told the others came back to it, and was never forgotten.
TEST_CASE("stream origins: peers and the log forget a version") {
  StreamOrigins first;
  StreamOrigins second;
  VersionSets stored;
  const auto step = [&](StreamOrigins* from, StreamOrigins* to, Millis now) {
    from->Expire(now);
    if (from->IsStoreOutdated(now)) {
      from->OnStored(stored, now);
      stored = from->PossibleVersions(now);
      from->OnStored(stored, now);
    }
    to->OnPeerVersions(from->MixedVersions(now), now);
  };
  Millis now;
  const Millis end =
      StreamOrigins::kVersionLifetime * 2 + StreamOrigins::kTellTime;
  for (; now < end; now = now + Millis(100)) {
    const bool has_left = now >= Millis(3'000);
    first.OnListed(Versions(has_left ? std::set<std::string>{"b"}
                                     : std::set<std::string>{"a", "b"}),
                   now);
    second.OnListed(Versions({"b"}), now);
    step(&first, &second, now);
    step(&second, &first, now);
  }
  CHECK(stored == Versions({"b"}));
  CHECK(first.PossibleVersions(now) == Versions({"b"}));
  CHECK(second.PossibleVersions(now) == Versions({"b"}));
}

TEST_CASE("stream origins: what began with one version is told once more") {
  StreamOrigins origins;
  origins.OnStored(Versions({"a"}), Millis(0));
  origins.OnListed(Versions({"a"}), Millis(0));
  origins.OnBegun(RequestId("s"), Origin("a"), Millis(100));
  CHECK(origins.unwritten() == 0);
  origins.OnListed(Versions({"a", "b"}), Millis(200));
  REQUIRE(origins.RecentRecords(Millis(300)).size() == 1);
  CHECK(origins.RecentRecords(Millis(300))[0].age_ == Millis(200));
  const auto unwritten = origins.TakeUnwritten(Millis(300));
  CHECK(unwritten.size() == 1);
  CHECK(origins.TakeUnwritten(Millis(300)).empty());
  origins.PutBackUnwritten(unwritten);
  CHECK(origins.TakeUnwritten(Millis(300)).size() == 1);
  CHECK(
      origins.RecentRecords(Millis(100) + StreamOrigins::kShareTime + Millis(1))
          .empty());
}

TEST_CASE("stream origins: a record decides among versions") {
  StreamOrigins origins;
  origins.OnListed(Versions({"a", "b"}), Millis(0));
  origins.OnStored(Versions({"a", "b"}), Millis(0));
  origins.Merge({RequestId("s"), Origin("b"), Millis(500)}, Millis(1'000));
  const auto decision =
      origins.Find(RequestId("s"), kGroup, Millis(0), false, Millis(1'100));
  CHECK(decision.source_ == OriginSource::kRecorded);
  CHECK(decision.origin_ == Origin("b"));
  CHECK(decision.age_ == Millis(600));
  CHECK(SourceOf(origins, "t", Millis(1'100)) == OriginSource::kUnknown);
  CHECK(SourceOf(origins, "", Millis(1'100)) == OriginSource::kUnknown);
  origins.Expire(Millis(600) + StreamOrigins::kStreamLifetime);
  CHECK(origins.size() == 0);
}

// The record of the first use named a version that the second one was not of.
TEST_CASE("stream origins: an id that is used again has its later origin") {
  StreamOrigins origins;
  origins.OnBegun(RequestId("s"), Origin("a"), Millis(0));
  origins.OnBegun(RequestId("s"), Origin("b"), Millis(1'000));
  const auto version = [&origins] {
    return origins.Find(RequestId("s"), kGroup, Millis(0), false, Millis(2'000))
        .origin_.version_.value();
  };
  CHECK(version() == "b");
  origins.Merge({RequestId("s"), Origin("a"), Millis(1'500)}, Millis(2'000));
  CHECK(version() == "b");
  origins.Merge({RequestId("s"), Origin("c"), Millis(500)}, Millis(2'000));
  CHECK(version() == "c");
}

TEST_CASE("stream origins: streams begin at a version that all know") {
  StreamOrigins origins;
  origins.OnListed(Versions({"a", "b"}), Millis(0));
  CHECK_FALSE(origins.IsSettled(Origin("b"), StreamOrigins::kSettleTime));
  origins.OnStored(Versions({"a", "b"}), Millis(10));
  CHECK_FALSE(origins.IsSettled(Origin("b"), Millis(100)));
  CHECK(origins.IsSettled(Origin("b"), StreamOrigins::kSettleTime));
}

// Gateways, servers and a store in seeded disorder before the real decisions.
class Model {
 public:
  explicit Model(uint64_t seed) : random_(seed) {
    for (int i = 0; i < kServers; ++i) {
      servers_.push_back({"a", kForever});
    }
    for (int i = 0; i < kGateways; ++i) {
      gateways_.emplace_back();
      Start(&gateways_.back());
    }
  }

  void Play() {
    for (; now_ < kDuration; now_ = now_ + kStep) {
      Disturb();
      for (Gateway& gateway : gateways_) {
        Step(&gateway);
      }
      BeginStream();
      TakeUpStream();
    }
  }

  int joined() const { return joined_; }
  int taken_up() const { return taken_up_; }
  int gone_on() const { return gone_on_; }
  int known_not_served() const { return known_not_served_; }

 private:
  static constexpr Millis kStep = Millis(50);
  static constexpr Millis kDuration = Millis(120'000);
  static constexpr Millis kForever = Millis(1'000'000'000);
  static constexpr Millis kPoll = Millis(600);
  // A gateway whose keys were not confirmed for longer serves no caller.
  static constexpr Millis kMaxAge = Millis(4'400);
  static constexpr Millis kPatience = Millis(8'000);
  static constexpr int kServers = 6;
  static constexpr int kGateways = 3;

  struct Server {
    std::string version_;
    Millis unlisted_at_;  // it serves on for a while
  };
  struct Gateway {
    std::unique_ptr<StreamOrigins> origins_;  // null while it is down
    VersionSets list_;
    Millis listed_at_;
    bool has_list_ = false;
    Millis cut_until_;    // from the store
    Millis alone_until_;  // from the peers
    Millis back_at_;
  };
  struct Stream {
    std::string id_;
    std::string version_;
    Millis begun_at_;
  };
  struct Batch {
    std::vector<StreamRecord> records_;
    Millis at_;
  };

  int Below(int limit) {
    return std::uniform_int_distribution<int>(0, limit - 1)(random_);
  }
  bool Chance(int percent) { return Below(100) < percent; }

  void Start(Gateway* gateway) {
    *gateway = Gateway();
    gateway->origins_ = std::make_unique<StreamOrigins>();
  }
  void Kill(Gateway* gateway) {
    gateway->origins_.reset();
    gateway->back_at_ = now_ + Millis(100 + Below(3'000));
  }

  void Disturb() {
    const int kind = Below(1'000);
    if (kind < 10) {  // a server is replaced
      Server& server = servers_[static_cast<size_t>(Below(kServers))];
      retired_.push_back({server.version_, now_});
      server.version_ = std::string(1, static_cast<char>('a' + Below(3)));
    } else if (kind < 12) {  // all are
      const std::string version(1, static_cast<char>('a' + Below(3)));
      for (Server& server : servers_) {
        retired_.push_back({server.version_, now_});
        server.version_ = version;
      }
    } else if (kind < 18) {
      Kill(&gateways_[static_cast<size_t>(Below(kGateways))]);
    } else if (kind < 21) {
      for (Gateway& gateway : gateways_) {
        Kill(&gateway);
      }
    } else if (kind < 25) {
      store_away_until_ = now_ + Millis(Below(6'000));
    } else if (kind < 30) {
      gateways_[static_cast<size_t>(Below(kGateways))].cut_until_ =
          now_ + Millis(Below(20'000));
    } else if (kind < 34) {
      gateways_[static_cast<size_t>(Below(kGateways))].alone_until_ =
          now_ + Millis(Below(20'000));
    }
  }

  bool ReachesStore(const Gateway& gateway) const {
    return now_ >= store_away_until_ && now_ >= gateway.cut_until_;
  }

  void Step(Gateway* gateway) {
    if (gateway->origins_ == nullptr) {
      if (now_ >= gateway->back_at_) {
        Start(gateway);
      }
      return;
    }
    StreamOrigins& origins = *gateway->origins_;
    origins.Expire(now_);
    if (ReachesStore(*gateway)) {
      if (!gateway->has_list_ || now_ - gateway->listed_at_ >= kPoll) {
        gateway->list_ = Listed();
        gateway->listed_at_ = now_;
        gateway->has_list_ = true;
        origins.OnListed(gateway->list_, now_);
      }
      if (origins.IsStoreOutdated(now_)) {
        origins.OnStored(stored_, now_);
        if (origins.IsStoreOutdated(now_)) {
          stored_ = origins.PossibleVersions(now_);
          origins.OnStored(stored_, now_);
        }
      }
      if (Chance(80)) {
        batches_.push_back({origins.TakeUnwritten(now_), now_});
      }
    }
    for (Gateway& peer : gateways_) {
      if (&peer != gateway && peer.origins_ != nullptr &&
          now_ >= peer.alone_until_ && now_ >= gateway->alone_until_ &&
          Chance(90)) {
        peer.origins_->OnPeerVersions(origins.MixedVersions(now_), now_);
        for (const StreamRecord& record : origins.RecentRecords(now_)) {
          peer.origins_->Merge(record, now_);
        }
      }
    }
  }

  VersionSets Listed() const {
    std::set<std::string> names;
    for (const Server& server : servers_) {
      names.insert(server.version_);
    }
    return Versions(names);
  }

  // @return whether a server of the version serves, listed or about to end.
  bool Serves(const std::string& version) const {
    const auto is_there = [&](const Server& server) {
      return server.version_ == version &&
             now_ - server.unlisted_at_ < Millis(5'000);
    };
    return std::any_of(servers_.begin(), servers_.end(), is_there) ||
           std::any_of(retired_.begin(), retired_.end(), is_there);
  }

  bool TakesCallers(const Gateway& gateway) const {
    return gateway.origins_ != nullptr && gateway.has_list_ &&
           now_ - gateway.listed_at_ <= kMaxAge;
  }

  void BeginStream() {
    Gateway& gateway = gateways_[static_cast<size_t>(Below(kGateways))];
    if (!TakesCallers(gateway)) {
      return;
    }
    std::vector<std::string> settled;
    std::vector<std::string> all;
    for (const SoftwareVersion& version : gateway.list_[kGroup]) {
      if (!Serves(version.value()) ||
          (ReachesStore(gateway) &&
           !gateway.origins_->IsStored({kGroup, version}))) {
        continue;
      }
      all.push_back(version.value());
      if (gateway.origins_->IsSettled({kGroup, version}, now_)) {
        settled.push_back(version.value());
      }
    }
    const auto& from = settled.empty() ? all : settled;
    if (from.empty()) {
      return;
    }
    const std::string version =
        from[static_cast<size_t>(Below(static_cast<int>(from.size())))];
    const std::string id = "s" + std::to_string(++last_stream_);
    streams_.push_back({id, version, now_});
    gateway.origins_->OnBegun(RequestId(id), {kGroup, SoftwareVersion(version)},
                              now_);
  }

  void TakeUpStream() {
    while (!streams_.empty() && now_ - streams_.front().begun_at_ > kPatience) {
      streams_.pop_front();
    }
    if (streams_.empty()) {
      return;
    }
    const Stream& stream =
        streams_[static_cast<size_t>(Below(static_cast<int>(streams_.size())))];
    Gateway& gateway = gateways_[static_cast<size_t>(Below(kGateways))];
    if (!TakesCallers(gateway)) {
      return;
    }
    ++taken_up_;
    OriginDecision decision = Find(gateway, stream, false);
    if (decision.source_ == OriginSource::kUnknown && ReachesStore(gateway)) {
      for (const Batch& batch : batches_) {
        for (const StreamRecord& record : batch.records_) {
          gateway.origins_->MergeWritten(record, now_);
        }
      }
      gateway.origins_->OnStored(stored_, now_);
      decision = Find(gateway, stream, true);
    }
    if (decision.source_ == OriginSource::kUnknown) {
      return;
    }
    const bool is_listed =
        gateway.list_[kGroup].count(decision.origin_.version_) > 0;
    if (is_listed && decision.origin_.version_.value() != stream.version_) {
      ++joined_;
    }
    gone_on_ += is_listed ? 1 : 0;
    known_not_served_ += is_listed ? 0 : 1;
  }

  OriginDecision Find(const Gateway& gateway,
                      const Stream& stream,
                      bool is_store_fresh) const {
    return gateway.origins_->Find(RequestId(stream.id_), kGroup,
                                  now_ - gateway.listed_at_, is_store_fresh,
                                  now_);
  }

  std::mt19937_64 random_;
  Millis now_;
  std::vector<Server> servers_;
  std::vector<Server> retired_;
  std::vector<Gateway> gateways_;
  VersionSets stored_;
  std::vector<Batch> batches_;
  Millis store_away_until_;
  std::deque<Stream> streams_;
  int last_stream_ = 0;
  int joined_ = 0;
  int taken_up_ = 0;
  int gone_on_ = 0;
  int known_not_served_ = 0;
};

TEST_CASE("stream origins: no stream is joined from two versions") {
  constexpr uint64_t kSeeds = 300;
  int taken_up = 0;
  int gone_on = 0;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Model model(seed);
    model.Play();
    CAPTURE(seed);
    CHECK(model.joined() == 0);
    taken_up += model.taken_up() - model.known_not_served();
    gone_on += model.gone_on();
  }
  MESSAGE(taken_up << " taken up while their version serves, " << gone_on
                   << " went on");
  CHECK(gone_on * 2 >= taken_up);
}

}  // namespace
}  // namespace bergamotscale::policy
