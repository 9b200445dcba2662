// One execution of a request at the upstream.
#ifndef BERGAMOTSCALE_SRC_SIDECAR_EXECUTION_H_
#define BERGAMOTSCALE_SRC_SIDECAR_EXECUTION_H_

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "bergamotscale/config_document.h"
#include "bergamotscale/result.h"
#include "bergamotscale/verdict.h"
#include "src/sidecar/settings.h"
#include "src/wire/messages.h"

namespace bergamotscale::sidecar {

// on_chunk_ may be called several times, then on_finished_ or on_failed_ once.
struct ExecutionHooks {
  std::function<void(const std::string& text, Tokens tokens)> on_chunk_;
  std::function<void(const wire::Finished&)> on_finished_;
  // kNotExecuted only if nothing was sent or the upstream refused with an HTTP
  // status.
  std::function<void(const Error&, Verdict)> on_failed_;
};

// Sends a request to the upstream and reports the chunks and the result.
// Thread safety: use on the io_context's thread, on which hooks are called.
class Execution {
 public:
  Execution(boost::asio::io_context& io,
            const SidecarSettings& settings,
            const wire::Work& work,
            Tier tier,
            ExecutionHooks hooks);
  // Cancels the call if it has not ended: the connection is closed at once and
  // no more hooks are called.
  ~Execution();
  Execution(const Execution&) = delete;
  Execution& operator=(const Execution&) = delete;

  // Fails with kLinkTimeout if no data arrived for `silence`. Call when health
  // checks of the upstream time out too.
  void FailIfSilent(Millis silence);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace bergamotscale::sidecar

#endif  // BERGAMOTSCALE_SRC_SIDECAR_EXECUTION_H_
