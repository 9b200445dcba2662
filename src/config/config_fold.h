// Folds the configuration stream into the document that is in force.
#ifndef BERGAMOTSCALE_SRC_CONFIG_CONFIG_FOLD_H_
#define BERGAMOTSCALE_SRC_CONFIG_CONFIG_FOLD_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "bergamotscale/ids.h"
#include "bergamotscale/units.h"
#include "src/config/config_record.h"
#include "src/log/log_client.h"

namespace bergamotscale::config {

// Result of one publication.
struct PublicationOutcome {
  PublicationId id_;
  Revision base_;
  bool accepted_ = false;
  // If accepted, the new revision; if not, the revision that was in force.
  Revision revision_;
  LogOffset offset_;
  std::string author_;
  std::string comment_;
  Millis time_;
};

// Computes the configuration in force from the stream's records. The result is
// the same in every process that has read the same records:
//  - A publication is accepted if its base is the revision in force, which it
//    increments; otherwise it is a conflict. A record that was appended twice
//    is accepted at most once, as its base matches only once.
//  - A snapshot changes nothing if every earlier record was read. If records
//    were lost, later ones are buffered until a snapshot covers the lost ones,
//    as it is unknown which publications were accepted.
// The revision never decreases. Documents are not validated here, so that
// binaries of different versions agree on the revision.
// Thread safety: use from one thread at a time.
class ConfigFold {
 public:
  // Applies the next record of the stream; earlier ones are ignored.
  void Apply(const log::Record& record);

  // Notes that records before this offset can no longer be read.
  void OnRecordsLost(LogOffset first_available);

  // Applies the state of a peer. A newer revision is in force at once; records
  // are still applied as they arrive.
  void ApplyPeerOffer(const SnapshotRecord& state);

  // @return true if every record before next_offset() was read or is covered by
  // a snapshot.
  bool complete() const { return complete_; }
  // The revision according to the records alone.
  Revision revision() const { return revision_; }
  // The offset of the next record to apply.
  LogOffset next_offset() const { return next_; }
  // Canonical JSON of that revision's document; null at revision zero.
  const nlohmann::json& document() const { return document_; }

  // The newest revision, from the records or from a peer.
  Revision revision_in_force() const;
  // The document of that revision. Lifetime: until the next change.
  const nlohmann::json& document_in_force() const;
  // @return that revision's snapshot without the document, which is large.
  SnapshotRecord MetadataInForce() const;

  // The newest offset from which a new process can rebuild the state with the
  // snapshots in the log, and the time stamp of the record that allows it.
  LogOffset restart_offset() const { return restart_offset_; }
  Millis restart_time() const { return restart_time_; }

  // @return the first outcome of that id, or null; only the newest outcomes
  // are kept. Lifetime: until the next change.
  const PublicationOutcome* FindOutcome(const PublicationId& id) const;
  // @return the newest outcomes, oldest first.
  std::vector<PublicationOutcome> History() const;

  // @return the snapshot that this fold would append. Precondition: complete()
  // and revision() above zero.
  SnapshotRecord MakeSnapshot(Millis wall_time) const;

 private:
  void ApplyDecoded(LogOffset offset, const ConfigRecord& record);
  void ApplyPublication(LogOffset offset, const PublicationRecord& record);
  bool ApplyDocumentChange(const PublicationRecord& record);
  bool PeerIsAhead() const;
  SnapshotRecord MakeMetadata(Millis wall_time) const;
  void ApplySnapshot(const SnapshotRecord& record);
  void RestoreFrom(const SnapshotRecord& state);
  void ReplaceDocument(const SnapshotRecord& state);
  void BufferRecord(const log::Record& record);
  void ReplayBufferedRecords();
  void AddToHistory(PublicationOutcome outcome);

  Revision revision_;
  nlohmann::json document_;
  PublicationOutcome current_publication_;
  LogOffset next_;
  bool complete_ = true;
  // If records were lost: the first offset that can still be read.
  LogOffset first_available_;
  std::deque<log::Record> buffered_records_;
  // The newest state from a peer that is ahead of the records.
  std::optional<SnapshotRecord> peer_state_;
  size_t buffered_bytes_ = 0;
  LogOffset restart_offset_;
  Millis restart_time_;
  std::deque<PublicationOutcome> history_;
};

}  // namespace bergamotscale::config

#endif  // BERGAMOTSCALE_SRC_CONFIG_CONFIG_FOLD_H_
