// One HTTP call to the upstream with a streamed, cancellable response.
#ifndef BERGAMOTSCALE_SRC_SIDECAR_UPSTREAM_CALL_H_
#define BERGAMOTSCALE_SRC_SIDECAR_UPSTREAM_CALL_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "bergamotscale/result.h"
#include "bergamotscale/units.h"
#include "src/http/client.h"

namespace bergamotscale::sidecar {

// The status and content type of a response.
struct UpstreamHead {
  int status_ = 0;
  std::string content_type_;
};

// Called on the io_context's thread, in this order; on_end_ once, unless the
// call is cancelled first.
struct UpstreamHooks {
  std::function<void(const UpstreamHead&)> on_head_;
  std::function<void(std::string_view)> on_data_;
  // Ok if the response is complete. kUpstreamUnreachable proves that nothing
  // was sent; after kUpstreamFailed the upstream may have executed the call.
  std::function<void(Status)> on_end_;
};

// Sends a request at most once. Each call uses its own connection, because the
// HTTP library retries a request by itself when a reused connection closes
// early, which would execute it twice. Redirects are not followed for the same
// reason.
// Thread safety: use on the io_context's thread.
class UpstreamCall {
 public:
  // Starts the call. call.timeout_ bounds each wait for data, not the whole
  // call.
  // @param io must outlive the call's hooks.
  UpstreamCall(boost::asio::io_context& io,
               const http::Call& call,
               UpstreamHooks hooks);
  // Cancels the call if it has not ended.
  ~UpstreamCall();
  UpstreamCall(const UpstreamCall&) = delete;
  UpstreamCall& operator=(const UpstreamCall&) = delete;

  // Closes the connection at once; no more hooks are called.
  void Cancel();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace bergamotscale::sidecar

#endif  // BERGAMOTSCALE_SRC_SIDECAR_UPSTREAM_CALL_H_
