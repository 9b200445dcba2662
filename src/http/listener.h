// HTTP server of a process: routes requests of cpprestsdk's listener.
#ifndef BERGAMOTSCALE_SRC_HTTP_LISTENER_H_
#define BERGAMOTSCALE_SRC_HTTP_LISTENER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <cpprest/http_msg.h>

#include "bergamotscale/result.h"
#include "bergamotscale/units.h"
#include "bergamotscale/verdict.h"
#include "src/metrics/metrics.h"

namespace bergamotscale::http {

// Dispatches HTTP requests by method and path.
// Thread safety: add routes before Open(); handlers run on the HTTP library's
// threads, several at once, and must not block.
class Listener {
 public:
  using Handler = std::function<void(web::http::http_request)>;

  // @param address an IP address. @param port not zero.
  Listener(std::string address, uint16_t port);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  // Adds a route for a method and an exact path.
  void Route(const std::string& method,
             const std::string& path,
             Handler handler);
  // Sets the handler of all requests without a route.
  void RouteOthers(Handler handler);

  Status Open();
  // Waits a bounded time for handlers that have not replied, then closes.
  void Close();

  // @return the URL, such as "http://127.0.0.1:8080".
  std::string url() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// Sources of /healthz, /readyz, /metrics and /timeline of a process.
struct AdminHooks {
  std::function<bool()> ready_;
  const metrics::Metrics* metrics_ = nullptr;  // may be null
  // @return the timeline as JSON lines; the hook may be empty.
  std::function<std::string()> timeline_;
  // Runs a slow step off the HTTP library's threads. If empty, the step runs on
  // those threads.
  std::function<void(std::function<void()>)> run_in_background_;
};

// Adds GET /healthz, /readyz, /metrics and /timeline.
void AddAdminRoutes(Listener& listener, AdminHooks hooks);

// Replies with a JSON error: {"error":{"code","message","verdict"}}, with
// "this_send" too if that is given, and with Retry-After in whole seconds,
// rounded up, if retry_after is above zero.
void ReplyError(web::http::http_request request,
                const Error& error,
                Verdict verdict,
                Millis retry_after = Millis(0),
                std::optional<Verdict> this_send = std::nullopt);

// Adds Retry-After in whole seconds, rounded up, if it is above zero.
void AddRetryAfter(web::http::http_response& response, Millis retry_after);

// @return the JSON text of ReplyError().
std::string ErrorJson(const Error& error,
                      Verdict verdict,
                      std::optional<Verdict> this_send = std::nullopt);

// Replies with a body of a content type.
void ReplyText(web::http::http_request request,
               int status,
               const std::string& body,
               const std::string& content_type);

// @return the value of a query parameter, or the fallback.
std::string QueryValue(const web::http::http_request& request,
                       const std::string& name,
                       const std::string& fallback);

// @return the value of a header, or an empty string.
std::string HeaderValue(const web::http::http_request& request,
                        const std::string& name);

}  // namespace bergamotscale::http

#endif  // BERGAMOTSCALE_SRC_HTTP_LISTENER_H_
