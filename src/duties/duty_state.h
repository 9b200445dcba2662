// The state of the duties that all holders share through the store, and the
// decision which usage reports are made.
#ifndef BERGAMOTSCALE_SRC_DUTIES_DUTY_STATE_H_
#define BERGAMOTSCALE_SRC_DUTIES_DUTY_STATE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bergamotscale/ids.h"
#include "bergamotscale/result.h"
#include "bergamotscale/units.h"
#include "src/duties/usage_ledger.h"

namespace bergamotscale::duties {

struct UsageReport {
  WindowId window_ = 0;
  WorkspaceCounts counts_;
};

// A report that was decided. Its counts never change, because two different
// reports for one window must never be sent.
struct DecidedReport {
  UsageReport report_;  // without counts once confirmed
  // Whether the API has accepted it, or it was given up.
  bool confirmed_ = false;
};

// The document stored under `usage`.
struct DutyState {
  // Older decisions are forgotten, and windows up to them not decided again.
  static constexpr size_t kMaxDecided = 96;
  // Unconfirmed reports beyond this number are given up, oldest first. With
  // windows of 5 s, they outlast an outage of the API of 4 minutes.
  static constexpr size_t kMaxUnconfirmed = 48;
  // Number of counts in unconfirmed reports; older reports are given up.
  static constexpr size_t kMaxReportCounts = 6'000;
  // The counts above, with the longest names, fit.
  static constexpr size_t kMaxBytes = size_t{1} << 20;

  LogEra era_;
  // No earlier window may be decided any more.
  WindowId first_window_ = 0;
  std::vector<DecidedReport> decided_;  // ascending by window
  // Counts of the windows not decided yet, by gateway.
  std::vector<MemberUsage> undecided_;
};

// When a window is decided.
struct UsageRules {
  Millis window_length_ = Millis(5'000);
  // A report is due this long after the end of its window.
  Millis late_ = Millis(10'000);
};

// A window is decided this long before its report is due even if not all
// gateways have closed it; the rest is for writing and sending.
inline constexpr Millis kSendReserve = Millis(4'000);

// A gateway that has just started lacks the counts of the others, which they
// send once a second. It must not decide windows, and so not hold the lease,
// for this time after its start.
inline constexpr Millis kMinHolderAge = Millis(4'000);
// A gateway that has run for this long also knows what gateways counted that
// are gone. Younger ones should hold the lease only if no older one does: the
// counts of the dead that no holder has stored are known to the older ones
// only.
inline constexpr Millis kFullLedgerAge = Millis(20'000);

// After the store was restored, windows that end within this time are not
// decided either, as the estimates of the true time differ.
inline constexpr Millis kRestoreMargin = Millis(1'000);

// @return the document as msgpack bytes, without the undecided counts if it
// would be larger than kMaxBytes. Thread safety: safe.
std::string EncodeState(const DutyState& state);
// @return the document, or kProtocolError if it is malformed or too large.
// Thread safety: safe.
Result<DutyState> DecodeState(const std::string& bytes);

// A state read from the store.
struct LoadedState {
  DutyState state_;
  std::optional<Error> error_;  // if the document was malformed; for the log
};

// Interprets what the store holds under `usage`. If the document is malformed,
// or was written in another era of the store, decisions may be missing from it:
// then all windows that have ended count as decided and are not reported. The
// counts of a document of another era are kept.
// Merge its `undecided_` into the ledger, then call Advance().
// Thread safety: safe.
// @param usage nullopt if there is none.
LoadedState LoadState(const std::optional<std::string>& usage,
                      LogEra era,
                      const UsageRules& rules,
                      const UsageLedger& ledger,
                      Millis true_time);

// @return the state to be written next: windows that may be decided now are
// decided, and the counts of the others are updated.
// @param stored the state that the store holds for certain.
// @param live_members the gateways that are running, including this one.
// Thread safety: safe.
DutyState Advance(const DutyState& stored,
                  const UsageRules& rules,
                  const UsageLedger& ledger,
                  const std::vector<uint64_t>& live_members,
                  Millis true_time);

// @return whether the two differ in a decision or confirmation, so that the
// change should be written without delay.
bool HasNewDecision(const DutyState& stored, const DutyState& next);

// @return the decided reports that the API has not confirmed, oldest first.
// Only reports of a state that the store holds for certain may be sent.
std::vector<UsageReport> UnconfirmedReports(const DutyState& stored);

// Records that the API has accepted the report.
void Confirm(WindowId window, DutyState* state);

bool operator==(const WindowCounts& a, const WindowCounts& b);
bool operator==(const MemberUsage& a, const MemberUsage& b);
bool operator==(const UsageReport& a, const UsageReport& b);
bool operator==(const DecidedReport& a, const DecidedReport& b);
bool operator==(const DutyState& a, const DutyState& b);
inline bool operator!=(const DutyState& a, const DutyState& b) {
  return !(a == b);
}

}  // namespace bergamotscale::duties

#endif  // BERGAMOTSCALE_SRC_DUTIES_DUTY_STATE_H_
