// Stand-ins of the platform's store, of servers and of clients, and a starter
// of the gateway, for the cases in review/. Only loopback addresses are used.
#ifndef BERGAMOTSCALE_REVIEW_STANDINS_HARNESS_H_
#define BERGAMOTSCALE_REVIEW_STANDINS_HARNESS_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

// Milliseconds since the start of the program, by the steady clock.
int64_t NowMs();
void SleepUntil(int64_t at_ms);
void SleepFor(int64_t ms);
// Ends the program with code 2: the case could not run.
[[noreturn]] void CannotRun(const std::string& why);
// Writes a line with the time to record.txt and to standard output.
void Record(const std::string& line);
// @return whether the disruption is wanted (TROUBLE is not 0).
bool WithTrouble();
// @return a loopback address that only this run uses.
std::string OwnAddress(int number);

// A TCP connection with a buffer.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {}
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // @return nullptr if the connection was refused.
  static std::unique_ptr<Connection> Open(const std::string& address);

  bool Write(const std::string& bytes);
  // Reads up to and including the empty line. @return false at the end.
  bool ReadHead(std::string* head);
  bool ReadExactly(size_t size, std::string* bytes);
  bool ReadLine(std::string* line);
  // Reads what comes within the time; stops at the end.
  std::string ReadFor(int64_t ms);
  // @return whether the peer has closed or reset the connection.
  bool PeerHasClosed() const;
  // Reads fail after so long without a byte.
  void SetReadTimeout(int64_t ms);
  void Close();

 private:
  bool Fill();
  int fd_;
  std::string buffer_;
};

struct Request {
  std::string method_;
  std::string target_;
  std::string body_;
  std::multimap<std::string, std::string> headers_;  // names in lower case
  std::string Header(const std::string& name) const;
};

// @return false if the connection has ended.
bool ReadRequest(Connection& connection, Request* request);

// Listens on an address and runs a function with each connection in a thread.
class Listener {
 public:
  Listener(const std::string& ip, std::function<void(Connection&)> serve);
  // Stops to accept; further connections are refused.
  void Stop();
  const std::string& address() const { return address_; }

 private:
  int fd_ = -1;
  std::string address_;
  std::thread thread_;
};

// The platform's store: the parts of its log that the gateway reads, as on the
// pages. Held reads are answered after their whole wait.
class Store {
 public:
  explicit Store(const std::string& ip);
  const std::string& address() const { return listener_->address(); }
  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value);
  // While set, the store resets the connections of callers; Put() still works.
  void SetResetting(bool resetting) { resetting_ = resetting; }

 private:
  struct Entry {
    std::string key_;
    std::string value_;
  };
  void Serve(Connection& connection);
  std::string Newest(const std::string& topic);
  std::string Read(const std::string& topic, size_t from, int64_t wait_ms);

  std::atomic<bool> resetting_{false};
  std::mutex mutex_;
  std::map<std::string, std::vector<Entry>> topics_;
  std::unique_ptr<Listener> listener_;
};

// What a server did with a request.
struct Run {
  std::string id_;
  std::string method_;
  int64_t began_ = -1;
  int64_t ended_ = -1;
  bool whole_ = false;  // the whole answer could be written
};

// A server of a service. It answers 421 if another instance is expected.
class Server {
 public:
  // Answers one request. @return false to close the connection.
  using Answer = std::function<bool(const Request&, Connection&, Run*)>;
  Server(Store& store,
         std::string id,
         std::string service,
         const std::string& ip,
         int slots,
         Answer answer);
  // Writes its entry to the store, as it does every 1.2 s by itself.
  void Heartbeat();
  // @return the entry that the next heartbeat writes, and counts it as written.
  std::string NextEntry();
  int64_t seq() const { return seq_; }
  // The state in its entry: ready or draining.
  void SetDraining() { draining_ = true; }
  // Removes its entry and writes no further ones.
  void Leave();
  std::vector<Run> Runs();
  const std::string& id() const { return id_; }

 private:
  void Serve(Connection& connection);

  Store& store_;
  const std::string id_;
  const std::string service_;
  const int slots_;
  const Answer answer_;
  const int64_t born_;
  std::atomic<int64_t> seq_{0};
  std::atomic<bool> draining_{false};
  std::atomic<bool> left_{false};
  std::mutex mutex_;
  std::vector<Run> runs_;
  std::unique_ptr<Listener> listener_;
};

// @return the head of a server's whole answer to the request.
std::string AnswerHead(const Request& request,
                       const std::string& status,
                       const std::string& more_headers);
// Writes an answer with a length after the working time.
bool AnswerAfter(int64_t work_ms,
                 const Request& request,
                 const std::string& body,
                 Connection& connection,
                 Run* run);
// Writes a stream of events, one each `pace_ms`, the first one at once.
bool StreamEvents(int events,
                  int64_t pace_ms,
                  const Request& request,
                  Connection& connection,
                  Run* run);

// The gateway, started with the command and the settings template of the
// deploy file.
class Gateway {
 public:
  // @param more further fields of the settings, by their names on the pages,
  // as JSON values.
  Gateway(const std::string& ip,
          const std::string& store,
          const std::map<std::string, std::string>& more = {});
  ~Gateway();
  void Start();
  // @return false if it was not ready within the time or has ended.
  bool AwaitReady(int64_t ms);
  void Signal(int signal);
  bool HasEnded();
  // @return what waitpid() told; -1 while the process runs.
  int status() const { return status_; }
  // Waits; after `ms` the process is killed, as the platform does.
  void AwaitEnd(int64_t ms);
  const std::string& address() const { return callers_; }

 private:
  std::map<std::string, std::string> fields_;
  std::string callers_;
  std::string ready_;
  std::string settings_file_;
  std::string folder_;
  pid_t pid_ = -1;
  int status_ = -1;
};

// What a client saw of an answer.
struct Answer {
  bool sent_ = false;
  int64_t sent_at_ = -1;   // when the last byte was sent
  int64_t ended_at_ = -1;  // when the answer or the connection ended
  int status_ = 0;         // 0: none
  std::string head_;
  std::string body_;
  bool whole_ = false;
  bool closes_ = false;  // the answer announces the close
};

struct Call {
  std::string method_ = "POST";
  std::string path_;
  std::string id_;
  std::string key_ = "key1";
  int64_t deadline_ms_ = 3000;
  std::string more_headers_;
  std::string body_;
};

// Sends one request on the connection and reads its answer.
Answer Exchange(Connection& connection, const Call& call);

// @return `size` bytes.
std::string Filler(size_t size);

// Ends the program: 1 if the rule was broken, 0 if not.
[[noreturn]] void Finish(bool broken);

}  // namespace review

#endif  // BERGAMOTSCALE_REVIEW_STANDINS_HARNESS_H_
