// What is known of whether a request was executed.
#ifndef BERGAMOTSCALE_VERDICT_H_
#define BERGAMOTSCALE_VERDICT_H_

#include <msgpack.hpp>

namespace bergamotscale {

// Every refusal and failure carries one of these. kNotRun is a promise: no
// upstream has executed the request, nor will one.
enum class Verdict {
  kNotRun = 0,
  kMayHaveRun = 1,
  kCompleted = 2,
};

// @return the stable name used in JSON: "not_run", "may_have_run" or
// "completed".
const char* VerdictName(Verdict verdict);

// @return true if sending the request once more can't execute it twice.
// @param idempotent whether the operator declared the request idempotent.
bool MayRetry(Verdict verdict, bool idempotent);

}  // namespace bergamotscale

MSGPACK_ADD_ENUM(bergamotscale::Verdict)

#endif  // BERGAMOTSCALE_VERDICT_H_
