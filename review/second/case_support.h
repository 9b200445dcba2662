// What the cases of the second review share: a record of what was sent,
// answered and run, and an engine that behaves as the platform's pages say.
#ifndef BERGAMOTSCALE_REVIEW_SECOND_CASE_SUPPORT_H_
#define BERGAMOTSCALE_REVIEW_SECOND_CASE_SUPPORT_H_

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "tests/support/gateway_process.h"

namespace bergamotscale::review {

using tests::HeaderOf;
using tests::SleepFor;
using tests::SteadyNow;
using tests::Wire;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

// @return whether the case runs with its disruption.
inline bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// Lines with the time since the start. Thread safety: safe.
class CaseRecord {
 public:
  explicit CaseRecord(const std::string& file)
      : out_(file), start_(SteadyNow()) {}

  void Add(const std::string& line) {
    const std::lock_guard<std::mutex> lock(mutex_);
    char time[32];
    std::snprintf(
        time, sizeof(time), "%8.3f ",
        static_cast<double>((SteadyNow() - start_).count()) / 1'000.0);
    out_ << time << line << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
  const Millis start_;
};

struct EngineOptions {
  std::string id_;
  std::string service_ = "llm";
  std::string ip_;
  int slots_ = 8;
  int queue_ = 2;
  Millis pace_ = Millis(50);  // between two events
  // Between the first bytes of a request and its first event.
  Millis first_ = Millis(40);
  size_t event_bytes_ = 55;
  // How fast it reads the body of a request; zero: as fast as it can.
  size_t bytes_per_second_ = 0;
};

// A request as an engine got it.
struct EngineRun {
  std::string id_;
  int first_event_ = 1;
  std::string body_;
};

// A model server. It runs `slots` streams at once, queues a few more, and
// rejects further ones as not executed. It drops a request whose connection
// closes, and goes on behind Last-Event-Id. Thread safety: safe.
class Engine {
 public:
  Engine(tests::StoreStandIn& store, CaseRecord& record, EngineOptions options)
      : store_(store), record_(record), options_(std::move(options)) {
    born_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count();
    listener_ = std::make_unique<tests::WireListener>(
        options_.ip_, uint16_t{0}, [this](Wire& wire) { Serve(wire); });
    heartbeats_ = std::thread([this] { SendHeartbeats(); });
  }

  ~Engine() {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      stopping_ = true;
    }
    changed_.notify_all();
    heartbeats_.join();
    listener_.reset();
  }

  // No request gets an event for this time, then all go on.
  void Pause(Millis time) {
    record_.Add("engine " + options_.id_ + " pauses for " +
                std::to_string(time.count()) + " ms");
    const std::lock_guard<std::mutex> lock(mutex_);
    paused_until_ = SteadyNow() + time;
  }

  int active() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return active_;
  }
  // @return how many requests whose id begins so run.
  int CountRuns(const std::string& prefix) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return static_cast<int>(std::count_if(
        runs_.begin(), runs_.end(),
        [&](const std::string& id) { return id.rfind(prefix, 0) == 0; }));
  }
  // @return whether the head of the request has arrived.
  bool HasReceived(const std::string& id) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return received_.count(id) > 0;
  }
  // @return all runs so far.
  std::vector<EngineRun> AllRuns() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return all_runs_;
  }
  int running() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return running_;
  }

 private:
  void Log(const std::string& event, const std::string& request) {
    record_.Add("engine " + options_.id_ + " " + event + " " + request);
  }

  static bool Reply(Wire& wire,
                    const std::string& status,
                    const std::string& headers) {
    return wire.Write("HTTP/1.1 " + status + "\r\n" + headers +
                      "Content-Length: 0\r\n\r\n");
  }

  void Serve(Wire& wire) {
    std::string head;
    while (wire.ReadHead(&head)) {
      const std::string id = HeaderOf(head, "X-Bergamotscale-Request-Id");
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        received_.insert(id);
      }
      std::string body;
      const auto length = static_cast<size_t>(
          std::strtoll(HeaderOf(head, "Content-Length").c_str(), nullptr, 10));
      if (!ReadBody(wire, length, &body)) {
        return;
      }
      const std::string names = "X-Bergamotscale-Request-Id: " + id + "\r\n";
      const std::string expected =
          HeaderOf(head, "X-Bergamotscale-Expect-Instance");
      bool keep = false;
      if (!expected.empty() && expected != options_.id_) {
        keep = Reply(wire, "421 Misdirected Request", names);
      } else if (!Enter()) {
        Log("is full, rejects as not executed", id);
        keep = Reply(wire, "503 Service Unavailable",
                     names + "X-Bergamotscale-Not-Executed: 1\r\n");
      } else {
        keep = Run(head, id, body, names, wire);
        Leave();
      }
      if (!keep) {
        return;
      }
    }
  }

  bool ReadBody(Wire& wire, size_t length, std::string* body) {
    if (options_.bytes_per_second_ == 0) {
      return wire.ReadExactly(length, body);
    }
    constexpr size_t kSteps = 10;  // a second
    const size_t step = options_.bytes_per_second_ / kSteps;
    while (body->size() < length) {
      SleepFor(Millis(1'000 / kSteps));
      std::string part;
      if (!wire.ReadExactly(std::min(step, length - body->size()), &part)) {
        return false;
      }
      *body += part;
    }
    return true;
  }

  bool Enter() {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (active_ >= options_.slots_ + options_.queue_) {
      return false;
    }
    ++active_;
    return true;
  }

  void Leave() {
    const std::lock_guard<std::mutex> lock(mutex_);
    --active_;
    changed_.notify_all();
  }

  // @return false if the caller has left or the engine stops.
  bool AwaitSlot(const Wire& wire) {
    std::unique_lock<std::mutex> lock(mutex_);
    while (running_ >= options_.slots_) {
      if (stopping_ || wire.PeerHasClosed()) {
        return false;
      }
      changed_.wait_for(lock, std::chrono::milliseconds(5));
    }
    ++running_;
    return true;
  }

  // @return false if the caller has left or the engine stops.
  bool AwaitEvent(const Wire& wire, Millis due) {
    std::unique_lock<std::mutex> lock(mutex_);
    while (SteadyNow() < std::max(due, paused_until_)) {
      if (stopping_ || wire.PeerHasClosed()) {
        return false;
      }
      changed_.wait_for(lock, std::chrono::milliseconds(5));
    }
    return !stopping_ && !wire.PeerHasClosed();
  }

  bool Run(const std::string& head,
           const std::string& id,
           const std::string& body,
           const std::string& names,
           Wire& wire) {
    if (!AwaitSlot(wire)) {
      Log("drops, waiting, as its caller left:", id);
      return false;
    }
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      runs_.insert(id);
      all_runs_.push_back(
          {id, std::atoi(HeaderOf(head, "Last-Event-Id").c_str()) + 1, body});
    }
    const bool keep = RunInSlot(head, id, names, wire);
    const std::lock_guard<std::mutex> lock(mutex_);
    runs_.erase(runs_.find(id));
    --running_;
    changed_.notify_all();
    return keep;
  }

  bool RunInSlot(const std::string& head,
                 const std::string& id,
                 const std::string& names,
                 Wire& wire) {
    const int first = std::atoi(HeaderOf(head, "Last-Event-Id").c_str()) + 1;
    const int last = std::atoi(HeaderOf(head, "X-Events").c_str());
    Log("runs, with a body of " + HeaderOf(head, "Content-Length") +
            " bytes, from event " + std::to_string(first) + ":",
        id);
    Millis due = SteadyNow() + options_.first_;
    for (int event = first; event <= last; ++event) {
      if (!AwaitEvent(wire, due)) {
        Log("drops at event " + std::to_string(event) +
                ", as its connection was closed:",
            id);
        return false;
      }
      due = SteadyNow() + options_.pace_;
      std::string data = "id: " + std::to_string(event) + "\ndata: " + id + " ";
      data.resize(std::max(data.size(), options_.event_bytes_ - 2), 'x');
      data += "\n\n";
      char size[16];
      std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
      const std::string start =
          event == first ? "HTTP/1.1 200 OK\r\n" + names +
                               "X-Bergamotscale-Response-Seal: seal\r\n"
                               "Content-Type: text/event-stream\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n"
                         : "";
      if (!wire.Write(start + size + data + "\r\n")) {
        Log("can't write event " + std::to_string(event) + " of", id);
        return false;
      }
    }
    Log("has finished", id);
    return wire.Write("0\r\n\r\n");
  }

  void SendHeartbeats() {
    std::unique_lock<std::mutex> lock(mutex_);
    while (!stopping_) {
      store_.Put("keyed.servers", options_.id_,
                 "{\"service\":\"" + options_.service_ + "\",\"address\":\"" +
                     options_.ip_ + ":" + std::to_string(listener_->port()) +
                     "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":" +
                     std::to_string(options_.slots_) +
                     ",\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":" +
                     std::to_string(++seq_) +
                     ",\"born\":" + std::to_string(born_) + "}");
      changed_.wait_for(lock, std::chrono::milliseconds(1'200),
                        [this] { return stopping_; });
    }
  }

  tests::StoreStandIn& store_;
  CaseRecord& record_;
  const EngineOptions options_;
  std::mutex mutex_;
  std::condition_variable changed_;
  int active_ = 0;   // running and queued
  int running_ = 0;  // in a slot
  std::multiset<std::string> runs_;
  std::vector<EngineRun> all_runs_;
  std::set<std::string> received_;  // requests whose head arrived
  Millis paused_until_;
  int64_t born_ = 0;
  int64_t seq_ = 0;
  bool stopping_ = false;
  std::unique_ptr<tests::WireListener> listener_;
  std::thread heartbeats_;
};

// One answer that is a stream, as its client saw it.
struct StreamSeen {
  int status_ = 0;
  int events_ = 0;         // whole ones, in order
  bool in_order_ = true;   // each id follows the one before
  bool is_whole_ = false;  // the last chunk arrived
  Millis sent_at_;         // the last byte of the request
  Millis ended_at_;

  std::string Text() const {
    return "status " + std::to_string(status_) + ", " +
           std::to_string(events_) + " events, " +
           (in_order_ ? "in order, " : "NOT IN ORDER, ") +
           (is_whole_ ? "complete" : "connection ended before its end") +
           ", after " + std::to_string((ended_at_ - sent_at_).count()) + " ms";
  }
};

// Counts the events of a body.
inline void CountEvents(const std::string& body, StreamSeen* seen) {
  size_t at = 0;
  while (true) {
    const size_t end = body.find("\n\n", at);
    if (end == std::string::npos) {
      return;
    }
    const int id = std::atoi(body.c_str() + at + 4);
    seen->in_order_ = seen->in_order_ && id == seen->events_ + 1;
    ++seen->events_;
    at = end + 2;
  }
}

}  // namespace bergamotscale::review

#endif  // BERGAMOTSCALE_REVIEW_SECOND_CASE_SUPPORT_H_
