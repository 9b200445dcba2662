#include "bergamotscale/verdict.h"

namespace bergamotscale {

const char* VerdictName(Verdict verdict) {
  switch (verdict) {
    case Verdict::kNotRun:
      return "not_run";
    case Verdict::kMayHaveRun:
      return "may_have_run";
    case Verdict::kCompleted:
      return "completed";
  }
  return "may_have_run";
}

bool IsSafeToRetry(Verdict verdict, bool idempotent) {
  if (verdict == Verdict::kNotRun) {
    return true;
  }
  return verdict == Verdict::kMayHaveRun && idempotent;
}

}  // namespace bergamotscale
