#include "src/duties/duty_state.h"

#include <algorithm>
#include <exception>
#include <stdexcept>
#include <tuple>
#include <utility>

#include <msgpack.hpp>

#include "src/duties/usage_codec.h"
#include "src/wire/unpack_limit.h"

namespace bergamotscale::duties {
namespace {

using CountRow = std::tuple<std::string, int64_t>;
using DecidedRow = std::tuple<int64_t, bool, std::vector<CountRow>>;
using EncodedState = std::tuple<int64_t,  // era
                                int64_t,  // first window
                                std::vector<DecidedRow>,
                                std::string>;  // undecided counts

void Require(bool condition, const char* what) {
  if (!condition) {
    throw std::out_of_range(what);
  }
}

std::string Pack(const EncodedState& encoded) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, encoded);
  return {buffer.data(), buffer.size()};
}

DecidedReport ReportOf(const DecidedRow& row) {
  const auto& [window, confirmed, counts] = row;
  Require(window >= 0 && window <= kMaxWindow, "impossible window");
  DecidedReport decided;
  decided.report_.window_ = window;
  decided.confirmed_ = confirmed;
  for (const auto& [workspace, count] : counts) {
    Require(count >= 0, "impossible count");
    decided.report_.counts_.emplace(workspace, count);
  }
  return decided;
}

bool IsDecided(const DutyState& state, WindowId window) {
  return window < state.first_window_ ||
         std::any_of(state.decided_.begin(), state.decided_.end(),
                     [window](const DecidedReport& decided) {
                       return decided.report_.window_ == window;
                     });
}

bool MayDecide(WindowId window,
               const UsageRules& rules,
               const UsageLedger& ledger,
               const std::vector<uint64_t>& live_members,
               Millis true_time) {
  const Millis delay =
      std::max(UsageLedger::kCloseDelay, rules.late_ - kSendReserve);
  return true_time >= EndOf(window, rules.window_length_) + delay ||
         ledger.HaveAllClosed(window, live_members, true_time);
}

void GiveUp(DecidedReport* decided) {
  decided->confirmed_ = true;
  decided->report_.counts_.clear();
}

// Keeps the state within its limits.
void Trim(DutyState* state) {
  std::vector<DecidedReport>& decided = state->decided_;
  std::sort(decided.begin(), decided.end(),
            [](const DecidedReport& a, const DecidedReport& b) {
              return a.report_.window_ < b.report_.window_;
            });
  if (decided.size() > DutyState::kMaxDecided) {
    const auto end = decided.end() - std::ptrdiff_t{DutyState::kMaxDecided};
    state->first_window_ = std::prev(end)->report_.window_ + 1;
    decided.erase(decided.begin(), end);
  }
  size_t unconfirmed = 0;
  size_t counts = 0;
  for (auto each = decided.rbegin(); each != decided.rend(); ++each) {
    unconfirmed += each->confirmed_ ? 0 : 1;
    counts += each->report_.counts_.size();
    if (unconfirmed > DutyState::kMaxUnconfirmed ||
        counts > DutyState::kMaxReportCounts) {
      GiveUp(&*each);
    }
  }
}

}  // namespace

std::string EncodeState(const DutyState& state) {
  EncodedState encoded;
  std::get<0>(encoded) = state.era_.value();
  std::get<1>(encoded) = state.first_window_;
  for (const DecidedReport& decided : state.decided_) {
    std::vector<CountRow> counts;
    for (const auto& [workspace, count] : decided.report_.counts_) {
      counts.emplace_back(workspace.value(), count);
    }
    std::get<2>(encoded).emplace_back(decided.report_.window_,
                                      decided.confirmed_, std::move(counts));
  }
  std::get<3>(encoded) = EncodeUsage(state.undecided_);
  std::string bytes = Pack(encoded);
  if (bytes.size() > DutyState::kMaxBytes) {
    std::get<3>(encoded) = EncodeUsage({});
    bytes = Pack(encoded);
  }
  return bytes;
}

