// Measures the cost of a configuration change as the number of workspaces
// grows.
#include <cstdint>
#include <string>

#include <benchmark/benchmark.h>

#include "src/config/config_fold.h"
#include "src/config/delta.h"
#include "src/config/document_reader.h"
#include "src/config/key_hash.h"

namespace bergamotscale::config {
namespace {

using nlohmann::json;

json DocumentOf(int64_t workspaces) {
  ConfigDocument document;
  document.classes_.resize(3);
  const char* const names[] = {"quote", "order", "plan"};
  for (size_t i = 0; i < document.classes_.size(); ++i) {
    document.classes_[i].name_ = ClassId(names[i]);
    document.classes_[i].tier_ = Tier(static_cast<int64_t>(i) + 1);
  }
  for (int64_t i = 0; i < workspaces; ++i) {
    Workspace workspace;
    workspace.name_ = WorkspaceId("workspace-" + std::to_string(i));
    workspace.key_hashes_ = {HashWorkspaceKey("key-" + std::to_string(i))};
    workspace.classes_ = {ClassId("quote"), ClassId("plan")};
    document.workspaces_.push_back(workspace);
  }
  return ConfigDocumentToJson(document);
}

// @return the same document with another limit for one workspace.
json ChangeWorkspaceLimit(json document) {
  document["workspaces"].back()["burst"] = 7;
  return document;
}

log::Record RecordOf(LogOffset offset, const ConfigRecord& record) {
  log::Record result;
  result.offset_ = offset;
  result.payload_ = EncodeRecord(record);
  return result;
}

PublicationRecord PublicationOf(Revision base) {
  PublicationRecord publication;
  publication.id_ = PublicationId("p" + std::to_string(base.value()));
  publication.base_ = base;
  return publication;
}

ConfigFold FoldAt(const json& document) {
  PublicationRecord first = PublicationOf(Revision(0));
  first.document_ = document;
  ConfigFold fold;
  fold.Apply(RecordOf(LogOffset(0), first));
  return fold;
}

void ApplyChange(benchmark::State& state) {
  const json document = DocumentOf(state.range(0));
  const json changed = ChangeWorkspaceLimit(document);
  const json forward_delta = MakeDelta(document, changed);
  const json reverse_delta = MakeDelta(changed, document);
  ConfigFold fold = FoldAt(document);
  int64_t next = 1;
  for (auto _ : state) {
    PublicationRecord publication = PublicationOf(Revision(next));
    publication.delta_ = next % 2 == 1 ? forward_delta : reverse_delta;
    fold.Apply(RecordOf(LogOffset(next), publication));
    ++next;
  }
  if (fold.revision() != Revision(next)) {
    state.SkipWithError("a change was not accepted");
  }
}
BENCHMARK(ApplyChange)->Arg(10)->Arg(1000)->Arg(5300);

void ReadMetadataInForce(benchmark::State& state) {
  const ConfigFold fold = FoldAt(DocumentOf(state.range(0)));
  for (auto _ : state) {
    benchmark::DoNotOptimize(fold.MetadataInForce());
  }
}
BENCHMARK(ReadMetadataInForce)->Arg(10)->Arg(1000)->Arg(5300);

void ReadDocument(benchmark::State& state) {
  const json document = DocumentOf(state.range(0));
  for (auto _ : state) {
    settings::FieldErrors errors;
    benchmark::DoNotOptimize(ReadConfigDocument(document, "", &errors));
  }
}
BENCHMARK(ReadDocument)->Arg(10)->Arg(1000)->Arg(5300);

void SerializeDocument(benchmark::State& state) {
  const json document = DocumentOf(state.range(0));
  for (auto _ : state) {
    benchmark::DoNotOptimize(document.dump());
  }
}
BENCHMARK(SerializeDocument)->Arg(10)->Arg(1000)->Arg(5300);

}  // namespace
}  // namespace bergamotscale::config

BENCHMARK_MAIN();
