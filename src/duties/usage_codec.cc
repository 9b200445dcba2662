#include "src/duties/usage_codec.h"

#include <cstdint>
#include <exception>
#include <map>
#include <stdexcept>
#include <tuple>
#include <utility>

#include <msgpack.hpp>

#include "src/wire/unpack_limit.h"

namespace bergamotscale::duties {
namespace {

// Pairs of an index into the table of names and a count.
using CountList = std::vector<int64_t>;
using WindowRow = std::tuple<int64_t, bool, CountList>;
using MemberRow = std::tuple<uint64_t, int64_t, std::vector<WindowRow>>;
using EncodedUsage = std::tuple<std::vector<std::string>,  // names
                                std::vector<MemberRow>>;

void Require(bool condition, const char* what) {
  if (!condition) {
    throw std::out_of_range(what);
  }
}

// Gives each name an index.
class NameTable {
 public:
  int64_t IndexOf(const WorkspaceId& workspace) {
    const auto [entry, inserted] =
        indices_.emplace(workspace, static_cast<int64_t>(indices_.size()));
    if (inserted) {
      names_.push_back(workspace.value());
    }
    return entry->second;
  }

  std::vector<std::string> TakeNames() { return std::move(names_); }

 private:
  std::map<WorkspaceId, int64_t> indices_;
  std::vector<std::string> names_;
};

WorkspaceCounts CountsOf(const CountList& list,
                         const std::vector<std::string>& names,
                         size_t* entries) {
  Require(list.size() % 2 == 0, "count without a name");
  Require(list.size() / 2 <= kMaxWorkspacesPerWindow, "too many workspaces");
  *entries += list.size() / 2;
  Require(*entries <= UsageLedger::kMaxCounts, "too many counts");
  WorkspaceCounts counts;
  for (size_t i = 0; i < list.size(); i += 2) {
    Require(list[i] >= 0 && static_cast<uint64_t>(list[i]) < names.size(),
            "unknown name");
    Require(list[i + 1] >= 0 && list[i + 1] <= kMaxCount, "impossible count");
    counts.emplace(names[static_cast<size_t>(list[i])], list[i + 1]);
  }
  return counts;
}

MemberUsage MemberOf(const MemberRow& row,
                     const std::vector<std::string>& names,
                     size_t* entries) {
  const auto& [member, incarnation, windows] = row;
  Require(windows.size() <= kMaxWindows, "too many windows");
  MemberUsage usage{member, incarnation, {}};
  for (const auto& [window, closed, list] : windows) {
    Require(window >= 0 && window <= kMaxWindow, "impossible window");
    usage.windows_.push_back({window, closed, CountsOf(list, names, entries)});
  }
  return usage;
}

}  // namespace

std::string EncodeUsage(const std::vector<MemberUsage>& members) {
  EncodedUsage encoded;
  NameTable names;
  for (const MemberUsage& usage : members) {
    std::vector<WindowRow> windows;
    for (const WindowCounts& window : usage.windows_) {
      CountList list;
      for (const auto& [workspace, count] : window.counts_) {
        list.push_back(names.IndexOf(workspace));
        list.push_back(count);
      }
      windows.emplace_back(window.window_, window.closed_, std::move(list));
    }
    std::get<1>(encoded).emplace_back(usage.member_, usage.incarnation_,
                                      std::move(windows));
  }
  std::get<0>(encoded) = names.TakeNames();
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, encoded);
  return {buffer.data(), buffer.size()};
}

Result<std::vector<MemberUsage>> DecodeUsage(std::string_view bytes) {
  try {
    const auto [names, rows] =
        msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr,
                        wire::MakeUnpackLimit(bytes))
            .get()
            .as<EncodedUsage>();
    for (const std::string& name : names) {
      Require(name.size() <= kMaxWorkspaceBytes, "name too long");
    }
    Require(rows.size() <= UsageLedger::kMaxSources, "too many members");
    std::vector<MemberUsage> members;
    size_t entries = 0;
    for (const MemberRow& row : rows) {
      members.push_back(MemberOf(row, names, &entries));
    }
    return members;
  } catch (const std::exception& error) {
    return Error(ErrorCode::kProtocolError, error.what());
  }
}

}  // namespace bergamotscale::duties
