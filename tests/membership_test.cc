// Tests how an entry merges listed and configured sidecars. The instance list
// is delayed and may be incomplete, so it adds sidecars, but removes a
// configured one only if it is listed as leaving.
#include <string>

#include <doctest/doctest.h>

#include "src/entry/membership.h"

namespace bergamotscale::entry {
namespace {

SidecarMember Member(const std::string& id, uint16_t port) {
  SidecarMember member;
  member.id_ = InstanceId(id);
  member.endpoint_ = {"127.0.0.1", port};
  return member;
}

TEST_CASE("membership: only sidecars are read, with their state") {
  const Result<std::vector<ListedSidecar>> listed = ParseListedSidecars(R"(
    {"instances": [
      {"id": "s-1", "role": "sidecar", "group": "g", "zone": "a",
       "address": "127.0.0.1", "link_port": 7, "state": "leaving"},
      {"id": "e-1", "role": "entry", "state": "live"}]})");
  REQUIRE(listed.ok());
  REQUIRE(listed.value().size() == 1);
  CHECK(listed.value()[0].member_.id_ == InstanceId("s-1"));
  CHECK(!listed.value()[0].live_);
  CHECK(!ParseListedSidecars("{}").ok());
  CHECK(!ParseListedSidecars("nonsense").ok());
}

TEST_CASE("membership: configured members stay unless listed as leaving") {
  const std::vector<SidecarMember> configured = {Member("s-1", 1),
                                                 Member("s-2", 2)};
  const std::vector<ListedSidecar> listed = {{Member("s-2", 2), false},
                                             {Member("s-3", 3), true}};
  const std::vector<SidecarMember> merged = MergeMembers(configured, listed);
  REQUIRE(merged.size() == 2);
  CHECK(merged[0].id_ == InstanceId("s-1"));
  CHECK(merged[1].id_ == InstanceId("s-3"));
}

}  // namespace
}  // namespace bergamotscale::entry
