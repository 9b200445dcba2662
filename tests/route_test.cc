// Routes, keys and the directory of upstream instances.
#include <doctest/doctest.h>

#include "src/route/directory.h"
#include "src/route/route_table.h"

namespace bergamotscale::route {
namespace {

Route MakeRoute(const std::string& prefix, const std::string& group) {
  Route route;
  route.name_ = "r" + prefix;
  route.host_ = "Tags.example";
  route.path_prefix_ = prefix;
  route.groups_ = {{GroupId(group), 1}};
  return route;
}

RouteTable::Content TwoRoutes() {
  RouteTable::Content content;
  content.version_ = 7;
  content.routes_ = {MakeRoute("/a/", "outer"), MakeRoute("/a/b/", "inner")};
  return content;
}

TEST_CASE("routes: the longest prefix wins, and only whole segments match") {
  const RouteTable table(TwoRoutes());
  CHECK(table.FindRoute("tags.example", "/a/b/c")->name_ == "r/a/b/");
  CHECK(table.FindRoute("tags.example", "/a/b/")->name_ == "r/a/b/");
  CHECK(table.FindRoute("tags.example", "/a/bc")->name_ == "r/a/");
  CHECK(table.FindRoute("tags.example", "/a/x?q=/a/b/")->name_ == "r/a/");
  CHECK(table.FindRoute("tags.example", "/a") == nullptr);
  CHECK(table.FindRoute("tags.example", "/ab/") == nullptr);
  CHECK(table.FindRoute("other.example", "/a/") == nullptr);
}

TEST_CASE("routes: a host matches in any case and with a port") {
  const RouteTable table(TwoRoutes());
  CHECK(table.FindRoute("TAGS.EXAMPLE:8080", "/a/") != nullptr);
}

TEST_CASE("routes: keys are required only if workspaces are configured") {
  RouteTable::Content content = TwoRoutes();
  content.routes_[1].needs_key_ = false;
  CHECK_FALSE(RouteTable(content).NeedsKey(content.routes_[0]));
  content.has_workspaces_ = true;
  content.workspaces_ = {{KeyOwner{WorkspaceId("w"), 2}, {"k1", "k2"}}};
  const RouteTable table(content);
  CHECK(table.NeedsKey(content.routes_[0]));
  CHECK_FALSE(table.NeedsKey(content.routes_[1]));
  CHECK(table.FindKey("k2")->workspace_ == WorkspaceId("w"));
  CHECK(table.FindKey("k3") == nullptr);
}

TEST_CASE("routes: groups share requests by weight; equal ids get one group") {
  Route route = MakeRoute("/a/", "x");
  route.groups_ = {{GroupId("x"), 90}, {GroupId("y"), 10}, {GroupId("z"), 0}};
  int at_y = 0;
  constexpr int kRequests = 10'000;
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = "request-" + std::to_string(i);
    const GroupId& group = ChooseGroup(route, id);
    CHECK(group == ChooseGroup(route, id));
    CHECK(group != GroupId("z"));
    at_y += group == GroupId("y") ? 1 : 0;
  }
  CHECK(at_y > kRequests / 20);
  CHECK(at_y < kRequests / 5);
}

TEST_CASE("routes: the tightest target of more urgent routes of the group") {
  RouteTable::Content content = TwoRoutes();
  content.routes_[0].priority_ = 0;
  content.routes_[0].target_ = Millis(250);
  content.routes_[0].groups_ = {{GroupId("inner"), 1}};
  content.routes_[1].priority_ = 2;
  const RouteTable table(content);
  CHECK(table.TightestMoreUrgentTarget(GroupId("inner"), {2, 2}) ==
        Millis(250));
  CHECK(table.TightestMoreUrgentTarget(GroupId("inner"), {0, 0}) == Millis(0));
  CHECK(table.TightestMoreUrgentTarget(GroupId("outer"), {2, 2}) == Millis(0));
}

// All workspaces have the same priority and send both long and short prompts,
// so the priority of the route decides which requests are urgent.
TEST_CASE("routes: among workspaces of equal priority, the route's decides") {
  RouteTable::Content content = TwoRoutes();
  const GroupId group("inner");
  content.routes_[0].priority_ = 0;
  content.routes_[0].target_ = Millis(250);
  content.routes_[0].groups_ = {{group, 1}};
  content.routes_[1].priority_ = 2;
  content.routes_[1].target_ = Millis(1'200);
  content.routes_[1].groups_ = {{group, 1}};
  content.has_workspaces_ = true;
  content.workspaces_ = {{KeyOwner{WorkspaceId("w"), 1}, {"k"}}};
  const RouteTable table(content);
  const KeyOwner* owner = table.FindKey("k");
  const Rank quick = ComputeRank(content.routes_[0], owner);
  const Rank batch = ComputeRank(content.routes_[1], owner);
  CHECK(quick < batch);
  CHECK(table.TightestMoreUrgentTarget(group, batch) == Millis(250));
  CHECK(table.TightestMoreUrgentTarget(group, quick) == Millis(0));
}

TEST_CASE("routes: a more urgent workspace goes before any route of another") {
  RouteTable::Content content = TwoRoutes();
  const GroupId group("inner");
  content.routes_[0].priority_ = 0;
  content.routes_[0].groups_ = {{group, 1}};
  content.routes_[1].priority_ = 2;
  content.routes_[1].target_ = Millis(1'200);
  content.routes_[1].groups_ = {{group, 1}};
  content.has_workspaces_ = true;
  content.workspaces_ = {{KeyOwner{WorkspaceId("first"), 0}, {"a"}},
                         {KeyOwner{WorkspaceId("second"), 3}, {"b"}}};
  const RouteTable table(content);
  const Rank batch_of_first =
      ComputeRank(content.routes_[1], table.FindKey("a"));
  const Rank quick_of_second =
      ComputeRank(content.routes_[0], table.FindKey("b"));
  CHECK(batch_of_first < quick_of_second);
  CHECK(table.TightestMoreUrgentTarget(group, quick_of_second) > Millis(0));
  // Without a key, the route's own priority applies.
  CHECK(ComputeRank(content.routes_[1], nullptr).priority_ == 2);
}

// An engine that got only the workspace's priority took long prompts and short
// urgent ones as equals, and preempted the urgent ones.
TEST_CASE("routes: the urgency orders requests by workspace, then by route") {
  RouteTable::Content content = TwoRoutes();
  content.routes_[0].priority_ = 0;
  content.routes_[1].priority_ = 2;
  content.has_workspaces_ = true;
  content.workspaces_ = {{KeyOwner{WorkspaceId("first"), 1}, {"a"}},
                         {KeyOwner{WorkspaceId("second"), 4}, {"b"}},
                         {KeyOwner{WorkspaceId("third"), 1}, {"c"}}};
  const RouteTable table(content);
  const auto level = [&](size_t route, const char* key) {
    return table
        .FindUrgency(ComputeRank(content.routes_[route], table.FindKey(key)))
        .level_;
  };
  CHECK(level(0, "a") == 0);
  CHECK(level(1, "a") == 1);
  CHECK(level(0, "b") == 2);
  CHECK(level(1, "b") == 3);
  CHECK(level(1, "c") == level(1, "a"));
  CHECK(table.FindUrgency({1, 0}).levels_ == 4);
}

TEST_CASE("routes: without workspaces the urgency is the route's") {
  RouteTable::Content content = TwoRoutes();
  content.routes_[0].priority_ = 7;
  content.routes_[1].priority_ = 3;
  const RouteTable table(content);
  CHECK(table.FindUrgency(ComputeRank(content.routes_[0], nullptr)).level_ ==
        1);
  CHECK(table.FindUrgency(ComputeRank(content.routes_[1], nullptr)).level_ ==
        0);
}

UpstreamEntry MakeEntry(const std::string& id, int64_t started_at = 1) {
  UpstreamEntry entry;
  entry.id_ = InstanceId(id);
  entry.started_at_ = started_at;
  entry.group_ = GroupId("g");
  entry.ip_ = "127.0.0.1";
  entry.port_ = 80;
  return entry;
}

using Change = Directory::Change;
constexpr Millis kNow = Millis(1);

UpstreamEntry MakeNumbered(int64_t started_at,
                           int64_t sequence,
                           bool draining) {
  UpstreamEntry entry = MakeEntry("a", started_at);
  entry.sequence_ = sequence;
  entry.draining_ = draining;
  return entry;
}

TEST_CASE("directory: a heartbeat is no change, a restart is one") {
  Directory directory(Millis(2'000));
  CHECK(directory.Put(MakeEntry("a"), kNow) == Change::kChanged);
  CHECK(directory.Put(MakeEntry("a"), kNow) == Change::kNone);
  CHECK(directory.Put(MakeEntry("a", 2), kNow) == Change::kChanged);
  CHECK(directory.Entries().size() == 1);
}

TEST_CASE(
    "directory: an entry removed while the registry is up is dropped at once") {
  Directory directory(Millis(2'000));
  directory.Put(MakeEntry("a"), kNow);
  CHECK(directory.Remove(InstanceId("a"), Millis(10)));
  CHECK(directory.Entries().empty());
}

TEST_CASE(
    "directory: entries that expire in an outage last for the grace period") {
  Directory directory(Millis(2'000));
  directory.Put(MakeEntry("alive"), kNow);
  directory.Put(MakeEntry("dead"), kNow);
  directory.OnRegistryUnavailable();
  directory.OnRegistryAvailable(Millis(10'000));
  CHECK_FALSE(directory.Remove(InstanceId("alive"), Millis(10'010)));
  CHECK_FALSE(directory.Remove(InstanceId("dead"), Millis(10'010)));
  CHECK(directory.Entries().size() == 2);
  directory.Put(MakeEntry("alive"), Millis(10'020));
  CHECK_FALSE(directory.Expire(Millis(11'999)));
  CHECK(directory.Expire(Millis(12'000)));
  REQUIRE(directory.Entries().size() == 1);
  CHECK(directory.Entries()[0].id_ == InstanceId("alive"));
}

TEST_CASE("directory: a draining upstream is not kept through an outage") {
  Directory directory(Millis(2'000));
  UpstreamEntry entry = MakeEntry("a");
  entry.draining_ = true;
  directory.Put(entry, kNow);
  directory.OnRegistryUnavailable();
  directory.OnRegistryAvailable(Millis(10));
  CHECK(directory.Remove(InstanceId("a"), Millis(20)));
}

TEST_CASE("directory: Replace() removes the entries that it does not contain") {
  Directory directory(Millis(2'000));
  directory.Put(MakeEntry("a"), kNow);
  directory.Put(MakeEntry("b"), kNow);
  directory.Replace({MakeEntry("b"), MakeEntry("c")}, Millis(5));
  REQUIRE(directory.Entries().size() == 2);
  CHECK(directory.Entries()[0].id_ == InstanceId("b"));
}

// A heartbeat that the registry carried out seconds late made a draining
// upstream ready again; orders went there and were cut off by its exit.
TEST_CASE("directory: a late heartbeat doesn't end the draining") {
  Directory directory(Millis(2'000));
  directory.Put(MakeNumbered(1, 2, false), kNow);
  CHECK(directory.Put(MakeNumbered(1, 6, true), kNow) == Change::kChanged);
  CHECK(directory.Put(MakeNumbered(1, 3, false), kNow) == Change::kOutdated);
  REQUIRE(directory.Entries().size() == 1);
  CHECK(directory.Entries()[0].draining_);
  // In a list of the newest records as well.
  directory.Replace({MakeNumbered(1, 3, false)}, kNow);
  REQUIRE(directory.Entries().size() == 1);
  CHECK(directory.Entries()[0].draining_);
  CHECK(directory.Put(MakeNumbered(1, 7, true), kNow) == Change::kNone);
}

TEST_CASE("directory: a late entry of an earlier incarnation is ignored") {
  Directory directory(Millis(2'000));
  directory.Put(MakeNumbered(1, 90, true), kNow);
  CHECK(directory.Put(MakeNumbered(2, 1, false), kNow) == Change::kChanged);
  CHECK(directory.Put(MakeNumbered(1, 91, true), kNow) == Change::kOutdated);
  REQUIRE(directory.Entries().size() == 1);
  CHECK_FALSE(directory.Entries()[0].draining_);
  CHECK(directory.Entries()[0].started_at_ == 2);
}

TEST_CASE("directory: a late heartbeat doesn't bring a removed upstream back") {
  Directory directory(Millis(2'000));
  directory.Put(MakeNumbered(1, 6, true), kNow);
  CHECK(directory.Remove(InstanceId("a"), Millis(3'000)));
  CHECK(directory.Put(MakeNumbered(1, 3, false), Millis(8'000)) ==
        Change::kOutdated);
  CHECK(directory.Entries().empty());
  // The upstream itself registers again.
  CHECK(directory.Put(MakeNumbered(1, 7, false), Millis(8'000)) ==
        Change::kChanged);
  CHECK(directory.Entries().size() == 1);
}

TEST_CASE("directory: the number of a removed upstream is kept for a while") {
  Directory directory(Millis(2'000));
  directory.Put(MakeNumbered(1, 6, false), kNow);
  CHECK(directory.Remove(InstanceId("a"), Millis(3'000)));
  CHECK(directory.Put(MakeNumbered(1, 3, false), Millis(62'999)) ==
        Change::kOutdated);
  CHECK(directory.Put(MakeNumbered(1, 3, false), Millis(63'000)) ==
        Change::kChanged);
}

// @return the entries "a", "b" and "c", which are put into the directory.
std::vector<UpstreamEntry> PutThree(Directory* directory) {
  std::vector<UpstreamEntry> entries = {MakeEntry("a"), MakeEntry("b"),
                                        MakeEntry("c")};
  for (const UpstreamEntry& entry : entries) {
    directory->Put(entry, kNow);
  }
  return entries;
}

// Upstreams that had registered since the copy were dropped until they wrote
// again.
TEST_CASE("directory: upstreams that a restored registry lacks are kept") {
  Directory directory(Millis(2'000));
  const std::vector<UpstreamEntry> copy = PutThree(&directory);
  directory.Put(MakeEntry("new"), kNow);
  directory.Put(MakeEntry("gone"), kNow);
  UpstreamEntry leaving = MakeEntry("leaving");
  leaving.draining_ = true;
  directory.Put(leaving, kNow);
  directory.OnRegistryRestored(Millis(10'000));
  directory.Replace(copy, Millis(10'000));
  const std::vector<UpstreamEntry> kept = directory.Entries();
  REQUIRE(kept.size() == 5);
  CHECK(kept[3].id_ == InstanceId("gone"));
  CHECK(kept[3].registration_ == Registration::kLapsed);
  CHECK(kept[4].id_ == InstanceId("new"));
  CHECK(kept[4].registration_ == Registration::kLapsed);
  CHECK(directory.Put(MakeEntry("new"), Millis(11'000)) == Change::kChanged);
  CHECK(directory.Expire(Millis(12'000)));
  REQUIRE(directory.Entries().size() == 4);
  CHECK(directory.Entries()[3].registration_ == Registration::kListed);
  // What is missing from a later list has left.
  directory.Replace(copy, Millis(13'000));
  CHECK(directory.Entries().size() == 3);
}

// A restored registry lists upstreams that have left since its copy was made.
TEST_CASE("directory: a restored entry doesn't bring a removed upstream back") {
  Directory directory(Millis(2'000));
  directory.Put(MakeNumbered(1, 6, false), kNow);
  CHECK(directory.Remove(InstanceId("a"), Millis(3'000)));
  directory.OnRegistryRestored(Millis(8'000));
  directory.Replace({MakeNumbered(1, 6, false)}, Millis(8'000));
  CHECK(directory.Entries().empty());
  CHECK(directory.Put(MakeNumbered(1, 7, false), Millis(8'100)) ==
        Change::kChanged);
}

TEST_CASE("directory: a restore brings back none that had expired before") {
  Directory directory(Millis(2'000));
  const std::vector<UpstreamEntry> listed = PutThree(&directory);
  directory.Put(MakeEntry("left"), kNow);
  directory.Put(MakeEntry("lost"), kNow);
  directory.OnRegistryUnavailable();
  directory.OnRegistryAvailable(Millis(5'000));
  CHECK_FALSE(directory.Remove(InstanceId("left"), Millis(5'010)));
  for (int restores = 0; restores < 2; ++restores) {
    directory.OnRegistryRestored(Millis(5'100 + restores));
    directory.Replace(listed, Millis(5'100 + restores));
    REQUIRE(directory.Entries().size() == 5);
    CHECK(directory.Entries()[3].registration_ == Registration::kMissing);
    CHECK(directory.Entries()[4].registration_ == Registration::kLapsed);
  }
  // A removal that the log tells counts as any other.
  CHECK_FALSE(directory.Remove(InstanceId("lost"), Millis(5'200)));
  CHECK(directory.Entries()[4].registration_ == Registration::kMissing);
}

}  // namespace
}  // namespace bergamotscale::route
