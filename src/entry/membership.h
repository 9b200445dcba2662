// Polls the platform's list of instances.
#ifndef BERGAMOTSCALE_SRC_ENTRY_MEMBERSHIP_H_
#define BERGAMOTSCALE_SRC_ENTRY_MEMBERSHIP_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "bergamotscale/result.h"
#include "src/entry/settings.h"

namespace bergamotscale::entry {

// A sidecar in the instance list.
struct ListedSidecar {
  SidecarMember member_;
  bool live_ = true;  // false while it is leaving
};

// Parses the sidecars in the body of GET /instances.
// @return kMalformedBody if the body is not an instance list. Thread safety:
// safe.
Result<std::vector<ListedSidecar>> ParseListedSidecars(const std::string& body);

// Parses the live entries in the same body, sorted by id. Entries without a
// zone are skipped. @return kMalformedBody if the body is not an instance list.
// Thread safety: safe.
Result<std::vector<EntryMember>> ParseListedEntries(const std::string& body);

// @return the sidecars to use, sorted by id: those listed as live and those
// from the settings that are not listed as leaving. Thread safety: safe.
std::vector<SidecarMember> MergeMembers(
    const std::vector<SidecarMember>& configured,
    const std::vector<ListedSidecar>& listed);

// Polls the list and reports the members. The list is delayed, so the status
// that sidecars report themselves takes precedence. If the list can't be read,
// the last one remains in use.
// Thread safety: use on the io_context's thread, on which the hook is called.
class Membership {
 public:
  using ChangeHook = std::function<void(const Members&)>;

  // @param url of the list; if empty, only the configured sidecars are used.
  // @param configured sidecars from the settings, used unless the list shows
  // them as leaving.
  Membership(boost::asio::io_context& io,
             std::string url,
             std::vector<SidecarMember> configured,
             ChangeHook on_change);
  ~Membership();
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  // Calls the hook with the configured members and starts polling.
  void Start();
  void Stop();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace bergamotscale::entry

#endif  // BERGAMOTSCALE_SRC_ENTRY_MEMBERSHIP_H_
