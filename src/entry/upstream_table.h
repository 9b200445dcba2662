// An entry's links to sidecars, and the sidecars' latest reports.
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

// Functions that build and apply the gossip exchanged with sidecars on status
// streams.
struct GossipHooks {
  // @param offers decides whether the document is sent to this peer.
  // @return the message for the peer.
  std::function<wire::Gossip(config::OfferPacer& offers)> make_gossip_;
  std::function<void(const wire::Gossip& gossip)> apply_gossip_;
};

// Keeps a link and a status stream to each sidecar in the subset that
// PeerSubset chooses. A sidecar that leaves the list or the subset gets no new
// work. Its link stays open until it fails or, if the sidecar is still listed,
// until its last work stream has ended. Thread safety: use on the io_context's
// thread only.
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

  // Replaces the members and opens links to those that joined the subset.
  void SetMembers(const Members& members);

  // Temporarily links to more members of a group, if there are any.
  void WidenGroup(const GroupId& group);

  // Links to all members for two placement plan intervals plus 5 s.
  // @return whether links were added; their status is not yet known.
  bool LinkToAll();

  // Widens the subset of groups without a free slot, and narrows those widened
  // earlier. Call about once a second.
  void AdaptSubset();

  // @return the number of links, including those kept only for running work.
  size_t link_count() const;

  // @return the state of each linked sidecar for dispatch, sorted by id. Valid
  // until the next call of another method.
  const std::vector<policy::UpstreamView>& Views();

  // @return the state of each member for placement, from the latest reports.
  // Members without a link are shown as not accepting.
  std::vector<placement::EngineView> EngineViews() const;

  // Opens a work stream to a sidecar in Views() and counts it as load until the
  // next report. @return kUpstreamUnreachable if it has no usable link.
  Result<link::Stream> OpenWork(const InstanceId& sidecar,
                                link::StreamHooks hooks);

  // Sends current gossip to all peers.
  void SendGossip();

  // Closes all links.
  void Close();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::entry

#endif  // BERGAMOTSCALE_SRC_ENTRY_UPSTREAM_TABLE_H_
