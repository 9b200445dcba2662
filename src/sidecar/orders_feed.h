// Connects the order executor to the log: appends, and the orders stream.
#ifndef BERGAMOTSCALE_SRC_SIDECAR_ORDERS_FEED_H_
#define BERGAMOTSCALE_SRC_SIDECAR_ORDERS_FEED_H_

#include <memory>

#include <boost/asio/io_context.hpp>

#include "src/log/log_client.h"
#include "src/orders/order_executor.h"

namespace bergamotscale::sidecar {

// Thread safety: use on the io_context's thread, on which the executor is
// called.
class OrdersFeed {
 public:
  // @param client must outlive this.
  OrdersFeed(boost::asio::io_context& io,
             log::LogClient& client,
             const orders::ExecutorOptions& options);
  // Stops.
  ~OrdersFeed();
  OrdersFeed(const OrdersFeed&) = delete;
  OrdersFeed& operator=(const OrdersFeed&) = delete;

  // Starts to follow the stream.
  void Start();
  orders::OrderExecutor& executor();
  // @return whether the stream's end has been reached once.
  bool caught_up() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::sidecar

#endif  // BERGAMOTSCALE_SRC_SIDECAR_ORDERS_FEED_H_
