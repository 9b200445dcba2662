#include "src/console/web_request.h"

#include <utility>

#include <glog/logging.h>

#include "src/http/body.h"
#include "src/http/listener.h"

namespace bergamotscale::console {
namespace {

using web::http::http_request;
using web::http::http_response;

constexpr uint64_t kMaxBodyBytes = uint64_t{64} * 1024;
constexpr int kHttpSeeOther = 303;
constexpr char kHtml[] = "text/html; charset=utf-8";

std::string TrimLeft(const std::string& text) {
  const size_t first = text.find_first_not_of(' ');
  return first == std::string::npos ? std::string() : text.substr(first);
}

}  // namespace

WebRequest::WebRequest(const http_request& request) : request_(request) {}

std::string WebRequest::Cookie(const std::string& name) const {
  const std::string header = http::HeaderValue(request_, "Cookie");
  size_t start = 0;
  while (start < header.size()) {
    size_t end = header.find(';', start);
    end = end == std::string::npos ? header.size() : end;
    const std::string pair = TrimLeft(header.substr(start, end - start));
    if (pair.compare(0, name.size() + 1, name + "=") == 0) {
      return pair.substr(name.size() + 1);
    }
    start = end + 1;
  }
  return {};
}

std::string WebRequest::Query(const std::string& name) const {
  return http::QueryValue(request_, name, "");
}

void WebRequest::ReadForm(
    std::function<void(WebRequest, const Form&)> handle) const {
  const uint64_t size = request_.headers().content_length();
  const bool has_size = request_.headers().has("Content-Length");
  if (!has_size || size > kMaxBodyBytes) {
    http::ReplyError(request_, ErrorCode::kBodyTooLarge, Verdict::kNotExecuted);
    return;
  }
  http::ReadBody(request_, [request = request_, handle = std::move(handle)](
                               const std::string& body) {
    handle(WebRequest(request), Form::Parse(body));
  });
}

void WebRequest::SetCookie(const std::string& name, const std::string& value) {
  new_cookie_ = name + "=" + value + "; Path=/; HttpOnly; SameSite=Strict" +
                (value.empty() ? "; Max-Age=0" : "");
}

void WebRequest::Reply(http_response response) {
  web::http::http_headers& headers = response.headers();
  headers.add("Cache-Control", "no-store");
  headers.add("Content-Security-Policy",
              "default-src 'none'; style-src 'self'; form-action 'self'; "
              "frame-ancestors 'none'; base-uri 'none'");
  headers.add("X-Content-Type-Options", "nosniff");
  headers.add("Referrer-Policy", "no-referrer");
  if (!new_cookie_.empty()) {
    headers.add("Set-Cookie", new_cookie_);
  }
  request_.reply(response).then([](const pplx::task<void>& task) {
    try {
      task.get();
    } catch (const std::exception& failure) {
      VLOG(1) << "reply not delivered: " << failure.what();
    }
  });
}

void WebRequest::ReplyHtml(int status, const std::string& page) {
  http_response response(static_cast<web::http::status_code>(status));
  response.set_body(page, kHtml);
  Reply(std::move(response));
}

void WebRequest::ReplyStyle(const std::string& style) {
  http_response response(web::http::status_codes::OK);
  response.set_body(style, "text/css; charset=utf-8");
  Reply(std::move(response));
}

void WebRequest::Redirect(const std::string& path) {
  http_response response(static_cast<web::http::status_code>(kHttpSeeOther));
  response.headers().add("Location", path);
  response.set_body(std::string(), kHtml);
  Reply(std::move(response));
}

}  // namespace bergamotscale::console
