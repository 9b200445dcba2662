#include "src/http/body.h"

#include <utility>

#include <glog/logging.h>

namespace bergamotscale::http {

void ReadBody(web::http::http_request request,
              std::function<void(const std::string&)> handle) {
  constexpr bool kAnyContentType = true;
  request.extract_string(kAnyContentType)
      .then([handle = std::move(handle)](const pplx::task<std::string>& read) {
        std::string body;
        try {
          body = read.get();
        } catch (const std::exception& failure) {
          VLOG(1) << "body not read: " << failure.what();
          return;
        }
        handle(body);
      });
}

}  // namespace bergamotscale::http
