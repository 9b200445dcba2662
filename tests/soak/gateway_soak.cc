#include "tests/soak/gateway_soak.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <thread>

#include "tests/support/gateway_process.h"

namespace bergamotscale::tests {
namespace {

constexpr Millis kGrace = Millis(8'000);
// Requests that are sent this long after SIGTERM must not be cut off.
constexpr Millis kAcceptWindow = Millis(3'000);
constexpr Millis kDrain = Millis(2'000);
// A connection that ends this soon after a request was sent may have been
// closed before the request was read.
constexpr Millis kLossSlack = Millis(200);
// What a fault cut off is noticed within this time of its end.
constexpr Millis kFaultMargin = Millis(3'000);
constexpr Millis kReadyTimeout = Millis(10'000);
constexpr Millis kProbeInterval = Millis(250);
constexpr Millis kForever = Millis(1'000'000'000'000);
constexpr char kResumePath[] = "/resume/1";

class Random {
 public:
  explicit Random(uint64_t seed) : engine_(seed) {}
  int64_t Between(int64_t low, int64_t high) {
    return std::uniform_int_distribution<int64_t>(low, high)(engine_);
  }

 private:
  std::mt19937_64 engine_;
};

// A time in which one gateway or server was in trouble.
struct Trouble {
  Millis begin_;
  Millis end_ = kForever;
};

struct Sent {
  CallerRequest request_;
  CallerAnswer answer_;
  int gateway_ = 0;
  bool is_order_ = false;
  int64_t events_ = 0;  // zero: no stream
  // Of a stream whose caller stops reading: the size of an event. All of them
  // are more than the buffers on the way hold.
  size_t event_bytes_ = 0;
  Millis began_;
  // Of a stream that is taken up: what its caller had received.
  std::string received_;
  bool is_take_up_ = false;
};

class Soak {
 public:
  explicit Soak(const SoakOptions& options)
      : options_(options), random_(options.seed_), store_(LoopbackIp(1)) {
    store_.Put("keyed.op", "config", MakeConfig(version_));
    for (int i = 0; i < options.engines_ + options.apps_; ++i) {
      const bool is_engine = i < options.engines_;
      servers_.push_back(std::make_unique<ServerStandIn>(
          store_, "i-" + std::to_string(i), is_engine ? "llm" : "app",
          LoopbackIp(100 + i),
          [](const ServerCall& call, Wire& wire, bool* did_run) {
            return Run(call, wire, did_run);
          }));
    }
    std::string seeds;
    for (int i = 0; i < std::min(options.gateways_, 3); ++i) {
      seeds += (i == 0 ? "\"" : ",\"") + LoopbackIp(10 + i) + ":8229\"";
    }
    for (int i = 0; i < options.gateways_; ++i) {
      gateways_.push_back(std::make_unique<Gateway>());
      gateways_[i]->process_ = std::make_unique<GatewayProcess>(
          options.folder_, LoopbackIp(10 + i), store_.address(),
          TemplateFields{{"seeds", "[" + seeds + "]"}});
    }
    server_busy_.resize(servers_.size());
  }

  SoakResult Play() {
    for (const auto& gateway : gateways_) {
      Start(*gateway);
    }
    for (const auto& gateway : gateways_) {
      CheckReady(*gateway);
    }
    std::thread balancer([this] { Balance(); });
    SleepFor(kProbeInterval * 2);
    const Millis end = SteadyNow() + options_.duration_;
    std::vector<std::thread> callers;
    callers.reserve(options_.callers_);
    for (int i = 0; i < options_.callers_; ++i) {
      callers.emplace_back([this, i, end] { RunCaller(i, end); });
    }
    while (SteadyNow() < end) {
      StartFault();
      SleepFor(Millis(random_.Between(50, 900)));
    }
    for (std::thread& fault : faults_) {
      fault.join();
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    stopping_ = true;
    balancer.join();
    StopAll();
    Judge();
    return result_;
  }

 private:
  struct Gateway {
    std::unique_ptr<GatewayProcess> process_;
    std::mutex mutex_;  // of the process
    // By mutex_ of the soak.
    std::vector<Trouble> troubles_;
    std::vector<Millis> stops_;      // when it got SIGTERM
    std::atomic<bool> busy_{false};  // with a fault
    std::atomic<bool> listed_{false};
  };

  // Runs a call as its headers ask.
  static bool Run(const ServerCall& call, Wire& wire, bool* did_run) {
    const std::string fault = HeaderOf(call.head_, "X-Fault");
    if (fault == "reject") {
      *did_run = false;
      return wire.Write(
          "HTTP/1.1 503 Full\r\nX-Bergamotscale-Request-Id: " + call.id_ +
          "\r\nX-Bergamotscale-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    }
    if (fault == "break") {
      SleepFor(Millis(30));
      wire.Shutdown(true);
      return false;
    }
    return AnswerAsAsked(call, wire);
  }

  void Fail(const std::string& what) {
    const std::lock_guard<std::mutex> lock(mutex_);
    result_.violations_.push_back(what);
  }

  void Start(Gateway& gateway) {
    const std::lock_guard<std::mutex> lock(gateway.mutex_);
    gateway.process_->Start();
    ++starts_;
  }

  void CheckReady(Gateway& gateway) {
    // While the store is away, a gateway that has just started isn't ready.
    const bool store_was_away = store_away_ > 0;
    if (!gateway.process_->AwaitReady(kReadyTimeout) && !store_was_away) {
      Fail("FAULT: not ready after its start: " + gateway.process_->log_file());
    }
  }

  // Takes a gateway out after two failed probes.
  void Balance() {
    std::vector<int> failed(gateways_.size());
    while (!stopping_) {
      for (size_t i = 0; i < gateways_.size(); ++i) {
        failed[i] = gateways_[i]->process_->IsReady() ? 0 : failed[i] + 1;
        gateways_[i]->listed_ = failed[i] < 2;
      }
      SleepFor(kProbeInterval);
    }
  }

  int PickGateway(Random& random) {
    std::vector<int> listed;
    for (size_t i = 0; i < gateways_.size(); ++i) {
      if (gateways_[i]->listed_) {
        listed.push_back(static_cast<int>(i));
      }
    }
    return listed.empty()
               ? static_cast<int>(random.Between(0, options_.gateways_ - 1))
               : listed[random.Between(
                     0, static_cast<int64_t>(listed.size()) - 1)];
  }

  static Sent MakeRequest(Random& random, const std::string& id) {
    Sent sent;
    CallerRequest& request = sent.request_;
    request.id_ = id;
    const int64_t kind = random.Between(0, 9);
    const bool is_stream = kind < 5;
    sent.is_order_ = !is_stream && kind < 8;
    if (is_stream) {
      // A few last until the end of a stop.
      sent.events_ = random.Between(0, 3) == 0 ? random.Between(60, 110)
                                               : random.Between(3, 40);
      request.path_ = kind < 3 ? "/stream/1" : kResumePath;
      request.patience_ = Millis(10'000);
      request.headers_ =
          "X-Events: " + std::to_string(sent.events_) +
          "\r\nX-Pace-Ms: " + std::to_string(random.Between(5, 70)) +
          "\r\nX-Bergamotscale-Token-Counts: 1460,100\r\n"
          "X-Bergamotscale-Prefix-Hash: " +
          std::to_string(10 + random.Between(0, 40)) + ":350," + id +
          ":1110\r\n" + (kind < 3 ? "" : "X-Names-Version: 1\r\n");
      if (kind < 3 && random.Between(0, 7) == 0) {
        sent.event_bytes_ = 8'000;
        request.headers_ +=
            "X-Event-Bytes: " + std::to_string(sent.event_bytes_) + "\r\n";
      }
      if (sent.events_ <= 40 && random.Between(0, 3) == 0) {
        // An engine may pause, for instance to preempt a request.
        request.headers_ +=
            "X-Pause-At: " + std::to_string(random.Between(2, sent.events_)) +
            "\r\nX-Pause-Ms: " + std::to_string(random.Between(300, 2'400)) +
            "\r\n";
      }
    } else {
      request.path_ = sent.is_order_ ? "/order/1" : "/read/1";
      request.patience_ = Millis(1'500);
      request.headers_ =
          "X-Work-Ms: " + std::to_string(random.Between(20, 400)) + "\r\n";
    }
    const int64_t fault = random.Between(0, 199);
    if (fault == 0) {
      request.headers_ += "X-Fault: break\r\n";
    } else if (fault < 4) {
      request.headers_ += "X-Fault: reject\r\n";
    }
    request.body_ = std::string(random.Between(0, 3'000), 'b');
    return sent;
  }

  // Sends requests one after another, on one connection as long as it is open.
  void RunCaller(int number, Millis end) {
    Random random(options_.seed_ * 1'000 + number);
    std::unique_ptr<Wire> wire;
    int gateway = 0;
    for (int i = 0; SteadyNow() < end; ++i) {
      if (wire == nullptr) {
        gateway = PickGateway(random);
        wire = Wire::Open(gateways_[gateway]->process_->address());
        if (wire == nullptr) {
          SleepFor(Millis(50));
          continue;
        }
      }
      Sent sent = MakeRequest(
          random, "r" + std::to_string(number) + "-" + std::to_string(i));
      sent.gateway_ = gateway;
      sent.began_ = SteadyNow();
      bool sends_no_more = false;
      if (random.Between(0, 9) == 0) {
        // An upload that takes a while, some until the end of a stop.
        const int64_t longest_pause = random.Between(0, 2) == 0 ? 1'900 : 200;
        sent.request_.body_.resize(3'000, 'b');
        const std::string all = sent.request_.Head() + sent.request_.body_;
        constexpr size_t kParts = 5;
        const size_t part = all.size() / kParts + 1;
        Millis began = SteadyNow();
        bool ok = wire->Write(all.substr(0, part));
        for (size_t at = part; ok && at < all.size(); at += part) {
          SleepFor(Millis(random.Between(1, longest_pause)));
          began = SteadyNow();
          ok = wire->Write(all.substr(at, part));
        }
        if (ok) {
          sent.answer_ = ReadAnswer(*wire, sent.request_, began);
        }
      } else if (random.Between(0, 9) == 0) {
        sends_no_more = true;
        sent.answer_ = Exchange(*wire, sent.request_,
                                [&wire] { wire->ShutdownSending(); });
      } else if (sent.event_bytes_ > 0 || random.Between(0, 11) == 0) {
        // A caller that reads late, perhaps after its gateway has ended.
        const Millis longest(sent.event_bytes_ > 0 ? 4'500 : 3'000);
        sent.answer_ = Exchange(*wire, sent.request_, [&random, longest] {
          SleepFor(Millis(random.Between(0, longest.count())));
        });
      } else {
        sent.answer_ = Exchange(*wire, sent.request_);
      }
      const bool keeps =
          sent.answer_.is_whole_ && !sent.answer_.closes_ && !sends_no_more;
      if (!keeps) {
        wire.reset();
      }
      if (sent.request_.path_ == kResumePath && !sent.answer_.is_whole_ &&
          !sent.answer_.body_.empty()) {
        TakeUp(sent, random);
      }
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        sent_.push_back(std::move(sent));
      }
      SleepFor(Millis(random.Between(0, 60)));
    }
  }

  // Goes on behind what was received of the stream, at any gateway.
  void TakeUp(const Sent& broken, Random& random) {
    Sent sent;
    sent.received_ = WholeEvents(broken.answer_.body_);
    const size_t last = sent.received_.rfind("id: ");
    if (last == std::string::npos) {
      return;
    }
    sent.is_take_up_ = true;
    sent.events_ = broken.events_;
    sent.request_ = broken.request_;
    sent.request_.id_ += "-up";
    sent.request_.headers_ +=
        "Resumes: " + broken.request_.id_ + "\r\nLast-Event-Id: " +
        sent.received_.substr(last + 4,
                              sent.received_.find('\n', last) - last - 4) +
        "\r\n";
    SleepFor(Millis(random.Between(0, 1'500)));
    sent.gateway_ = PickGateway(random);
    const auto wire = Wire::Open(gateways_[sent.gateway_]->process_->address());
    if (wire == nullptr) {
      return;
    }
    sent.began_ = SteadyNow();
    sent.answer_ = Exchange(*wire, sent.request_);
    const std::lock_guard<std::mutex> lock(mutex_);
    sent_.push_back(std::move(sent));
  }

  static std::string WholeEvents(const std::string& body) {
    const size_t end = body.rfind("\n\n");
    return end == std::string::npos ? "" : body.substr(0, end + 2);
  }

  // Runs a fault in a thread of its own, if its target has none.
  void StartFault() {
    ++result_.faults_;
    int64_t kind = random_.Between(0, 11);
    if (options_.planned_only_) {
      kind = kind == 9 ? 8 : kind % 2;
    }
    const int64_t span = random_.Between(50, 2'500);
    if (kind < 6) {
      Gateway& gateway = *gateways_[random_.Between(0, options_.gateways_ - 1)];
      // One stays untouched, so that callers have somewhere to go.
      if (&gateway == gateways_.back().get() && kind < 4) {
        return;
      }
      if (gateway.busy_.exchange(true)) {
        return;
      }
      faults_.emplace_back([this, &gateway, kind, span] {
        TroubleGateway(gateway, kind, Millis(span));
        gateway.busy_ = false;
      });
    } else if (kind < 8) {
      const auto index = static_cast<size_t>(
          random_.Between(0, static_cast<int64_t>(servers_.size()) - 1));
      if (!server_busy_[index]) {
        server_busy_[index] = true;
        faults_.emplace_back([this, index, kind, span] {
          TroubleServer(*servers_[index], kind == 6, Millis(span));
        });
      }
    } else if (kind == 11) {
      KillAll(Millis(span / 4));
    } else if (kind == 10) {
      ServerStandIn& server = *servers_[static_cast<size_t>(
          random_.Between(0, static_cast<int64_t>(servers_.size()) - 1))];
      const size_t trouble = OpenTrouble(server_troubles_);
      server.ResetConnections();
      CloseTrouble(server_troubles_, trouble);
    } else if (kind == 8) {
      // Callers may have been told of the longer timeout.
      const Millis idle_timeout = Millis(span % 2 == 0 ? 15'000 : 1'500);
      store_.Put("keyed.op", "config", MakeConfig(++version_, idle_timeout));
    } else if (store_away_ == 0) {
      faults_.emplace_back([this, span] {
        ++store_away_;
        const bool is_restored = span % 3 == 0;
        if (is_restored) {
          store_.TakeCopy();
          SleepFor(Millis(span));
        }
        store_.SetMode(span % 2 == 0 ? StoreStandIn::Mode::kResetting
                                     : StoreStandIn::Mode::kSilent);
        SleepFor(Millis(span));
        if (is_restored) {
          store_.RestoreCopy();
        }
        store_.SetMode(StoreStandIn::Mode::kServing);
        if (is_restored) {
          // The operator and the servers write again.
          SleepFor(Millis(span / 2));
          store_.Put("keyed.op", "config", MakeConfig(version_));
        }
        --store_away_;
      });
    }
  }

  size_t OpenTrouble(std::vector<Trouble>& troubles) {
    const std::lock_guard<std::mutex> lock(mutex_);
    troubles.push_back({SteadyNow()});
    return troubles.size() - 1;
  }

  void CloseTrouble(std::vector<Trouble>& troubles, size_t index) {
    const std::lock_guard<std::mutex> lock(mutex_);
    troubles[index].end_ = SteadyNow() + kFaultMargin;
  }

  void TroubleGateway(Gateway& gateway, int64_t kind, Millis span) {
    GatewayProcess& process = *gateway.process_;
    if (kind < 2) {  // a planned stop
      if (kind == 1) {
        process.Signal(SIGHUP);
      }
      RecordStop(gateway);
      process.Signal(SIGTERM);
      CheckStopped(gateway, kGrace);
      SleepFor(span / 10);
      Start(gateway);
      CheckReady(gateway);
    } else if (kind == 2) {
      const size_t trouble = OpenTrouble(gateway.troubles_);
      {
        const std::lock_guard<std::mutex> lock(gateway.mutex_);
        process.Signal(SIGKILL);
        process.AwaitEnd(Millis(2'000));
      }
      SleepFor(span / 10);
      Start(gateway);
      CloseTrouble(gateway.troubles_, trouble);
      CheckReady(gateway);
    } else if (kind == 3) {
      const size_t trouble = OpenTrouble(gateway.troubles_);
      process.Signal(SIGSTOP);
      SleepFor(span);
      process.Signal(SIGCONT);
      CloseTrouble(gateway.troubles_, trouble);
    } else {
      process.SetField("bounds.grace_s", span.count() % 2 == 0 ? "8.0" : "8");
      process.SetField("bounds.budget_extra",
                       std::to_string(50 + span.count() % 9) + ".5");
      process.WriteSettings();
      for (int i = 0; i < 3; ++i) {
        process.Signal(SIGHUP);
        SleepFor(Millis(20));
      }
      const std::lock_guard<std::mutex> lock(gateway.mutex_);
      if (process.HasEnded()) {
        Fail("FAULT: ended by itself after a reload: " + process.log_file());
        process.Start();
      }
    }
  }

  // Kills all gateways that have no other fault at once.
  void KillAll(Millis down) {
    for (const auto& gateway : gateways_) {
      if (!gateway->busy_.exchange(true)) {
        faults_.emplace_back([this, &gateway = *gateway, down] {
          TroubleGateway(gateway, 2, down * 10);
          gateway.busy_ = false;
        });
      }
    }
  }

  void RecordStop(Gateway& gateway) {
    const std::lock_guard<std::mutex> lock(mutex_);
    gateway.stops_.push_back(SteadyNow());
  }

  // @return whether the request was sent early in a planned stop, and its
  // server was still at work on it in the last sixth of the grace time.
  static bool IsCutByStop(const Gateway& gateway, const Sent& sent) {
    return std::any_of(
        gateway.stops_.begin(), gateway.stops_.end(), [&sent](Millis stop) {
          return sent.answer_.last_write_began_ <= stop + kAcceptWindow &&
                 sent.answer_.ended_at_ >= stop + kGrace * 5 / 6 &&
                 sent.answer_.ended_at_ <= stop + kGrace + kFaultMargin;
        });
  }

  void CheckStopped(Gateway& gateway, Millis grace) {
    const std::lock_guard<std::mutex> lock(gateway.mutex_);
    GatewayProcess& process = *gateway.process_;
    if (!process.AwaitEnd(grace) || process.status() != 0) {
      Fail("FAULT: a stop ended with status " +
           std::to_string(process.status()) + ": " + process.log_file());
    }
  }

  void TroubleServer(ServerStandIn& server, bool crashes, Millis span) {
    if (!crashes) {
      server.SetDraining();
      SleepFor(kDrain + kGrace);
      server.Leave();
    }
    const size_t trouble = OpenTrouble(server_troubles_);
    server.Crash();
    SleepFor(span);
    // Some come back with another version.
    if (span.count() % 2 == 0) {
      server.SetVersion("v" + std::to_string(span.count() % 3));
    }
    server.Restart();
    CloseTrouble(server_troubles_, trouble);
  }

  void StopAll() {
    for (const auto& gateway : gateways_) {
      RecordStop(*gateway);
      gateway->process_->Signal(SIGTERM);
    }
    for (const auto& gateway : gateways_) {
      CheckStopped(*gateway, kGrace + Millis(1'000));
    }
  }

  static bool Overlaps(const std::vector<Trouble>& troubles, const Sent& sent) {
    return std::any_of(troubles.begin(), troubles.end(),
                       [&sent](const Trouble& trouble) {
                         return sent.began_ <= trouble.end_ &&
                                trouble.begin_ <= sent.answer_.ended_at_;
                       });
  }

  // @return the body that a whole answer to the request has, with the events
  // that its caller had received before.
  static std::string ExpectedBody(const Sent& sent) {
    const std::string all = sent.received_ + sent.answer_.body_;
    const size_t data = all.find("data: ");
    const bool names_version = sent.request_.path_ == kResumePath;
    std::string text =
        names_version && data != std::string::npos
            ? all.substr(data + 6, all.find('\n', data) - data - 6)
            : sent.request_.id_;
    text.resize(std::max(text.size(), sent.event_bytes_), 'x');
    std::string body;
    for (int64_t i = 1; i <= sent.events_; ++i) {
      body += "id: " + std::to_string(i) + "\ndata: " + text + "\n\n";
    }
    return sent.events_ == 0 ? sent.request_.id_ : body;
  }

  // Events of two versions in one stream, also if it broke off.
  void JudgeVersions(const Sent& sent, const std::string& seen) {
    if (sent.request_.path_ != kResumePath || sent.answer_.status_ != 200) {
      return;
    }
    const std::string all = sent.received_ + WholeEvents(sent.answer_.body_);
    if (ExpectedBody(sent).compare(0, all.size(), all) != 0) {
      Fail("ORDER: " + seen);
    }
  }

  void Judge() {
    for (const Sent& sent : sent_) {
      JudgeRequest(sent);
    }
    result_.requests_ = static_cast<int>(sent_.size());
    result_.starts_ = starts_;
  }

  void JudgeRequest(const Sent& sent) {
    const CallerAnswer& answer = sent.answer_;
    int runs = 0;
    for (const auto& server : servers_) {
      runs += server->RunsOf(sent.request_.id_);
    }
    const Millis elapsed = answer.ended_at_ - answer.sent_at_;
    const std::string seen =
        sent.request_.path_ + " " + sent.request_.id_ + " at " +
        gateways_[sent.gateway_]->process_->address() + ": status " +
        std::to_string(answer.status_) + (answer.is_whole_ ? "" : ", cut off") +
        " after " + std::to_string(elapsed.count()) + " ms, ran " +
        std::to_string(runs) + " times";
    JudgeVersions(sent, seen);
    result_.taken_up_ += sent.is_take_up_ ? 1 : 0;
    result_.gone_on_ +=
        sent.is_take_up_ && answer.status_ == 200 && answer.is_whole_ ? 1 : 0;
    if (answer.status_ == 200 && answer.is_whole_) {
      ++result_.served_;
      if (sent.received_ + answer.body_ != ExpectedBody(sent)) {
        Fail("MIXED: " + seen);
      }
    } else if (answer.status_ == 503 || answer.status_ == 429) {
      ++result_.refused_;
    }
    if (sent.is_order_ && runs > 1) {
      Fail("TWICE: " + seen);
    }
    if (sent.is_order_ && answer.status_ == 503 && runs > 0) {
      Fail("REFUSED: " + seen);
    }
    const bool is_faulty =
        sent.request_.headers_.find("X-Fault: break") != std::string::npos;
    const bool is_excused =
        is_faulty || Overlaps(gateways_[sent.gateway_]->troubles_, sent) ||
        (runs > 0 && IsCutByStop(*gateways_[sent.gateway_], sent));
    const bool was_read = runs > 0 || elapsed > kLossSlack;
    if (answer.is_sent_ && answer.status_ == 0 && was_read && !is_excused) {
      Fail("LOST: " + seen);
    }
    // A stream is also cut off if its server crashes.
    if (answer.status_ != 0 && !answer.is_whole_ && !is_excused &&
        !Overlaps(server_troubles_, sent)) {
      Fail("LOST: " + seen);
    }
  }

  const SoakOptions options_;
  Random random_;
  StoreStandIn store_;
  std::vector<std::unique_ptr<ServerStandIn>> servers_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  std::vector<bool> server_busy_;  // each server has one fault in a soak
  std::vector<std::thread> faults_;
  std::atomic<int> store_away_{0};
  std::atomic<int> starts_{0};
  std::atomic<bool> stopping_{false};
  std::atomic<int64_t> version_{1};
  std::mutex mutex_;
  std::vector<Trouble> server_troubles_;
  std::vector<Sent> sent_;
  SoakResult result_;
};

}  // namespace

SoakResult RunGatewaySoak(const SoakOptions& options) {
  Soak soak(options);
  return soak.Play();
}

}  // namespace bergamotscale::tests
