// Connects the order executor to the log's orders stream.
#ifndef BERGAMOTSCALE_SRC_SIDECAR_ORDERS_FEED_H_
#define BERGAMOTSCALE_SRC_SIDECAR_ORDERS_FEED_H_

#include <memory>

#include <boost/asio/io_context.hpp>

#include "src/log/log_client.h"
#include "src/orders/order_executor.h"

namespace bergamotscale::sidecar {

// Owns the order executor, appends its records to the orders stream and passes
// it the records read.
// Thread safety: use on the io_context's thread, on which the executor is
// called.
class OrdersFeed {
 public:
  // @param client must outlive this.
  OrdersFeed(boost::asio::io_context& io,
             log::LogClient& client,
             const orders::ExecutorOptions& options);
  // Stops following the stream.
  ~OrdersFeed();
  OrdersFeed(const OrdersFeed&) = delete;
  OrdersFeed& operator=(const OrdersFeed&) = delete;

  // Starts following the stream.
  void Start();
  orders::OrderExecutor& executor();
  // @return whether the end of the stream was reached at least once.
  bool caught_up() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::sidecar

#endif  // BERGAMOTSCALE_SRC_SIDECAR_ORDERS_FEED_H_
