// Bounds on the bytes of HTTP/1.1 requests, found without a whole parser.
#ifndef BERGAMOTSCALE_SRC_HTTP_REQUEST_BOUNDS_H_
#define BERGAMOTSCALE_SRC_HTTP_REQUEST_BOUNDS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "bergamotscale/error.h"
#include "bergamotscale/units.h"

namespace bergamotscale::http {

// What a caller is sending at the moment.
enum class RequestPhase {
  kBetween,      // nothing: before a request or after a whole one
  kHeaders,      // headers whose end has not come
  kSizedBody,    // a body whose length is known
  kUnsizedBody,  // a body of unknown length, or what may follow it
};

// Follows the requests on one connection by the end of their headers and their
// Content-Length. It does not check that they are well formed: that is for the
// HTTP library behind. A body without a usable length is bounded by the bytes
// that come before a reply, and so is everything else, in case the library
// sees the end of a request elsewhere.
// Thread safety: use from one thread.
class RequestBounds {
 public:
  RequestBounds(Bytes max_header, Bytes max_body);

  // Takes bytes from the caller, up to the end of the present request.
  // @param taken receives the count of bytes. @return kOk, kHeadersTooLarge or
  // kBodyTooLarge; after a refusal nothing may be taken any more.
  ErrorCode Take(std::string_view bytes, size_t* taken);
  // Tells that the library sent a part of a reply.
  void OnReply();

  RequestPhase phase() const { return phase_; }
  // @return whether the bytes so far look like the end of an unsized body.
  bool unsized_body_ended() const;
  // @return how many requests have begun, to tell one from the next.
  int64_t requests_begun() const { return requests_begun_; }
  // @return whether a request is whole and no part of a reply has come since.
  bool awaiting_reply() const { return awaiting_reply_; }

 private:
  ErrorCode TakeHeaders(std::string_view* bytes);
  ErrorCode BeginBody();
  void TakeSizedBody(std::string_view* bytes);
  void TakeUnsizedBody(std::string_view* bytes);
  void EndRequest();

  const int64_t max_header_;
  const int64_t max_body_;
  RequestPhase phase_ = RequestPhase::kBetween;
  std::string header_;
  std::string tail_;  // last bytes of an unsized body
  int64_t body_left_ = 0;
  int64_t bytes_since_reply_ = 0;
  int64_t requests_begun_ = 0;
  bool awaiting_reply_ = false;
};

}  // namespace bergamotscale::http

#endif  // BERGAMOTSCALE_SRC_HTTP_REQUEST_BOUNDS_H_
