#include "src/http/single_use_call.h"

#include <chrono>

namespace bergamotscale::http {

web::http::client::http_client_config SingleUseConfig(const Call& call) {
  web::http::client::http_client_config config;
  config.set_timeout(std::chrono::milliseconds(call.timeout_.count()));
  config.set_max_redirects(0);
  return config;
}

web::http::http_request SingleUseRequest(const Call& call,
                                         const web::uri& uri) {
  web::http::http_request request(call.method_);
  request.set_request_uri(uri.resource());
  // The peer then doesn't wait for another request on this connection.
  request.headers().add("Connection", "close");
  for (const Header& header : call.headers_) {
    request.headers().add(header.name_, header.value_);
  }
  if (!call.body_.empty()) {
    request.set_body(call.body_, call.content_type_);
  }
  return request;
}

Error ErrorOfFailure(const web::http::http_exception& failure) {
  const std::error_code code = failure.error_code();
  const bool not_sent = code == std::errc::host_unreachable ||
                        code == std::errc::connection_refused;
  return Error(
      not_sent ? ErrorCode::kUpstreamUnreachable : ErrorCode::kUpstreamFailed,
      failure.what());
}

}  // namespace bergamotscale::http
