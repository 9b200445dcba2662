// One request from its arrival to its last byte: reservations, the attempt,
// retries and resumes, and the answer.
#ifndef BERGAMOTSCALE_SRC_ENTRY_REQUEST_FLOW_H_
#define BERGAMOTSCALE_SRC_ENTRY_REQUEST_FLOW_H_

#include <functional>
#include <memory>

#include "src/entry/answer_writer.h"
#include "src/entry/caller_request.h"
#include "src/entry/traffic.h"

namespace bergamotscale::entry {

// Places reservations at a few sidecars, sends the work to the first that
// grants, and withdraws the others. Until the work is sent nothing can run, so
// a refusal before that is truthfully "not run".
// Thread safety: use on the traffic thread only.
class RequestFlow {
 public:
  // @param on_end called once, when the caller's answer has been handed over.
  RequestFlow(Traffic& traffic,
              CallerRequest request,
              std::unique_ptr<AnswerWriter> writer,
              std::function<void()> on_end);
  ~RequestFlow();
  RequestFlow(const RequestFlow&) = delete;
  RequestFlow& operator=(const RequestFlow&) = delete;

  // Admits the request or refuses it.
  void Start();

  // The caller has left: gives up all work for it.
  void CallerLeft();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace bergamotscale::entry

#endif  // BERGAMOTSCALE_SRC_ENTRY_REQUEST_FLOW_H_
