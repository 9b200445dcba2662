// LogClient and StreamFollower with the log stand-in: faults, retention, order.
#include <mutex>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "src/log/stream_follower.h"
#include "tests/support_log.h"

namespace bergamotscale::log {
namespace {

using standins::LogFaults;
using standins::LogStoreOptions;
using testing::AppendAndWait;
using testing::OpenLog;
using testing::ReadAndWait;
using testing::WaitUntil;

// Collects the records and events that a follower delivers.
class Collector {
 public:
  FollowerHooks Hooks() {
    FollowerHooks hooks;
    hooks.on_record_ = [this](const Record& record) {
      const std::lock_guard<std::mutex> lock(mutex_);
      payloads_.push_back(record.payload_);
    };
    hooks.on_records_expired_ = [this](LogOffset next) {
      const std::lock_guard<std::mutex> lock(mutex_);
      expired_.push_back(next);
    };
    return hooks;
  }

  std::vector<std::string> payloads() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return payloads_;
  }
  std::vector<LogOffset> expired() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return expired_;
  }

 private:
  mutable std::mutex mutex_;
  std::vector<std::string> payloads_;
  std::vector<LogOffset> expired_;
};

TEST_CASE("log: appends get offsets in order, reads return them") {
  const auto server = OpenLog();
  LogClient client(server->url(), Millis(2000));
  CHECK(AppendAndWait(client, "s", "a").value() == LogOffset(0));
  CHECK(AppendAndWait(client, "s", "b").value() == LogOffset(1));
  CHECK(AppendAndWait(client, "t", "c").value() == LogOffset(0));
  const Result<ReadPage> page = ReadAndWait(client, "s", LogOffset(1));
  REQUIRE(page.ok());
  REQUIRE(page.value().records_.size() == 1);
  CHECK(page.value().records_[0].payload_ == "b");
  CHECK(page.value().next_ == LogOffset(2));
}

TEST_CASE("log: each fault has its own error") {
  LogStoreOptions store;
  store.appends_per_second_ = 2;
  store.retained_records_ = 1;
  const auto server = OpenLog(store);
  LogClient client(server->url(), Millis(300));
  LogFaults faults;
  faults.down_ = true;
  server->SetFaults(faults);
  CHECK(AppendAndWait(client, "s", "a").error().code_ ==
        ErrorCode::kLogUnavailable);
  CHECK(ReadAndWait(client, "s", LogOffset(0)).error().code_ ==
        ErrorCode::kLogUnavailable);
  faults = LogFaults();
  faults.lose_answers_ = 1;
  server->SetFaults(faults);
  CHECK(AppendAndWait(client, "s", "a").error().code_ ==
        ErrorCode::kLogOutcomeUnknown);
  CHECK(AppendAndWait(client, "s", "b").value() == LogOffset(1));
  CHECK(AppendAndWait(client, "s", "c").error().code_ ==
        ErrorCode::kLogUnavailable);
  CHECK(ReadAndWait(client, "s", LogOffset(0)).error().code_ ==
        ErrorCode::kRecordsExpired);
  CHECK(ReadAndWait(client, "s", kFromOldest).value().oldest_ == LogOffset(1));
  faults.silent_ = true;
  server->SetFaults(faults);
  CHECK(AppendAndWait(client, "s", "d").error().code_ ==
        ErrorCode::kLogOutcomeUnknown);
  server->Close();
  CHECK(AppendAndWait(client, "s", "e").error().code_ ==
        ErrorCode::kLogUnavailable);
}

TEST_CASE(
    "follower: every record is delivered once and in order despite an outage") {
  const auto server = OpenLog();
  LogClient client(server->url(), Millis(2000));
  Collector collector;
  FollowerOptions options;
  options.poll_wait_ = Millis(200);
  options.retry_delay_ = Millis(20);
  StreamFollower follower(client, "s", options, collector.Hooks());
  follower.Start();
  REQUIRE(WaitUntil([&] { return follower.caught_up(); }));
  std::vector<std::string> sent;
  for (int index = 0; index < 40; ++index) {
    if (index == 10 || index == 15) {
      LogFaults faults;
      faults.down_ = index == 10;
      server->SetFaults(faults);
    }
    const std::string payload = std::to_string(index);
    if (AppendAndWait(client, "s", payload).ok()) {
      sent.push_back(payload);
    }
  }
  CHECK(sent.size() == 35);
  CHECK(WaitUntil([&] { return collector.payloads() == sent; }));
  CHECK(follower.Staleness() < Millis(2000));
  CHECK(collector.expired().empty());
}

TEST_CASE("follower: expired records are reported and reading continues") {
  LogStoreOptions store;
  store.retained_records_ = 3;
  const auto server = OpenLog(store);
  LogClient client(server->url(), Millis(2000));
  for (int index = 0; index < 8; ++index) {
    REQUIRE(AppendAndWait(client, "s", std::to_string(index)).ok());
  }
  Collector collector;
  FollowerOptions options;
  options.from_ = LogOffset(1);
  StreamFollower follower(client, "s", options, collector.Hooks());
  follower.Start();
  REQUIRE(WaitUntil([&] { return follower.caught_up(); }));
  CHECK(collector.payloads() == std::vector<std::string>{"5", "6", "7"});
  CHECK(collector.expired() == std::vector<LogOffset>{LogOffset(5)});
  follower.Stop();
  REQUIRE(AppendAndWait(client, "s", "8").ok());
  CHECK(collector.payloads().size() == 3);
}

}  // namespace
}  // namespace bergamotscale::log
