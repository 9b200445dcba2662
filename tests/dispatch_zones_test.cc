// Placement of reservations across availability zones.
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "src/policy/dispatcher.h"

namespace bergamotscale::policy {
namespace {

// Six idle upstreams, every other one in zone a.
std::vector<UpstreamView> Views() {
  std::vector<UpstreamView> views(6);
  for (size_t i = 0; i < views.size(); ++i) {
    views[i].sidecar_ = InstanceId("s" + std::to_string(i));
    views[i].group_ = GroupId("engines");
    views[i].zone_ = ZoneId(i % 2 == 0 ? "a" : "b");
    views[i].usable_ = true;
    views[i].slots_ = 4;
    views[i].between_tokens_ = Millis(20);
  }
  return views;
}

DispatchRequest Request() {
  DispatchRequest request;
  request.class_ = ClassId("quote");
  request.group_ = GroupId("engines");
  return request;
}

Dispatcher DispatcherInA() {
  DispatcherOptions options;
  options.zone_ = ZoneId("a");
  return Dispatcher(options);
}

int CountInOtherZones(const std::vector<UpstreamView>& views,
                      const DispatchRequest& request) {
  Dispatcher dispatcher = DispatcherInA();
  int in_other_zones = 0;
  for (const int index : dispatcher.Choose(request, views)) {
    in_other_zones += views[index].zone_ == ZoneId("a") ? 0 : 1;
  }
  return in_other_zones;
}

TEST_CASE(
    "dispatch: no reservation in another zone while the own has a free slot") {
  std::vector<UpstreamView> views = Views();
  views[0].running_ = 4;
  views[2].running_ = 3;
  CHECK(CountInOtherZones(views, Request()) == 0);
  views[4].usable_ = false;
  CHECK(CountInOtherZones(views, Request()) == 0);
}

TEST_CASE(
    "dispatch: other zones if the own is full, slow or has one upstream") {
  std::vector<UpstreamView> full = Views();
  std::vector<UpstreamView> slow = Views();
  std::vector<UpstreamView> waiting = Views();
  std::vector<UpstreamView> single = Views();
  for (const int own : {0, 2, 4}) {
    full[own].running_ = 4;
    slow[own].between_tokens_ = Millis(90);
    waiting[own].expected_wait_ = Millis(200);
    single[own].usable_ = own == 0;
  }
  slow[0].usable_ = false;  // so that the median is that of zone b
  for (const auto& views : {full, slow, waiting, single}) {
    CHECK(CountInOtherZones(views, Request()) > 0);
  }
}

TEST_CASE("dispatch: a longer cached prefix outweighs the own zone") {
  std::vector<UpstreamView> views = Views();
  DispatchRequest request = Request();
  request.prefix_hashes_ = {11, 22};
  views[1].cached_prefixes_ = {11, 22};
  views[2].cached_prefixes_ = {11};
  CHECK(DispatcherInA().Choose(request, views).front() == 1);
  views[2].cached_prefixes_ = {11, 22};
  CHECK(CountInOtherZones(views, request) == 0);
}

TEST_CASE("dispatch: a suspect tries one upstream at a time") {
  const std::vector<UpstreamView> views = Views();
  DispatchRequest request = Request();
  request.suspect_ = true;
  request.digest_ = 7;
  const std::vector<int> first = DispatcherInA().Choose(request, views);
  REQUIRE(first.size() == 1);
  request.avoid_ = {views[first.front()].sidecar_};
  const std::vector<int> next = DispatcherInA().Choose(request, views);
  REQUIRE(next.size() == 1);
  CHECK(next != first);
}

TEST_CASE("dispatch: a suspect goes only where its model is loaded") {
  std::vector<UpstreamView> views = Views();
  const ModelId model("quotes-8b");
  views[3].models_ = {model};
  DispatchRequest request = Request();
  request.suspect_ = true;
  request.model_ = model;
  for (uint64_t digest = 1; digest <= 20; ++digest) {
    request.digest_ = digest;
    CHECK(DispatcherInA().Choose(request, views) == std::vector<int>{3});
  }
}

}  // namespace
}  // namespace bergamotscale::policy
