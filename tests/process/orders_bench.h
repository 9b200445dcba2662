// Orders through a whole system of real processes, with faults on order.
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
  kKillLog,      // which keeps what it accepted
  kStopEntry,    // SIGSTOP past every timeout, then SIGCONT
  kStopSidecar,  // the same
  kStopService,
  kStopLog,
  kLogDown,
  kLogSlow,
  kLogLosesAnswers,
  kLogSilent,  // holds every call without an answer
  kCutLink,    // one connection after another
  kSilentLink,
};
inline constexpr int kFaultCount = 14;

// @return a name for messages.
const char* FaultName(Fault fault);

// Whether callers mark their requests as orders.
enum class KeyUse {
  kKeys,
  kNoKeys,  // the same resends without claims: shows what the faults do
};

// How long a service takes for each order.
inline constexpr Millis kShortService(20);
// Longer than the rest of an order's way: a fault meets orders that run.
inline constexpr Millis kLongService(400);

// A log, two services with a sidecar each, two entries behind which callers
// send. All on loopback; ends all of its processes.
class OrdersBench {
 public:
  explicit OrdersBench(uint64_t seed,
                       KeyUse keys = KeyUse::kKeys,
                       Millis service_time = kShortService);
  ~OrdersBench();
  OrdersBench(const OrdersBench&) = delete;
  OrdersBench& operator=(const OrdersBench&) = delete;

  // @return whether the system answers.
  bool Start();
  // Sends orders for a time with faults in the middle of it, then lets the
  // open ones end.
  void Run(const std::vector<Fault>& faults);
  // As Run(), but the faults last so long.
  void RunFor(const std::vector<Fault>& faults,
              std::chrono::milliseconds fault_time);

  // For runs by hand.
  void Kill(const std::string& name);
  // Starts a killed process afresh and waits until it is ready.
  bool Restart(const std::string& name);
  void PostLogFaults(const std::string& json);
  // Sends until there is an answer of any kind.
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
  void Launch(const std::string& name);
  bool Publish();
  bool WarmUp();

  void Call(uint64_t seed);
  void SendOrder(std::mt19937_64& random, const std::string& key);
  Send SendOnce(const std::string& key, size_t entry);

  void CutIfAsked(const std::vector<Fault>& faults);
  void Begin(Fault fault);
  void End(Fault fault);
  std::string Chosen(const std::string& kind);

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
