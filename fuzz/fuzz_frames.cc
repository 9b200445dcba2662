// Fuzzes the link's frame assembler: the result must not depend on how the
// bytes are split into reads.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

#include "src/link/frame_assembler.h"

namespace {

using namespace bergamotscale;  // NOLINT: one small file

constexpr Bytes kMaxFrame(1000);

struct Outcome {
  std::vector<std::string> frames_;
  bool ok_ = true;
};

Outcome FeedInPieces(std::string_view bytes, size_t piece) {
  Outcome outcome;
  link::FrameAssembler assembler(kMaxFrame);
  while (!bytes.empty() && outcome.ok_) {
    const std::string_view part = bytes.substr(0, piece);
    bytes.remove_prefix(part.size());
    outcome.ok_ = assembler
                      .Feed(part,
                            [&outcome](std::string_view frame) {
                              outcome.frames_.emplace_back(frame);
                              return true;
                            })
                      .ok();
  }
  return outcome;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  if (size == 0) {
    return 0;
  }
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  const Outcome whole = FeedInPieces(bytes, size);
  const Outcome cut = FeedInPieces(bytes, 1 + data[0] % 16);
  if (whole.ok_ != cut.ok_ || whole.frames_ != cut.frames_) {
    std::abort();
  }
  for (const std::string& frame : whole.frames_) {
    if (frame.size() > static_cast<size_t>(kMaxFrame.count())) {
      std::abort();
    }
  }
  return 0;
}
