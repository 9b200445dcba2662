// A thread that runs an io_context.
#ifndef BERGAMOTSCALE_SRC_SIDECAR_IO_THREAD_H_
#define BERGAMOTSCALE_SRC_SIDECAR_IO_THREAD_H_

#include <future>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

namespace bergamotscale::sidecar {

// @return an io_context that is never destroyed, because unfinished calls of
// the HTTP library may refer to it until the process exits. Thread safety:
// safe.
inline boost::asio::io_context& MakeIoContext() {
  static std::mutex mutex;
  static auto* contexts =
      new std::vector<std::unique_ptr<boost::asio::io_context>>();
  const std::lock_guard<std::mutex> lock(mutex);
  contexts->push_back(std::make_unique<boost::asio::io_context>());
  return *contexts->back();
}

// An io_context and the single thread that runs it.
// Thread safety: use from one thread, other than its own.
class IoThread {
 public:
  IoThread()
      : io_(MakeIoContext()), guard_(boost::asio::make_work_guard(io_)) {}
  ~IoThread() { Stop(); }
  IoThread(const IoThread&) = delete;
  IoThread& operator=(const IoThread&) = delete;

  void Start() {
    thread_ = std::thread([this] { io_.run(); });
  }
  void Stop() {
    io_.stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }
  // Runs `step` on the thread and waits until it has returned.
  template <typename Step>
  void Run(Step step) {
    std::promise<void> done;
    boost::asio::post(io_, [&step, &done] {
      step();
      done.set_value();
    });
    done.get_future().wait();
  }
  boost::asio::io_context& io() { return io_; }

 private:
  boost::asio::io_context& io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      guard_;
  std::thread thread_;
};

}  // namespace bergamotscale::sidecar

#endif  // BERGAMOTSCALE_SRC_SIDECAR_IO_THREAD_H_
