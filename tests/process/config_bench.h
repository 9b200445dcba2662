// The configuration through a whole system of real processes, with faults on
// order: two operators publish, each process is asked what it has in force.
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
  kKillEntry,  // SIGKILL; a fresh process starts at the end
  kKillSidecar,
  kKillConsole,
  kKillLog,
  kStopEntry,  // SIGSTOP, then SIGCONT
  kStopSidecar,
  kStopConsole,
  kStopLog,
  kLogDown,
  kLogSlow,
  kLogLosesAnswers,
  kLogSilent,
  kRetentionLost,  // the log keeps a few records only, in the whole run
  kFreshInOutage,  // with the log down, an entry and a sidecar start afresh
  kRestartAll,     // each process is killed and started, one after another
  kCutLinks,       // one after another
  kSilentLinks,    // all at once
};
inline constexpr int kConfigFaultCount = 17;

// @return a name for messages.
const char* FaultName(ConfigFault fault);

// A log, a service, two sidecars, two entries and a console. All on loopback;
// ends all of its processes.
class ConfigBench {
 public:
  // @param faults what Run() brings about; they need not differ.
  ConfigBench(uint64_t seed, std::vector<ConfigFault> faults);
  ~ConfigBench();
  ConfigBench(const ConfigBench&) = delete;
  ConfigBench& operator=(const ConfigBench&) = delete;

  // @return whether each process is up.
  bool Start();
  // Two operators publish from what each of them sees, with the faults in the
  // middle of it; waits until each process has the newest revision, at most
  // the time that it may take.
  void Run(std::chrono::milliseconds fault_time);
  // One operator publishes once and waits for its revision in each process.
  // @return the time from the call to the last process's report.
  Millis PublishAndSpread();

  std::vector<std::string> Check();
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
  void Launch(const std::string& name);
  void Relaunch(const std::string& name);
  void Signal(const std::string& name, int signal);
  bool Has(ConfigFault fault) const;

  // @return the revision that the process tells; zero for none.
  static int64_t AskRevision(const Node& node);
  void Poll(const std::string& name, Node& node);
  void Note(const std::string& name, Node& node, int64_t revision);
  bool AllHave(int64_t revision) const;

  void PublishRounds(Operator& author, uint64_t seed);
  config::PublishResult PublishOnce(Operator& author);

  void Begin(ConfigFault fault);
  void Middle();
  void End(ConfigFault fault);
  void RestartAll();
  void PostLogFaults(const std::string& text);
  void CheckFreshLearnt();
  void CheckSpread(std::vector<std::string>* violations) const;
  void CheckAgainstJournal(std::vector<std::string>* violations);

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
  std::vector<std::string> found_;
  // Since when each process, and the log, is whole.
  std::map<std::string, Millis> whole_since_;
  Millis log_whole_since_;
  std::atomic<bool> polling_{true};
  std::atomic<bool> publishing_{false};
  std::atomic<int64_t> newest_{0};
  std::atomic<int> documents_{0};
};

}  // namespace bergamotscale::tests

#endif  // BERGAMOTSCALE_TESTS_PROCESS_CONFIG_BENCH_H_
