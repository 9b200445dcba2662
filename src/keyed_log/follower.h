// Follows a keyed log from its newest records on, through outages and gaps.
#ifndef BERGAMOTSCALE_SRC_KEYED_LOG_FOLLOWER_H_
#define BERGAMOTSCALE_SRC_KEYED_LOG_FOLLOWER_H_

#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "bergamotscale/clock.h"
#include "src/keyed_log/keyed_log.h"

namespace bergamotscale::keyed_log {

struct FollowerOptions {
  // How long the log holds a read that finds nothing. Long waits save calls
  // but hide a connection that has gone silent.
  Millis wait_ = Millis(1'000);
  // Pause after a read that brought records; paces reads of a busy log.
  Millis pause_ = Millis(100);
  // Pause after a failed read.
  Millis retry_pause_ = Millis(300);
};

struct FollowerHooks {
  // All newest records, at the start and after a gap. Keys that are missing
  // were removed.
  std::function<void(const std::vector<Record>&)> on_snapshot_;
  // A record behind the snapshot; never one older than that key's last.
  std::function<void(const Record&)> on_record_;
  // Everything accepted up to a time has been told.
  std::function<void(Millis as_of)> on_confirmed_;
  // A read failed, each time.
  std::function<void(const Error&)> on_unavailable_;
};

// Reads until it is destroyed.
// Thread safety: use from the thread of its io_context.
class Follower {
 public:
  Follower(boost::asio::io_context& io,
           Clock boot,
           Source source,
           FollowerOptions options,
           FollowerHooks hooks);
  ~Follower();
  Follower(const Follower&) = delete;
  Follower& operator=(const Follower&) = delete;

  void Start();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace bergamotscale::keyed_log

#endif  // BERGAMOTSCALE_SRC_KEYED_LOG_FOLLOWER_H_
