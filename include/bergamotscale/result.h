// Result, which holds a value or an error. Interfaces of this project throw no
// exceptions.
#ifndef BERGAMOTSCALE_RESULT_H_
#define BERGAMOTSCALE_RESULT_H_

#include <cassert>
#include <optional>
#include <string>
#include <utility>

#include "bergamotscale/error.h"

namespace bergamotscale {

// An error code with details of the particular failure.
struct Error {
  Error() = default;
  Error(ErrorCode code, std::string detail = {})  // NOLINT: converts by design
      : code_(code), detail_(std::move(detail)) {}

  // @return the code as a std::error_code of BergamotCategory().
  std::error_code code() const { return make_error_code(code_); }

  // @return the message of the code, followed by the detail, if any.
  std::string Message() const {
    const std::string message = code().message();
    return detail_.empty() ? message : message + ": " + detail_;
  }

  ErrorCode code_ = ErrorCode::kInternal;
  std::string detail_;
};

// Holds a T or an Error. Check ok() before value() or error().
// Thread safety: the same as T.
template <typename T>
class Result {
 public:
  Result(T value) : value_(std::move(value)) {}      // NOLINT
  Result(Error error) : error_(std::move(error)) {}  // NOLINT
  Result(ErrorCode code) : error_(Error(code)) {}    // NOLINT

  bool ok() const { return value_.has_value(); }
  explicit operator bool() const { return ok(); }

  // Precondition: ok().
  const T& value() const& {
    assert(ok());
    return *value_;
  }
  T& value() & {
    assert(ok());
    return *value_;
  }
  T&& value() && {
    assert(ok());
    return std::move(*value_);
  }

  // Precondition: !ok().
  const Error& error() const {
    assert(!ok());
    return error_;
  }

 private:
  std::optional<T> value_;
  Error error_;
};

// The result of an operation that returns no value: success or an Error.
struct Done {};
using Status = Result<Done>;

}  // namespace bergamotscale

#endif  // BERGAMOTSCALE_RESULT_H_
