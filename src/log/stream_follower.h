// Follows one stream of the log and delivers each record once, in order.
#ifndef BERGAMOTSCALE_SRC_LOG_STREAM_FOLLOWER_H_
#define BERGAMOTSCALE_SRC_LOG_STREAM_FOLLOWER_H_

#include <functional>
#include <memory>
#include <string>

#include "bergamotscale/clock.h"
#include "bergamotscale/ids.h"
#include "bergamotscale/units.h"
#include "src/log/log_client.h"

namespace bergamotscale::log {

struct FollowerOptions {
  // First offset to read; kFromOldest for all that is kept.
  LogOffset from_ = kFromOldest;
  // How long the service holds a read at the end of the stream.
  Millis poll_wait_ = Millis(1000);
  // Pause after a failed read.
  Millis retry_delay_ = Millis(200);
};

// Hooks run one at a time, on threads of the HTTP library, and must not block.
// All but on_record_ may be empty.
struct FollowerHooks {
  std::function<void(const Record&)> on_record_;
  // After each read that reached the end of the stream.
  std::function<void()> on_caught_up_;
  // After each failed read; the retry is automatic.
  std::function<void()> on_failed_;
  // Records before `next` can no longer be read; called also at the start from
  // kFromOldest. The record at `next` is delivered next.
  std::function<void(LogOffset next)> on_records_expired_;
};

// Reads by long polling. Retries failed reads, and continues at the oldest
// record if records have expired.
// Thread safety: safe; Stop() must not be called with a lock held that a hook
// takes.
class StreamFollower {
 public:
  // @param client must outlive the follower.
  StreamFollower(LogClient& client,
                 std::string stream,
                 FollowerOptions options,
                 FollowerHooks hooks,
                 Clock clock = Clock::Steady());
  // Stops.
  ~StreamFollower();
  StreamFollower(const StreamFollower&) = delete;
  StreamFollower& operator=(const StreamFollower&) = delete;

  // Starts reading. Call once.
  void Start();

  // No hook runs after this returns. Idempotent.
  void Stop();

  // @return true once a read has reached the end of the stream.
  bool caught_up() const;

  // @return the upper bound of the age of the follower's view of the stream:
  // the time since the start of the last read that reached the end, or since
  // construction.
  Millis Staleness() const;

  // @return the offset after the last record that was delivered.
  LogOffset next() const;

  // @return the oldest offset that the service kept at the last read.
  LogOffset oldest() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace bergamotscale::log

#endif  // BERGAMOTSCALE_SRC_LOG_STREAM_FOLLOWER_H_
