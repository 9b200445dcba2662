// One execution at the upstream: the call and what its answer means.
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

// on_chunk_ may come several times, then on_finished_ or on_failed_ once.
struct ExecutionHooks {
  std::function<void(const std::string& text, Tokens tokens)> on_chunk_;
  std::function<void(const wire::Finished&)> on_finished_;
  // kNotRun only if nothing was sent or the upstream refused by status.
  std::function<void(const Error&, Verdict)> on_failed_;
};

// Thread safety: use on the io_context's thread, on which hooks are called.
class Execution {
 public:
  Execution(boost::asio::io_context& io,
            const SidecarSettings& settings,
            const wire::Work& work,
            Tier tier,
            ExecutionHooks hooks);
  // Cancels the call if it has not ended: the upstream sees its connection
  // close at once, and no hook is called any more.
  ~Execution();
  Execution(const Execution&) = delete;
  Execution& operator=(const Execution&) = delete;

  // Fails with kLinkSilent if nothing has come for that long: the upstream
  // doesn't answer on other connections either.
  void FailIfSilent(Millis silence);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace bergamotscale::sidecar

#endif  // BERGAMOTSCALE_SRC_SIDECAR_EXECUTION_H_
