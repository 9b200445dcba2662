#include "src/entry/reported_verdict.h"

#include <doctest/doctest.h>

namespace bergamotscale::entry {
namespace {

ReportedVerdict Resolve(bool is_order, Verdict verdict, bool order_not_run) {
  return ResolveVerdict({is_order, verdict, order_not_run});
}

TEST_CASE(
    "reported verdict: an order is \"not run\" only if the log proves it") {
  const ReportedVerdict unknown = Resolve(true, Verdict::kNotExecuted, false);
  CHECK(unknown.request_ == Verdict::kMayHaveExecuted);
  CHECK(unknown.this_send_ == Verdict::kNotExecuted);
  const ReportedVerdict known = Resolve(true, Verdict::kNotExecuted, true);
  CHECK(known.request_ == Verdict::kNotExecuted);
  CHECK(!known.this_send_.has_value());
}

TEST_CASE("reported verdict: a request that may have run stays so") {
  for (const bool is_order : {true, false}) {
    const ReportedVerdict reported =
        Resolve(is_order, Verdict::kMayHaveExecuted, true);
    CHECK(reported.request_ == Verdict::kMayHaveExecuted);
    CHECK(!reported.this_send_.has_value());
  }
}

TEST_CASE("reported verdict: a request without a key has only one verdict") {
  const ReportedVerdict reported = Resolve(false, Verdict::kNotExecuted, false);
  CHECK(reported.request_ == Verdict::kNotExecuted);
  CHECK(!reported.this_send_.has_value());
}

}  // namespace
}  // namespace bergamotscale::entry
