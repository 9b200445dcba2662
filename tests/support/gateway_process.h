// Runs the gateway of the deploy file as a real process on loopback addresses,
// beside stand-ins of the platform's store, of servers and of clients.
#ifndef BERGAMOTSCALE_TESTS_SUPPORT_GATEWAY_PROCESS_H_
#define BERGAMOTSCALE_TESTS_SUPPORT_GATEWAY_PROCESS_H_

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "bergamotscale/units.h"
#include "tests/support/child_process.h"

namespace bergamotscale::tests {

// @return the time of the steady clock.
Millis SteadyNow();
void SleepFor(Millis time);

// @return a loopback address that only this process uses.
std::string LoopbackIp(int number);

// A blocking TCP connection. Thread safety: Shutdown() from any thread, all
// else from one.
class Wire {
 public:
  explicit Wire(int fd) : fd_(fd) {}
  ~Wire();
  Wire(const Wire&) = delete;
  Wire& operator=(const Wire&) = delete;

  // @return null if no connection was made.
  static std::unique_ptr<Wire> Open(const std::string& address);
  // @return null if no connection was made within the time.
  static std::unique_ptr<Wire> Open(const std::string& address, Millis timeout);

  bool Write(const std::string& bytes);
  bool ReadLine(std::string* line);
  bool ReadExactly(size_t size, std::string* bytes);
  // Reads up to and including the empty line.
  bool ReadHead(std::string* head);
  // Reads a body in chunks. @return whether it ended with its last chunk.
  bool ReadChunks(std::string* body);
  bool PeerHasClosed() const;
  // A read fails after this time without a byte.
  void SetReadTimeout(Millis timeout);
  // Ends the sending side only.
  void ShutdownSending();
  // Ends the connection; with a reset if asked for.
  void Shutdown(bool reset = false);

 private:
  bool Fill();

  const int fd_;
  std::string buffer_;
};

// @return the value of a header of the head; empty if missing.
std::string HeaderOf(const std::string& head, const std::string& name);

// Listens on an address and serves each connection in a thread.
class WireListener {
 public:
  using Serve = std::function<void(Wire&)>;

  // @param port zero for any free one.
  WireListener(const std::string& ip, uint16_t port, Serve serve);
  // Closes the listener and all connections, and waits for their threads.
  ~WireListener();
  WireListener(const WireListener&) = delete;
  WireListener& operator=(const WireListener&) = delete;

  uint16_t port() const { return port_; }
  // Resets all connections; further ones are accepted.
  void ResetConnections();

 private:
  void Accept();

  const Serve serve_;
  int fd_ = -1;
  uint16_t port_ = 0;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::list<std::unique_ptr<Wire>> wires_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

// Occupies an address, as a process that is about to end does.
class AddressHolder {
 public:
  // @param type SOCK_STREAM or SOCK_DGRAM.
  AddressHolder(const std::string& address, int type);
  ~AddressHolder();
  AddressHolder(const AddressHolder&) = delete;
  AddressHolder& operator=(const AddressHolder&) = delete;

  bool is_held() const { return is_held_; }

 private:
  const int fd_;
  bool is_held_ = false;
};

// The parts of the platform's store that a gateway reads. Thread safety: safe.
class StoreStandIn {
 public:
  enum class Mode { kServing, kResetting, kSilent };

  explicit StoreStandIn(const std::string& ip);
  ~StoreStandIn();

  std::string address() const;
  // Appends a record; an empty value removes the key.
  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value);
  void SetMode(Mode mode);
  // @param served whether records may be appended; otherwise 503 answers.
  void SetAppends(bool served) { serves_appends_ = served; }
  // @return the number of records of a topic.
  size_t Count(const std::string& topic);
  // Keeps a copy of all topics.
  void TakeCopy();
  // Puts the copy in place of all topics and begins the next era.
  void RestoreCopy();

 private:
  struct Entry {
    std::string key_;
    std::string value_;
  };

  void Serve(Wire& wire);
  // @return the whole response.
  std::string Newest(const std::string& topic);
  std::string Read(const std::string& topic, size_t from, Millis wait);
  std::string Append(const std::string& target, const std::string& body);
  // Precondition: mutex_ is held.
  std::string Respond(const std::string& status, const std::string& body) const;

