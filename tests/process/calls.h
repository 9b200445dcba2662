// Sends single requests to the processes of a Cluster and waits for their
// effects.
#ifndef BERGAMOTSCALE_TESTS_PROCESS_CALLS_H_
#define BERGAMOTSCALE_TESTS_PROCESS_CALLS_H_

#include <chrono>
#include <string>
#include <thread>

#include "tests/process/cluster.h"

namespace bergamotscale::testing {

// A request that Send() sends to an entry.
struct TestRequest {
  std::string entry_ = "entry-1";
  std::string path_ = "/v1/chat/completions";
  std::string body_;
  std::string workspace_key_ = Cluster::kWorkspaceKey;
  std::string class_;            // empty: the workspace's default
  std::string idempotency_key_;  // empty: the request is no order
};

// Sends a request and waits for the response.
// @return its status, followed by its body unless the status is 200; or the
// error if there was no response.
std::string Send(const Cluster& cluster, const TestRequest& request);

// @return a streaming chat request as HTTP text, to be sent by a RawCaller.
// @param idempotency_key if not empty, the request is an order.
std::string RawChat(const std::string& content,
                    const std::string& idempotency_key = {},
                    const std::string& service_class = {});

// Sets the faults of a stand-in that accepts POST /faults.
// @param faults a JSON object.
void PostFaults(const Cluster& cluster,
                const std::string& name,
                const std::string& faults);

// @return how many executions of the order were started, over all engines.
int CountExecutions(const Cluster& cluster,
                    int engines,
                    const std::string& key);

// @return the number of an engine that is running a request; zero if none is.
int FindRunningEngine(const Cluster& cluster, int engines);
// Waits until an engine is running a request.
// @return its number, or zero after 5 s.
int WaitForRunningEngine(const Cluster& cluster, int engines);

// @return whether the condition became true before the timeout.
template <typename Condition>
bool WaitUntil(const Condition& condition, std::chrono::milliseconds timeout) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return true;
}

}  // namespace bergamotscale::testing

#endif  // BERGAMOTSCALE_TESTS_PROCESS_CALLS_H_
