// Keyed log follower: pages, expired records, outages, confirmed times.
#include <deque>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <boost/asio/post.hpp>

#include "src/keyed_log/follower.h"

namespace bergamotscale::keyed_log {
namespace {

// A source with scripted results, one for each call; stops the io_context after
// the last one.
struct ScriptedLog {
  boost::asio::io_context io_;
  Millis now_;
  std::deque<Result<NewestPage>> pages_;
  std::deque<Result<Tail>> tails_;
  std::vector<std::string> page_calls_;
  std::vector<int64_t> tail_calls_;
  std::vector<std::string> events_;
  std::vector<int64_t> confirmed_;
  int failures_ = 0;

  Source MakeSource() {
    Source source;
    source.read_newest_ = [this](const std::string& after, auto done) {
      page_calls_.push_back(after);
      Answer(&pages_, std::move(done));
    };
    source.read_tail_ = [this](LogOffset from, Millis wait, auto done) {
      tail_calls_.push_back(from.value());
      now_ += wait;
      Answer(&tails_, std::move(done));
    };
    return source;
  }

  template <typename T, typename Done>
  void Answer(std::deque<Result<T>>* script, Done done) {
    if (script->empty()) {
      io_.stop();
      return;
    }
    auto answer = std::make_shared<Result<T>>(std::move(script->front()));
    script->pop_front();
    boost::asio::post(io_, [done, answer] { done(std::move(*answer)); });
  }

  FollowerHooks MakeHooks() {
    FollowerHooks hooks;
    hooks.on_snapshot_ = [this](const std::vector<Record>& records) {
      std::string keys = "snapshot";
      for (const Record& record : records) {
        keys += " " + record.key_;
      }
      events_.push_back(keys);
    };
    hooks.on_record_ = [this](const Record& record) {
      events_.push_back(record.key_ + "@" +
                        std::to_string(record.offset_.value()));
    };
    hooks.on_confirmed_ = [this](Millis as_of) {
      confirmed_.push_back(as_of.count());
    };
    hooks.on_unavailable_ = [this](const Error&) { ++failures_; };
    return hooks;
  }

  void Run() {
    FollowerOptions options;
    options.wait_ = Millis(1'000);
    options.pause_ = Millis(1);
    options.retry_pause_ = Millis(1);
    Follower follower(io_, Clock([this] { return now_; }), MakeSource(),
                      options, MakeHooks());
    follower.Start();
    io_.run();
  }
};

Record MakeRecord(const std::string& key, int64_t offset) {
  return Record{key, std::string("v"), LogOffset(offset)};
}

TEST_CASE("keyed log: the tail is read from the lowest end of the pages") {
  ScriptedLog log;
  log.pages_.emplace_back(
      NewestPage{{MakeRecord("a", 3)}, true, LogOffset(10)});
  log.pages_.emplace_back(
      NewestPage{{MakeRecord("b", 11)}, false, LogOffset(12)});
  // Record 10 of b is older than b's record in the second page.
  log.tails_.emplace_back(
      Tail{{MakeRecord("b", 10), MakeRecord("b", 11), MakeRecord("a", 12)},
           LogOffset(13)});
  log.Run();
  CHECK(log.page_calls_ == std::vector<std::string>{"", "a"});
  CHECK(log.tail_calls_ == std::vector<int64_t>{10, 13});
  CHECK(log.events_ == std::vector<std::string>{"snapshot a b", "a@12"});
}

TEST_CASE("keyed log: after records have expired, the newest are read again") {
  ScriptedLog log;
  log.pages_.emplace_back(
      NewestPage{{MakeRecord("a", 3)}, false, LogOffset(4)});
  log.tails_.emplace_back(Error(ErrorCode::kRecordsExpired));
  log.pages_.emplace_back(
      NewestPage{{MakeRecord("b", 50)}, false, LogOffset(51)});
  log.Run();
  CHECK(log.tail_calls_ == std::vector<int64_t>{4, 51});
  CHECK(log.events_ == std::vector<std::string>{"snapshot a", "snapshot b"});
  CHECK(log.failures_ == 0);
}

TEST_CASE("keyed log: an empty read confirms up to the end of its wait") {
  ScriptedLog log;
  log.now_ = Millis(100);
  log.pages_.emplace_back(NewestPage{{}, false, LogOffset(0)});
  log.tails_.emplace_back(Tail{{}, LogOffset(0)});
  log.tails_.emplace_back(Tail{{MakeRecord("a", 0)}, LogOffset(1)});
  log.Run();
  // The second read was made at 1,100 and returned a record early, so it
  // confirms only records accepted before 1,100.
  CHECK(log.confirmed_ == std::vector<int64_t>{100, 1'100, 1'100});
}

// A key that had been revoked was served: after an outage, a first part of the
// missed records counted as all of them.
TEST_CASE("keyed log: a part of the missed records confirms nothing") {
  ScriptedLog log;
  log.now_ = Millis(100);
  log.pages_.emplace_back(NewestPage{{}, false, LogOffset(0)});
  log.tails_.emplace_back(
      Tail{{MakeRecord("a", 0)}, LogOffset(1), LogOffset(3)});
  log.tails_.emplace_back(
      Tail{{MakeRecord("a", 1)}, LogOffset(2), LogOffset(4)});
  log.tails_.emplace_back(Error(ErrorCode::kLogUnavailable));
  log.tails_.emplace_back(Tail{
      {MakeRecord("a", 2), MakeRecord("a", 3)}, LogOffset(4), LogOffset(4)});
  log.Run();
  // The reads were made at 100, 1,100, 2,100 and 3,100.
  CHECK(log.confirmed_ == std::vector<int64_t>{100, 3'100});
  CHECK(log.tail_calls_ == std::vector<int64_t>{0, 1, 2, 2, 4});
  CHECK(log.events_ ==
        std::vector<std::string>{"snapshot", "a@0", "a@1", "a@2", "a@3"});
}

// The upstream registry is read without a wait, and records that concern no key
// end a read early.
TEST_CASE("keyed log: a read that returns records of no key ends early") {
  ScriptedLog log;
  log.now_ = Millis(100);
  log.pages_.emplace_back(NewestPage{{}, false, LogOffset(0)});
  log.tails_.emplace_back(Tail{{}, LogOffset(1), LogOffset(1)});
  log.Run();
  CHECK(log.confirmed_ == std::vector<int64_t>{100, 100});
}

TEST_CASE("keyed log: a failed read is reported and retried without losses") {
  ScriptedLog log;
  log.pages_.emplace_back(Error(ErrorCode::kLogUnavailable));
  log.pages_.emplace_back(
      NewestPage{{MakeRecord("a", 3)}, false, LogOffset(4)});
  log.tails_.emplace_back(Error(ErrorCode::kLogUnavailable));
  log.tails_.emplace_back(Tail{{MakeRecord("a", 4)}, LogOffset(5)});
  log.Run();
  CHECK(log.failures_ == 2);
  CHECK(log.tail_calls_ == std::vector<int64_t>{4, 4, 5});
  CHECK(log.events_ == std::vector<std::string>{"snapshot a", "a@4"});
}

}  // namespace
}  // namespace bergamotscale::keyed_log
