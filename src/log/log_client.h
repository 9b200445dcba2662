// Access to the platform's append-only log service.
#ifndef BERGAMOTSCALE_SRC_LOG_LOG_CLIENT_H_
#define BERGAMOTSCALE_SRC_LOG_LOG_CLIENT_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "bergamotscale/ids.h"
#include "bergamotscale/result.h"
#include "bergamotscale/units.h"

namespace bergamotscale::log {

// Streams of the log that the system keeps.
inline constexpr char kConfigStream[] = "config";
inline constexpr char kOrdersStream[] = "orders";
inline constexpr char kPlacementStream[] = "placement";

// As the start of a read: the oldest record that the service still keeps.
inline constexpr LogOffset kFromOldest = LogOffset(-1);
// A page of fewer records reached the end of the stream.
inline constexpr size_t kMaxRecordsPerPage = 500;

struct Record {
  LogOffset offset_;
  std::string payload_;
};

struct ReadPage {
  std::vector<Record> records_;
  // Where the next read starts.
  LogOffset next_;
  // The oldest offset that the service still keeps.
  LogOffset oldest_;
};

// Thread safety: safe. Hooks are called once for each call, never before the
// call returns: on threads of the HTTP library, or on those of an io_context.
class LogClient {
 public:
  using AppendHook = std::function<void(Result<LogOffset>)>;
  using ReadHook = std::function<void(Result<ReadPage>)>;

  // Precondition: base_url is a valid URL.
  // @param base_url such as "http://127.0.0.1:9000".
  LogClient(std::string base_url, Millis timeout);
  // @param io where answers are parsed and hooks are called; it must outlive
  // all calls.
  LogClient(std::string base_url, Millis timeout, boost::asio::io_context& io);
  ~LogClient();
  LogClient(const LogClient&) = delete;
  LogClient& operator=(const LogClient&) = delete;

  // Appends a payload on a connection that is used once, so that the HTTP
  // library can't send it twice. Errors: kLogUnavailable means it was not
  // appended; kLogOutcomeUnknown means it may have been: read the log.
  void Append(const std::string& stream, std::string payload, AppendHook hook);

  // Reads up to kMaxRecordsPerPage records from an offset on. With wait above
  // zero the service holds the answer until there is a record or the wait is
  // over. Errors: kLogUnavailable; kRecordsExpired if from is older than the
  // oldest kept.
  void Read(const std::string& stream,
            LogOffset from,
            Millis wait,
            ReadHook hook);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace bergamotscale::log

#endif  // BERGAMOTSCALE_SRC_LOG_LOG_CLIENT_H_
