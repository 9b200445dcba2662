#include "standins/service/service_server.h"

#include <unistd.h>

#include <atomic>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include <glog/logging.h>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "src/http/body.h"
#include "src/http/guarded_listener.h"
#include "src/http/listener.h"
#include "standins/journal/journal.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace bergamotscale::standins {
namespace {

using nlohmann::json;
using web::http::http_request;

constexpr int kMaxPort = 65535;
constexpr Millis kMaxDelay = Millis(600000);
constexpr Millis kMaxDrainTime = Millis(30000);
constexpr int kMaxConnections = 10000;
constexpr Bytes kMaxBody = Bytes(int64_t{8} * 1024 * 1024);
// The HTTP library listens on this address behind the guarded listener, on the
// same port.
constexpr char kInnerAddress[] = "127.0.0.2";

// Decrements the counter if it is above zero.
// @return whether it was decremented.
bool TryDecrement(std::atomic<int64_t>* counter) {
  int64_t left = counter->load();
  while (left > 0) {
    if (counter->compare_exchange_weak(left, left - 1)) {
      return true;
    }
  }
  return false;
}

http::GuardedListenerOptions MakeListenerOptions(
    const ServiceSettings& settings) {
  const auto port = static_cast<uint16_t>(settings.port_);
  http::GuardedListenerOptions options;
  options.caller_endpoint_ = {settings.address_, port};
  options.library_endpoint_ = {kInnerAddress, port};
  options.max_body_ = kMaxBody;
  options.max_connections_ = kMaxConnections;
  options.drain_limit_ = kMaxDrainTime;
  return options;
}

}  // namespace

void ReadServiceSettings(settings::FieldReader& reader,
                         ServiceSettings* settings) {
  using Need = settings::FieldReader::Need;
  reader.String("address", Need::kOptional, &settings->address_);
  reader.Integer("port", Need::kRequired, 1, kMaxPort, &settings->port_);
  reader.Duration("delay_ms", Need::kOptional, Millis(0), kMaxDelay,
                  &settings->delay_);
  reader.String("journal_file", Need::kOptional, &settings->journal_file_);
}

class ServiceServer::Impl {
 public:
  explicit Impl(const ServiceSettings& settings)
      : journal_(settings.journal_file_, Clock::Wall()),
        delay_(settings.delay_.count()),
        work_(context_.get_executor()),
        thread_([this] { context_.run(); }),
        server_(MakeListenerOptions(settings)),
        listener_(server_.listener()) {
    AddRoutes();
  }

  ~Impl() {
    Close();
    context_.stop();
    thread_.join();
  }

  Status Open() { return server_.Open(); }

  void Close() {
    stopping_ = true;
    ReplyToHeld();
    server_.Close();
  }

 private:
  void AddRoutes() {
    http::AdminHooks hooks;
    hooks.ready_ = [this] { return !stopping_; };
    http::AddAdminRoutes(listener_, hooks);
    listener_.Route("GET", "/journal", [this](http_request request) {
      http::ReplyText(request, web::http::status_codes::OK, journal_.Lines(),
                      "application/x-ndjson");
    });
    listener_.Route("POST", "/faults", [this](http_request request) {
      http::ReadBody(request, [this, request](const std::string& body) {
        ApplyFaults(request, body);
      });
    });
    listener_.RouteOthers([this](http_request request) {
      if (request.method() != "POST") {
        http::ReplyError(request, ErrorCode::kUnknownPath,
                         Verdict::kNotExecuted);
        return;
      }
      http::ReadBody(request, [this, request](const std::string& body) {
        Execute(request, body);
      });
    });
  }

  void Execute(const http_request& request, const std::string& body) {
    JournalRecord record;
    record.id_ = RequestId(http::HeaderValue(request, "X-Request-Id"));
    record.key_ = IdempotencyKey(http::HeaderValue(request, "Idempotency-Key"));
    record.digest_ = XXH3_64bits(body.data(), body.size());
    const RecordNumber number = journal_.Start(record);
    const auto timer = std::make_shared<boost::asio::steady_timer>(
        context_, std::chrono::milliseconds(delay_.load()));
    timer->async_wait([this, timer, request, record,
                       number](const boost::system::error_code&) {
      journal_.End(number, Outcome::kFinished, Tokens(0));
      Answer(request, record, number);
    });
  }

  void Answer(const http_request& request,
              const JournalRecord& record,
              RecordNumber number) {
    if (TryDecrement(&exits_left_)) {
      _exit(kCrashExitCode);
    }
    if (!stopping_ && TryDecrement(&holds_left_)) {
      const std::lock_guard<std::mutex> lock(mutex_);
      held_.push_back(request);
      return;
    }
    const json answer = {{"executed", true},
                         {"path", request.request_uri().path()},
                         {"number", number.value()},
                         {"digest", record.digest_}};
    web::http::http_response response(web::http::status_codes::OK);
    response.headers().add("X-Request-Id", record.id_.value());
    response.set_body(answer.dump() + "\n", "application/json");
    request.reply(response).then([](const pplx::task<void>& sent) {
      try {
        sent.get();
      } catch (const std::exception& failure) {
        VLOG(1) << "the caller left before the response was complete: "
                << failure.what();
      }
    });
  }

  void ApplyFaults(const http_request& request, const std::string& body) {
    const json faults = json::parse(body, nullptr, false);
    if (!faults.is_object()) {
      http::ReplyError(request, ErrorCode::kMalformedBody,
                       Verdict::kNotExecuted);
      return;
    }
    const json delay = faults.value("delay_ms", json(delay_.load()));
    const json exits = faults.value("exit_before_answer", json(0));
    const json holds = faults.value("hold_answers", json(0));
    if (!delay.is_number_integer() || !exits.is_number_integer() ||
        !holds.is_number_integer()) {
      http::ReplyError(request, ErrorCode::kMalformedBody,
                       Verdict::kNotExecuted);
      return;
    }
    delay_ = delay.get<int64_t>();
    exits_left_ = exits.get<int64_t>();
    holds_left_ = holds.get<int64_t>();
    http::ReplyText(request, web::http::status_codes::OK,
                    "{\"accepted\":true}\n", "application/json");
  }

  // Replies to held requests, because a stop waits for all replies.
  void ReplyToHeld() {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const http_request& request : held_) {
      http::ReplyError(request, ErrorCode::kLeaving, Verdict::kMayHaveExecuted);
    }
    held_.clear();
  }

  Journal journal_;
  std::atomic<int64_t> delay_;
  std::atomic<int64_t> exits_left_{0};
  std::atomic<int64_t> holds_left_{0};
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::vector<http_request> held_;
  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  std::thread thread_;
  http::GuardedListener server_;
  http::Listener& listener_;
};

ServiceServer::ServiceServer(const ServiceSettings& settings)
    : impl_(std::make_unique<Impl>(settings)) {}

ServiceServer::~ServiceServer() = default;

Status ServiceServer::Open() {
  return impl_->Open();
}

void ServiceServer::Close() {
  impl_->Close();
}

}  // namespace bergamotscale::standins
