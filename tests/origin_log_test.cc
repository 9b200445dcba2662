#include "src/gateway/origin_log.h"

#include <unistd.h>

#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "src/gateway/origin_records.h"

namespace bergamotscale::gateway {
namespace {

using policy::OriginSource;
using policy::StreamRecord;
using policy::VersionSets;

const GroupId kGroup("g");
constexpr std::chrono::milliseconds kRunTime(700);

VersionSets Versions(const std::vector<std::string>& names) {
  VersionSets versions;
  for (const std::string& name : names) {
    versions[kGroup].insert(SoftwareVersion(name));
  }
  return versions;
}

StreamRecord Record(const std::string& stream, const std::string& version) {
  return {RequestId(stream), {kGroup, SoftwareVersion(version)}, Millis(0)};
}

// A log in memory.
struct FakeStore {
  explicit FakeStore(boost::asio::io_context& io) : io_(io) {}

  boost::asio::io_context& io_;
  std::vector<std::string> versions_;  // one record each
  std::vector<std::string> batches_;
  int64_t first_ = 0;  // of the batches
  LogEra era_ = LogEra(1);
  bool is_away_ = false;
  bool takes_writes_ = true;
  int changes_before_write_ = 0;  // by others

  template <typename T>
  void Answer(std::function<void(Result<T>)> done, Result<T> result) {
    if (is_away_) {
      result = Error(ErrorCode::kLogUnavailable);
    }
    boost::asio::post(io_, [done = std::move(done), result] { done(result); });
  }

  OriginStore Make() {
    OriginStore store;
    store.read_versions_ =
        [this](std::function<void(Result<StoredVersions>)> done) {
          StoredVersions stored;
          stored.end_ = LogOffset(static_cast<int64_t>(versions_.size()));
          stored.era_ = era_;
          if (!versions_.empty()) {
            stored.value_ = versions_.back();
          }
          Answer<StoredVersions>(std::move(done), stored);
        };
    store.read_fresh_versions_ = store.read_versions_;
    store.write_versions_ = [this](const std::string& value, LogOffset end,
                                   std::function<void(Result<bool>)> done) {
      if (changes_before_write_ > 0) {
        --changes_before_write_;
        versions_.push_back(EncodeVersions(Versions({"other"})));
      }
      if (!takes_writes_) {
        Answer<bool>(std::move(done), Error(ErrorCode::kLogUnavailable));
        return;
      }
      const bool is_same =
          end == LogOffset(static_cast<int64_t>(versions_.size()));
      if (is_same && !is_away_) {
        versions_.push_back(value);
      }
      Answer<bool>(std::move(done), is_same);
    };
    store.append_ = [this](const std::string& batch,
                           std::function<void(Status)> done) {
      if (!is_away_) {
        batches_.push_back(batch);
      }
      Answer<Done>(std::move(done), Done{});
    };
    store.read_ = [this](LogOffset from, Bytes max_bytes,
                         std::function<void(Result<OriginBatches>)> done) {
      OriginBatches read;
      read.era_ = era_;
      read.first_ = LogOffset(first_);
      read.is_expired_ = from.value() < first_;
      if (!read.is_expired_) {
        read.end_ = LogOffset(first_ + static_cast<int64_t>(batches_.size()));
        read.next_ = from;
        if (max_bytes > Bytes(0)) {
          read.batches_.assign(batches_.begin() + (from.value() - first_),
                               batches_.end());
          read.next_ = read.end_;
        }
      }
      Answer<OriginBatches>(std::move(done), read);
    };
    return store;
  }
};

struct LogBench {
  boost::asio::io_context io_;
  FakeStore store_{io_};
  policy::StreamOrigins origins_;
  metrics::Metrics metrics_;
  DecisionLog lines_{dup(STDERR_FILENO), Clock::Wall()};
  OriginLog log_{io_,
                 Clock::Boot(),
                 store_.Make(),
                 &origins_,
                 [] { return Millis(0); },
                 &metrics_,
                 &lines_};

