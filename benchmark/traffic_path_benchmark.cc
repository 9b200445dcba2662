// Measures the cost of a gateway's whole traffic path while many streams are
// open: the processor time and allocations of its traffic thread for each
// request and each event, and the memory for an open stream. Callers and
// upstreams are stand-ins on other threads, connected over loopback; their cost
// is not counted.
#include <fcntl.h>
#include <malloc.h>
#include <pthread.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <future>
#include <iostream>
#include <memory>
#include <new>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <gflags/gflags.h>
#include <boost/asio.hpp>

#include "src/gateway/exchange.h"
#include "src/web/listener.h"
#include "tests/support/free_port.h"

DEFINE_int32(streams, 1'000, "streams open at once");
DEFINE_int32(upstreams, 10, "number of upstream instances");
DEFINE_int32(events, 40, "events per stream");
DEFINE_int32(event_bytes, 120, "bytes per event");
DEFINE_int32(pause_ms, 50, "pause between the events of a stream, in ms");
DEFINE_int32(rounds, 3, "requests of each caller, one after another");
DEFINE_int32(body_bytes, 2'000, "bytes of a request's body");

namespace {

// Heap use of the calling thread, so that the stand-ins' use is not counted.
// Memory that an io_context's thread allocates is freed on the same thread.
struct ThreadHeap {
  int64_t allocations_ = 0;
  int64_t live_bytes_ = 0;
};
thread_local ThreadHeap thread_heap;

void Release(void* memory) {
  thread_heap.live_bytes_ -= static_cast<int64_t>(malloc_usable_size(memory));
  std::free(memory);
}

}  // namespace

// Replaced to count allocations. The standard array and nothrow forms call this
// one.
void* operator new(size_t size) {
  void* memory = std::malloc(size == 0 ? 1 : size);
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  ++thread_heap.allocations_;
  thread_heap.live_bytes_ += static_cast<int64_t>(malloc_usable_size(memory));
  return memory;
}
void operator delete(void* memory) noexcept {
  Release(memory);
}
void operator delete(void* memory, size_t /*size*/) noexcept {
  Release(memory);
}

namespace bergamotscale {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr char kHeadEnd[] = "\r\n\r\n";
constexpr char kIdHeader[] = "X-Id";
constexpr char kLastChunk[] = "0\r\n\r\n";

// One thread that runs an io_context for as long as it lives.
class IoThread {
 public:
  IoThread() : thread_([this] { io_.run(); }) {}
  ~IoThread() {
    io_.stop();
    thread_.join();
  }
  IoThread(const IoThread&) = delete;
  IoThread& operator=(const IoThread&) = delete;

  asio::io_context& io() { return io_; }

  template <typename Step>
  void RunAndWait(Step step) {
    std::promise<void> done;
    asio::post(io_, [&] {
      step();
      done.set_value();
    });
    done.get_future().wait();
  }

  // Processor time used by the thread.
  int64_t CpuNanos() {
    clockid_t clock = 0;
    timespec time = {};
    if (pthread_getcpuclockid(thread_.native_handle(), &clock) != 0 ||
        clock_gettime(clock, &time) != 0) {
      std::perror("thread clock");
      std::exit(1);
    }
    constexpr int64_t kNanosPerSecond = 1'000'000'000;
    return time.tv_sec * kNanosPerSecond + time.tv_nsec;
  }

  ThreadHeap Heap() {
    ThreadHeap heap;
    RunAndWait([&heap] { heap = thread_heap; });
    return heap;
  }

 private:
  asio::io_context io_{1};
  asio::executor_work_guard<asio::io_context::executor_type> work_{
      io_.get_executor()};
  std::thread thread_;
};

// Answers each request with a stream of events at regular intervals.
class UpstreamCall : public std::enable_shared_from_this<UpstreamCall> {
 public:
  UpstreamCall(tcp::socket socket, int events)
      : socket_(std::move(socket)),
        timer_(socket_.get_executor()),
        events_(events) {
    socket_.set_option(tcp::no_delay(true));
    const std::string event =
        "id: 1\ndata: " +
        std::string(static_cast<size_t>(std::max(FLAGS_event_bytes - 15, 1)),
                    'x') +
        "\n\n";
    char size[32];
    std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
    chunk_ = size + event + "\r\n";
  }

  void ReadRequest() {
    asio::async_read_until(
        socket_, asio::dynamic_buffer(read_), kHeadEnd,
        [self = shared_from_this()](const error_code& error, size_t head) {
          if (!error) {
            self->OnHead(head);
          }
        });
  }

 private:
  void OnHead(size_t head) {
    // The stand-in callers write the header in exactly this form.
    const size_t id = read_.find(std::string(kIdHeader) + ": ");
    id_ = read_.substr(id, read_.find("\r\n", id) - id);
    const size_t whole = head + static_cast<size_t>(FLAGS_body_bytes);
    const size_t missing = whole > read_.size() ? whole - read_.size() : 0;
    asio::async_read(
        socket_, asio::dynamic_buffer(read_), asio::transfer_exactly(missing),
        [self = shared_from_this()](const error_code& error, size_t) {
          if (!error) {
            self->read_.clear();
            self->Answer();
          }
        });
  }

  void Answer() {
    left_ = events_;
    Write("HTTP/1.1 200 OK\r\n" + id_ +
          "\r\nContent-Type: text/event-stream\r\n"
          "Transfer-Encoding: chunked\r\n\r\n");
  }

  void Write(std::string text) {
    written_ = std::move(text);
    asio::async_write(
        socket_, asio::buffer(written_),
        [self = shared_from_this()](const error_code& error, size_t) {
          if (!error) {
            self->OnWritten();
          }
        });
  }

  void OnWritten() {
    if (left_ < 0) {
      ReadRequest();
      return;
    }
    timer_.expires_after(std::chrono::milliseconds(FLAGS_pause_ms));
    timer_.async_wait([self = shared_from_this()](const error_code& error) {
      if (!error) {
        --self->left_;
        self->Write(self->left_ < 0 ? kLastChunk : self->chunk_);
      }
    });
  }

  tcp::socket socket_;
  asio::steady_timer timer_;
  const int events_;
  std::string chunk_;
  std::string read_;
  std::string written_;
  std::string id_;
  int left_ = 0;
};

class Upstream {
 public:
  Upstream(asio::io_context& io, int events)
      : acceptor_(io, {asio::ip::address_v4::loopback(), 0}), events_(events) {
    acceptor_.listen(FLAGS_streams);
    Accept();
  }
  uint16_t port() const { return acceptor_.local_endpoint().port(); }

 private:
  void Accept() {
    acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
      if (!error) {
        std::make_shared<UpstreamCall>(std::move(socket), events_)
            ->ReadRequest();
        Accept();
      }
    });
  }
  tcp::acceptor acceptor_;
  const int events_;
};

// Sends its requests one after another on one connection.
class Caller : public std::enable_shared_from_this<Caller> {
 public:
  Caller(asio::io_context& io,
         uint16_t port,
         int number,
         std::atomic<int>* done)
      : socket_(io), number_(number), done_(done) {
    socket_.connect({asio::ip::address_v4::loopback(), port});
    socket_.set_option(tcp::no_delay(true));
  }

  void Start() {
    const std::string body(static_cast<size_t>(FLAGS_body_bytes), 'b');
    request_ =
        "POST /stream/1 HTTP/1.1\r\nHost: h\r\n" + std::string(kIdHeader) +
        ": r" + std::to_string(number_) + "-" + std::to_string(round_) +
        "\r\nContent-Length: " + std::to_string(body.size()) + kHeadEnd + body;
    ++round_;
    asio::async_write(
        socket_, asio::buffer(request_),
        [self = shared_from_this()](const error_code& error, size_t) {
          if (!error) {
            self->ReadAnswer();
          }
        });
  }

 private:
  void ReadAnswer() {
    asio::async_read_until(
        socket_, asio::dynamic_buffer(read_), kLastChunk,
        [self = shared_from_this()](const error_code& error, size_t) {
          if (error || self->read_.rfind("HTTP/1.1 200", 0) != 0) {
            std::cerr << "no valid response to a stand-in caller: "
                      << error.message() << " " << self->read_ << "\n";
            std::exit(1);
          }
          self->read_.clear();
          ++*self->done_;
          if (self->round_ < FLAGS_rounds) {
            self->Start();
          }
        });
  }

  tcp::socket socket_;
  const int number_;
  std::atomic<int>* const done_;
  std::string request_;
  std::string read_;
  int round_ = 0;
};

gateway::HeaderCodec MakeBenchmarkCodec() {
  gateway::HeaderCodec header_codec;
  header_codec.decode_request_ = [](const web::IncomingRequest& call) {
    gateway::RequestInfo info;
    info.id_ = RequestId(std::string(call.headers_.Find(kIdHeader)));
    info.patience_ = Millis(60'000);
    info.prompt_.parts_ = {{1, Tokens(1'000)}, {2, Tokens(100)}};
    info.prompt_.prompt_ = Tokens(1'100);
    return info;
  };
  header_codec.encode_headers_ = [](const web::HeaderList& headers,
                                    const gateway::ForwardInfo& info) {
    web::HeaderList written = headers;
    written.Add("X-Upstream", info.upstream_.value());
    return written;
  };
  header_codec.decode_response_ = [](const web::ResponseHead& head) {
    gateway::ResponseInfo info;
    info.request_ = RequestId(std::string(head.headers_.Find(kIdHeader)));
    info.is_authentic_ = true;
    return info;
  };
  return header_codec;
}

// The request path of a gateway. The decision log is on, as in production, but
// goes to /dev/null.
class GatewayPath {
 public:
  explicit GatewayPath(const std::vector<uint16_t>& upstream_ports) {
    route::Route route;
    route.name_ = "stream";
    route.host_ = "h";
    route.path_prefix_ = "/stream/";
    route.kind_ = route::CallKind::kStream;
    route.timeout_ = Millis(60'000);
    route.target_ = Millis(1'000);
    route.gap_target_ = Millis(500);
    route.groups_ = {{GroupId("g"), 1}};
    route::RouteTable::Content content;
    content.version_ = 1;
    content.routes_ = {route};
    state_.table_.Write(std::make_shared<const route::RouteTable>(content));
    state_.table_as_of_ = boot_.Now().count();
    retries_.SetMembers(1);
    std::vector<route::UpstreamEntry> entries;
    for (size_t i = 0; i < upstream_ports.size(); ++i) {
      route::UpstreamEntry entry;
      entry.id_ = InstanceId("i-" + std::to_string(i));
      entry.group_ = GroupId("g");
      entry.ip_ = "127.0.0.1";
      entry.port_ = upstream_ports[i];
      entry.zone_ = ZoneId("z");
      entry.slots_ = FLAGS_streams;
      entries.push_back(entry);
    }
    thread_.RunAndWait([&] {
      upstreams_.Update(entries);
      if (!listener_.Start({asio::ip::address_v4::loopback(), port_}).ok()) {
        std::exit(1);
      }
      FlushLog();
    });
  }
  ~GatewayPath() {
    thread_.RunAndWait([this] {
      listener_.StopAccepting();
      log_timer_.cancel();
      thread_.io().stop();
    });
  }
  GatewayPath(const GatewayPath&) = delete;
  GatewayPath& operator=(const GatewayPath&) = delete;

  uint16_t port() const { return port_; }
  IoThread& thread() { return thread_; }

 private:
  void FlushLog() {
    log_.Flush();
    log_timer_.expires_after(std::chrono::milliseconds(200));
    log_timer_.async_wait([this](const error_code& error) {
      if (!error) {
        FlushLog();
      }
    });
  }

  web::SessionHooks Hooks() {
    web::SessionHooks hooks;
    hooks.limits_ = [] {
      return gateway::MakeSessionLimits(route::CallerLimits());
    };
    hooks.on_request_ = [this](web::IncomingRequest call,
                               std::shared_ptr<web::Responder> responder) {
      return gateway::StartExchange(context_, std::move(call),
                                    std::move(responder));
    };
    hooks.on_refused_ = [](int, const std::string&) {};
    hooks.stopping_ = [] { return false; };
    return hooks;
  }

  const uint16_t port_ = testing::FreePort();
  const Clock boot_ = Clock::Boot();
  const gateway::HeaderCodec header_codec_ = MakeBenchmarkCodec();
  gateway::ControlState state_;
  IoThread thread_;
  gateway::UpstreamSet upstreams_{thread_.io(), boot_, ZoneId("z")};
  gateway::AdmissionScheduler admission_scheduler_{thread_.io(), boot_};
  policy::LinkBudget link_{0};
  policy::SharedRetryBudget retries_{
      policy::RetryBounds{0.2, 50, Millis(10'000)}};
  policy::Quarantine quarantine_;
  policy::PartQuarantine part_quarantine_;
  metrics::Metrics metrics_;
  gateway::DecisionLog log_{open("/dev/null", O_WRONLY), Clock::Wall()};
  gateway::ExchangeContext context_{
      thread_.io(), boot_,       header_codec_,        state_,
      {},           upstreams_,  admission_scheduler_, link_,
      retries_,     quarantine_, part_quarantine_,     metrics_,
      log_,         [] {}};
  asio::steady_timer log_timer_{thread_.io()};
  web::Listener listener_{thread_.io(), Hooks(),
                          static_cast<size_t>(FLAGS_streams) + 1};
};

struct Cost {
  double cpu_us_ = 0;  // of the traffic thread, for a request
  double allocations_ = 0;
  double live_bytes_ = 0;  // for an open stream, at the peak
};

// Runs FLAGS_streams callers, whose streams have `events` events each.
Cost Measure(int events) {
  IoThread upstream_thread;
  std::vector<std::unique_ptr<Upstream>> upstreams;
  std::vector<uint16_t> ports;
  for (int i = 0; i < FLAGS_upstreams; ++i) {
    upstreams.push_back(
        std::make_unique<Upstream>(upstream_thread.io(), events));
    ports.push_back(upstreams.back()->port());
  }
  GatewayPath path(ports);
  IoThread caller_thread;
  std::atomic<int> done{0};
  std::vector<std::shared_ptr<Caller>> callers;
  callers.reserve(static_cast<size_t>(FLAGS_streams));
  for (int i = 0; i < FLAGS_streams; ++i) {
    callers.push_back(
        std::make_shared<Caller>(caller_thread.io(), path.port(), i, &done));
  }
  const int64_t cpu_before = path.thread().CpuNanos();
  const ThreadHeap before = path.thread().Heap();
  caller_thread.RunAndWait([&] {
    for (const auto& caller : callers) {
      caller->Start();
    }
  });
  const int requests = FLAGS_streams * FLAGS_rounds;
  int64_t live_peak = 0;
  while (done < requests) {
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    live_peak = std::max(live_peak, path.thread().Heap().live_bytes_);
  }
  const ThreadHeap after = path.thread().Heap();
  constexpr double kNanosPerMicro = 1'000;
  const auto per_request = [requests](int64_t amount) {
    return static_cast<double>(amount) / requests;
  };
  Cost cost;
  cost.cpu_us_ =
      per_request(path.thread().CpuNanos() - cpu_before) / kNanosPerMicro;
  cost.allocations_ = per_request(after.allocations_ - before.allocations_);
  cost.live_bytes_ =
      static_cast<double>(live_peak - before.live_bytes_) / FLAGS_streams;
  return cost;
}

// The cost of an event follows from the difference between streams with many
// events and streams with few.
void Run() {
  constexpr int kFewEvents = 1;
  const Cost few = Measure(kFewEvents);
  const Cost many = Measure(FLAGS_events);
  const double events = FLAGS_events - kFewEvents;
  std::printf("streams open at once: %d, events each: %d, requests: %d\n",
              FLAGS_streams, FLAGS_events, FLAGS_streams * FLAGS_rounds);
  std::printf("a request of one event: %.1f us of cpu, %.1f allocations\n",
              few.cpu_us_, few.allocations_);
  std::printf("a further event: %.2f us of cpu, %.2f allocations\n",
              (many.cpu_us_ - few.cpu_us_) / events,
              (many.allocations_ - few.allocations_) / events);
  std::printf("an open stream: %.0f bytes of heap\n", many.live_bytes_);
}

}  // namespace
}  // namespace bergamotscale

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "measures the traffic path of a gateway with many open streams");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_events < 2 || FLAGS_streams < 1 || FLAGS_rounds < 1) {
    std::cerr
        << "--events: expected 2 or more; --streams, --rounds: 1 or more\n";
    return 2;
  }
  bergamotscale::Run();
  return 0;
}
