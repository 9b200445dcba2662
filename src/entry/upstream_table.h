// The sidecars that an entry knows: a link to each, and their last reports.
#ifndef BERGAMOTSCALE_SRC_ENTRY_UPSTREAM_TABLE_H_
#define BERGAMOTSCALE_SRC_ENTRY_UPSTREAM_TABLE_H_

#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "bergamotscale/clock.h"
#include "bergamotscale/result.h"
#include "src/config/offer_pacer.h"
#include "src/entry/settings.h"
#include "src/link/link.h"
#include "src/placement/placement_plan.h"
#include "src/policy/types.h"
#include "src/timeline/timeline.h"
#include "src/wire/messages.h"

namespace bergamotscale::entry {

// Soft state that goes to and comes from sidecars on status streams.
struct GossipHooks {
  // @param offers says whether this peer is to be sent the document.
  // @return what to tell the peer.
  std::function<wire::Gossip(config::OfferPacer& offers)> make_;
  std::function<void(const wire::Gossip& gossip)> take_;
};

// Keeps a link and a status stream to each member. A member that leaves the
// list gets no new work; its link stays until it is lost, so that its running
// answers end whole.
// Thread safety: use on the io_context's thread only.
class UpstreamTable {
 public:
  UpstreamTable(boost::asio::io_context& io,
                const EntrySettings& settings,
                Clock steady,
                timeline::Timeline* timeline,
                GossipHooks gossip);
  ~UpstreamTable();
  UpstreamTable(const UpstreamTable&) = delete;
  UpstreamTable& operator=(const UpstreamTable&) = delete;

  // Replaces the members; links to new ones are started.
  void SetMembers(const std::vector<SidecarMember>& members);

  // @return what dispatch weighs, in the order of ids. Valid until the next
  // call of another method.
  const std::vector<policy::UpstreamView>& Views();

  // @return what placement weighs: models of the last reports.
  std::vector<placement::EngineView> EngineViews() const;

  // Opens a work stream to a member of Views(), and counts the placement.
  // @return kUpstreamUnreachable if its link is down.
  Result<link::Stream> OpenWork(const InstanceId& sidecar,
                                link::StreamHooks hooks);

  // Sends fresh gossip to all peers.
  void SpreadGossip();

  // Closes all links.
  void Close();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::entry

#endif  // BERGAMOTSCALE_SRC_ENTRY_UPSTREAM_TABLE_H_
