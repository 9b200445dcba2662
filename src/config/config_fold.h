// The fold of the configuration stream: which publication is in force.
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

// What became of a publication.
struct PublicationOutcome {
  PublicationId id_;
  Revision base_;
  bool accepted_ = false;
  // The revision that it became; of a conflict, the revision that was in force.
  Revision revision_;
  LogOffset offset_;
  std::string author_;
  std::string comment_;
  Millis time_;
};

// A pure function of the stream's records, the same in every process:
//  - A publication is accepted if its base is the revision in force, which then
//    grows by one; any other is a conflict. Since a base matches once only, a
//    record that was appended twice is accepted at most once.
//  - A snapshot changes nothing for a fold that has seen every record. A fold
//    that has lost records can't tell which publications were accepted; it
//    holds records back until a snapshot covers what was lost.
// The revision never goes back. Whether the document is valid for this binary
// has no part in it, so that binaries of different versions agree.
// Thread safety: use from one thread at a time.
class ConfigFold {
 public:
  // Takes the next record of the stream.
  void Apply(const log::Record& record);

  // Tells that the records before this offset can't be read any more.
  void OnLost(LogOffset resumed);

  // Takes the state of a peer's fold. A newer revision is in force at once; the
  // records are still folded as they come.
  void Offer(const SnapshotRecord& state);

  // @return true if every record before next() is accounted for.
  bool complete() const { return complete_; }
  // The revision that the records give.
  Revision revision() const { return revision_; }
  // The offset from which on records are not taken in.
  LogOffset next() const { return next_; }
  // Canonical JSON of that revision's document; null at revision zero.
  const nlohmann::json& document() const { return document_; }

  // The newest revision known, from the records or from a peer.
  Revision revision_in_force() const;
  // Its document. Lifetime: until the next change.
  const nlohmann::json& document_in_force() const;
  // @return that revision as a snapshot without its document, which is large.
  SnapshotRecord HeadInForce() const;

  // The newest offset from which a fresh process can start with what the log
  // holds, and the age stamp of the record that allows it.
  LogOffset restart_offset() const { return restart_offset_; }
  Millis restart_time() const { return restart_time_; }

  // @return the first outcome of that id, or null. The newest outcomes are
  // kept. Lifetime: until the next change.
  const PublicationOutcome* FindOutcome(const PublicationId& id) const;
  // @return the newest outcomes, oldest first.
  std::vector<PublicationOutcome> History() const;

  // @return the snapshot that this fold would append. Precondition: complete()
  // and revision() above zero.
  SnapshotRecord MakeSnapshot(Millis wall_time) const;

 private:
  void ApplyDecoded(LogOffset offset, const ConfigRecord& record);
  void ApplyPublication(LogOffset offset, const PublicationRecord& record);
  bool ChangeDocument(const PublicationRecord& record);
  bool PeerIsAhead() const;
  SnapshotRecord MakeHead(Millis wall_time) const;
  void ApplySnapshot(const SnapshotRecord& record);
  void Adopt(const SnapshotRecord& state);
  void TakeDocument(const SnapshotRecord& state);
  void HoldBack(const log::Record& record);
  void ReplayHeldBack();
  void Remember(PublicationOutcome outcome);

  Revision revision_;
  nlohmann::json document_;
  PublicationOutcome publication_;
  LogOffset next_;
  bool complete_ = true;
  // With records lost: the first offset that can still be read.
  LogOffset resumed_;
  std::deque<log::Record> held_back_;
  // The newest state of a peer that is ahead of the records.
  std::optional<SnapshotRecord> offered_;
  size_t held_back_bytes_ = 0;
  LogOffset restart_offset_;
  Millis restart_time_;
  std::deque<PublicationOutcome> history_;
};

}  // namespace bergamotscale::config

#endif  // BERGAMOTSCALE_SRC_CONFIG_CONFIG_FOLD_H_
