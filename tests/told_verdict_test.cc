#include "src/entry/told_verdict.h"

#include <doctest/doctest.h>

namespace bergamotscale::entry {
namespace {

ReportedVerdict Resolve(bool is_order, Verdict verdict, bool order_not_run) {
  return ResolveVerdict({is_order, verdict, order_not_run});
}

TEST_CASE("told verdict: an order is \"not run\" only by the log's word") {
  const ReportedVerdict unknown = Resolve(true, Verdict::kNotRun, false);
  CHECK(unknown.request_ == Verdict::kMayHaveRun);
  CHECK(unknown.this_send_ == Verdict::kNotRun);
  const ReportedVerdict known = Resolve(true, Verdict::kNotRun, true);
  CHECK(known.request_ == Verdict::kNotRun);
  CHECK(!known.this_send_.has_value());
}

TEST_CASE("told verdict: what may have run stays so") {
  for (const bool is_order : {true, false}) {
    const ReportedVerdict reported =
        Resolve(is_order, Verdict::kMayHaveRun, true);
    CHECK(reported.request_ == Verdict::kMayHaveRun);
    CHECK(!reported.this_send_.has_value());
  }
}

TEST_CASE("told verdict: a request without a key has no other send") {
  const ReportedVerdict reported = Resolve(false, Verdict::kNotRun, false);
  CHECK(reported.request_ == Verdict::kNotRun);
  CHECK(!reported.this_send_.has_value());
}

}  // namespace
}  // namespace bergamotscale::entry
