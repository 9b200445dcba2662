#include "src/entry/told_verdict.h"

#include <doctest/doctest.h>

namespace bergamotscale::entry {
namespace {

ToldVerdict Tell(bool is_order, Verdict verdict, bool order_not_run) {
  return TellVerdict({is_order, verdict, order_not_run});
}

TEST_CASE("told verdict: an order is \"not run\" only by the log's word") {
  const ToldVerdict unknown = Tell(true, Verdict::kNotRun, false);
  CHECK(unknown.request_ == Verdict::kMayHaveRun);
  CHECK(unknown.this_send_ == Verdict::kNotRun);
  const ToldVerdict known = Tell(true, Verdict::kNotRun, true);
  CHECK(known.request_ == Verdict::kNotRun);
  CHECK(!known.this_send_.has_value());
}

TEST_CASE("told verdict: what may have run stays so") {
  for (const bool is_order : {true, false}) {
    const ToldVerdict told = Tell(is_order, Verdict::kMayHaveRun, true);
    CHECK(told.request_ == Verdict::kMayHaveRun);
    CHECK(!told.this_send_.has_value());
  }
}

TEST_CASE("told verdict: a request without a key has no other send") {
  const ToldVerdict told = Tell(false, Verdict::kNotRun, false);
  CHECK(told.request_ == Verdict::kNotRun);
  CHECK(!told.this_send_.has_value());
}

}  // namespace
}  // namespace bergamotscale::entry
