// Tests that the example settings are valid for the binaries.
#include <string>

#include <doctest/doctest.h>

#include "src/entry/settings.h"
#include "src/settings/field_reader.h"
#include "src/sidecar/settings.h"

namespace bergamotscale {
namespace {

std::string Example(const std::string& name) {
  return std::string(BERGAMOTSCALE_EXAMPLES_DIR) + "/" + name;
}

TEST_CASE("settings: the examples are valid") {
  entry::EntrySettings entry;
  const Status entry_read = settings::ReadFile(
      Example("entry_settings.json"), [&](settings::FieldReader& reader) {
        entry::ReadEntrySettings(reader, &entry);
      });
  REQUIRE(entry_read.ok());
  CHECK(entry.instance_ == InstanceId("entry-1"));
  REQUIRE(entry.sidecars_.size() == 1);
  CHECK(entry.sidecars_[0].endpoint_.port_ == 18071);
  sidecar::SidecarSettings sidecar;
  const Status sidecar_read = settings::ReadFile(
      Example("sidecar_settings.json"), [&](settings::FieldReader& reader) {
        sidecar::ReadSidecarSettings(reader, &sidecar);
      });
  REQUIRE(sidecar_read.ok());
  CHECK(sidecar.kind_ == GroupKind::kEngine);
}

}  // namespace
}  // namespace bergamotscale
