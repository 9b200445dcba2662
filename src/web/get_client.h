// Reads small documents of one server.
#ifndef BERGAMOTSCALE_SRC_WEB_GET_CLIENT_H_
#define BERGAMOTSCALE_SRC_WEB_GET_CLIENT_H_

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

struct GetResponse {
  int status_ = 0;
  HeaderList headers_;  // end-to-end
  std::string body_;
};

// Sends one GET at a time over one connection, which is reopened after a
// failure. Thread safety: use from the thread of the io_context.
class GetClient {
 public:
  using Done = std::function<void(Result<GetResponse>)>;

  // @param failure the code of errors without a complete response.
  GetClient(boost::asio::io_context& io,
            boost::asio::ip::tcp::endpoint server,
            ErrorCode failure);
  // Pending calls are not answered any more.
  ~GetClient();
  GetClient(const GetClient&) = delete;
  GetClient& operator=(const GetClient&) = delete;

  // Precondition: no call is in progress.
  // @param timeout of the response, in addition to that of the connection.
  // @param done called once, with any status.
  void Get(const std::string& target, Millis timeout, Done done);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace bergamotscale::web

#endif  // BERGAMOTSCALE_SRC_WEB_GET_CLIENT_H_
