// Follows the platform's list of instances.
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

// One sidecar as the list shows it.
struct ListedSidecar {
  SidecarMember member_;
  bool live_ = true;  // false once it is leaving
};

// Reads the sidecars in the body of GET /instances.
// @return kMalformedBody if it is no such list. Thread safety: safe.
Result<std::vector<ListedSidecar>> ParseInstanceList(const std::string& body);

// Reads the live entries in the same body, in the order of ids; an entry
// without a zone is left out.
// @return kMalformedBody if it is no such list. Thread safety: safe.
Result<std::vector<EntryMember>> ParseListedEntries(const std::string& body);

// @return the members to use: those listed as live, and the fixed ones that
// the list doesn't show as leaving. Thread safety: safe.
std::vector<SidecarMember> JoinMembers(
    const std::vector<SidecarMember>& fixed,
    const std::vector<ListedSidecar>& listed);

// Polls the list. It lags, and it may be away: the last list then stands, and
// what the sidecars themselves say goes first.
// Thread safety: use on the io_context's thread, on which the hook is called.
class Membership {
 public:
  using ChangeHook = std::function<void(const Members&)>;

  // @param url of the list; if empty, the fixed members are all there are.
  // @param fixed members of the settings, used unless the list shows
  // them as leaving.
  Membership(boost::asio::io_context& io,
             std::string url,
             std::vector<SidecarMember> fixed,
             ChangeHook on_change);
  ~Membership();
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  // Calls the hook with the fixed members and starts polling.
  void Start();
  void Stop();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace bergamotscale::entry

#endif  // BERGAMOTSCALE_SRC_ENTRY_MEMBERSHIP_H_
