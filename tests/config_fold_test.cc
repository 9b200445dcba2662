// Config fold: base matching, duplicates, snapshots, lost records.
#include <iostream>
#include <random>
#include <string>
#include <utility>

#include <doctest/doctest.h>

#include "bergamotscale/clock.h"
#include "src/config/config_fold.h"
#include "src/config/delta.h"
#include "src/config/document_reader.h"
#include "src/config/key_hash.h"

namespace bergamotscale::config {
namespace {

using nlohmann::json;

json DocumentNamed(const std::string& name) {
  return {{"models", {{{"name", name}, {"group", "g"}}}}};
}

log::Record Publication(int64_t offset,
                        const std::string& id,
                        int64_t base,
                        json document) {
  PublicationRecord record;
  record.id_ = PublicationId(id);
  record.base_ = Revision(base);
  record.document_ = std::move(document);
  return {LogOffset(offset), EncodeRecord(record)};
}

log::Record Snapshot(int64_t offset,
                     int64_t revision,
                     int64_t as_of,
                     const std::string& name) {
  SnapshotRecord record;
  record.revision_ = Revision(revision);
  record.as_of_ = LogOffset(as_of);
  record.id_ = PublicationId("id-of-" + name);
  record.document_ = DocumentNamed(name);
  return {LogOffset(offset), EncodeRecord(record)};
}

TEST_CASE("config fold: the first publication with a matching base wins") {
  ConfigFold fold;
  fold.Apply(Publication(0, "a", 0, DocumentNamed("one")));
  fold.Apply(Publication(1, "b", 0, DocumentNamed("two")));
  fold.Apply(Publication(2, "a", 0, DocumentNamed("one")));
  fold.Apply(Publication(3, "c", 1, DocumentNamed("three")));
  fold.Apply({LogOffset(4), "not a record"});
  CHECK(fold.revision() == Revision(2));
  CHECK(fold.document() == DocumentNamed("three"));
  CHECK(fold.FindOutcome(PublicationId("a"))->accepted_);
  CHECK(!fold.FindOutcome(PublicationId("b"))->accepted_);
  CHECK(fold.FindOutcome(PublicationId("b"))->revision_ == Revision(1));
  CHECK(fold.History().size() == 3);
  CHECK(fold.next_offset() == LogOffset(5));
}

TEST_CASE("config fold: a delta changes the base document") {
  json from = DocumentNamed("one");
  json to = from;
  to["models"].push_back({{"name", "two"}, {"group", "g"}});
  PublicationRecord record;
  record.id_ = PublicationId("b");
  record.base_ = Revision(1);
  record.delta_ = MakeDelta(from, to);
  ConfigFold fold;
  fold.Apply(Publication(0, "a", 0, from));
  fold.Apply({LogOffset(1), EncodeRecord(record)});
  CHECK(fold.document() == to);
  CHECK(
      !ApplyDelta(from, json::parse(R"([{"op":"remove","path":"/x"}])")).ok());
}

// Random elements in two lists; sometimes out of order, as an older binary
// might write them.
json DrawDocument(std::mt19937_64& random) {
  json document = json::object();
  for (const char* list : {"models", "services"}) {
    const std::string key = list == std::string("models") ? "name" : "path";
    document[list] = json::array();
    for (char name = 'a'; name <= 'f'; ++name) {
      if (random() % 2 == 0) {
        document[list].push_back(
            {{key, std::string(1, name)}, {"value", random() % 3}});
      }
    }
    if (random() % 8 == 0 && document[list].size() > 1) {
      std::swap(document[list].front(), document[list].back());
    }
  }
  return document;
}

json DrawDelta(std::mt19937_64& random, const json& from) {
  static const std::vector<std::string> kOthers = {
      R"([{"op": "remove", "path": "/models/a"}])",
      R"([{"op": "replace", "path": "/models/b/name", "value": "z"}])",
      R"([{"op": "add", "path": "/models/c", "value": 5}])",
      R"([{"op": "add", "path": "/other/c", "value": {"name": "c"}}])",
      R"([{"op": "replace", "path": "/models", "value": {}}])",
      R"([{"op": "copy", "from": "/models/a", "path": "/services/e"}])",
      R"([{"op": "move", "from": "/models/a", "path": "/models/g"}])",
      R"([{"op": "test", "path": "/models/a/value", "value": 1},
          {"op": "remove", "path": "/services/b"}])",
      R"([{"op": "add", "path": 7}])",
      R"({"op": "remove"})",
      R"([5])",
  };
  if (random() % 2 == 0) {
    return MakeDelta(from, DrawDocument(random));
  }
  return json::parse(kOthers[random() % kOthers.size()]);
}

