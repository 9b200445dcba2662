// Configuration document: errors by field, canonical form, examples.
#include <fstream>
#include <sstream>
#include <string>

#include <doctest/doctest.h>

#include "bergamotscale/config_document.h"
#include "src/config/key_hash.h"

namespace bergamotscale::config {
namespace {

std::string ReadExample(const std::string& name) {
  std::ifstream stream(std::string(BERGAMOTSCALE_EXAMPLES_DIR) + "/" + name);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

std::string ErrorsOf(const std::string& text) {
  const Result<ConfigDocument> parsed = ParseConfigDocument(text, "d");
  return parsed.ok() ? std::string() : parsed.error().detail_;
}

TEST_CASE("config document: the examples are valid and survive a round trip") {
  for (const char* name : {"hanbit_tagworks.json", "plygu_ffliw.json"}) {
    const Result<ConfigDocument> parsed =
        ParseConfigDocument(ReadExample(name), name);
    CAPTURE(name);
    REQUIRE_MESSAGE(parsed.ok(), parsed.error().Message());
    const std::string text = SerializeConfigDocument(parsed.value());
    const Result<ConfigDocument> again = ParseConfigDocument(text, name);
    REQUIRE(again.ok());
    CHECK(SerializeConfigDocument(again.value()) == text);
    CHECK(parsed.value().FindService("/v1/orders") != nullptr);
  }
}

TEST_CASE("config document: workspaces are found by the hash of their key") {
  const Result<ConfigDocument> parsed =
      ParseConfigDocument(ReadExample("hanbit_tagworks.json"), "h");
  REQUIRE(parsed.ok());
  const Workspace* workspace = parsed.value().FindWorkspaceByKeyHash(
      HashWorkspaceKey("hanbit-large-key"));
  REQUIRE(workspace != nullptr);
  CHECK(workspace->name_ == WorkspaceId("seoul-stock"));
  CHECK(parsed.value().FindWorkspaceByKeyHash("hanbit-large-key") == nullptr);
  CHECK(VerifyPassword("hanbit-operator",
                       parsed.value().operators_[0].password_hash_));
}

TEST_CASE("config document: every error has its key and what was expected") {
  const std::string errors = ErrorsOf(
      R"({"classes":[{"name":"a","tier":0},{"name":"a","tier":1,"color":2}],
          "workspaces":[{"name":"w","key_hashes":["x"],"classes":["b"]}],
          "groups":[{"name":"g","kind":"service"}],
          "models":[{"name":"m","group":"g"}],
          "services":[{"path":"/healthz","group":"none","class":"a"}]})");
  CHECK(errors ==
        "d:classes[0].tier: expected an integer from 1 to 9\n"
        "d:classes[1].color: expected no such name\n"
        "d:workspaces[0].key_hashes: expected lower-case hex SHA-256 hashes\n"
        "d:classes[1].name: expected a name used only once\n"
        "d:workspaces[0].classes: expected classes of this document, not "
        "\"b\"\n"
        "d:models[0].group: expected the name of a group of kind engine\n"
        "d:services[0].group: expected the name of a group of kind service\n"
        "d:services[0].path: expected a path that the entry doesn't answer");
  CHECK(ErrorsOf(R"({"models":[{"name":"","group":"g"}],
                     "groups":[{"name":"g","kind":""}],
                     "operators":[{"name":"o"}]})") ==
        "d:groups[0].kind: expected \"engine\" or \"service\"\n"
        "d:models[0].name: expected a name of at most 64 letters, digits or "
        "-_.:\n"
        "d:operators[0].password_hash: expected a value, but it is missing");
  CHECK(ErrorsOf("[]") == "d:: expected a JSON object");
  CHECK(ErrorsOf("{") == "d:: expected a JSON object");
}

TEST_CASE("config document: sums of floors are limited") {
  CHECK(ErrorsOf(R"({"classes":[{"name":"a","tier":1,"floor_percent":60},
                                {"name":"b","tier":2,"floor_percent":40}]})") ==
        "d:classes: expected floors of at most 90 percent together, not 100");
  CHECK(ErrorsOf(R"({"classes":[{"name":"a","tier":1},
                                {"name":"b","tier":2,"floor_percent":30},
                                {"name":"c","tier":3,"floor_percent":30}]})") ==
        "d:classes: expected floors of at most 50 percent together below tier "
        "1, not 60");
  CHECK(ErrorsOf(R"({"classes":[{"name":"a","tier":1},
                                {"name":"b","tier":2,"floor_percent":50}]})")
            .empty());
}

TEST_CASE("key hash: passwords verify, malformed hashes don't") {
  const std::string hash = HashPassword("secret");
  CHECK(IsPasswordHash(hash));
  CHECK(VerifyPassword("secret", hash));
  CHECK(!VerifyPassword("Secret", hash));
  CHECK(hash != HashPassword("secret"));
  CHECK(!VerifyPassword("secret", "1$$"));
  CHECK(!VerifyPassword("secret", ""));
  CHECK(HashWorkspaceKey("abc") ==
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

}  // namespace
}  // namespace bergamotscale::config
