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

// Streams of the log.
inline constexpr char kConfigStream[] = "config";
inline constexpr char kOrdersStream[] = "orders";
inline constexpr char kPlacementStream[] = "placement";

// Start of a read at the oldest record that the service still keeps.
inline constexpr LogOffset kFromOldest = LogOffset(-1);
// A page with fewer records has reached the end of the stream.
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

// Appends to and reads streams of the log service.
// Thread safety: safe. Each call's hook is called exactly once, after the call
// has returned, on a thread of the HTTP library or of the io_context.
class LogClient {
 public:
  using AppendHook = std::function<void(Result<LogOffset>)>;
  using ReadHook = std::function<void(Result<ReadPage>)>;

  // Precondition: base_url is a valid URL.
  // @param base_url such as "http://127.0.0.1:9000".
  LogClient(std::string base_url, Millis timeout);
  // @param io runs the parsing of responses and the hooks; it must outlive all
  // calls.
  LogClient(std::string base_url, Millis timeout, boost::asio::io_context& io);
  ~LogClient();
  LogClient(const LogClient&) = delete;
  LogClient& operator=(const LogClient&) = delete;

  // Appends a payload. Uses a new connection for each call, so that the HTTP
  // library can't retry it. Errors: kLogUnavailable if it was not appended;
  // kLogOutcomeUnknown if it may have been appended, which only a read can
  // show.
  void Append(const std::string& stream, std::string payload, AppendHook hook);

  // Reads up to kMaxRecordsPerPage records starting at an offset. If there is
  // none, the service waits up to `wait` for one. Errors: kLogUnavailable;
  // kRecordsExpired if `from` is older than the oldest record kept.
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
