#include "bergamotscale/verdict.h"

namespace bergamotscale {

const char* VerdictName(Verdict verdict) {
  switch (verdict) {
    case Verdict::kNotExecuted:
      return "not_run";
    case Verdict::kMayHaveExecuted:
      return "may_have_run";
    case Verdict::kCompleted:
      return "completed";
  }
  return "may_have_run";
}

bool IsSafeToRetry(Verdict verdict, bool idempotent) {
  if (verdict == Verdict::kNotExecuted) {
    return true;
  }
  return verdict == Verdict::kMayHaveExecuted && idempotent;
}

}  // namespace bergamotscale
