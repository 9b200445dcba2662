#include <doctest/doctest.h>

#include "src/orders/order_fold.h"

namespace bergamotscale::orders {
namespace {

constexpr char kTimestampedKey[] = "018bcfe5-6800-7000-8000-000000000001";
const Millis kKeyTimestamp(0x018bcfe56800);

OrderKey MakeKey(const std::string& key) {
  return OrderKey{WorkspaceId("workspace"), IdempotencyKey(key)};
}

// Builds log records with consecutive offsets.
class LogBuilder {
 public:
  log::Record Add(RecordKind kind,
                  const std::string& key,
                  const std::string& claim,
                  Millis wall,
                  uint64_t digest = 1) {
    OrderRecord record;
    record.kind_ = kind;
    record.key_ = MakeKey(key);
    record.claim_ = ClaimId(claim);
    record.digest_ = digest;
    record.wall_ = wall;
    record.outcome_.body_ = claim;
    return Add(OrderBatch{{record}, {}});
  }

  log::Record Add(const OrderBatch& batch) {
    return log::Record{LogOffset(next_++), EncodeBatch(batch)};
  }

 private:
  int64_t next_ = 0;
};

ClaimResult ApplyAndGetResult(OrderFold& fold, const log::Record& record) {
  return fold.Apply(record).at(0).result_;
}

}  // namespace

TEST_CASE("order fold: the first claim in log order wins") {
  OrderFold fold((FoldOptions()));
  LogBuilder log;
  CHECK(ApplyAndGetResult(fold, log.Add(RecordKind::kClaim, "k", "a",
                                        Millis(1))) == ClaimResult::kWon);
  CHECK(ApplyAndGetResult(fold, log.Add(RecordKind::kClaim, "k", "b",
                                        Millis(1))) == ClaimResult::kLost);
  CHECK(ApplyAndGetResult(fold, log.Add(RecordKind::kClaim, "k", "c", Millis(1),
                                        2)) == ClaimResult::kDigestMismatch);
  fold.Apply(log.Add(RecordKind::kOutcome, "k", "b", Millis(1)));
  CHECK(fold.Find(MakeKey("k"))->phase_ == OrderPhase::kClaimed);
  fold.Apply(log.Add(RecordKind::kOutcome, "k", "a", Millis(1)));
  CHECK(fold.Find(MakeKey("k"))->phase_ == OrderPhase::kDone);
  fold.Apply(log.Add(RecordKind::kRelease, "k", "a", Millis(1)));
  CHECK(fold.Find(MakeKey("k"))->outcome_.body_ == "a");
}

TEST_CASE("order fold: a released claim never wins again") {
  OrderFold fold((FoldOptions()));
  LogBuilder log;
  fold.Apply(log.Add(RecordKind::kClaim, "k", "a", Millis(1)));
  fold.Apply(log.Add(RecordKind::kRelease, "k", "a", Millis(1)));
  CHECK(ApplyAndGetResult(fold, log.Add(RecordKind::kClaim, "k", "a",
                                        Millis(1))) == ClaimResult::kLost);
  CHECK(ApplyAndGetResult(fold, log.Add(RecordKind::kClaim, "k", "b",
                                        Millis(1))) == ClaimResult::kWon);
}

TEST_CASE(
    "order fold: a key with a timestamp before the retention is refused") {
  FoldOptions options;
  OrderFold fold(options);
  LogBuilder log;
  CHECK(GetKeyTimestamp(IdempotencyKey(kTimestampedKey)) == kKeyTimestamp);
  CHECK(ApplyAndGetResult(fold, log.Add(RecordKind::kClaim, kTimestampedKey,
                                        "a", kKeyTimestamp)) ==
        ClaimResult::kWon);
  const Millis later = kKeyTimestamp + options.order_retention_ +
                       options.max_clock_difference_ + Millis(1);
  fold.Apply(log.Add(RecordKind::kClaim, "other", "b", later));
  CHECK(fold.Find(MakeKey(kTimestampedKey)) == nullptr);
  CHECK(ApplyAndGetResult(fold, log.Add(RecordKind::kClaim, kTimestampedKey,
                                        "c", later)) == ClaimResult::kExpired);
  CHECK(fold.Find(MakeKey(kTimestampedKey)) == nullptr);
}

TEST_CASE("order fold: a key with a timestamp from the future is refused") {
  OrderFold fold((FoldOptions()));
  const Millis early =
      kKeyTimestamp - FoldOptions().max_clock_difference_ - Millis(1);
  CHECK(fold.CheckKey(MakeKey(kTimestampedKey), early) ==
        ErrorCode::kKeyExpired);
  CHECK(fold.CheckKey(MakeKey(kTimestampedKey), kKeyTimestamp) ==
        ErrorCode::kOk);
}

TEST_CASE(
    "order fold: a key without a timestamp is remembered past its retention") {
  FoldOptions options;
  OrderFold fold(options);
  LogBuilder log;
  fold.Apply(log.Add(RecordKind::kClaim, "k", "a", Millis(1)));
  const Millis later =
      options.order_retention_ + options.max_clock_difference_ + Millis(2);
  fold.Apply(log.Add(RecordKind::kClaim, "other", "b", later));
  CHECK(fold.Find(MakeKey("k")) == nullptr);
  CHECK(fold.CheckKey(MakeKey("k"), later) == ErrorCode::kKeyExpired);
  CHECK(fold.CheckKey(MakeKey("fresh"), later) == ErrorCode::kOk);
}

TEST_CASE("order fold: after retention only a snapshot identifies new keys") {
  OrderFold old_fold((FoldOptions()));
  LogBuilder log;
  old_fold.Apply(log.Add(RecordKind::kClaim, "k", "a", Millis(1)));
  old_fold.Apply(log.Add(RecordKind::kClaim, "l", "b", Millis(1)));
  const std::vector<SnapshotPart> parts = old_fold.Snapshot("s", 1);
  REQUIRE(parts.size() == 2);

  OrderFold fresh((FoldOptions()));
  fresh.StartAt(LogOffset(2));
  CHECK(fresh.CheckKey(MakeKey("new"), Millis(2)) == ErrorCode::kKeyExpired);
  CHECK(fresh.Snapshot("t", 1).empty());
  fresh.Apply(log.Add(OrderBatch{{}, {parts[1]}}));
  CHECK(fresh.CheckKey(MakeKey("new"), Millis(2)) == ErrorCode::kKeyExpired);
  fresh.Apply(log.Add(OrderBatch{{}, {parts[0]}}));
  CHECK(fresh.CheckKey(MakeKey("new"), Millis(2)) == ErrorCode::kOk);
  CHECK(fresh.CheckKey(MakeKey("k"), Millis(2)) == ErrorCode::kKeyExpired);
  CHECK(fresh.CheckKey(MakeKey("l"), Millis(2)) == ErrorCode::kKeyExpired);
}

TEST_CASE(
    "order fold: the bound on remembered keys rejects new ones, forgets none") {
  FoldOptions options;
  options.max_remembered_keys_ = 1;
  OrderFold fold(options);
  LogBuilder log;
  fold.Apply(log.Add(RecordKind::kClaim, "k", "a", Millis(1)));
  const Millis later =
      options.order_retention_ + options.max_clock_difference_ + Millis(2);
  fold.Apply(log.Add(RecordKind::kClaim, "other", "b", later));
  CHECK(fold.CheckKey(MakeKey("fresh"), later) == ErrorCode::kKeyExpired);
}

TEST_CASE("order fold: a payload that is no batch changes nothing") {
  OrderFold fold((FoldOptions()));
  CHECK(fold.Apply(log::Record{LogOffset(0), "\xff not a batch"}).empty());
  CHECK(fold.next() == LogOffset(1));
}

}  // namespace bergamotscale::orders
