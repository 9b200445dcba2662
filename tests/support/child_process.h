// Starts and ends binaries of this build for tests.
#ifndef BERGAMOTSCALE_TESTS_SUPPORT_CHILD_PROCESS_H_
#define BERGAMOTSCALE_TESTS_SUPPORT_CHILD_PROCESS_H_

#include <chrono>
#include <csignal>
#include <cstdint>
#include <fstream>
#include <memory>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/filesystem.hpp>
#include <boost/process.hpp>

#include "src/http/client.h"

namespace bergamotscale::tests {

// @return a currently free port on loopback.
inline uint16_t FreePort() {
  using boost::asio::ip::tcp;
  boost::asio::io_context io;
  const auto loopback = boost::asio::ip::make_address("127.0.0.1");
  return tcp::acceptor(io, tcp::endpoint(loopback, 0)).local_endpoint().port();
}

// A temporary folder, removed by the destructor.
class ScratchFolder {
 public:
  ScratchFolder()
      : path_(boost::filesystem::temp_directory_path() /
              boost::filesystem::unique_path("bergamot-%%%%%%%%")) {
    boost::filesystem::create_directories(path_);
  }
  ~ScratchFolder() {
    boost::system::error_code ignored;
    boost::filesystem::remove_all(path_, ignored);
  }
  ScratchFolder(const ScratchFolder&) = delete;
  ScratchFolder& operator=(const ScratchFolder&) = delete;

  std::string File(const std::string& name) const {
    return (path_ / name).string();
  }

 private:
  boost::filesystem::path path_;
};

// A child process, started with a settings file that is written first. The
// destructor kills it.
class ChildProcess {
 public:
  ChildProcess(const ScratchFolder& folder,
               const std::string& binary,
               const std::string& name,
               const std::string& settings)
      : settings_file_(folder.File(name + ".json")) {
    std::ofstream(settings_file_) << settings;
    child_ = std::make_unique<boost::process::child>(
        std::string(BERGAMOTSCALE_BIN_DIR) + "/" + binary,
        "--settings=" + settings_file_,
        boost::process::std_err > folder.File(name + ".log"),
        boost::process::std_out > folder.File(name + ".out"));
  }
  ~ChildProcess() {
    Signal(SIGKILL);
    Wait();
  }
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void Signal(int signal) {
    if (!waited_) {
      ::kill(child_->id(), signal);
    }
  }

  // Waits until the process has ended. @return its exit code.
  int Wait() {
    if (!waited_) {
      child_->wait();
      waited_ = true;
    }
    return child_->exit_code();
  }

 private:
  std::string settings_file_;
  std::unique_ptr<boost::process::child> child_;
  bool waited_ = false;
};

// @return whether the URL responds 200 within ten seconds.
inline bool WaitUntilOk(const std::string& url) {
  constexpr int kTries = 500;
  for (int i = 0; i < kTries; ++i) {
    http::Call call;
    call.url_ = url;
    const Result<http::Reply> reply = http::CallAndWait(call);
    if (reply.ok() && reply.value().status_ == 200) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return false;
}

}  // namespace bergamotscale::tests

#endif  // BERGAMOTSCALE_TESTS_SUPPORT_CHILD_PROCESS_H_
