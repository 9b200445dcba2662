// Distinct types for quantities of different units.
#ifndef BERGAMOTSCALE_UNITS_H_
#define BERGAMOTSCALE_UNITS_H_

#include <cstdint>

#include <msgpack.hpp>

namespace bergamotscale {

// An integer quantity of one unit. Quantities of different units are different
// types, so they cannot be added or compared.
// Thread safety: the same as int64_t.
template <typename Tag>
class Quantity {
 public:
  constexpr Quantity() = default;
  constexpr explicit Quantity(int64_t count) : count_(count) {}

  constexpr int64_t count() const { return count_; }

  constexpr Quantity& operator+=(Quantity other) {
    count_ += other.count_;
    return *this;
  }
  constexpr Quantity& operator-=(Quantity other) {
    count_ -= other.count_;
    return *this;
  }
  friend constexpr Quantity operator+(Quantity a, Quantity b) {
    return Quantity(a.count_ + b.count_);
  }
  friend constexpr Quantity operator-(Quantity a, Quantity b) {
    return Quantity(a.count_ - b.count_);
  }
  friend constexpr Quantity operator*(Quantity a, int64_t factor) {
    return Quantity(a.count_ * factor);
  }
  friend constexpr Quantity operator/(Quantity a, int64_t divisor) {
    return Quantity(a.count_ / divisor);
  }
  friend constexpr bool operator==(Quantity a, Quantity b) {
    return a.count_ == b.count_;
  }
  friend constexpr bool operator!=(Quantity a, Quantity b) {
    return a.count_ != b.count_;
  }
  friend constexpr bool operator<(Quantity a, Quantity b) {
    return a.count_ < b.count_;
  }
  friend constexpr bool operator>(Quantity a, Quantity b) { return b < a; }
  friend constexpr bool operator<=(Quantity a, Quantity b) { return !(b < a); }
  friend constexpr bool operator>=(Quantity a, Quantity b) { return !(a < b); }

  MSGPACK_DEFINE(count_)

 private:
  int64_t count_ = 0;
};

using Millis = Quantity<struct MillisTag>;
using Tokens = Quantity<struct TokensTag>;
using Bytes = Quantity<struct BytesTag>;

}  // namespace bergamotscale

#endif  // BERGAMOTSCALE_UNITS_H_
