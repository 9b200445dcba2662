// Control: which upstreams get requests after the registry was out of reach,
// and how old the configuration counts.
#include <fcntl.h>

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <boost/asio/post.hpp>

#include "src/gateway/control.h"
#include "src/gateway/upstream_set.h"

namespace bergamotscale::gateway {
namespace {

constexpr Millis kHeartbeat = Millis(1'200);
constexpr Millis kPoll = Millis(600);
// A read that fails takes the timeout of the connection, and the follower
// pauses before the next one.
constexpr Millis kFailedRead = Millis(1'300);
// A gateway must act on the registry this long after it reaches it again.
constexpr Millis kSettleTime = Millis(3'000);

struct Span {
  Millis from_;
  Millis until_;

  bool Contains(Millis time) const { return time >= from_ && time < until_; }
};

std::string InstanceName(int number) {
  return "i-" + std::to_string(number);
}

// A gateway that follows a registry of upstreams, on a clock of its own that
// moves with each read.
class RegistryDay {
 public:
  explicit RegistryDay(int num_upstreams) {
    for (int number = 0; number < num_upstreams; ++number) {
      Renew(number, Millis(0));
    }
  }

  // Writes heartbeats until `until`, except while the registry is down.
  void Heartbeats(int number, Millis until, Span down = {}) {
    const Millis first = kHeartbeat * (number + 1) / 16;
    for (Millis at = first; at < until; at = at + kHeartbeat) {
      if (!down.Contains(at)) {
        Renew(number, at);
      }
    }
  }
  void Renew(int number, Millis at) {
    events_.push_back({at, InstanceName(number), "ready"});
  }
  void Remove(int number, Millis at) {
    events_.push_back({at, InstanceName(number), std::nullopt});
  }

  // Plays until `end`; no read succeeds within `unreachable`.
  void Play(Span unreachable, Millis end) {
    std::stable_sort(
        events_.begin(), events_.end(),
        [](const Event& a, const Event& b) { return a.at_ < b.at_; });
    unreachable_ = unreachable;
    end_ = end;
    ControlOptions options;
    options.upstreams_poll_interval_ = Millis(1);
    options.retry_pause_ = Millis(1);
    Control control(io_, boot_, MakeSources(), options, &state_, &log_,
                    [this] { upstreams_.Update(*state_.upstreams_.Read()); });
    control.Start();
    io_.run();
  }

  // @return when the upstream was last chosen; negative if it never was.
  Millis LastChosen(int number) const {
    const auto found = last_chosen_.find(InstanceName(number));
    return found == last_chosen_.end() ? Millis(-1) : found->second;
  }
  bool WasChosenAt(int number, Millis at) const {
    return LastChosen(number) >= at;
  }

 private:
  struct Event {
    Millis at_;
    std::string key_;
    std::optional<std::string> value_;
  };

  ControlSources MakeSources() {
    ControlSources sources;
    sources.config_.read_newest_ = [](const std::string&, auto) {};
    sources.upstreams_.read_newest_ = [this](const std::string&, auto done) {
      keyed_log::NewestPage page;
      for (const keyed_log::Record& record : ReadFrom(LogOffset(0))) {
        page.records_.push_back(record);
        page.end_ = LogOffset(record.offset_.value() + 1);
      }
      Reply<keyed_log::NewestPage>(std::move(page), std::move(done));
    };
    sources.upstreams_.read_tail_ = [this](LogOffset from, Millis, auto done) {
      SendRequests();
      now_ = now_ + kPoll;
      if (now_ >= end_) {
        io_.stop();
        return;
      }
      if (unreachable_.Contains(now_)) {
        now_ = now_ + kFailedRead - kPoll;
        Reply<keyed_log::Tail>(Error(ErrorCode::kLogUnavailable),
                               std::move(done));
        return;
      }
      keyed_log::Tail tail;
      tail.records_ = ReadFrom(from);
      tail.next_ =
          LogOffset(from.value() + static_cast<int64_t>(tail.records_.size()));
      Reply<keyed_log::Tail>(std::move(tail), std::move(done));
    };
    sources.decode_upstream_ = [](const std::string& key, const std::string&) {
      route::UpstreamEntry entry;
      entry.id_ = InstanceId(key);
      entry.group_ = GroupId("g");
      entry.ip_ = "127.0.0.1";
      entry.port_ = 1;
      return Result<route::UpstreamEntry>(entry);
    };
    return sources;
  }

  template <typename T, typename Done>
  void Reply(Result<T> result, Done done) {
    boost::asio::post(io_, [done, result] { done(result); });
  }

  std::vector<keyed_log::Record> ReadFrom(LogOffset from) const {
    std::vector<keyed_log::Record> records;
    for (size_t i = static_cast<size_t>(from.value());
         i < events_.size() && events_[i].at_ <= now_; ++i) {
      records.push_back({events_[i].key_, events_[i].value_,
                         LogOffset(static_cast<int64_t>(i))});
    }
    return records;
  }

  void SendRequests() {
    constexpr int kRequests = 200;
    for (int i = 0; i < kRequests; ++i) {
      UpstreamSet::Choice choice;
      if (upstreams_.Choose(GroupId("g"), {}, {}, &choice)) {
        last_chosen_[choice.upstream_.id_.value()] = now_;
      }
    }
  }

  Millis now_;
  Millis end_;
  Span unreachable_;
  std::vector<Event> events_;
  std::map<std::string, Millis> last_chosen_;
  boost::asio::io_context io_;
  const Clock boot_{[this] { return now_; }};
  ControlState state_;
  DecisionLog log_{open("/dev/null", O_WRONLY | O_CLOEXEC), Clock::Wall()};
  UpstreamSet upstreams_{io_, boot_, ZoneId("z")};
};

// The first read after an outage may come up to kFailedRead after its end.
std::vector<Millis> OutageEnds() {
  std::vector<Millis> ends;
  for (Millis late; late < kFailedRead; late = late + Millis(100)) {
    ends.push_back(Millis(10'100) + late);
  }
  return ends;
}

TEST_CASE(
    "control: an upstream that left while only this gateway was cut off gets "
    "no requests") {
  for (const Millis cut_end : OutageEnds()) {
    CAPTURE(cut_end.count());
    const Millis end = cut_end + Millis(6'000);
    RegistryDay day(12);
    for (int number = 1; number < 12; ++number) {
      day.Heartbeats(number, end);
    }
    day.Heartbeats(0, Millis(4'000));
    day.Remove(0, Millis(4'000));
    day.Play({Millis(3'600), cut_end}, end);
    CHECK(day.WasChosenAt(0, Millis(3'000)));
    CHECK(day.LastChosen(0).count() < (cut_end + kSettleTime).count());
    CHECK(day.WasChosenAt(1, end - Millis(1'000)));
  }
}

TEST_CASE(
    "control: an upstream that left before an outage gets no requests after "
    "it") {
  for (const Millis outage_end : OutageEnds()) {
    CAPTURE(outage_end.count());
    const Span outage{Millis(4'100), outage_end};
    const Millis end = outage_end + Millis(6'000);
    RegistryDay day(12);
    day.Heartbeats(0, Millis(4'000));
    day.Remove(0, Millis(4'000));
    for (int number = 1; number < 12; ++number) {
      day.Heartbeats(number, end, outage);
      day.Remove(number, Millis(9'000));
    }
    day.Play({Millis(3'900), outage_end}, end);
    CHECK(day.LastChosen(0).count() < (outage_end + kSettleTime).count());
    CHECK(day.WasChosenAt(1, end - Millis(1'000)));
  }
}

// A gateway that reads the results of a script from the configuration log, on a
// clock that moves by a second with each read.
class ConfigDay {
 public:
  explicit ConfigDay(std::vector<Result<keyed_log::Tail>> tails)
      : tails_(std::move(tails)) {}

  // Plays the script. @return the time of the last confirmation after each read
  // of the tail.
  std::vector<int64_t> Play(keyed_log::NewestPage first,
                            keyed_log::NewestPage restored) {
    pages_ = {std::move(first), std::move(restored)};
    ControlOptions options;
    options.config_wait_ = Millis(0);
    options.retry_pause_ = Millis(0);
    Control control(io_, boot_, MakeSources(), options, &state_, &log_, [] {});
    control.Start();
    io_.run();
    return confirmed_;
  }
  int64_t version() const { return state_.table_.Read()->version(); }
  // A peer tells its version before the read of the tail with this number.
  void TellPeerVersion(size_t read, int64_t version) {
    told_at_ = read;
    peer_version_ = version;
  }

 private:
  ControlSources MakeSources() {
    ControlSources sources;
    sources.upstreams_.read_newest_ = [](const std::string&, auto) {};
    sources.config_key_ = "config";
    sources.config_.read_newest_ = [this](const std::string&, auto done) {
      now_ += Millis(1'000);
      const keyed_log::NewestPage page = pages_[num_pages_++];
      boost::asio::post(io_, [done, page] { done(page); });
    };
    sources.config_.read_tail_ = [this](LogOffset, Millis, auto done) {
      now_ += Millis(1'000);
      confirmed_.push_back(state_.table_as_of_);
      if (peer_version_ > 0 && confirmed_.size() == told_at_) {
        state_.peer_version_ = peer_version_;
      }
      if (num_tails_ == tails_.size()) {
        io_.stop();
        return;
      }
      const Result<keyed_log::Tail> tail = tails_[num_tails_++];
      boost::asio::post(io_, [done, tail] { done(tail); });
    };
    sources.decode_table_ = [](const std::string& value) {
      route::RouteTable::Content content;
      content.version_ = std::stoll(value);
      return Result<route::RouteTable::Content>(content);
    };
    return sources;
  }

  std::vector<Result<keyed_log::Tail>> tails_;
  std::vector<keyed_log::NewestPage> pages_;
  size_t told_at_ = 0;
  int64_t peer_version_ = 0;
  size_t num_tails_ = 0;
  size_t num_pages_ = 0;
  std::vector<int64_t> confirmed_;
  Millis now_;
  boost::asio::io_context io_;
  const Clock boot_{[this] { return now_; }};
  ControlState state_;
  DecisionLog log_{open("/dev/null", O_WRONLY | O_CLOEXEC), Clock::Wall()};
};

keyed_log::Record Version(int64_t version, int64_t offset) {
  return {"config", std::to_string(version), LogOffset(offset)};
}

keyed_log::Tail MakeTail(std::vector<keyed_log::Record> records,
                         int64_t end,
                         LogEra era = {}) {
  return {std::move(records), LogOffset(end), LogOffset(end), era};
}

// "Nothing newer" from a log that had forgotten versions kept revoked keys in
// use.
TEST_CASE("control: a restored log that is behind confirms nothing") {
  const LogEra first(1);
  const LogEra second(2);
  ConfigDay day({MakeTail({Version(7, 2)}, 3, first), MakeTail({}, 3, second),
                 MakeTail({}, 2, second), MakeTail({Version(6, 2)}, 3, second),
                 MakeTail({Version(7, 3)}, 4, second),
                 MakeTail({}, 4, second)});
  const std::vector<int64_t> confirmed =
      day.Play({{Version(5, 1)}, false, LogOffset(2), first},
               {{Version(5, 1)}, false, LogOffset(2), second});
  // The reads were made a second apart; the second of the tail met the restore.
  CHECK(confirmed ==
        std::vector<int64_t>{0, 1'000, 1'000, 1'000, 1'000, 6'000, 7'000});
  CHECK(day.version() == 7);
}

// A gateway that had started from the copy went on with it for the whole bound
// when a peer told it of a newer version.
TEST_CASE("control: a peer's newer version withdraws what the log confirmed") {
  ConfigDay day({MakeTail({}, 2), MakeTail({}, 2), MakeTail({}, 2),
                 MakeTail({Version(6, 2)}, 3), MakeTail({}, 3)});
  day.TellPeerVersion(2, 6);
  const std::vector<int64_t> confirmed =
      day.Play({{Version(5, 1)}, false, LogOffset(2)}, {});
  // The second read shows it behind; the third was asked after that.
  CHECK(confirmed == std::vector<int64_t>{0, 1'000, 1'000, -1, 4'000, 5'000});
}

}  // namespace
}  // namespace bergamotscale::gateway
