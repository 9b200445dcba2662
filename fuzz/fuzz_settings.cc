// Fuzzes the settings reader with one field of each type.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <vector>

#include "src/settings/field_reader.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using bergamotscale::Millis;
  using bergamotscale::settings::FieldReader;
  constexpr int kMaximum = 100;
  constexpr auto kOptional = FieldReader::Need::kOptional;
  const std::string text(reinterpret_cast<const char*>(data), size);
  std::string name;
  bool flag = false;
  int count = 0;
  double share = 0;
  Millis wait;
  std::vector<std::string> list;
  const auto read = [&](FieldReader& reader) {
    reader.String("s", kOptional, &name);
    reader.Boolean("b", kOptional, &flag);
    reader.Integer("i", kOptional, 0, kMaximum, &count);
    reader.Number("n", kOptional, 0, kMaximum, &share);
    reader.Duration("d", kOptional, Millis(0), Millis(kMaximum), &wait);
    reader.Strings("l", kOptional, &list);
    reader.Object("o", kOptional, [&](FieldReader& nested) {
      nested.Integer("i", kOptional, 0, kMaximum, &count);
    });
    reader.Objects("a", kOptional, [&](FieldReader& nested) {
      nested.Integer("i", kOptional, 0, kMaximum, &count);
    });
  };
  (void)bergamotscale::settings::ReadDocument(text, "fuzz", read);
  const bool in_range = count >= 0 && count <= kMaximum && share >= 0 &&
                        share <= kMaximum && wait >= Millis(0) &&
                        wait <= Millis(kMaximum);
  if (!in_range) {
    std::abort();
  }
  return 0;
}
