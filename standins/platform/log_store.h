// The streams of the log stand-in, with retention and an append rate limit.
#ifndef BERGAMOTSCALE_STANDINS_PLATFORM_LOG_STORE_H_
#define BERGAMOTSCALE_STANDINS_PLATFORM_LOG_STORE_H_

#include <cstddef>
#include <deque>
#include <map>
#include <string>

#include "bergamotscale/ids.h"
#include "bergamotscale/result.h"
#include "bergamotscale/units.h"
#include "src/log/log_client.h"

namespace bergamotscale::standins {

struct LogStoreOptions {
  int appends_per_second_ = 300;
  Millis retention_ = Millis(3600000);
  int retained_records_ = 1000000;  // per stream
};

// Keeps the records of all streams in memory.
// Thread safety: use from one thread. `now` must not decrease.
class LogStore {
 public:
  explicit LogStore(LogStoreOptions options);

  // @return the record's offset, or kRateLimited.
  Result<LogOffset> Append(const std::string& stream,
                           std::string payload,
                           Millis now);

  // Restores a record of an earlier process. Call in the order of the appends.
  // @param time of the append on this process's clock; may be negative.
  void Restore(const std::string& stream, std::string payload, Millis time);

  // @return at most `max` records; kRecordsExpired if `from` is older than the
  // retention.
  Result<log::ReadPage> Read(const std::string& stream,
                             LogOffset from,
                             size_t max,
                             Millis now);

 private:
  struct Entry {
    Millis time_;
    std::string payload_;
  };
  struct Stream {
    int64_t first_ = 0;
    std::deque<Entry> entries_;
  };

  void Expire(Stream& stream, Millis now) const;
  bool ConsumeAppendQuota(Millis now);

  const LogStoreOptions options_;
  std::map<std::string, Stream> streams_;
  std::deque<Millis> recent_appends_;
};

}  // namespace bergamotscale::standins

#endif  // BERGAMOTSCALE_STANDINS_PLATFORM_LOG_STORE_H_
