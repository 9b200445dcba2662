// Keeps the origins of streams in a log that outlives all gateways.
#ifndef BERGAMOTSCALE_SRC_GATEWAY_ORIGIN_LOG_H_
#define BERGAMOTSCALE_SRC_GATEWAY_ORIGIN_LOG_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "bergamotscale/clock.h"
#include "bergamotscale/ids.h"
#include "bergamotscale/result.h"
#include "src/gateway/decision_log.h"
#include "src/metrics/metrics.h"
#include "src/policy/stream_origins.h"

namespace bergamotscale::gateway {

// The stored versions as they were read.
struct StoredVersions {
  std::optional<std::string> value_;
  LogOffset end_;  // where a write must find the log unchanged
  LogEra era_;
};

// Batches of records, ordered by offset.
struct OriginBatches {
  std::vector<std::string> batches_;
  LogOffset next_;   // where the next read continues
  LogOffset first_;  // the oldest that is kept
  LogOffset end_;
  LogEra era_;
  // The batches from the offset on are no longer kept; the end is unknown.
  bool is_expired_ = false;
};

// Access to the log. Each call is answered exactly once, asynchronously, on the
// thread of the caller.
struct OriginStore {
  std::function<void(std::function<void(Result<StoredVersions>)>)>
      read_versions_;
  // The same, beside a read or a write in progress.
  std::function<void(std::function<void(Result<StoredVersions>)>)>
      read_fresh_versions_;
  // Yields false if the log has changed since it ended there.
  std::function<
      void(std::string value, LogOffset end, std::function<void(Result<bool>)>)>
      write_versions_;
  std::function<void(std::string batch, std::function<void(Status)>)> append_;
  // Reads from an offset on.
  // @param max_bytes limit of what is read, but for the offsets.
  std::function<void(LogOffset from,
                     Bytes max_bytes,
                     std::function<void(Result<OriginBatches>)>)>
      read_;
};

// Writes versions before streams begin there, and origins of streams while
// several versions serve. Reads them when a stream is taken up whose origin
// nobody here knows. Thread safety: use from the traffic thread.
class OriginLog {
 public:
  // @param list_age the age of the list of upstreams.
  OriginLog(boost::asio::io_context& io,
            Clock boot,
            OriginStore store,
            policy::StreamOrigins* origins,
            std::function<Millis()> list_age,
            metrics::Metrics* metrics,
            DecisionLog* log);
  ~OriginLog();
  OriginLog(const OriginLog&) = delete;
  OriginLog& operator=(const OriginLog&) = delete;

  // Begins to write. Call it again when the versions may have changed.
  void Update();

  // Writes new records at once, or behind a write in progress.
  void WriteRecords();

  // Reads what the log has of versions and of origins of streams.
  // @param done called once, with whether the versions were read in time.
  void Refresh(std::function<void(bool is_fresh)> done);

  // @return whether the log did not answer the latest call, or took no versions
  // when they were last to be written.
  bool is_lost() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace bergamotscale::gateway

#endif  // BERGAMOTSCALE_SRC_GATEWAY_ORIGIN_LOG_H_
