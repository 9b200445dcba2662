// How many requests of each workspace started to run in each report window.
#ifndef BERGAMOTSCALE_SRC_DUTIES_USAGE_LEDGER_H_
#define BERGAMOTSCALE_SRC_DUTIES_USAGE_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "bergamotscale/ids.h"
#include "bergamotscale/units.h"

namespace bergamotscale::duties {

// Window k lasts from k to k + 1 times the window length since the start of
// 1970, in true time.
using WindowId = int64_t;
using WorkspaceCounts = std::map<WorkspaceId, int64_t>;

struct WindowCounts {
  WindowId window_ = 0;
  // Whether the counts are final.
  bool closed_ = false;
  WorkspaceCounts counts_;
};

// The counts of one gateway since its start. Each entry replaces earlier ones
// of the same gateway, incarnation and window.
struct MemberUsage {
  uint64_t member_ = 0;
  int64_t incarnation_ = 0;  // rises with each start of the gateway
  std::vector<WindowCounts> windows_;
};

// Limits for one MemberUsage.
inline constexpr size_t kMaxWindows = 160;
inline constexpr size_t kMaxWorkspacesPerWindow = 512;
inline constexpr size_t kMaxWorkspaceBytes = 128;

// @return the window of that time. Precondition: length > 0.
// Thread safety: safe.
WindowId WindowAt(Millis true_time, Millis length);
// @return the end of the window, in true time. Thread safety: safe.
Millis EndOf(WindowId window, Millis length);

// Holds the counts of this gateway and the latest ones of every peer. The
// counts of gateways that are gone are kept. Thread safety: none.
class UsageLedger {
 public:
  // A gateway sends its counts for windows whose end is no older than this.
  static constexpr Millis kSendTime = Millis(15'000);
  // A window is closed this long after its end, as the estimate of the true
  // time may move back by the delay of a datagram.
  static constexpr Millis kCloseDelay = Millis(300);
  // Windows that ended longer ago are forgotten. While the store is down, no
  // window is decided; 24 windows of 5 s outlast short outages.
  static constexpr Millis kKeepTime = Millis(120'000);
  // Other gateways' estimates of the true time are this much ahead at most.
  static constexpr Millis kMaxAhead = Millis(15'000);
  // Number of gateways, counting each incarnation.
  static constexpr size_t kMaxSources = 512;
  // Number of counts in all. Each takes about 100 bytes.
  static constexpr size_t kMaxCounts = 65'536;

  // @param member, incarnation identify this gateway.
  // @param window_length must be positive.
  UsageLedger(uint64_t member, int64_t incarnation, Millis window_length);

  // Counts a request that starts to run.
  // @return false if it could not be counted because of a limit.
  bool Record(const WorkspaceId& workspace, Millis true_time);

  // @return the counts of this gateway, for its peers: each window of the last
  // kSendTime that has ended, also if nothing was counted, and the current one.
  MemberUsage Own(Millis true_time) const;

  // Takes the counts of a peer, or of any gateway from the store. Counts never
  // decrease, so datagrams may arrive in any order. Entries for this process
  // and windows that are too old or too far ahead are ignored.
  // @return false if something was ignored because of a limit.
  bool Merge(const MemberUsage& usage, Millis true_time);

  // @return the counts of all gateways for the window.
  WorkspaceCounts Sum(WindowId window) const;

  // @return the counts of all gateways, one entry for each incarnation,
  // without empty windows and windows for which the filter returns false.
  template <typename Filter>
  std::vector<MemberUsage> Select(Filter filter) const;

  // @return whether the window is over and all of these gateways have closed
  // it, in their latest incarnation. This gateway may be among them.
  bool HaveAllClosed(WindowId window,
                     const std::vector<uint64_t>& members,
                     Millis true_time) const;

  // @return the first window with a count, if there is any.
  std::optional<WindowId> FirstWindow() const;

  // Forgets windows older than kKeepTime. Call about once a second.
  void Expire(Millis true_time);

  Millis window_length() const { return window_length_; }

 private:
  // A gateway and its incarnation.
  using Source = std::pair<uint64_t, int64_t>;
  using Windows = std::map<WindowId, WindowCounts>;

  bool IsOver(WindowId window, Millis true_time) const;
  bool IsKept(WindowId window, Millis true_time) const;
  // @return the window's counts, or null if that would exceed a limit.
  WindowCounts* Find(const Source& source, WindowId window);
  // Raises the count to this one.
  // @return false if that would exceed a limit.
  bool Raise(const WorkspaceId& workspace, int64_t count, WindowCounts* window);

  Source own_;
  Millis window_length_;
  std::map<Source, Windows> sources_;
  size_t counts_ = 0;  // in all sources_
};

template <typename Filter>
std::vector<MemberUsage> UsageLedger::Select(Filter filter) const {
  std::vector<MemberUsage> selected;
  for (const auto& [source, windows] : sources_) {
    MemberUsage usage{source.first, source.second, {}};
    for (const auto& [window, counts] : windows) {
      if (!counts.counts_.empty() && filter(window)) {
        usage.windows_.push_back(counts);
      }
    }
    if (!usage.windows_.empty()) {
      selected.push_back(std::move(usage));
    }
  }
  return selected;
}

}  // namespace bergamotscale::duties

#endif  // BERGAMOTSCALE_SRC_DUTIES_USAGE_LEDGER_H_
