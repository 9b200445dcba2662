// Sends orders through a system of real processes with injected faults.
#ifndef BERGAMOTSCALE_TESTS_PROCESS_ORDERS_BENCH_H_
#define BERGAMOTSCALE_TESTS_PROCESS_ORDERS_BENCH_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio.hpp>

#include "bergamotscale/units.h"
#include "tests/support/child_process.h"
#include "tests/support/history.h"
#include "tests/support/relay.h"

namespace bergamotscale::tests {

enum class Fault {
  kKillEntry,
  kKillSidecar,
  kKillService,
  kKillLog,    // accepted records are kept
  kStopEntry,  // SIGSTOP for longer than every timeout, then SIGCONT
  kStopSidecar,
  kStopService,
  kStopLog,
  kLogDown,
  kLogSlow,
  kLogLosesAnswers,
  kLogSilent,   // holds every call without a response
  kCutLink,     // closes the connections of one random link after another
  kSilentLink,  // freezes the connections of one random link
};
inline constexpr int kFaultCount = 14;

// @return a name for messages.
const char* FaultName(Fault fault);

// Whether callers send an idempotency key, which makes their requests orders.
enum class KeyUse {
  kKeys,
  // The same retries without keys, and thus without claims; shows that the
  // faults make requests run twice unless claims prevent it.
  kNoKeys,
};

// Execution time of a service for each order.
inline constexpr Millis kShortService(20);
// Most of an order's total time, so that a fault is likely to occur while its
// target executes one.
inline constexpr Millis kLongService(400);

// Runs a log, two services with one sidecar each, and two entries on loopback,
// and callers that send orders to the entries. The destructor ends all
// processes.
class OrdersBench {
 public:
  explicit OrdersBench(uint64_t seed,
                       KeyUse keys = KeyUse::kKeys,
                       Millis service_time = kShortService);
  ~OrdersBench();
  OrdersBench(const OrdersBench&) = delete;
  OrdersBench& operator=(const OrdersBench&) = delete;

  // Starts all processes. @return whether both entries have answered an order.
  bool Start();
  // Sends orders for a fixed time and injects the faults meanwhile. Then waits
  // for the open orders.
  void Run(const std::vector<Fault>& faults);
  // Like Run(), with the given duration of the faults.
  void RunFor(const std::vector<Fault>& faults,
              std::chrono::milliseconds fault_time);

  // The following calls are for tests that inject faults themselves, without
  // Run().
  void Kill(const std::string& name);
  // Restarts a killed process and waits until it is ready.
  bool Restart(const std::string& name);
  void PostLogFaults(const std::string& json);
  // Sends the order and retries until there is a response.
  Send SendTo(const std::string& key, size_t entry);

  std::vector<Violation> Check();
  const std::vector<Send>& sends() const { return sends_; }
  int CountOf(SendResult result) const;
  std::vector<Execution> Executions() const;
  std::string EntryUrl(size_t index) const;
  std::string UrlOf(const std::string& name) const;

 private:
  struct Node {
    std::string binary_;
    std::string name_;
    std::string settings_;
    std::unique_ptr<ChildProcess> process_;
  };

  void AddLog();
  void AddService(int index);
  void AddSidecar(int index);
  void AddEntry(int index);
  void Add(const std::string& binary,
           const std::string& name,
           const std::string& settings);
  void StartProcess(const std::string& name);
  bool Publish();
  bool WarmUp();

  void RunCaller(uint64_t seed);
  void SendOrder(std::mt19937_64& random, const std::string& key);
  Send SendOnce(const std::string& key, size_t entry);

  void CutLinkIfRequested(const std::vector<Fault>& faults);
  void BeginFault(Fault fault);
  void EndFault(Fault fault);
  std::string PickInstance(const std::string& kind);

  std::mt19937_64 random_;
  KeyUse keys_;
  Millis service_time_;
  ScratchFolder folder_;
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      guard_;
  std::thread relay_thread_;
  std::vector<std::unique_ptr<testing::Relay>> relays_;
  std::map<std::string, Node> nodes_;
  std::map<std::string, uint16_t> ports_;
  std::map<Fault, std::string> targets_;
  std::mutex mutex_;
  std::vector<Send> sends_;
  std::atomic<bool> calling_{false};
  std::atomic<int> next_order_{0};
};

}  // namespace bergamotscale::tests

#endif  // BERGAMOTSCALE_TESTS_PROCESS_ORDERS_BENCH_H_
