// Limits the size of HTTP/1.1 requests without a full parser.
#ifndef BERGAMOTSCALE_SRC_HTTP_REQUEST_BOUNDS_H_
#define BERGAMOTSCALE_SRC_HTTP_REQUEST_BOUNDS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "bergamotscale/error.h"
#include "bergamotscale/units.h"

namespace bergamotscale::http {

// Part of a request that the caller is sending.
enum class RequestPhase {
  kBetween,      // none: before a request or after its end
  kHeaders,      // headers whose end has not arrived
  kSizedBody,    // a body whose length is known
  kUnsizedBody,  // a body of unknown length, or bytes after it
};

// Tracks the requests on one connection by the end of their headers and their
// Content-Length. The syntax is checked by the HTTP library, not here. The
// bytes between two replies are limited in total. This bounds a body without a
// valid length, and requests whose end the library finds elsewhere. Thread
// safety: use from one thread.
class RequestBounds {
 public:
  RequestBounds(Bytes max_header, Bytes max_body);

  // Processes bytes from the caller, up to the end of the current request.
  // @param taken receives the number of bytes. @return kOk, kHeadersTooLarge or
  // kBodyTooLarge; don't call again after an error.
  ErrorCode Take(std::string_view bytes, size_t* taken);
  // Handles a part of a reply sent by the library.
  void OnReply();

  RequestPhase phase() const { return phase_; }
  // @return whether the bytes so far look like the end of an unsized body.
  bool unsized_body_ended() const;
  // @return the number of requests begun.
  int64_t requests_begun() const { return requests_begun_; }
  // @return whether a request is complete and no part of a reply followed yet.
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
