#include "src/settings/field_reader.h"

#include <algorithm>
#include <fstream>
#include <limits>
#include <sstream>
#include <utility>

namespace bergamotscale::settings {
namespace {

template <typename T>
std::string FormatRange(const char* kind, T minimum, T maximum) {
  std::ostringstream text;
  text << kind << " from " << minimum << " to " << maximum;
  return text.str();
}

}  // namespace

std::string FieldError::Message() const {
  return origin_ + ":" + key_ + ": expected " + expected_;
}

std::string JoinErrors(const FieldErrors& errors) {
  std::string text;
  for (const FieldError& error : errors) {
    if (!text.empty()) {
      text += "\n";
    }
    text += error.Message();
  }
  return text;
}

FieldReader::FieldReader(const nlohmann::json& object,
                         std::string origin,
                         std::string path,
                         FieldErrors* errors)
    : object_(object),
      origin_(std::move(origin)),
      path_(std::move(path)),
      errors_(errors) {}

std::string FieldReader::MakePath(const std::string& key) const {
  return path_.empty() ? key : path_ + "." + key;
}

void FieldReader::AddError(const std::string& key,
                           const std::string& expected) {
  errors_->push_back(FieldError{origin_, MakePath(key), expected});
}

const nlohmann::json* FieldReader::Find(const char* key, Need need) {
  known_keys_.emplace_back(key);
  const auto found = object_.find(key);
  if (found != object_.end()) {
    return &*found;
  }
  if (need == Need::kRequired) {
    AddError(key, "a value, but it is missing");
  }
  return nullptr;
}

void FieldReader::String(const char* key, Need need, std::string* target) {
  const nlohmann::json* value = Find(key, need);
  if (value == nullptr) {
    return;
  }
  if (!value->is_string()) {
    AddError(key, "a string");
    return;
  }
  *target = value->get<std::string>();
}

void FieldReader::Boolean(const char* key, Need need, bool* target) {
  const nlohmann::json* value = Find(key, need);
  if (value == nullptr) {
    return;
  }
  if (!value->is_boolean()) {
    AddError(key, "true or false");
    return;
  }
  *target = value->get<bool>();
}

void FieldReader::Integer(const char* key,
                          Need need,
                          int64_t minimum,
                          int64_t maximum,
                          int64_t* target) {
  const nlohmann::json* value = Find(key, need);
  if (value == nullptr) {
    return;
  }
  const bool too_large =
      value->is_number_unsigned() &&
      value->get<uint64_t>() >
          static_cast<uint64_t>(std::numeric_limits<int64_t>::max());
  if (!value->is_number_integer() || too_large ||
      value->get<int64_t>() < minimum || value->get<int64_t>() > maximum) {
    AddError(key, FormatRange("an integer", minimum, maximum));
    return;
  }
  *target = value->get<int64_t>();
}

void FieldReader::Integer(const char* key,
                          Need need,
                          int minimum,
                          int maximum,
                          int* target) {
  int64_t wide = *target;
  Integer(key, need, static_cast<int64_t>(minimum),
          static_cast<int64_t>(maximum), &wide);
  *target = static_cast<int>(wide);
}

void FieldReader::Number(const char* key,
                         Need need,
                         double minimum,
                         double maximum,
                         double* target) {
  const nlohmann::json* value = Find(key, need);
  if (value == nullptr) {
    return;
  }
  const bool in_range = value->is_number() && value->get<double>() >= minimum &&
                        value->get<double>() <= maximum;
  if (!in_range) {
    AddError(key, FormatRange("a number", minimum, maximum));
    return;
  }
  *target = value->get<double>();
}

void FieldReader::Duration(const char* key,
                           Need need,
                           Millis minimum,
                           Millis maximum,
                           Millis* target) {
  ReadTime(key, need, 1, minimum, maximum, target);
}

void FieldReader::Seconds(const char* key,
                          Need need,
                          Millis minimum,
                          Millis maximum,
                          Millis* target) {
  constexpr double kMillisPerSecond = 1'000;
  ReadTime(key, need, kMillisPerSecond, minimum, maximum, target);
}

void FieldReader::ReadTime(const char* key,
                           Need need,
                           double unit_ms,
                           Millis minimum,
                           Millis maximum,
                           Millis* target) {
  double value = static_cast<double>(target->count()) / unit_ms;
  Number(key, need, static_cast<double>(minimum.count()) / unit_ms,
         static_cast<double>(maximum.count()) / unit_ms, &value);
  // Decimal fractions have no exact value, so 0.29 s is a little less.
  constexpr double kTolerance = 1e-6;
  *target = Millis(static_cast<int64_t>(value * unit_ms + kTolerance));
}

void FieldReader::Strings(const char* key,
                          Need need,
                          std::vector<std::string>* target) {
  const nlohmann::json* value = Find(key, need);
  if (value == nullptr) {
    return;
  }
  const auto is_string = [](const nlohmann::json& item) {
    return item.is_string();
  };
  if (!value->is_array() ||
      !std::all_of(value->begin(), value->end(), is_string)) {
    AddError(key, "an array of strings");
    return;
  }
  *target = value->get<std::vector<std::string>>();
}

void FieldReader::Object(const char* key,
                         Need need,
                         const std::function<void(FieldReader&)>& read) {
  const nlohmann::json* value = Find(key, need);
  if (value == nullptr) {
    return;
  }
  if (!value->is_object()) {
    AddError(key, "an object");
    return;
  }
  FieldReader nested(*value, origin_, MakePath(key), errors_);
  read(nested);
  nested.Finish();
}

void FieldReader::Objects(const char* key,
                          Need need,
                          const std::function<void(FieldReader&)>& read) {
  const nlohmann::json* value = Find(key, need);
  if (value == nullptr) {
    return;
  }
  if (!value->is_array()) {
    AddError(key, "an array of objects");
    return;
  }
  for (size_t index = 0; index < value->size(); ++index) {
    const std::string element =
        std::string(key) + "[" + std::to_string(index) + "]";
    if (!(*value)[index].is_object()) {
      AddError(element, "an object");
      continue;
    }
    FieldReader nested((*value)[index], origin_, MakePath(element), errors_);
    read(nested);
    nested.Finish();
  }
}

void FieldReader::Finish() {
  for (const auto& [key, value] : object_.items()) {
    if (std::find(known_keys_.begin(), known_keys_.end(), key) ==
        known_keys_.end()) {
      AddError(key, "no such name");
    }
  }
}

Status ReadDocument(const std::string& text,
                    const std::string& origin,
                    const std::function<void(FieldReader&)>& read) {
  const nlohmann::json document =
      nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false,
                            /*ignore_comments=*/true);
  if (!document.is_object()) {
    const FieldError error{origin, "", "a JSON object"};
    return Error(ErrorCode::kInvalidSettings, error.Message());
  }
  FieldErrors errors;
  FieldReader reader(document, origin, "", &errors);
  read(reader);
  reader.Finish();
  if (!errors.empty()) {
    return Error(ErrorCode::kInvalidSettings, JoinErrors(errors));
  }
  return Done{};
}

Status ReadFile(const std::string& file,
                const std::function<void(FieldReader&)>& read) {
  std::ifstream stream(file);
  if (!stream) {
    const FieldError error{file, "", "a readable file"};
    return Error(ErrorCode::kInvalidSettings, error.Message());
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return ReadDocument(text.str(), file, read);
}

}  // namespace bergamotscale::settings