TEST_CASE(
    "config delta: patching in place has the same result as a full copy") {
  std::mt19937_64 random(1);
  int fitting = 0;
  for (int round = 0; round < 3000; ++round) {
    const json from = DrawDocument(random);
    const json delta = DrawDelta(random, from);
    const Result<json> whole = ApplyDelta(from, delta);
    json patched = from;
    const Status status = PatchDocument(delta, &patched);
    CAPTURE(from.dump());
    CAPTURE(delta.dump());
    REQUIRE(status.ok() == whole.ok());
    REQUIRE(patched == (whole.ok() ? whole.value() : from));
    fitting += whole.ok() ? 1 : 0;
  }
  CHECK(fitting > 1000);
}

TEST_CASE("config fold: one change at the target size is a small record") {
  constexpr int kWorkspaces = 5300;
  ConfigDocument document;
  document.classes_ = {{ClassId("quote")}};
  for (int index = 0; index < kWorkspaces; ++index) {
    Workspace workspace;
    workspace.name_ = WorkspaceId("workspace-" + std::to_string(index));
    workspace.key_hashes_ = {HashWorkspaceKey(std::to_string(index))};
    workspace.classes_ = {ClassId("quote")};
    document.workspaces_.push_back(workspace);
  }
  const json from = ConfigDocumentToJson(document);
  document.workspaces_[7].burst_ = 7;
  document.workspaces_.erase(document.workspaces_.begin());
  const json to = ConfigDocumentToJson(document);
  PublicationRecord record;
  record.id_ = PublicationId("p-0123456789abcdef01234567");
  record.base_ = Revision(1);
  record.delta_ = MakeDelta(from, to);
  const std::string payload = EncodeRecord(record);
  ConfigFold fold;
  fold.Apply(Publication(0, "a", 0, from));
  const Clock clock = Clock::Steady();
  const Millis start = clock.Now();
  fold.Apply({LogOffset(1), payload});
  std::cout << "document of " << kWorkspaces
            << " workspaces: " << from.dump().size()
            << " bytes; record of two changes: " << payload.size()
            << " bytes; folded in " << (clock.Now() - start).count() << " ms\n";
  CHECK(fold.document() == to);
  CHECK(payload.size() < 1000);
}

TEST_CASE("config fold: a snapshot covers lost records for a new process") {
  ConfigFold fold;
  fold.OnRecordsLost(LogOffset(7));
  CHECK(!fold.complete());
  // Only a snapshot shows which of these was accepted.
  fold.Apply(Publication(7, "x", 4, DocumentNamed("six")));
  fold.Apply(Publication(8, "y", 5, DocumentNamed("five")));
  CHECK(fold.revision() == Revision(0));
  fold.Apply(Snapshot(9, 5, 8, "base"));
  CHECK(fold.complete());
  CHECK(fold.revision() == Revision(6));
  CHECK(fold.document() == DocumentNamed("five"));
  CHECK(fold.restart_offset() == LogOffset(8));
}

TEST_CASE("config fold: a snapshot from before the loss doesn't complete it") {
  ConfigFold fold;
  fold.OnRecordsLost(LogOffset(7));
  fold.Apply(Snapshot(7, 5, 6, "old"));
  CHECK(!fold.complete());
  CHECK(fold.revision() == Revision(5));
  fold.Apply(Publication(8, "z", 5, DocumentNamed("unknown")));
  CHECK(fold.revision() == Revision(5));
  fold.Apply(Snapshot(9, 6, 9, "new"));
  CHECK(fold.complete());
  CHECK(fold.revision() == Revision(6));
}

TEST_CASE("config fold: snapshots and offers never decrease the revision") {
  ConfigFold fold;
  fold.Apply(Publication(0, "a", 0, DocumentNamed("one")));
  fold.Apply(Publication(1, "b", 1, DocumentNamed("two")));
  fold.Apply(Snapshot(2, 1, 1, "one"));
  CHECK(fold.revision() == Revision(2));
  SnapshotRecord state;
  state.revision_ = Revision(1);
  state.as_of_ = LogOffset(1);
  fold.ApplyPeerOffer(state);
  CHECK(fold.revision_in_force() == Revision(2));
  CHECK(fold.complete());
}

TEST_CASE(
    "config fold: records are applied while a peer's revision is in force") {
  ConfigFold fold;
  fold.Apply(Publication(0, "a", 0, DocumentNamed("one")));
  SnapshotRecord state;
  state.revision_ = Revision(3);
  state.as_of_ = LogOffset(3);
  state.document_ = DocumentNamed("three");
  fold.ApplyPeerOffer(state);
  CHECK(fold.revision_in_force() == Revision(3));
  CHECK(fold.document_in_force() == DocumentNamed("three"));
  // Outcomes of records that the peer's state includes are still found.
  fold.Apply(Publication(1, "b", 1, DocumentNamed("two")));
  CHECK(fold.revision_in_force() == Revision(3));
  CHECK(fold.FindOutcome(PublicationId("b"))->accepted_);
  // If those records are lost, the peer's state covers them.
  fold.OnRecordsLost(LogOffset(3));
  CHECK(fold.complete());
  fold.Apply(Publication(3, "d", 3, DocumentNamed("four")));
  CHECK(fold.revision() == Revision(4));
}

}  // namespace
}  // namespace bergamotscale::config
