#include "src/http/request_bounds.h"

#include <algorithm>
#include <cctype>
#include <optional>

namespace bergamotscale::http {
namespace {

constexpr std::string_view kHeaderEnd = "\r\n\r\n";
constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kLastChunk = "0\r\n\r\n";
// Every number with at most this many digits fits into an int64_t.
constexpr size_t kMaxLengthDigits = 18;

// Length of the body according to the headers.
struct BodyLength {
  bool unsized_ = false;
  int64_t bytes_ = 0;
};

std::string Lower(std::string_view text) {
  std::string lower(text);
  for (char& c : lower) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return lower;
}

std::string_view Trim(std::string_view text) {
  constexpr std::string_view kBlanks = " \t";
  const size_t first = text.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

std::optional<int64_t> ParseLength(std::string_view text) {
  const bool digits =
      !text.empty() && text.size() <= kMaxLengthDigits &&
      text.find_first_not_of("0123456789") == std::string_view::npos;
  if (!digits) {
    return std::nullopt;
  }
  return std::stoll(std::string(text));
}

void ReadLine(std::string_view line, bool* sized, BodyLength* length) {
  const size_t colon = line.find(':');
  if (colon == std::string_view::npos) {
    return;
  }
  const std::string name = Lower(Trim(line.substr(0, colon)));
  if (name == "transfer-encoding") {
    length->unsized_ = true;
  } else if (name == "content-length") {
    const std::optional<int64_t> bytes =
        ParseLength(Trim(line.substr(colon + 1)));
    length->unsized_ = length->unsized_ || *sized || !bytes.has_value();
    length->bytes_ = bytes.value_or(0);
    *sized = true;
  }
}

BodyLength ReadBodyLength(std::string_view header) {
  BodyLength length;
  bool sized = false;
  while (!header.empty()) {
    const size_t end = header.find(kLineEnd);
    ReadLine(header.substr(0, end), &sized, &length);
    if (end == std::string_view::npos) {
      break;
    }
    header.remove_prefix(end + kLineEnd.size());
  }
  return length;
}

}  // namespace

RequestBounds::RequestBounds(Bytes max_header, Bytes max_body)
    : max_header_(max_header.count()), max_body_(max_body.count()) {}

ErrorCode RequestBounds::Take(std::string_view bytes, size_t* taken) {
  const size_t offered_size = bytes.size();
  ErrorCode result = ErrorCode::kOk;
  if (phase_ == RequestPhase::kBetween && !bytes.empty()) {
    phase_ = RequestPhase::kHeaders;
    ++requests_begun_;
  }
  while (!bytes.empty() && phase_ != RequestPhase::kBetween &&
         result == ErrorCode::kOk) {
    if (phase_ == RequestPhase::kSizedBody) {
      TakeSizedBody(&bytes);
    } else if (phase_ == RequestPhase::kUnsizedBody) {
      TakeUnsizedBody(&bytes);
    } else {
      result = TakeHeaders(&bytes);
    }
  }
  *taken = offered_size - bytes.size();
  bytes_since_reply_ += static_cast<int64_t>(*taken);
  if (result == ErrorCode::kOk &&
      bytes_since_reply_ > max_header_ + max_body_) {
    result = ErrorCode::kBodyTooLarge;
  }
  return result;
}

ErrorCode RequestBounds::TakeHeaders(std::string_view* bytes) {
  const size_t before = header_.size();
  const size_t room =
      static_cast<size_t>(max_header_) - std::min<size_t>(before, max_header_);
  const std::string_view part = bytes->substr(0, room + 1);
  header_.append(part);
  const size_t overlap = std::min(before, kHeaderEnd.size() - 1);
  const size_t end = header_.find(kHeaderEnd, before - overlap);
  if (end == std::string::npos) {
    bytes->remove_prefix(part.size());
    return header_.size() > static_cast<size_t>(max_header_)
               ? ErrorCode::kHeadersTooLarge
               : ErrorCode::kOk;
  }
  header_.resize(end + kHeaderEnd.size());
  bytes->remove_prefix(header_.size() - before);
  return BeginBody();
}

ErrorCode RequestBounds::BeginBody() {
  const BodyLength length = ReadBodyLength(header_);
  header_.clear();
  if (length.unsized_) {
    phase_ = RequestPhase::kUnsizedBody;
    tail_.clear();
    return ErrorCode::kOk;
  }
  if (length.bytes_ > max_body_) {
    return ErrorCode::kBodyTooLarge;
  }
  phase_ = RequestPhase::kSizedBody;
  body_left_ = length.bytes_;
  if (body_left_ == 0) {
    EndRequest();
  }
  return ErrorCode::kOk;
}

void RequestBounds::TakeSizedBody(std::string_view* bytes) {
  const int64_t taken =
      std::min(body_left_, static_cast<int64_t>(bytes->size()));
  bytes->remove_prefix(static_cast<size_t>(taken));
  body_left_ -= taken;
  if (body_left_ == 0) {
    EndRequest();
  }
}

void RequestBounds::TakeUnsizedBody(std::string_view* bytes) {
  const size_t kept = std::min(bytes->size(), kLastChunk.size());
  tail_.append(bytes->substr(bytes->size() - kept));
  if (tail_.size() > kLastChunk.size()) {
    tail_.erase(0, tail_.size() - kLastChunk.size());
  }
  *bytes = {};
}

void RequestBounds::EndRequest() {
  phase_ = RequestPhase::kBetween;
  awaiting_reply_ = true;
}

void RequestBounds::OnReply() {
  bytes_since_reply_ = 0;
  awaiting_reply_ = false;
  if (phase_ == RequestPhase::kUnsizedBody) {
    phase_ = RequestPhase::kBetween;
  }
}

bool RequestBounds::unsized_body_ended() const {
  return tail_ == kLastChunk;
}

}  // namespace bergamotscale::http
