// Calls one server that answers with small documents.
#ifndef BERGAMOTSCALE_SRC_WEB_CALL_CLIENT_H_
#define BERGAMOTSCALE_SRC_WEB_CALL_CLIENT_H_

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "bergamotscale/error.h"
#include "bergamotscale/result.h"
#include "bergamotscale/units.h"
#include "src/web/header_list.h"

namespace bergamotscale::web {

struct CallResponse {
  int status_ = 0;
  HeaderList headers_;  // end-to-end
  std::string body_;
};

// Sends one request at a time over one connection, which is reopened after a
// failure. Thread safety: use from the thread of the io_context.
class CallClient {
 public:
  using Done = std::function<void(Result<CallResponse>)>;

  // @param failure the code of errors without a complete response.
  CallClient(boost::asio::io_context& io,
             boost::asio::ip::tcp::endpoint server,
             ErrorCode failure);
  // Pending calls are not answered any more.
  ~CallClient();
  CallClient(const CallClient&) = delete;
  CallClient& operator=(const CallClient&) = delete;

  // Precondition: no call is in progress.
  // @param timeout of the response, in addition to that of the connection.
  // @param done called once, with any status.
  void Get(const std::string& target, Millis timeout, Done done);
  // The same with a body. The call may have been carried out even if it failed.
  void Post(const std::string& target,
            std::string body,
            Millis timeout,
            Done done);
  // The same with end-to-end headers.
  void Post(const std::string& target,
            HeaderList headers,
            std::string body,
            Millis timeout,
            Done done);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace bergamotscale::web

#endif  // BERGAMOTSCALE_SRC_WEB_CALL_CLIENT_H_
