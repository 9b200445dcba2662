// Follows a keyed log, and recovers from outages and expired records.
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
  // How long the log holds a read that finds no record. Long waits save calls
  // but delay the detection of a broken connection.
  Millis wait_ = Millis(1'000);
  // Pause after a read that returned records; limits the rate of reads.
  Millis pause_ = Millis(100);
  // Pause after a failed read.
  Millis retry_pause_ = Millis(300);
};

struct FollowerHooks {
  // Called with all newest records, at the start, after records have expired
  // and after the log was restored. Keys that are missing were removed, or lost
  // with the restore.
  std::function<void(const std::vector<Record>&)> on_snapshot_;
  // Called for each record after the snapshot, except those that are not newer
  // than the last one of their key.
  std::function<void(const Record&)> on_record_;
  // Called when every record that the log accepted up to as_of was delivered,
  // except those that it lost when it was restored.
  std::function<void(Millis as_of)> on_confirmed_;
  // Called before the first snapshot of a later era. May be empty.
  std::function<void(LogEra era)> on_restored_;
  // Called for each failed read.
  std::function<void(const Error&)> on_unavailable_;
};

// Reads a keyed log and reports its records until the follower is destroyed.
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
