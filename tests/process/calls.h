// Single calls to a cluster of processes, and waiting for what they bring
// about.
#ifndef BERGAMOTSCALE_TESTS_PROCESS_CALLS_H_
#define BERGAMOTSCALE_TESTS_PROCESS_CALLS_H_

#include <chrono>
#include <string>
#include <thread>

#include "tests/process/cluster.h"

namespace bergamotscale::testing {

struct Sent {
  std::string entry_ = "entry-1";
  std::string path_ = "/v1/chat/completions";
  std::string body_;
  std::string key_ = Cluster::kWorkspaceKey;
  std::string class_;      // empty for the workspace's default
  std::string order_key_;  // empty for none
};

// @return the status, and of a refusal its body; or why no answer came.
std::string Send(const Cluster& cluster, const Sent& sent);

// @return the bytes of a streamed chat, for a raw connection.
// @param order_key makes an order of it, unless empty.
std::string RawChat(const std::string& content,
                    const std::string& order_key = {},
                    const std::string& service_class = {});

// Sets faults of a stand-in that takes them.
void SetFaults(const Cluster& cluster,
               const std::string& name,
               const std::string& faults);

// @return how many executions of the order all engines have begun.
int ExecutionsOf(const Cluster& cluster, int engines, const std::string& key);

// @return the number of the engine that runs a request, or zero.
int RunningEngine(const Cluster& cluster, int engines);
// As above, but waits for one.
int WaitForRunningEngine(const Cluster& cluster, int engines);

template <typename Condition>
bool WaitUntil(const Condition& condition, std::chrono::milliseconds patience) {
  const auto end = std::chrono::steady_clock::now() + patience;
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
