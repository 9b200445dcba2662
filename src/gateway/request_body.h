// The body of a caller's request, kept for as long as a send may need it.
#ifndef BERGAMOTSCALE_SRC_GATEWAY_REQUEST_BODY_H_
#define BERGAMOTSCALE_SRC_GATEWAY_REQUEST_BODY_H_

#include <optional>
#include <string>
#include <utility>

#include "bergamotscale/units.h"

namespace bergamotscale::gateway {

// An upstream gets exactly the bytes that the caller sent, or nothing: once the
// body has been released, no send can take it for an empty one. Thread safety:
// none.
class RequestBody {
 public:
  explicit RequestBody(std::string bytes)
      : size_(Bytes(static_cast<int64_t>(bytes.size()))),
        bytes_(std::move(bytes)) {}

  // @return the size of what the caller sent, kept or not.
  Bytes size() const { return size_; }
  bool is_kept() const { return bytes_.has_value(); }

  // @return the whole body; none if it has been released.
  const std::optional<std::string>& bytes() const { return bytes_; }

  // Like bytes(), but releases the body.
  std::optional<std::string> Take() {
    return std::exchange(bytes_, std::nullopt);
  }

  void Release() { bytes_.reset(); }

 private:
  const Bytes size_;
  std::optional<std::string> bytes_;
};

}  // namespace bergamotscale::gateway

#endif  // BERGAMOTSCALE_SRC_GATEWAY_REQUEST_BODY_H_
