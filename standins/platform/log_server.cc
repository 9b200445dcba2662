#include "standins/platform/log_server.h"

#include <algorithm>
#include <fstream>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "src/http/listener.h"
#include "src/settings/field_reader.h"
#include "standins/platform/event_loop.h"

namespace bergamotscale::standins {
namespace {

using nlohmann::json;
using settings::FieldReader;
using web::http::http_request;
using Need = FieldReader::Need;

constexpr int kHttpUnavailable = 503;
constexpr int kHttpResponseLost = 504;
constexpr int kHttpGone = 410;
constexpr size_t kMaxPayloadBytes = size_t{4} * 1024 * 1024;
constexpr size_t kMaxPageRecords = 10000;
constexpr Millis kMaxWait = Millis(60000);
constexpr Millis kMaxSlow = Millis(600000);
constexpr char kJson[] = "application/json";

// The parts of a path under /streams/.
struct StreamPath {
  std::string stream_;
  std::string action_;
};

StreamPath SplitPath(const std::string& path) {
  static const std::string kPrefix = "/streams/";
  if (path.compare(0, kPrefix.size(), kPrefix) != 0) {
    return {};
  }
  const size_t slash = path.find('/', kPrefix.size());
  if (slash == std::string::npos) {
    return {};
  }
  return {path.substr(kPrefix.size(), slash - kPrefix.size()),
          path.substr(slash + 1)};
}

int64_t QueryInteger(const http_request& request,
                     const std::string& name,
                     int64_t fallback) {
  const std::string text = http::QueryValue(request, name, "");
  return text.empty() ? fallback : std::atoll(text.c_str());
}

json ToJson(const log::ReadPage& page) {
  json records = json::array();
  for (const log::Record& record : page.records_) {
    records.push_back(
        {{"offset", record.offset_.value()}, {"payload", record.payload_}});
  }
  return {{"records", std::move(records)},
          {"next", page.next_.value()},
          {"oldest", page.oldest_.value()}};
}

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

// A read that waits at the end of its stream for a record or its timeout.
struct HeldRead {
  uint64_t id_ = 0;
  http_request request_;
  std::string stream_;
  LogOffset from_;
  size_t max_ = 0;
};

}  // namespace

class LogServer::Impl {
 public:
  Impl(LogServerOptions options, Clock clock)
      : options_(std::move(options)),
        clock_(std::move(clock)),
        store_(options_.store_),
        listener_(options_.address_, options_.port_) {
    if (options_.restore_) {
      Restore();
    }
    if (!options_.journal_file_.empty()) {
      journal_stream_.open(options_.journal_file_, std::ios::app);
      // Terminates a line that an earlier process left incomplete.
      journal_stream_ << (options_.restore_ ? "\n" : "") << std::flush;
    }
    AddRoutes();
  }

  // Skips incomplete lines: their appends never got a response.
  void Restore() {
    std::ifstream file(options_.journal_file_);
    const Millis wall = Clock::Wall().Now();
    const Millis now = clock_.Now();
    for (std::string line; std::getline(file, line);) {
      const json record = json::parse(line, nullptr, false);
      if (record.is_object()) {
        const Millis age = wall - Millis(record["time_ms"].get<int64_t>());
        store_.Restore(record["stream"], record["payload"], now - age);
        journal_ += line + "\n";
      }
    }
  }

  void AddRoutes() {
    listener_.Route("GET", "/healthz", [](http_request request) {
      http::ReplyText(request, 200, "ok\n", "text/plain");
    });
    listener_.Route("GET", "/journal", [this](http_request request) {
      loop_.Post([this, request] {
        http::ReplyText(request, 200, journal_, "application/x-ndjson");
      });
    });
    listener_.Route("GET", "/faults", [this](http_request request) {
      loop_.Post([this, request] { ReplyFaults(request); });
    });
    listener_.Route("POST", "/faults", [this](http_request request) {
      ReadBody(request, [this](const http_request& original_request,
                               const std::string& body) {
        ApplyFaults(original_request, body);
      });
    });
    listener_.RouteOthers(
        [this](http_request request) { HandleStream(request); });
  }

