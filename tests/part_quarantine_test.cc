// Prompt parts that crash upstreams: which are suspected, cleared and blocked.
#include <vector>

#include <doctest/doctest.h>

#include "src/policy/part_quarantine.h"

namespace bergamotscale::policy {
namespace {

constexpr uint64_t kShared = 1;
constexpr uint64_t kDeadly = 2;
constexpr uint64_t kNew = 3;
constexpr uint64_t kOther = 4;

// Two gateways or more that tell each other all they know.
void Exchange(PartQuarantine* from, PartQuarantine* to, Millis now) {
  constexpr size_t kLimit = 8;
  for (const SuspectParts& suspects : from->Suspects(now, kLimit)) {
    to->Merge(suspects, now);
  }
}

// Two crashes, the second of a request that was sent after the first.
void CrashTwice(PartQuarantine* parts,
                const std::vector<uint64_t>& first,
                const std::vector<uint64_t>& second) {
  parts->OnCrash(first, Millis(10), Millis(20));
  parts->OnCrash(second, Millis(30), Millis(40));
}

TEST_CASE("part quarantine: a part that was answered is never blocked") {
  PartQuarantine parts;
  parts.OnAnswered({kShared}, Millis(0));
  CrashTwice(&parts, {kShared, kDeadly}, {kDeadly, kShared});
  CHECK(parts.IsBlocked({kShared, kDeadly}, Millis(40)));
  CHECK(parts.IsBlocked({kOther, kDeadly}, Millis(40)));
  CHECK_FALSE(parts.IsBlocked({kShared}, Millis(40)));
  CHECK_FALSE(parts.IsBlocked({}, Millis(40)));
}

TEST_CASE("part quarantine: several crashes at once block nothing") {
  PartQuarantine parts;
  for (int crash = 0; crash < 5; ++crash) {
    parts.OnCrash({kNew}, Millis(10), Millis(20));
  }
  CHECK_FALSE(parts.IsBlocked({kNew}, Millis(20)));
}

TEST_CASE(
    "part quarantine: a request that crashes twice blocks none that shares "
    "only some of its parts") {
  PartQuarantine parts;
  CrashTwice(&parts, {kNew, kDeadly}, {kNew, kDeadly});
  CHECK(parts.IsBlocked({kNew, kDeadly, kOther}, Millis(40)));
  CHECK_FALSE(parts.IsBlocked({kNew}, Millis(40)));
  parts.OnAnswered({kNew}, Millis(50));
  CHECK(parts.IsBlocked({kDeadly}, Millis(50)));
  CHECK_FALSE(parts.IsBlocked({kNew}, Millis(50)));
}

TEST_CASE("part quarantine: two different requests leave the part of both") {
  PartQuarantine parts;
  CrashTwice(&parts, {kNew, kDeadly}, {kOther, kDeadly});
  CHECK(parts.IsBlocked({kDeadly}, Millis(40)));
  CHECK_FALSE(parts.IsBlocked({kNew, kOther}, Millis(40)));
}

TEST_CASE("part quarantine: a later crash narrows what is blocked") {
  PartQuarantine parts;
  CrashTwice(&parts, {kNew, kDeadly}, {kNew, kDeadly});
  parts.OnCrash({kOther, kDeadly}, Millis(50), Millis(60));
  CHECK(parts.IsBlocked({kDeadly}, Millis(60)));
  CHECK_FALSE(parts.IsBlocked({kNew}, Millis(60)));
}

TEST_CASE("part quarantine: an answer clears a blocked part") {
  PartQuarantine parts;
  CrashTwice(&parts, {kNew}, {kNew});
  CHECK(parts.IsBlocked({kNew}, Millis(40)));
  parts.OnAnswered({kNew}, Millis(50));
  CHECK_FALSE(parts.IsBlocked({kNew}, Millis(50)));
}

TEST_CASE("part quarantine: peers learn of a block") {
  PartQuarantine one;
  PartQuarantine other;
  CrashTwice(&one, {kDeadly}, {kDeadly});
  Exchange(&one, &other, Millis(40));
  CHECK(other.IsBlocked({kDeadly}, Millis(40)));
}

TEST_CASE("part quarantine: crashes seen by two gateways add up") {
  PartQuarantine one;
  PartQuarantine other;
  one.OnCrash({kDeadly}, Millis(10), Millis(20));
  Exchange(&one, &other, Millis(21));
  other.OnCrash({kDeadly}, Millis(15), Millis(22));
  CHECK_FALSE(other.IsBlocked({kDeadly}, Millis(22)));
  other.OnCrash({kDeadly}, Millis(30), Millis(40));
  Exchange(&other, &one, Millis(41));
  CHECK(one.IsBlocked({kDeadly}, Millis(41)));
}

TEST_CASE(
    "part quarantine: a gateway that has just started blocks no part that "
    "its peers serve") {
  PartQuarantine started;
  PartQuarantine peer;
  peer.OnAnswered({kShared}, Millis(0));
  CrashTwice(&started, {kShared}, {kShared});
  CHECK(started.IsBlocked({kShared}, Millis(40)));
  Exchange(&started, &peer, Millis(41));
  CHECK_FALSE(peer.IsBlocked({kShared}, Millis(41)));
  Exchange(&peer, &started, Millis(42));
  CHECK_FALSE(started.IsBlocked({kShared}, Millis(42)));
}

TEST_CASE("part quarantine: suspects are bounded and expire") {
  PartQuarantineOptions options;
  options.max_suspects_ = 4;
  PartQuarantine parts(options);
  for (uint64_t part = 1; part <= 10; ++part) {
    parts.OnCrash({part}, Millis(10), Millis(20));
  }
  CHECK(parts.Suspects(Millis(20), 100).size() == 4);
  CHECK(parts.Suspects(Millis(20) + options.suspect_retention_, 100).empty());
}

}  // namespace
}  // namespace bergamotscale::policy
