// Helpers for tests that use a log stand-in in the test process.
#ifndef BERGAMOTSCALE_TESTS_SUPPORT_LOG_H_
#define BERGAMOTSCALE_TESTS_SUPPORT_LOG_H_

#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>

#include "src/log/log_client.h"
#include "standins/platform/log_server.h"
#include "tests/support/free_port.h"

namespace bergamotscale::testing {

// @return an open server on a free port.
inline std::unique_ptr<standins::LogServer> OpenLog(
    standins::LogStoreOptions store = {}) {
  for (;;) {
    standins::LogServerOptions options;
    options.port_ = FreePort();
    options.store_ = store;
    auto server = std::make_unique<standins::LogServer>(options);
    if (server->Open().ok()) {
      return server;
    }
  }
}

// Polls `condition`. @return true once it holds, false after the limit.
inline bool WaitUntil(
    const std::function<bool()>& condition,
    std::chrono::milliseconds limit = std::chrono::milliseconds(10000)) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (std::chrono::steady_clock::now() < end) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return condition();
}

inline Result<LogOffset> AppendAndWait(log::LogClient& client,
                                       const std::string& stream,
                                       const std::string& payload) {
  std::promise<Result<LogOffset>> promise;
  client.Append(stream, payload, [&](Result<LogOffset> offset) {
    promise.set_value(std::move(offset));
  });
  return promise.get_future().get();
}

inline Result<log::ReadPage> ReadAndWait(log::LogClient& client,
                                         const std::string& stream,
                                         LogOffset from,
                                         Millis wait = Millis(0)) {
  std::promise<Result<log::ReadPage>> promise;
  client.Read(stream, from, wait, [&](Result<log::ReadPage> page) {
    promise.set_value(std::move(page));
  });
  return promise.get_future().get();
}

}  // namespace bergamotscale::testing

#endif  // BERGAMOTSCALE_TESTS_SUPPORT_LOG_H_
