// Publishes configuration documents and says truly what became of them.
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
  // Our own record was read back as the one that made the revision.
  kAccepted,
  // Another publication took the base; ours is not in force and never will be.
  kConflict,
  // The log can't say yet; ask for the id later.
  kPending,
  // Nothing was appended and nothing will be.
  kNotPublished,
};

// @return "accepted", "conflict", "pending" or "not_published".
const char* PublishStateName(PublishState state);

struct PublishResult {
  PublishState state_ = PublishState::kPending;
  PublicationId id_;
  // The revision that it became; of a conflict, the revision that won.
  Revision revision_;
  // Of a conflict, what is in force; else null.
  std::shared_ptr<const ConfigSnapshot> in_force_;
  // Why it was not published.
  std::string detail_;
};

struct PublisherOptions {
  // When an unsettled publication is reported as pending or not published.
  Millis deadline_ = Millis(8000);
  // How long to read for the record before it is sent again.
  Millis settle_ = Millis(1500);
  // Pause before an append that the log refused is tried again.
  Millis retry_delay_ = Millis(300);
  // Pause between looks at the follower.
  Millis look_delay_ = Millis(10);
  Clock steady_ = Clock::Steady();
  Clock wall_ = Clock::Wall();
};

// Thread safety: safe.
class ConfigPublisher {
 public:
  using ResultHook = std::function<void(const PublishResult&)>;

  // @param client, follower must outlive the publisher; the follower is
  // started and must see every record, so don't pass peers' offers to it.
  ConfigPublisher(log::LogClient& client,
                  ConfigFollower& follower,
                  PublisherOptions options = {});
  // Hooks of unsettled publications are dropped.
  ~ConfigPublisher();
  ConfigPublisher(const ConfigPublisher&) = delete;
  ConfigPublisher& operator=(const ConfigPublisher&) = delete;

  // Publishes under a fresh id. The hook is called once, on a thread of the
  // HTTP library or before this returns, and must not block.
  // @return the id.
  PublicationId Publish(const PublishRequest& request, ResultHook hook);

  // As Publish(), but waits. Don't call on a thread of the HTTP library.
  PublishResult PublishAndWait(const PublishRequest& request);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace bergamotscale::config

#endif  // BERGAMOTSCALE_SRC_CONFIG_CONFIG_PUBLISHER_H_
