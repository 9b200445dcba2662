#include <vector>

#include <doctest/doctest.h>

#include "src/orders/claim_batcher.h"

namespace bergamotscale::orders {
namespace {

// A batcher whose append hooks are called by the test.
struct Bench {
  explicit Bench(const BatcherOptions& options = {})
      : batcher_(
            options,
            Clock([this] { return now_; }),
            [this](const std::string& payload, const AppendHook& hook) {
              sizes_.push_back(DecodeBatch(payload).value().records_.size());
              hook_ = hook;
            },
            [this](const std::vector<ClaimId>& claims) {
              failed_.insert(failed_.end(), claims.begin(), claims.end());
            }) {}

  void Add(RecordKind kind, const std::string& claim) {
    OrderRecord record;
    record.kind_ = kind;
    record.claim_ = ClaimId(claim);
    batcher_.Add(record);
  }
  void Wait(Millis time) {
    now_ += time;
    batcher_.Tick();
  }

  Millis now_ = Millis(100'000);
  std::vector<size_t> sizes_;
  AppendHook hook_;
  std::vector<ClaimId> failed_;
  ClaimBatcher batcher_;
};

}  // namespace

TEST_CASE("claim batcher: claims added during an append go with the next one") {
  Bench bench;
  bench.Add(RecordKind::kClaim, "a");
  for (int claim = 0; claim < 100; ++claim) {
    bench.Add(RecordKind::kClaim, std::to_string(claim));
  }
  CHECK(bench.sizes_ == std::vector<size_t>{1});
  bench.hook_(LogOffset(0));
  CHECK(bench.sizes_ == std::vector<size_t>{1, 100});
}

TEST_CASE("claim batcher: appends keep to the rate after a burst") {
  BatcherOptions options;
  Bench bench(options);
  for (int step = 0; step < 1000; ++step) {
    bench.Add(RecordKind::kClaim, std::to_string(step));
    bench.Wait(Millis(1));
    if (bench.hook_) {
      bench.hook_(LogOffset(step));
    }
  }
  const int64_t by_rate = 1000 / options.interval_.count();
  CHECK(bench.batcher_.appends() >= by_rate);
  CHECK(bench.batcher_.appends() <= by_rate + options.burst_ + 1);
}

TEST_CASE("claim batcher: an outcome waits a little for a claim") {
  Bench bench;
  bench.Add(RecordKind::kOutcome, "a");
  bench.Wait(Millis(5));
  CHECK(bench.sizes_.empty());
  bench.Add(RecordKind::kClaim, "b");
  CHECK(bench.sizes_ == std::vector<size_t>{2});
  bench.hook_(LogOffset(0));
  bench.Add(RecordKind::kOutcome, "b");
  bench.Wait(BatcherOptions().outcome_delay_);
  CHECK(bench.sizes_ == std::vector<size_t>{2, 1});
}

TEST_CASE("claim batcher: claims fail after some tries, outcomes never") {
  Bench bench;
  bench.Add(RecordKind::kOutcome, "a");
  bench.Add(RecordKind::kClaim, "b");
  for (int tries = 0; tries < 5; ++tries) {
    bench.hook_(ErrorCode::kLogUnavailable);
    bench.Wait(BatcherOptions().retry_delay_);
  }
  CHECK(bench.failed_ == std::vector<ClaimId>{ClaimId("b")});
  CHECK(bench.sizes_ == std::vector<size_t>{2, 2, 2, 1, 1, 1});
  CHECK(bench.batcher_.waiting() == 1);
}

TEST_CASE(
    "claim batcher: a claim with an unknown result is not appended again") {
  Bench bench;
  bench.Add(RecordKind::kClaim, "a");
  bench.hook_(ErrorCode::kLogOutcomeUnknown);
  bench.Wait(BatcherOptions().retry_delay_);
  CHECK(bench.sizes_ == std::vector<size_t>{1});
  CHECK(bench.failed_.empty());
}

}  // namespace bergamotscale::orders
