// A TCP server whose responses are written by the test, so that it can close a
// connection where an HTTP library would not.
#ifndef BERGAMOTSCALE_TESTS_SUPPORT_RAW_SERVER_H_
#define BERGAMOTSCALE_TESTS_SUPPORT_RAW_SERVER_H_

#include <sys/socket.h>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio.hpp>

namespace bergamotscale::tests {

// Serves connections one after another.
class RawServer {
 public:
  using Socket = boost::asio::ip::tcp::socket;
  // Called with each request, in order. @return false to close the connection.
  using Answer =
      std::function<bool(int number, const std::string& request, Socket&)>;

  explicit RawServer(Answer answer)
      : answer_(std::move(answer)),
        acceptor_(io_, {boost::asio::ip::address_v4::loopback(), 0}),
        thread_([this] { Serve(); }) {}

  ~RawServer() {
    stopping_ = true;
    {
      // Ends a connection that the caller keeps open.
      const std::lock_guard<std::mutex> lock(mutex_);
      if (served_socket_ >= 0) {
        ::shutdown(served_socket_, SHUT_RDWR);
      }
    }
    // Wakes the blocking accept.
    boost::asio::io_context io;
    Socket socket(io);
    boost::system::error_code ignored;
    socket.connect(acceptor_.local_endpoint(), ignored);
    socket.close();
    thread_.join();
  }

  std::string url() const {
    return "http://127.0.0.1:" +
           std::to_string(acceptor_.local_endpoint().port());
  }

  std::vector<std::string> requests() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return requests_;
  }

 private:
  void Serve() {
    while (!stopping_) {
      boost::system::error_code error;
      Socket socket(io_);
      acceptor_.accept(socket, error);
      SetServedSocket(error ? -1 : socket.native_handle());
      while (!error && !stopping_ && ServeRequest(socket)) {
      }
      SetServedSocket(-1);
    }
  }

  void SetServedSocket(int socket) {
    const std::lock_guard<std::mutex> lock(mutex_);
    served_socket_ = socket;
  }

  bool ServeRequest(Socket& socket) {
    boost::system::error_code error;
    boost::asio::streambuf buffer;
    boost::asio::read_until(socket, buffer, "\r\n\r\n", error);
    if (error) {
      return false;
    }
    const std::string request(boost::asio::buffers_begin(buffer.data()),
                              boost::asio::buffers_end(buffer.data()));
    int number = 0;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      requests_.push_back(request);
      number = static_cast<int>(requests_.size());
    }
    return answer_(number, request, socket);
  }

  Answer answer_;
  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::atomic<bool> stopping_{false};
  mutable std::mutex mutex_;
  std::vector<std::string> requests_;
  int served_socket_ = -1;  // the socket of the connection being served
  std::thread thread_;
};

// Reads the rest of a body whose beginning was read with the head.
// @return the body; shorter than `size` if the connection ended before.
inline std::string ReadBody(const std::string& request,
                            RawServer::Socket& socket,
                            size_t size) {
  std::string body = request.substr(request.find("\r\n\r\n") + 4);
  std::string rest(size - body.size(), ' ');
  boost::system::error_code error;
  rest.resize(boost::asio::read(socket, boost::asio::buffer(rest), error));
  return body + rest;
}

}  // namespace bergamotscale::tests

#endif  // BERGAMOTSCALE_TESTS_SUPPORT_RAW_SERVER_H_
