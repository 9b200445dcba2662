// A subcommand's access to the log service.
#ifndef BERGAMOTSCALE_TOOLS_CTL_LOG_SESSION_H_
#define BERGAMOTSCALE_TOOLS_CTL_LOG_SESSION_H_

#include "bergamotscale/result.h"
#include "src/config/config_follower.h"
#include "src/log/log_client.h"

namespace bergamotscale::ctl {

// Follows the configuration in the log service at --log. Thread safety: use
// from the main thread.
class LogSession {
 public:
  LogSession();

  // Waits until the configuration stream has been read to its end.
  // @return kLogUnavailable if that takes longer than --timeout_ms.
  Status CatchUp();

  log::LogClient& client() { return client_; }
  config::ConfigFollower& follower() { return follower_; }

 private:
  log::LogClient client_;
  config::ConfigFollower follower_;
};

// @return true if --log is given.
bool HasLog();

}  // namespace bergamotscale::ctl

#endif  // BERGAMOTSCALE_TOOLS_CTL_LOG_SESSION_H_
