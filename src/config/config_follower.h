// Keeps a process's configuration up to date.
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

// A configuration in force. Revision, offset and text are sent to peers
// unchanged, which pass them to ApplyPeerOffer().
struct ConfigSnapshot {
  Revision revision_;
  // Log records before this offset are included.
  LogOffset offset_;
  ConfigDocument document_;
  // Canonical JSON of the document.
  std::string text_;
  PublicationId id_;
  std::string author_;
  std::string comment_;
};

struct ConfigFollowerOptions {
  log::FollowerOptions read_options_;
  // A snapshot is appended once the newest one is this old. Half of the log
  // service's retention is a good value.
  Millis max_snapshot_age_ = Millis(600000);
  // A snapshot is also appended once this many records follow the newest one.
  int64_t max_records_after_snapshot_ = 500;
  // Seed of the jitter that keeps processes from appending snapshots at the
  // same time.
  uint64_t seed_ = 0;
  Clock steady_ = Clock::Steady();
  Clock wall_ = Clock::Wall();
};

// Follows the configuration stream and reports each revision that comes into
// force. While the log can't be reached, the last revision stays in force and
// newer ones come from peers through ApplyPeerOffer(). After the start, nothing
// is in force until the end of the stream was read, or until a read failed and
// a peer's state was received. Thread safety: safe.
class ConfigFollower {
 public:
  // Called for each revision that comes into force, one call at a time and with
  // increasing revisions, on threads of the HTTP library or in
  // ApplyPeerOffer(). Must not block.
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
  // No hook runs after this returns, except in ApplyPeerOffer(). Idempotent.
  void Stop();

  // Applies the configuration that a peer has in force. An older or malformed
  // one is ignored. Before the end of the stream was read for the first time,
  // it comes into force only if a read fails.
  void ApplyPeerOffer(Revision revision,
                      LogOffset offset,
                      const std::string& text);

  // @return the configuration in force, or null before the first revision. Its
  // offset advances with every record, its revision with each accepted
  // publication.
  std::shared_ptr<const ConfigSnapshot> Current() const;

  // @return the revision of the stream, initially zero. It is above that of
  // Current() only if the newest document is not valid for this binary.
  Revision revision() const;
  // @return true once the end of the stream was reached, unless lost records
  // leave the revision uncertain.
  bool caught_up() const;
  // @return the upper bound of the age of this view of the stream.
  Millis Staleness() const;

  // @return the outcome of a publication, if its record has been read.
  std::optional<PublicationOutcome> FindOutcome(const PublicationId& id) const;
  // @return the outcomes of the newest publications, oldest first.
  std::vector<PublicationOutcome> History() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace bergamotscale::config

#endif  // BERGAMOTSCALE_SRC_CONFIG_CONFIG_FOLLOWER_H_
