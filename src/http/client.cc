#include "src/http/client.h"

#include <chrono>
#include <future>
#include <memory>
#include <utility>

#include <cpprest/http_client.h>

namespace bergamotscale::http {
namespace {

using web::http::client::http_client;
using web::http::client::http_client_config;

http_client_config ConfigOf(const Call& call) {
  http_client_config config;
  config.set_timeout(std::chrono::milliseconds(call.timeout_.count()));
  // A redirect would send the call a second time.
  config.set_max_redirects(0);
  return config;
}

web::http::http_request RequestOf(const Call& call, const web::uri& uri) {
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

// Only a failure to connect proves that nothing was sent.
Error ErrorOf(const web::http::http_exception& failure) {
  const std::error_code code = failure.error_code();
  const bool not_sent = code == std::errc::host_unreachable ||
                        code == std::errc::connection_refused;
  return Error(
      not_sent ? ErrorCode::kUpstreamUnreachable : ErrorCode::kUpstreamFailed,
      failure.what());
}

Result<Reply> ReplyOf(const web::http::http_response& response,
                      const pplx::task<std::string>& body) {
  try {
    Reply reply;
    reply.status_ = response.status_code();
    reply.body_ = body.get();
    reply.content_type_ = response.headers().content_type();
    response.headers().match("Set-Cookie", reply.set_cookie_);
    return reply;
  } catch (const std::exception& failure) {
    return Error(ErrorCode::kUpstreamFailed, failure.what());
  }
}

}  // namespace

void CallOnce(const Call& call, std::function<void(Result<Reply>)> hook) {
  const web::uri uri(call.url_);
  auto client = std::make_shared<http_client>(uri.authority(), ConfigOf(call));
  client->request(RequestOf(call, uri))
      .then([client, hook = std::move(hook)](
                const pplx::task<web::http::http_response>& task) {
        try {
          const web::http::http_response response = task.get();
          response.extract_utf8string(/*ignore_content_type=*/true)
              .then([client, hook,
                     response](const pplx::task<std::string>& body) {
                hook(ReplyOf(response, body));
              });
        } catch (const web::http::http_exception& failure) {
          hook(ErrorOf(failure));
        } catch (const std::exception& failure) {
          hook(Error(ErrorCode::kUpstreamFailed, failure.what()));
        }
      });
}

Result<Reply> CallAndWait(const Call& call) {
  auto promise = std::make_shared<std::promise<Result<Reply>>>();
  std::future<Result<Reply>> future = promise->get_future();
  CallOnce(call, [promise](Result<Reply> reply) { promise->set_value(reply); });
  return future.get();
}

}  // namespace bergamotscale::http
