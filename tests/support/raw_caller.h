// An HTTP caller for tests that can disconnect at any time.
#ifndef BERGAMOTSCALE_TESTS_SUPPORT_RAW_CALLER_H_
#define BERGAMOTSCALE_TESTS_SUPPORT_RAW_CALLER_H_

#include <array>
#include <cstdint>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

namespace bergamotscale::testing {

// A blocking caller that sends and receives raw HTTP.
class RawCaller {
 public:
  explicit RawCaller(uint16_t port) : socket_(io_) {
    socket_.connect(boost::asio::ip::tcp::endpoint(
        boost::asio::ip::make_address("127.0.0.1"), port));
  }
  // @return whether everything was written.
  bool Send(const std::string& text) {
    boost::system::error_code error;
    boost::asio::write(socket_, boost::asio::buffer(text), error);
    return !error;
  }
  // @return all data received so far, once it contains `text` or the connection
  // has ended.
  std::string ReadUntil(const std::string& text) {
    boost::system::error_code error;
    std::array<char, 4096> buffer;
    while (received_.find(text) == std::string::npos && !error) {
      const size_t count =
          socket_.read_some(boost::asio::buffer(buffer), error);
      received_.append(buffer.data(), count);
    }
    return received_;
  }
  std::string ReadAll() { return ReadUntil("\x01never"); }
  void Close() { socket_.close(); }
  // Sends nothing more, and still reads.
  void ShutdownSend() {
    boost::system::error_code ignored;
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  }
  // Ends a read in another thread.
  void Shutdown() {
    boost::system::error_code ignored;
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
  }

 private:
  boost::asio::io_context io_;
  boost::asio::ip::tcp::socket socket_;
  std::string received_;
};

}  // namespace bergamotscale::testing

#endif  // BERGAMOTSCALE_TESTS_SUPPORT_RAW_CALLER_H_
