// One request of the load tool in flight.
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
  kWhole,    // the whole answer, as expected
  kWrong,    // an answer other than expected, or a part that ended well
  kRefused,  // an HTTP error
  kFailed,   // the connection broke, or the answer broke off
  kLeft,     // the caller left before the answer was whole
};

// @return a stable name, such as "whole".
const char* ResultName(ResultKind kind);

// What became of one arrival. Times are since the request was sent.
struct RequestResult {
  int64_t number_ = 0;
  ClassId class_;
  bool order_ = false;
  ResultKind kind_ = ResultKind::kFailed;
  int status_ = 0;
  std::string code_;  // the stable code of a refusal
  emulator::Micros first_token_;
  emulator::Micros last_token_;
  Tokens delivered_;
};

// Sends a request, reads its answer as it comes and compares it with what the
// emulated engine must write.
// Thread safety: use on the io_context's thread, on which the hook is called.
class LiveRequest {
 public:
  using EndHook = std::function<void(const RequestResult&)>;

  // @param url of the entry, without a path. @param key of the workspace.
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

  // Closes the connection; the hook is called with kLeft unless it was before.
  void Leave();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::load

#endif  // BERGAMOTSCALE_SRC_LOAD_LIVE_REQUEST_H_
