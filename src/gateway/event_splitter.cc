#include "src/gateway/event_splitter.h"

#include <algorithm>
#include <utility>

namespace bergamotscale::gateway {
namespace {

// The longest separator of events.
constexpr size_t kMaxSeparator = 3;

// @return the position after the last empty line that ends at `from` or later;
// 0 if there is none.
size_t EndOfLastEvent(std::string_view text, size_t from) {
  const size_t skipped = from - std::min(from, kMaxSeparator - 1);
  text.remove_prefix(skipped);
  size_t end = 0;
  for (const std::string_view separator :
       {std::string_view("\n\n"), std::string_view("\n\r\n")}) {
    const size_t found = text.rfind(separator);
    if (found != std::string_view::npos) {
      end = std::max(end, skipped + found + separator.size());
    }
  }
  return end;
}

// @return the value of the last line "id: VALUE"; empty if there is none.
std::string_view LastId(std::string_view events) {
  constexpr std::string_view kField = "id:";
  size_t at = events.rfind(kField);
  while (at != std::string_view::npos && at != 0 && events[at - 1] != '\n') {
    at = events.rfind(kField, at - 1);
  }
  if (at == std::string_view::npos) {
    return {};
  }
  std::string_view value = events.substr(at + kField.size());
  value = value.substr(0, value.find_first_of("\r\n"));
  if (!value.empty() && value.front() == ' ') {
    value.remove_prefix(1);
  }
  return value;
}

}  // namespace

std::string EventSplitter::ExtractEvents(std::string_view bytes) {
  // What was kept holds no separator, so a long event is not searched again.
  const size_t kept = partial_event_.size();
  partial_event_ += bytes;
  const size_t end = EndOfLastEvent(partial_event_, kept);
  std::string whole = partial_event_.substr(0, end);
  partial_event_.erase(0, end);
  const std::string_view id = LastId(whole);
  if (!id.empty()) {
    last_id_ = std::string(id);
  }
  return whole;
}

std::string EventSplitter::ExtractRemainder() {
  return std::exchange(partial_event_, std::string());
}

}  // namespace bergamotscale::gateway