  const std::string ip_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::vector<Entry>> topics_;
  std::map<std::string, std::vector<Entry>> copy_;
  int era_ = 1;
  Mode mode_ = Mode::kServing;
  std::atomic<bool> serves_appends_{true};
  bool stopping_ = false;
  std::unique_ptr<WireListener> listener_;
};

// A request that a server has read.
struct ServerCall {
  std::string head_;
  std::string id_;
  std::string body_;
  std::string answer_headers_;  // of its answer, each with its line end
  std::string version_;         // of the server

  // @return the value of a numeric header.
  int64_t Number(const std::string& name, int64_t fallback) const;
};

// @return the head of a server's answer to the call.
std::string AnswerHead(const ServerCall& call,
                       const std::string& status,
                       const std::string& headers);
// Answers after the time of the header X-Work-Ms with as many bytes as
// X-Answer-Bytes says.
bool AnswerWhole(const ServerCall& call, Wire& wire);
// Sends as many events as X-Events says, one each X-Pace-Ms. They hold the id
// of the call, or with X-Names-Version the version of the server, padded to
// X-Event-Bytes. A response that begins a stream pauses for X-Pause-Ms before
// the event X-Pause-At.
bool AnswerEvents(const ServerCall& call, Wire& wire);
// Sends bytes until the connection ends: X-Endless is "answer" for a body
// without a length or "event" for one event.
bool AnswerEndless(const ServerCall& call, Wire& wire);
// One of the above, by the headers of the call.
bool AnswerAsAsked(const ServerCall& call, Wire& wire);

// A server of a service, registered in the store. It answers 421 if another
// instance is expected. Thread safety: safe.
class ServerStandIn {
 public:
  // Runs a call. @return false to close the connection. The run counts as
  // begun unless `did_run` is set to false.
  using Run =
      std::function<bool(const ServerCall& call, Wire& wire, bool* did_run)>;

  // Runs each call by AnswerAsAsked().
  ServerStandIn(StoreStandIn& store,
                std::string id,
                std::string service,
                const std::string& ip);
  ServerStandIn(StoreStandIn& store,
                std::string id,
                std::string service,
                const std::string& ip,
                Run run);
  ~ServerStandIn();

  // Names another version from the next start or heartbeat on.
  void SetVersion(const std::string& version);
  void SetDraining();
  // Removes the entry and writes no further heartbeat.
  void Leave();
  // Resets all connections; further ones are accepted.
  void ResetConnections();
  // Ends all connections and refuses new ones. The entry stays.
  void Crash();
  // Starts again under the same id and address.
  void Restart();

  // @return how often calls with this id ran here.
  int RunsOf(const std::string& id);
  int runs();

 private:
  void Serve(Wire& wire);
  void WriteEntry();
  void SendHeartbeats();

  StoreStandIn& store_;
  const std::string id_;
  const std::string service_;
  const std::string ip_;
  const Run run_;
  std::mutex mutex_;
  std::condition_variable stopped_;
  std::map<std::string, int> runs_;
  std::string version_ = "v1";
  int64_t born_ = 0;
  int64_t seq_ = 0;
  bool draining_ = false;
  bool silent_ = false;
  bool stopping_ = false;
  uint16_t port_ = 0;
  std::unique_ptr<WireListener> listener_;
  std::thread heartbeats_;
};

// A deployment's values for the settings template, by the names of the
// platform's pages, each as JSON.
using TemplateFields = std::map<std::string, std::string>;

// @return the template with its values filled in, as the platform does it.
std::string FillTemplate(const std::string& text, const TemplateFields& fields);

// @return the limits and bounds of a usual deployment.
TemplateFields MakeBounds();

// A gateway on its own loopback address. The log is kept in `folder`.
class GatewayProcess {
 public:
  GatewayProcess(std::string folder,
                 const std::string& ip,
                 const std::string& store,
                 TemplateFields fields = {});
  ~GatewayProcess();
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  // Writes the settings and starts the program.
  void Start();
  void WriteSettings();
  void SetField(const std::string& name, const std::string& value);
  // Leaves a field of the template out.
  void RemoveField(const std::string& name);
  // Loads a library into the process at each further start.
  void Preload(const std::string& library) { preload_ = library; }
  // Bounds the descriptors of the process from its next start on, and tells it.
  void LimitDescriptors(unsigned limit) {
    max_descriptors_ = limit;
    SetField("limits.max_fds", std::to_string(limit));
  }
  // Until the next Start() the process reads its settings from a FIFO, and
  // waits there for them.
  void ReplaceSettingsByFifo();
  // @return the writing end of the FIFO; negative if nobody reads it yet.
  int OpenSettingsFifo() const;
  // Writes the settings to the FIFO and replaces it by a file.
  void WriteSettings(int fifo);
  // @return whether its readiness probe answers 200.
  bool IsReady() const;
  // @return false if it ended or was not ready within the time.
  bool AwaitReady(Millis timeout);
  void Signal(int signal);
  // @return whether the process has ended.
  bool HasEnded();
  // Waits for the end; kills the process after the time, as the platform does.
  // @return whether it ended by itself.
  bool AwaitEnd(Millis timeout);
  // @return the id of the process; negative if it has ended.
  pid_t pid() const { return pid_; }
  // @return what waitpid() told of the last end.
  int status() const { return status_; }
  // @return the peak of its resident memory.
  Bytes PeakMemory() const;
  // @return how many descriptors of the process refer to its log file: standard
  // output and standard error, and duplicates of them.
  int CountDescriptorsOfLog() const;
  // @return the metrics page; empty if it doesn't answer.
  std::string Metrics() const;
  // @return whether the metrics page answers within the time.
  bool AwaitMetrics(Millis timeout) const;

