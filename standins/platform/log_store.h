// The records of the log stand-in: streams, retention and the append limit.
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
  int retained_records_ = 1000000;  // of each stream
};

// Thread safety: use from one thread. Time comes in and never goes back.
class LogStore {
 public:
  explicit LogStore(LogStoreOptions options);

  // @return the record's offset, or kRateLimited.
  Result<LogOffset> Append(const std::string& stream,
                           std::string payload,
                           Millis now);

  // Takes back a record of an earlier process, in the order of its appends.
  // @param time of its append, on this process's clock; may be below zero.
  void Restore(const std::string& stream, std::string payload, Millis time);

  // @return at most max records; kRecordsExpired if from isn't kept any more.
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
  bool TakeAppend(Millis now);

  const LogStoreOptions options_;
  std::map<std::string, Stream> streams_;
  std::deque<Millis> recent_appends_;
};

}  // namespace bergamotscale::standins

#endif  // BERGAMOTSCALE_STANDINS_PLATFORM_LOG_STORE_H_
