#include "src/entry/response_progress.h"

namespace bergamotscale::entry {

bool ResponseProgress::Add(const std::string& text, Tokens tokens, Millis now) {
  const bool first = tokens_ == Tokens(0) && tokens > Tokens(0);
  if (first) {
    first_token_at_ = now;
  }
  last_token_at_ = now;
  text_ += text;
  tokens_ += tokens;
  return first;
}

bool ResponseProgress::MetTargets(const ServiceClass& service_class,
                                  GroupKind kind,
                                  Millis now) const {
  if (kind == GroupKind::kService) {
    return now - arrived_ <= service_class.first_token_;
  }
  if (first_token_after() > service_class.first_token_) {
    return false;
  }
  const int64_t gaps = tokens_.count() - 1;
  const Millis span = last_token_at_ - first_token_at_;
  return gaps < 1 || span <= service_class.between_tokens_ * gaps;
}

}  // namespace bergamotscale::entry