  const std::string& address() const { return callers_; }
  const std::string& ready_address() const { return ready_; }
  const std::string& operators_address() const { return operators_; }
  const std::string& peers_address() const { return peers_; }
  const std::string& log_file() const { return log_file_; }

 private:
  std::string SettingsText() const;

  TemplateFields fields_;
  std::string callers_;
  std::string ready_;
  std::string operators_;
  std::string peers_;
  std::string settings_file_;
  std::string log_file_;
  std::string preload_;
  unsigned max_descriptors_ = 0;  // zero: as this process
  bool has_fifo_ = false;
  pid_t pid_ = -1;
  int status_ = 0;
};

struct CallerRequest {
  std::string method_ = "POST";
  std::string path_;
  std::string id_;
  std::string key_ = "key1";
  Millis patience_ = Millis(3'000);
  std::string headers_;  // further ones, each with its line end
  std::string body_;

  std::string Head() const;
};

// @return an order that its server works on for this time.
CallerRequest MakeOrder(const std::string& id, int work_ms);
// @return a stream with this number of events, one each 74 ms.
CallerRequest MakeStream(const std::string& id, int events);

struct CallerAnswer {
  bool is_sent_ = false;  // the whole request was written
  // Right before and after the last bytes were written. The caller's thread may
  // have waited for the processor in between.
  Millis last_write_began_;
  Millis sent_at_;
  Millis ended_at_;
  int status_ = 0;  // zero: no head arrived
  std::string head_;
  std::string body_;
  bool is_whole_ = false;
  bool closes_ = false;  // the answer announces the close
};

// Reads the answer to a request that was sent.
// @param last_write_began when the write of its last bytes began.
CallerAnswer ReadAnswer(Wire& wire,
                        const CallerRequest& request,
                        Millis last_write_began);
// Sends the request and reads its answer.
// @param before_reading called once the request is written; may be empty.
CallerAnswer Exchange(Wire& wire,
                      const CallerRequest& request,
                      const std::function<void()>& before_reading = {});

// @return a configuration with the routes "/stream/", "/resume/" (service
// "llm"), "/order/" and "/read/" (service "app") of host "h.example", and the
// key "key1".
std::string MakeConfig(int64_t version, Millis idle_timeout = Millis(15'000));

// A gateway before an engine and an application server.
struct SmallSystem {
  ScratchFolder folder_;
  StoreStandIn store_{LoopbackIp(1)};
  ServerStandIn engine_{store_, "i-1", "llm", LoopbackIp(2)};
  ServerStandIn app_{store_, "i-2", "app", LoopbackIp(3)};
  GatewayProcess gateway_{folder_.File(""), LoopbackIp(4), store_.address()};

  // Publishes a configuration and starts the gateway.
  // @param settle_time how long to wait once it is ready.
  // @return whether it became ready.
  bool Start(Millis settle_time);
};

}  // namespace bergamotscale::tests

#endif  // BERGAMOTSCALE_TESTS_SUPPORT_GATEWAY_PROCESS_H_