  // Runs the task on the loop when the body has been received.
  void ReadBody(
      http_request request,
      std::function<void(const http_request&, const std::string&)> task) {
    request.extract_utf8string(true).then(
        [this, request,
         task = std::move(task)](const pplx::task<std::string>& body) {
          try {
            loop_.Post(
                [request, task, text = body.get()] { task(request, text); });
          } catch (const std::exception&) {
            http::ReplyError(request, ErrorCode::kMalformedBody,
                             Verdict::kNotExecuted);
          }
        });
  }

  void HandleStream(http_request request) {
    const StreamPath path = SplitPath(request.request_uri().path());
    const std::string& method = request.method();
    if (path.action_ == "append" && method == "POST") {
      ReadBody(request, [this, path](const http_request& original_request,
                                     const std::string& payload) {
        RunDelayed([this, original_request, path, payload] {
          Append(original_request, path.stream_, payload);
        });
      });
    } else if (path.action_ == "records" && method == "GET") {
      loop_.Post([this, request, path] {
        RunDelayed([this, request, path] { Read(request, path.stream_); });
      });
    } else {
      http::ReplyError(request, ErrorCode::kUnknownPath, Verdict::kNotExecuted);
    }
  }

  void RunDelayed(std::function<void()> task) {
    if (faults_.slow_ > Millis(0)) {
      loop_.PostAfter(faults_.slow_, std::move(task));
    } else {
      task();
    }
  }

  // @return true if an active fault handled the call.
  bool HandleByFault(const http_request& request) {
    if (faults_.silent_) {
      silent_calls_.push_back(request);
      return true;
    }
    if (faults_.down_) {
      ReplyDown(request);
      return true;
    }
    return false;
  }

  static void ReplyDown(const http_request& request) {
    http::ReplyText(request, kHttpUnavailable, "{\"error\":\"down\"}", kJson);
  }

  void Append(const http_request& request,
              const std::string& stream,
              const std::string& payload) {
    if (HandleByFault(request)) {
      return;
    }
    if (payload.size() > kMaxPayloadBytes) {
      http::ReplyError(request, ErrorCode::kBodyTooLarge,
                       Verdict::kNotExecuted);
      return;
    }
    const Result<LogOffset> offset =
        store_.Append(stream, payload, clock_.Now());
    if (!offset.ok()) {
      http::ReplyError(request, offset.error(), Verdict::kNotExecuted,
                       Millis(1000));
      return;
    }
    const bool lost = ConsumeLostResponse();
    WriteJournal(stream, offset.value(), payload, lost);
    if (lost) {
      http::ReplyText(request, kHttpResponseLost, "{}", kJson);
    } else {
      http::ReplyText(request, 200, Dump({{"offset", offset.value().value()}}),
                      kJson);
    }
    ReplyToHeldReads(stream);
  }

  bool ConsumeLostResponse() {
    if (faults_.lose_answers_ == 0) {
      return false;
    }
    if (faults_.lose_answers_ > 0) {
      --faults_.lose_answers_;
    }
    return true;
  }

  void WriteJournal(const std::string& stream,
                    LogOffset offset,
                    const std::string& payload,
                    bool lost) {
    const std::string line = Dump({{"time_ms", Clock::Wall().Now().count()},
                                   {"stream", stream},
                                   {"offset", offset.value()},
                                   {"answer", lost ? "lost" : "sent"},
                                   {"payload", payload}}) +
                             "\n";
    journal_ += line;
    if (journal_stream_.is_open()) {
      journal_stream_ << line << std::flush;
    }
  }

  void Read(const http_request& request, const std::string& stream) {
    if (HandleByFault(request)) {
      return;
    }
    HeldRead read{next_id_++, request, stream,
                  LogOffset(QueryInteger(request, "from", 0)),
                  static_cast<size_t>(std::clamp<int64_t>(
                      QueryInteger(request, "max", kMaxPageRecords), 1,
                      kMaxPageRecords))};
    const Millis wait =
        std::min(kMaxWait, Millis(QueryInteger(request, "wait_ms", 0)));
    if (TryReply(read, wait > Millis(0))) {
      return;
    }
    const uint64_t id = read.id_;
    held_reads_.push_back(std::move(read));
    loop_.PostAfter(wait, [this, id] { EndWait(id); });
  }

