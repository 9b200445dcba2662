// The HTTP library's thread as the thread of a process's own work.
#ifndef BERGAMOTSCALE_SRC_HTTP_HTTP_THREAD_H_
#define BERGAMOTSCALE_SRC_HTTP_HTTP_THREAD_H_

#include <functional>

#include <boost/asio/io_context.hpp>

namespace bergamotscale::http {

// Lets state machines run on the thread that also runs the HTTP library's
// sockets and continuations, so that a request changes no thread between them.
// Precondition: the library's pool has a single thread, which is so in a
// process whose ProcessOptions::http_threads_ is 1; nothing on it may block.
// Thread safety: use from one thread, other than the library's.
class HttpThread {
 public:
  // Runs a step on the thread and waits for it.
  // Precondition: Stop() has not been called.
  void Run(const std::function<void()>& step);

  // Ends the library's thread after the step that it is in: no handler of the
  // whole library runs after this. Close listeners before. Does nothing if
  // called again.
  void Stop();

  // @return the library's own io_context, which lives as long as the process.
  boost::asio::io_context& io();

 private:
  bool stopped_ = false;
};

}  // namespace bergamotscale::http

#endif  // BERGAMOTSCALE_SRC_HTTP_HTTP_THREAD_H_
