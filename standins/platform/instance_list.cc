#include "standins/platform/instance_list.h"

#include <utility>

#include "src/settings/field_reader.h"

namespace bergamotscale::standins {
namespace {

using nlohmann::json;
using settings::FieldReader;
using Need = FieldReader::Need;

constexpr int kMaxPort = 65535;

void CheckState(FieldReader& reader) {
  std::string state = "live";
  reader.String("state", Need::kOptional, &state);
  if (state != "live" && state != "leaving" && state != "gone") {
    reader.AddError("state", "\"live\", \"leaving\" or \"gone\"");
  }
}

Status CheckInstance(const std::string& text) {
  return settings::ReadDocument(text, "instance", [](FieldReader& reader) {
    std::string ignored;
    int port = 0;
    reader.String("id", Need::kRequired, &ignored);
    for (const char* key : {"role", "group", "zone", "address"}) {
      reader.String(key, Need::kOptional, &ignored);
    }
    reader.Integer("link_port", Need::kOptional, 0, kMaxPort, &port);
    reader.Integer("http_port", Need::kOptional, 0, kMaxPort, &port);
    CheckState(reader);
  });
}

json DefaultInstance() {
  return {{"role", ""},     {"group", ""},    {"zone", ""},     {"address", ""},
          {"link_port", 0}, {"http_port", 0}, {"state", "live"}};
}

}  // namespace

InstanceList::InstanceList(Millis lag) : lag_(lag) {}

Status InstanceList::Change(const std::string& text, Millis now) {
  const Status checked = CheckInstance(text);
  if (!checked.ok()) {
    return Error(ErrorCode::kMalformedBody, checked.error().detail_);
  }
  const json change = json::parse(text, nullptr, false, true);
  const auto id = change["id"].get<std::string>();
  json& instance = newest_.try_emplace(id, DefaultInstance()).first->second;
  instance.update(change);
  pending_.push_back({now, instance});
  if (instance["state"] == "gone") {
    newest_.erase(id);
  }
  return Done{};
}

std::string InstanceList::Render(Millis now) {
  while (!pending_.empty() && now - pending_.front().time_ >= lag_) {
    json instance = std::move(pending_.front().instance_);
    pending_.pop_front();
    const auto id = instance["id"].get<std::string>();
    if (instance["state"] == "gone") {
      shown_.erase(id);
    } else {
      shown_[id] = std::move(instance);
    }
  }
  json instances = json::array();
  for (const auto& [id, instance] : shown_) {
    instances.push_back(instance);
  }
  return json{{"instances", std::move(instances)}}.dump();
}

}  // namespace bergamotscale::standins
