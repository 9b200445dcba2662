// Verdict: whether a request was executed, as far as a process can tell.
#ifndef BERGAMOTSCALE_VERDICT_H_
#define BERGAMOTSCALE_VERDICT_H_

#include <msgpack.hpp>

namespace bergamotscale {

// Reported with every rejection and failure, so that callers can decide whether
// to retry.
enum class Verdict {
  // No upstream has executed the request, and none will.
  kNotExecuted = 0,
  // An upstream may have executed all or part of it.
  kMayHaveExecuted = 1,
  kCompleted = 2,
};

// @return the stable name used in JSON: "not_run", "may_have_run" or
// "completed".
const char* VerdictName(Verdict verdict);

// @return whether a retry is safe: the request was not executed, or it may have
// been and is idempotent.
// @param idempotent whether the operator declared the request idempotent.
bool IsSafeToRetry(Verdict verdict, bool idempotent);

}  // namespace bergamotscale

MSGPACK_ADD_ENUM(bergamotscale::Verdict)

#endif  // BERGAMOTSCALE_VERDICT_H_
