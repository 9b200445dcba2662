#include "src/duties/usage_ledger.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace bergamotscale::duties {

WindowId WindowAt(Millis true_time, Millis length) {
  const int64_t quotient = true_time.count() / length.count();
  // Division rounds towards zero.
  return true_time.count() % length.count() < 0 ? quotient - 1 : quotient;
}

Millis EndOf(WindowId window, Millis length) {
  return length * (window + 1);
}

UsageLedger::UsageLedger(uint64_t member,
                         int64_t incarnation,
                         Millis window_length)
    : own_(member, incarnation), window_length_(window_length) {}

bool UsageLedger::Record(const WorkspaceId& workspace, Millis true_time) {
  if (true_time < Millis(0)) {
    return false;
  }
  WindowCounts* window = Find(own_, WindowAt(true_time, window_length_));
  if (window == nullptr) {
    return false;
  }
  const auto found = window->counts_.find(workspace);
  const int64_t count = found == window->counts_.end() ? 0 : found->second;
  return Raise(workspace, count + 1, window);
}

MemberUsage UsageLedger::Own(Millis true_time) const {
  MemberUsage usage{own_.first, own_.second, {}};
  const WindowId current = WindowAt(true_time, window_length_);
  // An ended window is sent as long as its end is at most kSendTime ago.
  const WindowId oldest = WindowAt(true_time - kSendTime, window_length_);
  const WindowId first = std::max(
      {WindowId{0}, oldest, current - static_cast<WindowId>(kMaxWindows) + 1});
  const auto own = sources_.find(own_);
  for (WindowId window = first; window <= current; ++window) {
    WindowCounts counts{window, IsOver(window, true_time), {}};
    if (own != sources_.end()) {
      const auto found = own->second.find(window);
      if (found != own->second.end()) {
        counts.counts_ = found->second.counts_;
      }
    }
    usage.windows_.push_back(std::move(counts));
  }
  return usage;
}

bool UsageLedger::Merge(const MemberUsage& usage, Millis true_time) {
  const Source source(usage.member_, usage.incarnation_);
  if (source == own_) {
    return true;
  }
  bool complete = true;
  for (const WindowCounts& told : usage.windows_) {
    if (!IsKept(told.window_, true_time)) {
      continue;
    }
    WindowCounts* window = Find(source, told.window_);
    if (window == nullptr) {
      complete = false;
      continue;
    }
    window->closed_ = window->closed_ || told.closed_;
    for (const auto& [workspace, count] : told.counts_) {
      complete = Raise(workspace, count, window) && complete;
    }
  }
  return complete;
}

WorkspaceCounts UsageLedger::Sum(WindowId window) const {
  WorkspaceCounts sum;
  for (const auto& [source, windows] : sources_) {
    const auto found = windows.find(window);
    if (found == windows.end()) {
      continue;
    }
    for (const auto& [workspace, count] : found->second.counts_) {
      sum[workspace] += count;
    }
  }
  return sum;
}

bool UsageLedger::HaveAllClosed(WindowId window,
                                const std::vector<uint64_t>& members,
                                Millis true_time) const {
  if (!IsOver(window, true_time)) {
    return false;
  }
  return std::all_of(
      members.begin(), members.end(), [this, window](uint64_t member) {
        if (member == own_.first) {
          return true;
        }
        const auto next =
            sources_.upper_bound({member, std::numeric_limits<int64_t>::max()});
        if (next == sources_.begin()) {
          return false;
        }
        const auto& [source, windows] = *std::prev(next);
        const auto found = windows.find(window);
        return source.first == member && found != windows.end() &&
               found->second.closed_;
      });
}

std::optional<WindowId> UsageLedger::FirstWindow() const {
  std::optional<WindowId> first;
  for (const auto& [source, windows] : sources_) {
    for (const auto& [window, counts] : windows) {
      if (!counts.counts_.empty()) {
        first = std::min(first.value_or(window), window);
        break;
      }
    }
  }
  return first;
}

void UsageLedger::Expire(Millis true_time) {
  for (auto source = sources_.begin(); source != sources_.end();) {
    Windows& windows = source->second;
    for (auto window = windows.begin(); window != windows.end();) {
      if (IsKept(window->first, true_time)) {
        ++window;
      } else {
        counts_ -= window->second.counts_.size();
        window = windows.erase(window);
      }
    }
    source = windows.empty() ? sources_.erase(source) : std::next(source);
  }
}

bool UsageLedger::IsOver(WindowId window, Millis true_time) const {
  return EndOf(window, window_length_) + kCloseDelay <= true_time;
}

bool UsageLedger::IsKept(WindowId window, Millis true_time) const {
  const Millis end = EndOf(window, window_length_);
  return true_time <= end + kKeepTime &&
         end - window_length_ <= true_time + kMaxAhead;
}

WindowCounts* UsageLedger::Find(const Source& source, WindowId window) {
  auto entry = sources_.find(source);
  if (entry == sources_.end()) {
    if (sources_.size() >= kMaxSources && source != own_) {
      return nullptr;
    }
    entry = sources_.emplace(source, Windows()).first;
  }
  const auto found = entry->second.find(window);
  if (found != entry->second.end()) {
    return &found->second;
  }
  if (entry->second.size() >= kMaxWindows) {
    return nullptr;
  }
  return &entry->second.emplace(window, WindowCounts{window, false, {}})
              .first->second;
}

bool UsageLedger::Raise(const WorkspaceId& workspace,
                        int64_t count,
                        WindowCounts* window) {
  const auto found = window->counts_.find(workspace);
  if (found != window->counts_.end()) {
    found->second = std::max(found->second, count);
    return true;
  }
  if (window->counts_.size() >= kMaxWorkspacesPerWindow ||
      counts_ >= kMaxCounts || workspace.value().size() > kMaxWorkspaceBytes) {
    return false;
  }
  window->counts_.emplace(workspace, count);
  ++counts_;
  return true;
}

}  // namespace bergamotscale::duties
