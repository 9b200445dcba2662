// A lease that processes compete for through a log, and its records.
#ifndef BERGAMOTSCALE_SRC_LEASE_RECORDS_H_
#define BERGAMOTSCALE_SRC_LEASE_RECORDS_H_

#include <optional>
#include <string>
#include <variant>

#include "bergamotscale/ids.h"
#include "bergamotscale/result.h"
#include "bergamotscale/units.h"

namespace bergamotscale::lease {

// Unique for each lease request.
using LeaseId = StringId<struct LeaseIdTag>;
// Fencing number. Increases with each grant; the reader of the log derives it
// from the offset of the record that granted the lease.
using Fence = NumberId<struct FenceTag>;

struct Lease {
  Fence fence_;
  LeaseId lease_;
  InstanceId holder_;
  // In the time of whoever reads the log. Rises with each renewal.
  Millis expires_;
};

// What a reader of the log knows about the lease.
struct LeaseView {
  // The lease in force, which may have expired.
  std::optional<Lease> lease_;
  // Whether a request would be granted now.
  bool is_free_ = false;
};

// Requests the lease. If granted, its offset determines the fencing number.
struct LeaseRequest {
  LeaseId lease_;
  InstanceId holder_;
  Millis ttl_;
  Millis wall_;  // of the writer
};

// Extends a lease. Contains the whole lease, for readers that start after the
// request was deleted from the log.
struct LeaseRenewal {
  Fence fence_;
  LeaseId lease_;
  InstanceId holder_;
  Millis ttl_;
  Millis wall_;
};

struct LeaseRelease {
  Fence fence_;
  Millis wall_;
};

using LeaseRecord = std::variant<LeaseRequest, LeaseRenewal, LeaseRelease>;

// @return the payload for the log. Thread safety: safe.
std::string EncodeRecord(const LeaseRecord& record);
// @return the record, or kProtocolError. Thread safety: safe.
Result<LeaseRecord> DecodeRecord(const std::string& payload);

}  // namespace bergamotscale::lease

#endif  // BERGAMOTSCALE_SRC_LEASE_RECORDS_H_
