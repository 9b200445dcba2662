#include "src/policy/stop_deadline.h"

#include <algorithm>

namespace bergamotscale::policy {

void StopDeadline::Set(Millis listening_until, Millis ends) {
  is_stopping_ = true;
  listening_until_ = listening_until;
  ends_ = ends;
}

Millis StopDeadline::Cap(Millis limit, Millis now) const {
  return is_stopping_ ? std::min(limit, ends_ - now) : limit;
}

bool StopDeadline::Allows(Millis arrived,
                          std::optional<Millis> expected,
                          Millis limit,
                          Millis now) const {
  if (!is_stopping_) {
    return true;
  }
  const Millis left = ends_ - now;
  if (left <= Millis(0)) {
    return false;
  }
  if (now < listening_until_) {
    return true;
  }
  const bool is_late = arrived >= listening_until_;
  return left >= (is_late ? limit : std::min(expected.value_or(limit), limit));
}

}  // namespace bergamotscale::policy
