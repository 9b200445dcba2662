#include "src/http/client.h"

#include <future>
#include <memory>
#include <utility>

#include <cpprest/http_client.h>

#include "src/http/single_use_call.h"

namespace bergamotscale::http {
namespace {

using web::http::client::http_client;

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
  if (!web::uri::validate(call.url_)) {
    pplx::create_task([hook = std::move(hook), url = call.url_] {
      hook(Error(ErrorCode::kUpstreamUnreachable, "not a URL: " + url));
    });
    return;
  }
  const web::uri uri(call.url_);
  auto client =
      std::make_shared<http_client>(uri.authority(), SingleUseConfig(call));
  client->request(SingleUseRequest(call, uri))
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
          hook(ErrorOfFailure(failure));
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
