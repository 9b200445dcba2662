// Runs a complete local system of real processes for tests.
#ifndef BERGAMOTSCALE_TESTS_PROCESS_CLUSTER_H_
#define BERGAMOTSCALE_TESTS_PROCESS_CLUSTER_H_

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/process/child.hpp>
#include <nlohmann/json.hpp>

#include "bergamotscale/units.h"
#include "tests/support/relay.h"

namespace bergamotscale::testing {

struct ClusterOptions {
  int engines_ = 3;
  int entries_ = 2;
  int services_ = 1;
  // Duration of an engine's step in microseconds: a base, and a part for each
  // sequence in the batch.
  int64_t step_base_us_ = 500;
  int64_t step_per_sequence_us_ = 10;
  // Whether sidecars connect to engines without a relay. A connection to an
  // engine that is down is then refused, as on a single machine.
  bool direct_engines_ = false;
  // Number of zones, named "zone-1", "zone-2"...; engines and entries are
  // assigned to them in turn.
  int zones_ = 1;
  // Whether entries find sidecars by the instance list instead of by their
  // settings.
  bool instance_list_ = false;
  // Delay until a change of the instance list becomes visible.
  Millis list_lag_;
  // Settings that are added to those of each sidecar, or replace them.
  nlohmann::json sidecar_settings_ = nlohmann::json::object();
  // The same for each entry, and for the engine with the given number.
  nlohmann::json entry_settings_ = nlohmann::json::object();
  std::function<nlohmann::json(int number)> engine_settings_;
  // Settings of the weight store "weights", without its port. If null, there is
  // no weight store.
  nlohmann::json weight_store_;
};

// Starts the log, engines and plain services with one sidecar each, entries and
// a console. Uses free ports, and settings files in a temporary folder. Entries
// connect to sidecars of engines, and sidecars to engines, through relays. The
// destructor kills all processes.
// Names of the processes: "log", "engine-1"..., "service", "service-2"...,
// "sidecar-1"... (of the engines), "sidecar-service", "sidecar-service-2"...,
// "entry-1"..., "console", and, if the options ask for them, "list" and
// "weights".
// Thread safety: use on the test's main thread, except for the relays.
class Cluster {
 public:
  static constexpr char kWorkspaceKey[] = "hanbit-large-key";
  static constexpr char kModel[] = "keywords-8b";

  explicit Cluster(const ClusterOptions& options = ClusterOptions());
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  // @return the process's base URL, such as "http://127.0.0.1:1234".
  std::string Url(const std::string& name) const;
  uint16_t Port(const std::string& name) const;
  int entries() const { return options_.entries_; }
  // @return the availability zone of an engine and its sidecar.
  std::string ZoneOfEngine(int number) const;
  std::string ZoneOfEntry(int number) const;

  // Sets the state of a sidecar in the instance list: "live", "leaving" or
  // "gone".
  void SetListedState(const std::string& name, const std::string& state);

  // Sends a signal to a process.
  void Signal(const std::string& name, int signal);
  // Sends SIGKILL and waits until the process has ended.
  void Kill(const std::string& name);
  // Restarts a process that has ended, with the same settings.
  void Start(const std::string& name);
  // Waits until the process has ended. @return its exit code, or -1 after the
  // timeout.
  int WaitForExit(const std::string& name, Millis timeout);
  // @return whether GET `path` responded 200 within 15 s.
  bool WaitFor(const std::string& name, const std::string& path);

  // The relay in front of an engine's sidecar, and in front of an engine.
  Relay& LinkRelay(int number) { return *link_relays_.at(number - 1); }
  Relay& EngineRelay(int number) { return *engine_relays_.at(number - 1); }

  // @return the lines of a stand-in's journal since its last start, read over
  // HTTP; empty if it is down.
  std::vector<nlohmann::json> FetchJournal(const std::string& name) const;
  // @return the lines of the file in which an engine records the engine orders
  // that it has executed.
  std::vector<nlohmann::json> ReadOrderJournal(int number) const;
  // @return the lines of a stand-in's journal file, which covers all its runs
  // and has one line for the start and one for the end of each execution.
  std::vector<nlohmann::json> ReadJournalFile(const std::string& name) const;

  // Publishes a configuration document. The test fails if it isn't accepted.
  void Publish(const nlohmann::json& document);
  // @return the configuration document that the system starts with.
  static nlohmann::json StartDocument();

 private:
  struct Process {
    std::string binary_;
    uint16_t port_ = 0;
    std::unique_ptr<boost::process::child> child_;
  };

  void Add(const std::string& name,
           const std::string& binary,
           uint16_t port,
           const nlohmann::json& settings);
  void AddEngine(int number);
  void AddService(int number);
  void AddSidecar(const std::string& name,
                  const std::string& group,
                  const std::string& kind,
                  const std::string& upstream_url,
                  uint16_t link_port,
                  const std::string& zone);
  void AddEntry(int number);
  void AddConsole();
  std::string InstanceListUrl() const;
  std::vector<nlohmann::json> ReadJsonLines(const std::string& file) const;

  const ClusterOptions options_;
  std::string folder_;
  std::map<std::string, Process> processes_;
  // The sidecars, as entries' settings list them.
  nlohmann::json members_ = nlohmann::json::array();
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  std::vector<std::unique_ptr<Relay>> link_relays_;
  std::vector<std::unique_ptr<Relay>> engine_relays_;
  std::thread relay_thread_;
};

}  // namespace bergamotscale::testing

#endif  // BERGAMOTSCALE_TESTS_PROCESS_CLUSTER_H_
