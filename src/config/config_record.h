// Records of the log's configuration stream.
#ifndef BERGAMOTSCALE_SRC_CONFIG_CONFIG_RECORD_H_
#define BERGAMOTSCALE_SRC_CONFIG_CONFIG_RECORD_H_

#include <string>
#include <variant>

#include <nlohmann/json.hpp>

#include "bergamotscale/ids.h"
#include "bergamotscale/result.h"
#include "bergamotscale/units.h"

namespace bergamotscale::config {

// Proposes a document edited from a base revision.
struct PublicationRecord {
  PublicationId id_;
  Revision base_;
  // Canonical JSON of the document, or null if there is a delta.
  nlohmann::json document_;
  // Delta against the base; see delta.h.
  nlohmann::json delta_;
  std::string author_;
  std::string comment_;
  // Wall-clock time of the appending process; used only for display and to
  // compute the age of snapshots.
  Millis time_;
};

// The document in force after all records before an offset.
struct SnapshotRecord {
  Revision revision_;
  // Records before this offset are included, later ones are not.
  LogOffset as_of_;
  PublicationId id_;
  nlohmann::json document_;
  std::string author_;
  std::string comment_;
  Millis time_;
};

using ConfigRecord = std::variant<PublicationRecord, SnapshotRecord>;

// @return the payload for the log. Thread safety: safe.
std::string EncodeRecord(const ConfigRecord& record);

// @return the record in a payload, or kProtocolError. Thread safety: safe.
Result<ConfigRecord> DecodeRecord(const std::string& payload);

}  // namespace bergamotscale::config

#endif  // BERGAMOTSCALE_SRC_CONFIG_CONFIG_RECORD_H_
