// A local system of real processes for tests.
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
  // Time of an engine's step in microseconds.
  int64_t step_base_us_ = 500;
  int64_t step_per_sequence_us_ = 10;
  // Sidecars call engines without a relay between, so that a connection to an
  // engine that is down is refused, as it is on one node.
  bool direct_engines_ = false;
  // Engines and entries are spread evenly over zones: "zone-1"....
  int zones_ = 1;
  // Whether sidecars are known by the instance list only.
  bool instance_list_ = false;
  Millis list_lag_;
  // Members that replace the settings of every sidecar.
  nlohmann::json sidecar_settings_ = nlohmann::json::object();
  // Settings that are added to those of each entry, and of an engine.
  nlohmann::json entry_settings_ = nlohmann::json::object();
  std::function<nlohmann::json(int number)> engine_settings_;
  // Settings of the weight store "weights" without its port; none if null.
  nlohmann::json weight_store_;
};

// Starts the log, engines, one plain service, a sidecar beside each, and
// entries, and a console, with free ports and settings in a temporary folder;
// kills all at the end. Entries reach sidecars, and sidecars reach engines,
// through relays.
// Names: "log", "engine-1"..., "service", "service-2"..., "sidecar-1"... (of
// the engines), "sidecar-service", "sidecar-service-2"..., "entry-1"...,
// "console", and "list" if there is one.
// Thread safety: use on the test's main thread, but for the relays.
class Cluster {
 public:
  static constexpr char kWorkspaceKey[] = "hanbit-large-key";
  static constexpr char kModel[] = "keywords-8b";

  explicit Cluster(const ClusterOptions& options = ClusterOptions());
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  // @return such as "http://127.0.0.1:1234".
  std::string Url(const std::string& name) const;
  uint16_t Port(const std::string& name) const;
  int entries() const { return options_.entries_; }
  // @return the availability zone of an engine and its sidecar.
  std::string ZoneOfEngine(int number) const;
  std::string ZoneOfEntry(int number) const;

  // Tells the instance list of a sidecar's state: "live", "leaving", "gone".
  void List(const std::string& name, const std::string& state);

  void Signal(const std::string& name, int signal);
  // Kills with SIGKILL and waits.
  void Kill(const std::string& name);
  // Starts a process that has ended again, with the same settings.
  void Start(const std::string& name);
  // Waits for the process's own end. @return its exit code, or -1 if it has
  // not ended in time.
  int WaitForExit(const std::string& name, Millis patience);
  // @return whether GET path answered 200 in time.
  bool WaitFor(const std::string& name, const std::string& path);

  // The relay in front of a sidecar's link, or of an engine.
  Relay& LinkRelay(int number) { return *link_relays_.at(number - 1); }
  Relay& EngineRelay(int number) { return *engine_relays_.at(number - 1); }

  // @return the lines of a stand-in's journal; empty if it is down.
  std::vector<nlohmann::json> Journal(const std::string& name) const;
  // @return the lines of the file of orders that an engine carried out.
  std::vector<nlohmann::json> OrderJournal(int number) const;
  // @return the lines of a stand-in's journal of all its runs: one for the
  // start and one for the end of each execution.
  std::vector<nlohmann::json> JournalFile(const std::string& name) const;

  // Publishes a document; the test fails if it isn't accepted.
  void Publish(const nlohmann::json& document);
  // @return the document that the system starts with.
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
  std::string ListUrl() const;
  std::vector<nlohmann::json> LinesOf(const std::string& file) const;

  const ClusterOptions options_;
  std::string folder_;
  std::map<std::string, Process> processes_;
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
