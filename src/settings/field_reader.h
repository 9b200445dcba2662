// Reads fields of a JSON document with comments and checks types, ranges and
// unknown keys. Collects all errors instead of stopping at the first.
#ifndef BERGAMOTSCALE_SRC_SETTINGS_FIELD_READER_H_
#define BERGAMOTSCALE_SRC_SETTINGS_FIELD_READER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "bergamotscale/result.h"
#include "bergamotscale/units.h"

namespace bergamotscale::settings {

// An error in a document: its location and the expected value.
struct FieldError {
  std::string origin_;
  std::string key_;
  std::string expected_;

  // @return "origin:key: expected ...".
  std::string Message() const;
};

// The errors so far, shared by the readers of one document.
using FieldErrors = std::vector<FieldError>;

// @return one line for each error.
std::string JoinErrors(const FieldErrors& errors);

// Reads the members of one JSON object. A member that no call reads is an
// error, reported by Finish(). On an error the target keeps its value.
// Thread safety: use from one thread.
class FieldReader {
 public:
  // @param object the JSON object; must outlive the reader.
  // @param origin the file's name, for errors.
  // @param path the dotted path of this object; empty at the top.
  // @param errors receives the errors; must outlive the reader.
  FieldReader(const nlohmann::json& object,
              std::string origin,
              std::string path,
              FieldErrors* errors);

  enum class Need { kRequired, kOptional };

  void String(const char* key, Need need, std::string* target);
  void Boolean(const char* key, Need need, bool* target);
  void Integer(const char* key,
               Need need,
               int64_t minimum,
               int64_t maximum,
               int64_t* target);
  void Integer(const char* key,
               Need need,
               int minimum,
               int maximum,
               int* target);
  void Number(const char* key,
              Need need,
              double minimum,
              double maximum,
              double* target);
  // Read a number of milliseconds or seconds, rounded down to milliseconds.
  void Duration(const char* key,
                Need need,
                Millis minimum,
                Millis maximum,
                Millis* target);
  void Seconds(const char* key,
               Need need,
               Millis minimum,
               Millis maximum,
               Millis* target);
  void Strings(const char* key, Need need, std::vector<std::string>* target);

  // Calls read for a nested object and then Finish() of the nested reader.
  void Object(const char* key,
              Need need,
              const std::function<void(FieldReader&)>& read);
  // Calls read for each object of an array.
  void Objects(const char* key,
               Need need,
               const std::function<void(FieldReader&)>& read);

  // Records an error that the caller found in a member of this object.
  void AddError(const std::string& key, const std::string& expected);

  // Reports members that no call has read.
  void Finish();

 private:
  void ReadTime(const char* key,
                Need need,
                double unit_ms,
                Millis minimum,
                Millis maximum,
                Millis* target);
  const nlohmann::json* Find(const char* key, Need need);
  std::string MakePath(const std::string& key) const;

  const nlohmann::json& object_;
  std::string origin_;
  std::string path_;
  FieldErrors* errors_;
  std::vector<std::string> known_keys_;
};

// Parses text as a JSON object with comments and calls read for its fields.
// @return kInvalidSettings with one line for each error, if any.
// Thread safety: safe.
Status ReadDocument(const std::string& text,
                    const std::string& origin,
                    const std::function<void(FieldReader&)>& read);

// Reads a file and parses its text like ReadDocument().
Status ReadFile(const std::string& file,
                const std::function<void(FieldReader&)>& read);

}  // namespace bergamotscale::settings

#endif  // BERGAMOTSCALE_SRC_SETTINGS_FIELD_READER_H_