  void Run() {
    io_.restart();
    io_.run_for(kRunTime);
  }
  void List(const std::vector<std::string>& names) {
    origins_.OnListed(Versions(names), Clock::Boot().Now());
    log_.Update();
  }
  // @return the source of a stream after a look into the log.
  OriginSource Refresh(const std::string& stream) {
    bool is_done = false;
    bool was_read = false;
    log_.Refresh([&](bool is_fresh) {
      is_done = true;
      was_read = is_fresh;
    });
    Run();
    CHECK(is_done);
    return origins_
        .Find(RequestId(stream), kGroup, Millis(0), was_read,
              Clock::Boot().Now())
        .source_;
  }
};

TEST_CASE("origin log: a version is written once, beside those of others") {
  LogBench bench;
  bench.store_.changes_before_write_ = 1;
  bench.List({"a"});
  bench.Run();
  REQUIRE(bench.store_.versions_.size() == 2);
  CHECK(DecodeVersions(bench.store_.versions_[1]).value() ==
        Versions({"a", "other"}));
  bench.List({"a"});
  bench.Run();
  CHECK(bench.store_.versions_.size() == 2);
}

TEST_CASE("origin log: a gateway writes its own records at once") {
  LogBench bench;
  bench.List({"a", "b"});
  const auto begin = [&bench](const std::string& stream) {
    bench.origins_.OnBegun(RequestId(stream), Record("", "a").origin_,
                           Clock::Boot().Now());
    bench.log_.WriteRecords();
  };
  begin("first");
  CHECK(bench.store_.batches_.size() == 1);
  // Behind the write in progress, these go together.
  begin("second");
  begin("third");
  bench.origins_.Merge(Record("peer's", "b"), Clock::Boot().Now());
  bench.Run();
  REQUIRE(bench.store_.batches_.size() == 2);
  CHECK(DecodeOrigins(bench.store_.batches_[1]).value().size() == 2);
}

TEST_CASE("origin log: streams of gateways that have ended are found") {
  LogBench bench;
  bench.store_.first_ = 1'000;
  for (int i = 0; i < 400; ++i) {
    bench.store_.batches_.push_back(EncodeOrigins({}));
  }
  bench.store_.batches_.push_back(EncodeOrigins({Record("s", "b")}));
  bench.List({"a", "b"});
  CHECK(bench.Refresh("s") == OriginSource::kRecorded);
  CHECK(bench.Refresh("t") == OriginSource::kUnknown);
  bench.store_.batches_.push_back(EncodeOrigins({Record("t", "a")}));
  CHECK(bench.Refresh("t") == OriginSource::kRecorded);
}

TEST_CASE("origin log: a log that is away leaves streams unknown") {
  LogBench bench;
  bench.store_.is_away_ = true;
  bench.List({"a"});
  CHECK(bench.Refresh("s") == OriginSource::kUnknown);
  bench.store_.is_away_ = false;
  bench.Run();
  CHECK(bench.Refresh("s") == OriginSource::kOnlyVersion);
}

// Each read of a log that took no writes counted as its return, so that streams
// waited for it to name their versions.
TEST_CASE("origin log: a log that takes no writes stays lost when it is read") {
  LogBench bench;
  bench.store_.takes_writes_ = false;
  bench.List({"a"});
  bench.Run();
  CHECK(bench.log_.is_lost());
  bool is_lost = false;
  bench.log_.Refresh([&](bool is_fresh) {
    CHECK(is_fresh);
    is_lost = bench.log_.is_lost();
  });
  bench.Run();
  CHECK(is_lost);
  bench.store_.takes_writes_ = true;
  bench.Run();
  CHECK_FALSE(bench.log_.is_lost());
}

TEST_CASE("origin log: a restored log is read and completed again") {
  LogBench bench;
  bench.store_.batches_.push_back(EncodeOrigins({Record("s", "a")}));
  bench.List({"a", "b"});
  CHECK(bench.Refresh("s") == OriginSource::kRecorded);
  bench.store_.era_ = LogEra(2);
  bench.store_.versions_.clear();
  bench.store_.batches_ = {EncodeOrigins({Record("t", "a")})};
  CHECK(bench.Refresh("t") == OriginSource::kRecorded);
  bench.Run();
  REQUIRE(bench.store_.versions_.size() == 1);
  CHECK(DecodeVersions(bench.store_.versions_[0]).value() ==
        Versions({"a", "b"}));
}

TEST_CASE("origin log: bytes of another writer are passed over") {
  LogBench bench;
  bench.store_.versions_.push_back("\xc1 no versions");
  bench.store_.batches_.push_back("\xc1 no batch");
  bench.store_.batches_.push_back(EncodeOrigins({Record("s", "a")}));
  bench.List({"a", "b"});
  CHECK(bench.Refresh("s") == OriginSource::kRecorded);
  CHECK(DecodeVersions(bench.store_.versions_.back()).value() ==
        Versions({"a", "b"}));
}

}  // namespace
}  // namespace bergamotscale::gateway