Result<DutyState> DecodeState(const std::string& bytes) {
  if (bytes.size() > DutyState::kMaxBytes) {
    return Error(ErrorCode::kProtocolError, "state of the duties is too large");
  }
  try {
    const msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr,
                        wire::MakeUnpackLimit(bytes));
    // Missing fields would read as zero, and windows be decided twice.
    Require(
        handle.get().type == msgpack::type::ARRAY &&
            handle.get().via.array.size >= std::tuple_size<EncodedState>::value,
        "fields are missing");
    const auto [era, first_window, rows, undecided] =
        handle.get().as<EncodedState>();
    Require(first_window >= 0 && first_window <= kMaxWindow,
            "impossible window");
    Require(rows.size() <= DutyState::kMaxDecided, "too many reports");
    DutyState state;
    state.era_ = LogEra(era);
    state.first_window_ = first_window;
    for (const DecidedRow& row : rows) {
      state.decided_.push_back(ReportOf(row));
    }
    auto usage = DecodeUsage(undecided);
    if (!usage.ok()) {
      return usage.error();
    }
    state.undecided_ = std::move(usage).value();
    return state;
  } catch (const std::exception& error) {
    return Error(ErrorCode::kProtocolError, error.what());
  }
}

LoadedState LoadState(const std::optional<std::string>& usage,
                      LogEra era,
                      const UsageRules& rules,
                      const UsageLedger& ledger,
                      Millis true_time) {
  const WindowId current = WindowAt(true_time, rules.window_length_);
  const WindowId undecided =
      WindowAt(true_time + kRestoreMargin, rules.window_length_);
  LoadedState loaded;
  loaded.state_.era_ = era;
  loaded.state_.first_window_ = undecided;
  if (!usage.has_value()) {
    // Eras after the first follow a restoration, which may have lost it.
    if (era == LogEra(0)) {
      loaded.state_.first_window_ =
          std::min(current, ledger.FirstWindow().value_or(current));
    }
    return loaded;
  }
  Result<DutyState> decoded = DecodeState(*usage);
  if (!decoded.ok()) {
    loaded.error_ = decoded.error();
    return loaded;
  }
  loaded.state_ = std::move(decoded).value();
  if (loaded.state_.era_ != era) {
    loaded.state_.era_ = era;
    loaded.state_.first_window_ =
        std::max(loaded.state_.first_window_, undecided);
  }
  return loaded;
}

DutyState Advance(const DutyState& stored,
                  const UsageRules& rules,
                  const UsageLedger& ledger,
                  const std::vector<uint64_t>& live_members,
                  Millis true_time) {
  DutyState next = stored;
  const WindowId oldest =
      WindowAt(true_time - UsageLedger::kKeepTime, rules.window_length_);
  const WindowId current = WindowAt(true_time, rules.window_length_);
  for (WindowId window = std::max(stored.first_window_, oldest);
       window < current; ++window) {
    if (!IsDecided(stored, window) &&
        MayDecide(window, rules, ledger, live_members, true_time)) {
      next.decided_.push_back({{window, ledger.Sum(window)}, false});
    }
  }
  Trim(&next);
  next.undecided_ = ledger.Select(
      [&next](WindowId window) { return !IsDecided(next, window); });
  return next;
}

bool HasNewDecision(const DutyState& stored, const DutyState& next) {
  return stored.decided_ != next.decided_;
}

std::vector<UsageReport> UnconfirmedReports(const DutyState& stored) {
  std::vector<UsageReport> reports;
  for (const DecidedReport& decided : stored.decided_) {
    if (!decided.confirmed_) {
      reports.push_back(decided.report_);
    }
  }
  return reports;
}

void Confirm(WindowId window, DutyState* state) {
  for (DecidedReport& decided : state->decided_) {
    if (decided.report_.window_ == window) {
      GiveUp(&decided);
    }
  }
}

bool operator==(const WindowCounts& a, const WindowCounts& b) {
  return std::tie(a.window_, a.closed_, a.counts_) ==
         std::tie(b.window_, b.closed_, b.counts_);
}

bool operator==(const MemberUsage& a, const MemberUsage& b) {
  return std::tie(a.member_, a.incarnation_, a.windows_) ==
         std::tie(b.member_, b.incarnation_, b.windows_);
}

bool operator==(const UsageReport& a, const UsageReport& b) {
  return std::tie(a.window_, a.counts_) == std::tie(b.window_, b.counts_);
}

bool operator==(const DecidedReport& a, const DecidedReport& b) {
  return std::tie(a.report_, a.confirmed_) == std::tie(b.report_, b.confirmed_);
}

bool operator==(const DutyState& a, const DutyState& b) {
  return std::tie(a.era_, a.first_window_, a.decided_, a.undecided_) ==
         std::tie(b.era_, b.first_window_, b.decided_, b.undecided_);
}

}  // namespace bergamotscale::duties
