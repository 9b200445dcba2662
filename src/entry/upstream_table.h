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

// Keeps a link and a status stream to each member of its subset (PeerSubset).
// A member that leaves the list or the subset gets no new work. Its link stays
// until it is lost, or, if it is still listed, until its last answer has ended.
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

  // Replaces the members; links to new ones of the subset are started.
  void SetMembers(const Members& members);

  // Links to more members of a group for a time, if there are any.
  void NeedMore(const GroupId& group);

  // Links to all members, for two intervals of placement's plans and 5 s from
  // now on.
  // @return whether links were added, whose status is not yet known.
  bool LinkToAll();

  // Widens the subset for groups without a free slot, and narrows it again.
  // Call about once a second.
  void AdaptSubset();

  // @return members that are linked to or were and still have work.
  size_t links() const;

  // @return what dispatch weighs, in the order of ids. Valid until the next
  // call of another method.
  const std::vector<policy::UpstreamView>& Views();

  // @return what placement weighs: models of the last reports. Members that
  // are not linked to are not usable.
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
