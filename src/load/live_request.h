// A request of the load tool in flight.
#ifndef BERGAMOTSCALE_SRC_LOAD_LIVE_REQUEST_H_
#define BERGAMOTSCALE_SRC_LOAD_LIVE_REQUEST_H_

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "src/emulator/engine_types.h"
#include "src/http/client.h"
#include "src/load/workload.h"

namespace bergamotscale::load {

enum class ResultKind {
  kComplete,  // the complete response, as expected
  kWrong,     // a response other than expected, or an incomplete one without an
              // error
  kRefused,   // an HTTP error
  kFailed,    // the connection or the response broke off
  kCallerLeft,  // the caller disconnected before the response was complete
};

// @return a stable name, such as "refused".
const char* ResultName(ResultKind kind);

// The outcome of one arrival. Times count from when the request was sent.
struct RequestResult {
  int64_t number_ = 0;
  ClassId class_;
  bool order_ = false;
  ResultKind kind_ = ResultKind::kFailed;
  int status_ = 0;
  std::string code_;  // stable code of the error response
  emulator::Micros first_token_;
  emulator::Micros last_token_;
  Tokens delivered_;
};

// Sends a request, reads the streamed response and compares it with the output
// that the emulated engine must give. Thread safety: use on the io_context's
// thread, on which the hook is called.
class LiveRequest {
 public:
  using EndHook = std::function<void(const RequestResult&)>;

  // @param url of the entry, without a path.
  // @param key of the workspace.
  // @param arrival must outlive this.
  LiveRequest(boost::asio::io_context& io,
              const std::string& url,
              const std::string& key,
              Millis timeout,
              const Arrival& arrival,
              EndHook on_end);
  ~LiveRequest();
  LiveRequest(const LiveRequest&) = delete;
  LiveRequest& operator=(const LiveRequest&) = delete;

  // Closes the connection. The hook is called with kCallerLeft unless it was
  // already called.
  void Disconnect();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::load

#endif  // BERGAMOTSCALE_SRC_LOAD_LIVE_REQUEST_H_
