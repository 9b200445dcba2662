// Runs a process's own work on the HTTP library's thread.
#ifndef BERGAMOTSCALE_SRC_HTTP_HTTP_THREAD_H_
#define BERGAMOTSCALE_SRC_HTTP_HTTP_THREAD_H_

#include <functional>

#include <boost/asio/io_context.hpp>

namespace bergamotscale::http {

// Gives access to the thread that runs the HTTP library's sockets and
// continuations, so that a request is handled without switching threads.
// Precondition: the library's pool has a single thread, because the process
// sets ProcessOptions::http_threads_ to 1. Nothing on this thread may block.
// Thread safety: use from one thread, other than the library's.
class HttpThread {
 public:
  // Runs a step on the thread and waits for it.
  // Precondition: Stop() has not been called.
  void Run(const std::function<void()>& step);

  // Stops the library's thread after its current handler; no handler of the
  // library runs after this. Close listeners before. Idempotent.
  void Stop();

  // @return the library's io_context, which lives as long as the process.
  boost::asio::io_context& io();

 private:
  bool stopped_ = false;
};

}  // namespace bergamotscale::http

#endif  // BERGAMOTSCALE_SRC_HTTP_HTTP_THREAD_H_
