// Tests that each error in settings is reported with file, key and expected
// value.
#include <string>

#include <doctest/doctest.h>

#include "src/settings/field_reader.h"

namespace bergamotscale::settings {
namespace {

using Need = FieldReader::Need;

TEST_CASE("settings: every fault is reported with file and key") {
  int port = 1;
  std::string name = "unchanged";
  const Status read = ReadDocument(
      "{ \"port\": 70000, // too large\n \"name\": 3, \"colour\": 1 }",
      "a.json", [&](FieldReader& reader) {
        reader.Integer("port", Need::kRequired, 1, 65535, &port);
        reader.String("name", Need::kRequired, &name);
        reader.String("zone", Need::kRequired, &name);
      });
  REQUIRE(!read.ok());
  CHECK(read.error().detail_ ==
        "a.json:port: expected an integer from 1 to 65535\n"
        "a.json:name: expected a string\n"
        "a.json:zone: expected a value, but it is missing\n"
        "a.json:colour: expected no such name");
  CHECK(port == 1);
  CHECK(name == "unchanged");
}

TEST_CASE("settings: an integer beyond 64 bits is out of range") {
  int64_t value = 7;
  const Status read = ReadDocument(
      "{\"value\": 18446744073709551615}", "a.json", [&](FieldReader& reader) {
        reader.Integer("value", Need::kRequired, int64_t{0}, int64_t{10},
                       &value);
      });
  CHECK(!read.ok());
  CHECK(value == 7);
}

}  // namespace
}  // namespace bergamotscale::settings
