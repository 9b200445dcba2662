// Tests the distribution of the configuration in a system of real processes
// with injected faults. Two operators publish, and each process is polled for
// the revision that it has in force.
#ifndef BERGAMOTSCALE_TESTS_PROCESS_CONFIG_BENCH_H_
#define BERGAMOTSCALE_TESTS_PROCESS_CONFIG_BENCH_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio.hpp>

#include "src/config/config_publisher.h"
#include "tests/config_history.h"
#include "tests/support/child_process.h"
#include "tests/support/relay.h"

namespace bergamotscale::tests {

enum class ConfigFault {
  kKillEntry,  // SIGKILL; restarted when the fault ends
  kKillSidecar,
  kKillConsole,
  kKillLog,
  kStopEntry,  // SIGSTOP; SIGCONT when the fault ends
  kStopSidecar,
  kStopConsole,
  kStopLog,
  kLogDown,
  kLogSlow,
  kLogLosesAnswers,
  kLogSilent,
  kRetentionLost,  // the log keeps only a few records during the whole run
  kStartInOutage,  // an entry and a sidecar are restarted while the log is down
  kRestartAll,     // sidecars, entries and console restart one by one
  kCutLinks,       // closes the connections of one random link after another
  kSilentLinks,    // freezes the connections of all links at once
};
inline constexpr int kConfigFaultCount = 17;

// @return a name for messages.
const char* FaultName(ConfigFault fault);

// Runs a log, a service, two sidecars, two entries and a console on loopback.
// The destructor ends all processes.
class ConfigBench {
 public:
  // @param faults the faults that Run() injects; may contain duplicates.
  ConfigBench(uint64_t seed, std::vector<ConfigFault> faults);
  ~ConfigBench();
  ConfigBench(const ConfigBench&) = delete;
  ConfigBench& operator=(const ConfigBench&) = delete;

  // Starts all processes and publishes the first revision.
  // @return whether every process is up and has the revision in force.
  bool Start();
  // Lets two operators publish concurrently, each based on the revision that it
  // knows, and injects the faults meanwhile. Then waits until every process has
  // the newest revision, or until the time limit for that.
  void Run(std::chrono::milliseconds fault_time);
  // Publishes once and waits until every process reports the revision.
  // @return the time from the call until the last process reported it.
  Millis PublishAndWaitForAll();

  // @return the violations found in the run; empty if there is none.
  std::vector<std::string> Check();
  // @return the number of publications with this result.
  int CountOf(config::PublishState state) const;
  int64_t newest() const { return newest_; }

 private:
  struct Node {
    std::string binary_;
    std::string settings_;
    std::string url_;
    std::unique_ptr<ChildProcess> process_;
    std::thread poller_;
    std::atomic<int64_t> revision_{0};
  };
  struct Operator;

  void AddLog();
  void AddSidecar(int index);
  void AddEntry(int index);
  void AddConsole();
  uint16_t Add(const std::string& binary,
               const std::string& name,
               nlohmann::json settings,
               const char* endpoint);
  void StartProcess(const std::string& name);
  void StartAndWait(const std::string& name);
  void Signal(const std::string& name, int signal);
  bool HasFault(ConfigFault fault) const;

  // @return the revision that the process reports; zero if it reports none.
  static int64_t FetchRevision(const Node& node);
  void Poll(const std::string& name, Node& node);
  void RecordRevision(const std::string& name, Node& node, int64_t revision);
  bool AllHaveRevision(int64_t revision) const;

  void PublishRepeatedly(Operator& author, uint64_t seed);
  config::PublishResult PublishOnce(Operator& author);

  void BeginFault(ConfigFault fault);
  void RestartDuringFaults();
  void EndFault(ConfigFault fault);
  void RestartAll();
  void PostLogFaults(const std::string& text);
  void CheckLearnedFromPeers();
  void ReadJournal();

  std::mt19937_64 random_;
  const std::vector<ConfigFault> faults_;
  ScratchFolder folder_;
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      guard_;
  std::thread relay_thread_;
  std::vector<std::unique_ptr<testing::Relay>> relays_;
  std::map<std::string, uint16_t> ports_;
  std::map<std::string, Node> nodes_;
  std::map<ConfigFault, std::string> targets_;
  std::vector<std::unique_ptr<Operator>> operators_;
  std::mutex mutex_;
  testing::ConfigHistory history_;
  std::map<Revision, std::string> texts_;
  std::vector<std::string> violations_;
  // When the last fault of the log ended.
  Millis log_recovered_at_;
  std::atomic<bool> polling_{true};
  std::atomic<bool> publishing_{false};
  std::atomic<int64_t> newest_{0};
  std::atomic<int> documents_{0};
};

}  // namespace bergamotscale::tests

#endif  // BERGAMOTSCALE_TESTS_PROCESS_CONFIG_BENCH_H_
