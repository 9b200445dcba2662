// Keeps the newest configuration in force in a process.
#ifndef BERGAMOTSCALE_SRC_CONFIG_CONFIG_FOLLOWER_H_
#define BERGAMOTSCALE_SRC_CONFIG_CONFIG_FOLLOWER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "bergamotscale/clock.h"
#include "bergamotscale/config_document.h"
#include "bergamotscale/ids.h"
#include "src/config/config_fold.h"
#include "src/log/log_client.h"
#include "src/log/stream_follower.h"

namespace bergamotscale::config {

// A configuration in force. Pass revision, offset and text to peers as they
// are; they hand them to Offer().
struct ConfigSnapshot {
  Revision revision_;
  // Log records before this one are taken in.
  LogOffset offset_;
  ConfigDocument document_;
  // Canonical JSON of the document.
  std::string text_;
  PublicationId id_;
  std::string author_;
  std::string comment_;
};

struct ConfigFollowerOptions {
  log::FollowerOptions reading_;
  // The document is appended again once the newest copy is this old; half of
  // what the log service keeps is a good value.
  Millis snapshot_age_ = Millis(600000);
  // And once so many records follow the newest copy.
  int64_t snapshot_records_ = 500;
  // Seeds the jitter that keeps processes from appending at the same time.
  uint64_t seed_ = 0;
  Clock steady_ = Clock::Steady();
  Clock wall_ = Clock::Wall();
};

// Follows the configuration stream. While the log can't be reached the process
// keeps what it has, and learns newer revisions from peers by Offer(). A fresh
// one has nothing in force until it has read to the end of the stream, or a
// read has failed and a peer has told its state.
// Thread safety: safe.
class ConfigFollower {
 public:
  // Called for each revision that comes into force, one call at a time, with
  // growing revisions, on threads of the HTTP library or in Offer(). It must
  // not block.
  using ChangeHook = std::function<void(const ConfigSnapshot&)>;

  // @param client must outlive the follower.
  ConfigFollower(log::LogClient& client,
                 ConfigFollowerOptions options,
                 ChangeHook on_change);
  // Stops.
  ~ConfigFollower();
  ConfigFollower(const ConfigFollower&) = delete;
  ConfigFollower& operator=(const ConfigFollower&) = delete;

  // Starts reading. Call once.
  void Start();
  // No hook runs after this returns, except in Offer(). Idempotent.
  void Stop();

  // Takes what a peer has in force; an older or broken one is ignored. Before
  // the first read has ended it comes into force only if that read fails.
  void Offer(Revision revision, LogOffset offset, const std::string& text);

  // @return what is in force, or null before the first revision. Its offset
  // grows with every record, its revision with each accepted publication.
  std::shared_ptr<const ConfigSnapshot> Current() const;

  // @return the revision of the stream, zero at first; above that of Current()
  // only if this binary can't read the newest document.
  Revision revision() const;
  // @return true once the end of the stream was reached and no lost record
  // leaves doubt about the revision.
  bool caught_up() const;
  // @return how old the knowledge of the stream is at most.
  Millis Staleness() const;

  // @return what became of a publication, if its record has been read.
  std::optional<PublicationOutcome> FindOutcome(const PublicationId& id) const;
  // @return the outcomes of the newest publications, oldest first.
  std::vector<PublicationOutcome> History() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace bergamotscale::config

#endif  // BERGAMOTSCALE_SRC_CONFIG_CONFIG_FOLLOWER_H_
