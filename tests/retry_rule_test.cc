// Tests that retries are bounded and made only where a second execution is
// harmless.
#include <doctest/doctest.h>

#include "src/entry/crash_report.h"
#include "src/entry/retry_rule.h"

namespace bergamotscale::entry {
namespace {

FailedAttempt SentAndLost() {
  FailedAttempt failed;
  failed.code_ = ErrorCode::kLinkClosed;
  failed.verdict_ = Verdict::kMayHaveExecuted;
  failed.work_sent_ = true;
  failed.work_attempts_ = 1;
  return failed;
}

TEST_CASE("crash report: a connection that breaks once is not a crash") {
  CHECK(IsCrash(FailedCalls{/*upstream_responds_=*/false, 0}));
  CHECK_FALSE(IsCrash(FailedCalls{/*upstream_responds_=*/true, 1}));
  CHECK(IsCrash(FailedCalls{/*upstream_responds_=*/true, 2}));
  CHECK(IsCrash(FailedCalls{/*upstream_responds_=*/false, 1}));
}

TEST_CASE("retry rule: work that may have run is repeated only if idempotent") {
  FailedAttempt failed = SentAndLost();
  CHECK(DecideRetry(failed) == RetryDecision::kFail);
  failed.idempotent_ = true;
  CHECK(DecideRetry(failed) == RetryDecision::kRetryWork);
}

TEST_CASE("retry rule: an order is retried unless it is claimed elsewhere") {
  FailedAttempt failed = SentAndLost();
  failed.is_order_ = true;
  CHECK(DecideRetry(failed) == RetryDecision::kRetryWork);
  failed.code_ = ErrorCode::kClaimedElsewhere;
  CHECK(DecideRetry(failed) == RetryDecision::kFail);
}

TEST_CASE("retry rule: a second crash ends the request") {
  FailedAttempt failed = SentAndLost();
  failed.code_ = ErrorCode::kUpstreamFailed;
  failed.idempotent_ = true;
  failed.crashes_ = 1;
  CHECK(DecideRetry(failed) == RetryDecision::kRetryWork);
  failed.crashes_ = 2;
  CHECK(DecideRetry(failed) == RetryDecision::kFail);
}

TEST_CASE(
    "retry rule: rejected work is reserved again and counts as no attempt") {
  FailedAttempt failed = SentAndLost();
  failed.code_ = ErrorCode::kLeaving;
  failed.verdict_ = Verdict::kNotExecuted;
  failed.work_attempts_ = 10;
  CHECK(DecideRetry(failed) == RetryDecision::kRetryReservation);
  failed.code_ = ErrorCode::kMissingIdempotencyKey;
  CHECK(DecideRetry(failed) == RetryDecision::kFail);
}

TEST_CASE("retry rule: an upstream without the model is skipped") {
  FailedAttempt failed = SentAndLost();
  failed.code_ = ErrorCode::kUnknownModel;
  failed.verdict_ = Verdict::kNotExecuted;
  CHECK(DecideRetry(failed) == RetryDecision::kRetryReservation);
  failed.work_attempts_ = 4;
  CHECK(DecideRetry(failed) == RetryDecision::kFail);
}

TEST_CASE("retry rule: the wait without any upstream is bounded") {
  FailedAttempt failed;
  failed.code_ = ErrorCode::kNoUpstream;
  failed.verdict_ = Verdict::kNotExecuted;
  CHECK(DecideRetry(failed) == RetryDecision::kRetryReservation);
  failed.time_without_upstream_ = Millis(60000);
  CHECK(DecideRetry(failed) == RetryDecision::kFail);
}

}  // namespace
}  // namespace bergamotscale::entry
