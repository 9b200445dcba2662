#include "src/sidecar/event_reader.h"

#include <utility>

namespace bergamotscale::sidecar {
namespace {

constexpr std::string_view kDataField = "data:";

}  // namespace

EventReader::EventReader(Bytes max_event, EventHook on_event)
    : max_event_(max_event), on_event_(std::move(on_event)) {}

Status EventReader::Feed(std::string_view piece) {
  while (!piece.empty()) {
    const size_t end = piece.find('\n');
    line_ += piece.substr(0, end);
    if (Bytes(static_cast<int64_t>(line_.size() + data_.size())) > max_event_) {
      return Error(ErrorCode::kProtocolError, "an event is too long");
    }
    if (end == std::string_view::npos) {
      return Done{};
    }
    piece.remove_prefix(end + 1);
    const std::string line = std::exchange(line_, std::string());
    ParseLine(line);
  }
  return Done{};
}

void EventReader::ParseLine(std::string_view line) {
  if (!line.empty() && line.back() == '\r') {
    line.remove_suffix(1);
  }
  if (line.empty()) {
    if (!data_.empty()) {
      on_event_(std::exchange(data_, std::string()));
    }
    return;
  }
  if (line.substr(0, kDataField.size()) != kDataField) {
    return;
  }
  line.remove_prefix(kDataField.size());
  if (!line.empty() && line.front() == ' ') {
    line.remove_prefix(1);
  }
  if (!data_.empty()) {
    data_ += '\n';
  }
  data_ += line;
}

}  // namespace bergamotscale::sidecar
