// Publishes configuration documents and reports the outcome.
#ifndef BERGAMOTSCALE_SRC_CONFIG_CONFIG_PUBLISHER_H_
#define BERGAMOTSCALE_SRC_CONFIG_CONFIG_PUBLISHER_H_

#include <functional>
#include <memory>
#include <string>

#include "bergamotscale/clock.h"
#include "bergamotscale/config_document.h"
#include "bergamotscale/ids.h"
#include "src/config/config_follower.h"
#include "src/log/log_client.h"

namespace bergamotscale::config {

// A document edited from a base revision.
struct PublishRequest {
  ConfigDocument document_;
  Revision base_;
  std::string author_;
  std::string comment_;
};

enum class PublishState {
  // The record was read back from the log and created the revision.
  kAccepted,
  // Another publication with this base was accepted; this one is not in force
  // and never will be.
  kConflict,
  // The outcome could not be read from the log yet; look up the id later.
  kPending,
  // Nothing was appended, and nothing will be.
  kNotPublished,
};

// @return "accepted", "conflict", "pending" or "not_published".
const char* PublishStateName(PublishState state);

struct PublishResult {
  PublishState state_ = PublishState::kPending;
  PublicationId id_;
  // If accepted, the new revision; on a conflict, the revision that was
  // accepted instead.
  Revision revision_;
  // On a conflict, the configuration in force; else null.
  std::shared_ptr<const ConfigSnapshot> in_force_;
  // Why the document was not published.
  std::string detail_;
};

struct PublisherOptions {
  // After this time a publication without an outcome is reported as pending or
  // not published.
  Millis deadline_ = Millis(8000);
  // How long to read the log for the record before the append is retried.
  Millis settle_time_ = Millis(1500);
  // Pause before the retry of a rejected append.
  Millis retry_delay_ = Millis(300);
  // Pause between checks of the follower.
  Millis poll_interval_ = Millis(10);
  Clock steady_ = Clock::Steady();
  Clock wall_ = Clock::Wall();
};

// Appends documents to the log, and reads the log until the outcome of each is
// known.
// Thread safety: safe.
class ConfigPublisher {
 public:
  using ResultHook = std::function<void(const PublishResult&)>;

  // @param client, follower must outlive the publisher. Precondition: the
  // follower is started and gets no states from peers through ApplyPeerOffer(),
  // as it must read every record.
  ConfigPublisher(log::LogClient& client,
                  ConfigFollower& follower,
                  PublisherOptions options = {});
  // Drops the hooks of publications without an outcome.
  ~ConfigPublisher();
  ConfigPublisher(const ConfigPublisher&) = delete;
  ConfigPublisher& operator=(const ConfigPublisher&) = delete;

  // Publishes under a new id. The hook is called once, on a thread of the HTTP
  // library or before this returns, and must not block.
  // @return the id.
  PublicationId Publish(const PublishRequest& request, ResultHook hook);

  // Like Publish(), but blocks until the result. Don't call on a thread of the
  // HTTP library.
  PublishResult PublishAndWait(const PublishRequest& request);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace bergamotscale::config

#endif  // BERGAMOTSCALE_SRC_CONFIG_CONFIG_PUBLISHER_H_
