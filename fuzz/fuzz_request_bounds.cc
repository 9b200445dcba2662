// Fuzzes the caller guard's bounds: the result must not depend on how the bytes
// are split into reads.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "src/http/request_bounds.h"

namespace {

using namespace bergamotscale;  // NOLINT: one small file

struct Outcome {
  ErrorCode code_ = ErrorCode::kOk;
  int64_t requests_ = 0;
  http::RequestPhase phase_ = http::RequestPhase::kBetween;
};

Outcome TakeInPieces(std::string_view bytes, size_t piece) {
  http::RequestBounds bounds(Bytes(200), Bytes(500));
  Outcome outcome;
  while (!bytes.empty() && outcome.code_ == ErrorCode::kOk) {
    std::string_view part = bytes.substr(0, piece);
    bytes.remove_prefix(part.size());
    while (!part.empty() && outcome.code_ == ErrorCode::kOk) {
      size_t taken = 0;
      outcome.code_ = bounds.Take(part, &taken);
      if (taken == 0 && outcome.code_ == ErrorCode::kOk) {
        std::abort();
      }
      part.remove_prefix(taken);
    }
  }
  outcome.requests_ = bounds.requests_begun();
  outcome.phase_ = bounds.phase();
  return outcome;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  if (size == 0) {
    return 0;
  }
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  const Outcome whole = TakeInPieces(bytes, size);
  const Outcome cut = TakeInPieces(bytes, 1 + data[0] % 16);
  // If the bytes come at once, the total bound may be exceeded in another
  // phase.
  const bool refused = whole.code_ != ErrorCode::kOk;
  if (refused != (cut.code_ != ErrorCode::kOk)) {
    std::abort();
  }
  if (!refused &&
      (whole.requests_ != cut.requests_ || whole.phase_ != cut.phase_)) {
    std::abort();
  }
  return 0;
}
