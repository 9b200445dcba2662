// Which upstreams may continue a stream: those of the version that began it.
#ifndef BERGAMOTSCALE_SRC_POLICY_STREAM_ORIGINS_H_
#define BERGAMOTSCALE_SRC_POLICY_STREAM_ORIGINS_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "bergamotscale/ids.h"
#include "bergamotscale/software_version.h"
#include "bergamotscale/units.h"

namespace bergamotscale::policy {

// The software that began a stream. What two versions write does not fit
// together, and versions have no order.
struct StreamOrigin {
  GroupId group_;
  SoftwareVersion version_;

  friend bool operator==(const StreamOrigin& a, const StreamOrigin& b) {
    return a.group_ == b.group_ && a.version_ == b.version_;
  }
};

using VersionSets = std::map<GroupId, std::set<SoftwareVersion>>;

// The origin of a stream, as gateways and the shared log exchange it. The
// stream is named by the request that brought its first event.
struct StreamRecord {
  RequestId stream_;
  StreamOrigin origin_;
  Millis age_;  // since its first event
};

enum class OriginSource {
  kRecorded,  // begun here, or told by a peer or the shared log
  // No other version of the group can have begun it, and the log names this
  // one.
  kOnlyVersion,
  kUnknown,
};

// @return the name for logs and metrics. Thread safety: safe.
const char* OriginSourceName(OriginSource source);

struct OriginDecision {
  OriginSource source_ = OriginSource::kUnknown;
  StreamOrigin origin_;  // of a known origin
  Millis age_;           // of a record
};

// Remembers which version began each stream, and which versions can have begun
// one that is not remembered. A stream whose origin is not known must not be
// continued: another gateway may have begun it at a version that has left
// since. Thread safety: none.
class StreamOrigins {
 public:
  // No stream is taken up again later than this after its first event.
  static constexpr Millis kStreamLifetime = Millis(30'000);
  // A version that is no longer listed may have begun a stream up to this time
  // ago, because other gateways learn of it later.
  static constexpr Millis kVersionLifetime = kStreamLifetime + Millis(10'000);
  // An older list of upstreams does not show which versions there are.
  static constexpr Millis kMaxListAge = Millis(2'000);
  // Limits of what is given out at once; the rest follows.
  static constexpr size_t kMaxRecent = 256;
  static constexpr size_t kMaxBatch = 2'000;
  // Streams begin at a new version only after this time, if another version can
  // serve them: by then, the lists of all gateways show it.
  static constexpr Millis kSettleTime = Millis(2'500);
  // Peers are told of a version for this time after it has left the list.
  static constexpr Millis kTellTime = Millis(5'000);
  // Each record is given out for this long, as datagrams may be lost.
  static constexpr Millis kShareTime = Millis(350);
  // Records that the shared log doesn't take are kept for this long.
  static constexpr Millis kUnwrittenLifetime = Millis(5'000);
  static constexpr size_t kMaxStreams = 100'000;

  // Replaces the versions that are listed now.
  void OnListed(const VersionSets& listed, Millis now);
  // Sets the versions that the shared log names: each version is named there
  // before it begins streams, and for kVersionLifetime after it has left.
  void OnStored(const VersionSets& stored, Millis now);
  // The shared log was restored from a copy; what it named is unknown again.
  void OnStoreLost();
  // Adds versions that a peer knows.
  void OnPeerVersions(const VersionSets& versions, Millis now);

  // Records the first event of a stream that was sent to a caller here.
  void OnBegun(const RequestId& stream, const StreamOrigin& origin, Millis now);
  // Adds a record of a peer.
  void Merge(const StreamRecord& record, Millis now);
  // Adds a record that the shared log has.
  void MergeWritten(const StreamRecord& record, Millis now);

  // Decides who may continue a stream.
  // @param stream the request that brought its first event; may be empty.
  // @param group where a stream of this route begins.
  // @param list_age the age of the list of upstreams.
  // @param is_store_fresh whether OnStored() has told what the shared log named
  // after the stream was to be continued. Without that, only a record decides:
  // a version may have come and gone unseen.
  OriginDecision Find(const RequestId& stream,
                      const GroupId& group,
                      Millis list_age,
                      bool is_store_fresh,
                      Millis now) const;

  // @return whether the shared log names the version, so that streams may begin
  // there.
  bool IsStored(const StreamOrigin& origin) const;
  // @return whether all gateways know the version, too.
  bool IsSettled(const StreamOrigin& origin, Millis now) const;

  // @return the versions that can have begun a stream, per group.
  VersionSets PossibleVersions(Millis now) const;
  // @return the versions that are, or were a moment ago, listed here, of groups
  // with several: what peers must know. What others told is not passed on, so
  // that it is forgotten in the end.
  VersionSets MixedVersions(Millis now) const;
  // @return whether the shared log must be brought up to PossibleVersions().
  bool IsStoreOutdated(Millis now) const;

  // @return records of streams begun here, for peers. Each is returned several
  // times.
  std::vector<StreamRecord> RecentRecords(Millis now) const;
  // @return records of groups with several versions that are to be written to
  // the shared log, each once.
  std::vector<StreamRecord> TakeUnwritten(Millis now);
  // Returns records that could not be written.
  void PutBackUnwritten(const std::vector<StreamRecord>& records);
  // @return the number of records that TakeUnwritten() may return.
  size_t unwritten() const { return unwritten_.size(); }

  // Forgets what is too old. Call it about once a second.
  void Expire(Millis now);

  size_t size() const { return streams_.size(); }

 private:
  struct Version {
    Millis listed_since_;
    Millis last_listed_;  // long ago if it never was
    Millis last_seen_;    // listed, or told by others
    bool is_listed_ = false;
  };
  struct Group {
    std::map<SoftwareVersion, Version> versions_;
    bool is_mixed_ = false;
  };
  struct Stream {
    StreamOrigin origin_;
    Millis begun_at_;
    Millis unwritten_since_;
    bool is_own_ = false;
    bool is_written_ = false;  // or on its way to be
  };

  Version& Note(const GroupId& group, const SoftwareVersion& name, Millis now);
  static bool IsPossible(const Version& version, Millis now);
  bool IsMixed(const GroupId& group) const;
  void UpdateMixed(Millis now);
  void WriteLater(const RequestId& id, Stream* stream, Millis now);
  void Add(const RequestId& id, const Stream& stream);

  std::map<GroupId, Group> groups_;
  std::optional<VersionSets> stored_;
  std::unordered_map<RequestId, Stream> streams_;
  std::deque<RequestId> order_;  // of streams_, oldest first
  std::deque<RequestId> recent_;
  std::deque<RequestId> unwritten_;
};

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_STREAM_ORIGINS_H_