  // @return false if there are no records and the read may wait.
  bool TryReply(const HeldRead& read, bool may_wait) {
    const Result<log::ReadPage> page =
        store_.Read(read.stream_, read.from_, read.max_, clock_.Now());
    if (!page.ok()) {
      http::ReplyText(read.request_, kHttpGone, "{\"error\":\"expired\"}",
                      kJson);
      return true;
    }
    if (page.value().records_.empty() && may_wait) {
      return false;
    }
    http::ReplyText(read.request_, 200, Dump(ToJson(page.value())), kJson);
    return true;
  }

  void ReplyToHeldReads(const std::string& stream) {
    std::vector<HeldRead> still_waiting;
    for (HeldRead& read : held_reads_) {
      if (read.stream_ != stream || !TryReply(read, true)) {
        still_waiting.push_back(std::move(read));
      }
    }
    held_reads_ = std::move(still_waiting);
  }

  void EndWait(uint64_t id) {
    const auto found =
        std::find_if(held_reads_.begin(), held_reads_.end(),
                     [id](const HeldRead& read) { return read.id_ == id; });
    if (found != held_reads_.end()) {
      TryReply(*found, false);
      held_reads_.erase(found);
    }
  }

  void ReplyFaults(const http_request& request) {
    http::ReplyText(request, 200,
                    Dump({{"down", faults_.down_},
                          {"silent", faults_.silent_},
                          {"slow_ms", faults_.slow_.count()},
                          {"lose_answers", faults_.lose_answers_}}),
                    kJson);
  }

  void ApplyFaults(const http_request& request, const std::string& body) {
    LogFaults faults = faults_;
    const Status read =
        settings::ReadDocument(body, "faults", [&](FieldReader& reader) {
          reader.Boolean("down", Need::kOptional, &faults.down_);
          reader.Boolean("silent", Need::kOptional, &faults.silent_);
          reader.Duration("slow_ms", Need::kOptional, Millis(0), kMaxSlow,
                          &faults.slow_);
          reader.Integer("lose_answers", Need::kOptional, int64_t{-1},
                         int64_t{1000000000}, &faults.lose_answers_);
        });
    if (!read.ok()) {
      http::ReplyError(request,
                       Error(ErrorCode::kMalformedBody, read.error().detail_),
                       Verdict::kNotExecuted);
      return;
    }
    SetFaults(faults);
    ReplyFaults(request);
  }

  void SetFaults(const LogFaults& faults) {
    faults_ = faults;
    if (!faults_.silent_) {
      FailSilentCalls();
    }
    if (faults_.down_ || faults_.silent_) {
      FailHeldReads();
    }
  }

  void FailSilentCalls() {
    for (const http_request& request : silent_calls_) {
      ReplyDown(request);
    }
    silent_calls_.clear();
  }

  // Applies a new fault to the reads that are already waiting.
  void FailHeldReads() {
    for (const HeldRead& read : held_reads_) {
      HandleByFault(read.request_);
    }
    held_reads_.clear();
  }

  void Close() {
    loop_.RunAndWait([this] {
      faults_ = LogFaults();
      faults_.down_ = true;
      FailSilentCalls();
      FailHeldReads();
    });
    listener_.Close();
  }

  const LogServerOptions options_;
  const Clock clock_;
  LogStore store_;
  LogFaults faults_;
  std::vector<HeldRead> held_reads_;
  std::vector<http_request> silent_calls_;
  uint64_t next_id_ = 1;
  std::string journal_;
  std::ofstream journal_stream_;
  http::Listener listener_;
  // Last, so that it is destroyed before the members that its tasks use.
  EventLoop loop_;
};

LogServer::LogServer(LogServerOptions options, Clock clock)
    : impl_(std::make_unique<Impl>(std::move(options), std::move(clock))) {}

LogServer::~LogServer() {
  Close();
}

Status LogServer::Open() {
  return impl_->listener_.Open();
}

void LogServer::Close() {
  impl_->Close();
}

void LogServer::SetFaults(const LogFaults& faults) {
  impl_->loop_.RunAndWait([&] { impl_->SetFaults(faults); });
}

std::string LogServer::url() const {
  return impl_->listener_.url();
}

}  // namespace bergamotscale::standins
