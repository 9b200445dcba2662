#include "standins/engine/engine_server.h"

#include <unistd.h>

#include <atomic>
#include <charconv>
#include <thread>
#include <utility>

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include "src/http/body.h"
#include "src/http/listener.h"
#include "standins/engine/engine_orders.h"
#include "standins/engine/engine_runner.h"
#include "standins/engine/generation.h"
#include "standins/engine/live_generations.h"
#include "standins/journal/journal.h"

namespace bergamotscale::standins {
namespace {

using nlohmann::json;
using web::http::http_request;

constexpr Millis kMaxDrainTime = Millis(30000);
constexpr Millis kDrainPollInterval = Millis(20);
constexpr double kMaxStragglerFactor = 1000;

int64_t ParseNumber(const std::string& text) {
  int64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

// @return the string member, or an empty string if there is none.
std::string GetString(const json& body, const char* key) {
  const bool present =
      body.is_object() && body.contains(key) && body[key].is_string();
  return present ? body[key].get<std::string>() : std::string();
}

std::string FormatLoad(const emulator::LoadReport& report) {
  const json load = {{"at_us", report.at_.count()},
                     {"running", report.running_},
                     {"waiting", report.waiting_},
                     {"kv_used", report.kv_used_.count()},
                     {"kv_capacity", report.kv_capacity_.count()},
                     {"prefix_used", report.prefix_used_.count()},
                     {"step_time_us", report.step_time_.count()}};
  return load.dump() + "\n";
}

std::string FormatCacheEvents(const std::vector<emulator::CacheEvent>& events) {
  json list = json::array();
  for (const emulator::CacheEvent& event : events) {
    list.push_back({{"number", event.number_},
                    {"hash", event.hash_},
                    {"stored", event.stored_}});
  }
  return json{{"events", list}}.dump() + "\n";
}

void ReplyJson(const http_request& request, const std::string& body) {
  http::ReplyText(request, web::http::status_codes::OK, body,
                  "application/json");
}

// Calls `handle` with the parsed body; refuses the request if it is not a JSON
// object.
void ReadJsonBody(const http_request& request,
                  std::function<void(const json&)> handle) {
  http::ReadBody(
      request, [request, handle = std::move(handle)](const std::string& text) {
        const json body = json::parse(text, nullptr, false);
        if (!body.is_object()) {
          http::ReplyError(request, ErrorCode::kMalformedBody,
                           Verdict::kNotExecuted);
          return;
        }
        handle(body);
      });
}

}  // namespace

class EngineServer::Impl {
 public:
  explicit Impl(const EngineSettings& settings)
      : journal_(settings.journal_file_, Clock::Wall()),
        orders_(settings, Clock::Steady()),
        runner_(settings.engine_, [this] { Crash(); }),
        listener_(settings.address_, static_cast<uint16_t>(settings.port_)) {
    AddRoutes();
  }

  Status Open() { return listener_.Open(); }

  void Close() {
    stopping_ = true;
    const Clock clock = Clock::Steady();
    const Millis deadline = clock.Now() + kMaxDrainTime;
    while (!live_.All().empty() && clock.Now() < deadline) {
      std::this_thread::sleep_for(
          std::chrono::milliseconds(kDrainPollInterval.count()));
    }
    listener_.Close();
  }

 private:
  using Handler = void (Impl::*)(const http_request&);

  void Add(const char* method, const char* path, Handler handler) {
    listener_.Route(method, path, [this, handler](http_request request) {
      (this->*handler)(request);
    });
  }

  void AddRoutes() {
    http::AdminHooks hooks;
    hooks.ready_ = [this] { return !leaving(); };
    http::AddAdminRoutes(listener_, hooks);
    Add("POST", "/v1/chat/completions", &Impl::Chat);
    Add("POST", "/v1/cancel", &Impl::Cancel);
    Add("GET", "/v1/models", &Impl::ShowModels);
    Add("GET", "/journal", &Impl::ShowJournal);
    Add("GET", "/load", &Impl::ShowLoad);
    Add("GET", "/cache_events", &Impl::ShowCacheEvents);
    Add("GET", "/orders", &Impl::ShowOrders);
    Add("POST", "/orders", &Impl::ApplyOrder);
    Add("POST", "/kv/export", &Impl::ExportKv);
    Add("POST", "/kv/import", &Impl::ImportKv);
    Add("POST", "/faults", &Impl::ApplyFaults);
  }

  bool leaving() const { return stopping_ || orders_.leaving(); }

  void Chat(const http_request& request) {
    http::ReadBody(request, [this, request](const std::string& body) {
      Generate(request, body);
    });
  }

  void Generate(const http_request& request, const std::string& body) {
    Result<ChatRequest> chat = ParseChatRequest(body);
    if (!chat.ok()) {
      http::ReplyError(request, chat.error(), Verdict::kNotExecuted);
      return;
    }
    if (leaving()) {
      http::ReplyError(request, ErrorCode::kLeaving, Verdict::kNotExecuted);
      return;
    }
    if (!orders_.Serves(chat.value().model_)) {
      http::ReplyError(request, ErrorCode::kUnknownModel,
                       Verdict::kNotExecuted);
      return;
    }
    const emulator::EngineRequest work = ToEngineRequest(chat.value());
    const auto generation = std::make_shared<Generation>(
        request, std::move(chat).value(),
        RequestId(http::HeaderValue(request, "X-Request-Id")),
        IdempotencyKey(http::HeaderValue(request, "Idempotency-Key")),
        &journal_);
    Run(work, generation);
  }

  void Run(const emulator::EngineRequest& work,
           const std::shared_ptr<Generation>& generation) {
    if (work.done_ >= work.output_tokens_) {
      generation->Begin([] {});
      generation->OnFinished();
      return;
    }
    const emulator::SequenceId sequence = runner_.NextId();
    live_.Add(sequence, generation);
    generation->Begin([this, sequence] { Drop(sequence); });
    SequenceHooks hooks;
    hooks.on_token_ = [generation](int64_t index, Tokens cached) {
      generation->OnToken(index, cached);
    };
    hooks.on_batch_end_ = [generation] { generation->OnBatchEnd(); };
    hooks.on_finished_ = [this, generation, sequence] {
      generation->OnFinished();
      live_.Remove(sequence);
    };
    emulator::EngineRequest work_with_id = work;
    work_with_id.id_ = sequence;
    runner_.Submit(work_with_id, std::move(hooks));
  }

  // Cancels a generation and records the tokens written so far.
  void Drop(emulator::SequenceId sequence) {
    runner_.Post([this, sequence](emulator::EngineModel& /*model*/,
                                  emulator::Micros /*now*/) {
      const std::shared_ptr<Generation> generation = live_.Find(sequence);
      if (generation == nullptr) {
        return;
      }
      runner_.Cancel(sequence);
      generation->Abandon(Outcome::kCancelled);
      live_.Remove(sequence);
    });
  }

  void Cancel(const http_request& request) {
    ReadJsonBody(request, [this, request](const json& body) {
      const auto sequences =
          live_.SequencesOf(RequestId(GetString(body, "id")));
      for (const emulator::SequenceId sequence : sequences) {
        Drop(sequence);
      }
      ReplyJson(request, json{{"cancelled", sequences.size()}}.dump() + "\n");
    });
  }

  void ShowModels(const http_request& request) {
    if (leaving()) {
      http::ReplyError(request, ErrorCode::kLeaving, Verdict::kNotExecuted);
      return;
    }
    ReplyJson(request, orders_.ListModels());
  }

  void ShowJournal(const http_request& request) {
    http::ReplyText(request, web::http::status_codes::OK, journal_.Lines(),
                    "application/x-ndjson");
  }

  void ShowLoad(const http_request& request) {
    runner_.Post([request](emulator::EngineModel& model, emulator::Micros now) {
      ReplyJson(request, FormatLoad(model.ReportAt(now)));
    });
  }

  void ShowCacheEvents(const http_request& request) {
    const int64_t from = ParseNumber(http::QueryValue(request, "from", "0"));
    runner_.Post([request, from](emulator::EngineModel& model,
                                 emulator::Micros now) {
      ReplyJson(request, FormatCacheEvents(model.CacheEventsFrom(from, now)));
    });
  }

  void ShowOrders(const http_request& request) {
    ReplyJson(request, orders_.Describe());
  }

  void ApplyOrder(const http_request& request) {
    http::ReadBody(request, [this, request](const std::string& body) {
      const Status applied = orders_.Apply(body);
      if (!applied.ok()) {
        http::ReplyError(request, applied.error(), Verdict::kNotExecuted);
        return;
      }
      ReplyJson(request, "{\"accepted\":true}\n");
    });
  }

  void ExportKv(const http_request& request) {
    ReadJsonBody(request, [this, request](const json& body) {
      const auto sequences =
          live_.SequencesOf(RequestId(GetString(body, "id")));
      if (sequences.empty()) {
        http::ReplyError(request, ErrorCode::kNotFound, Verdict::kNotExecuted);
        return;
      }
      runner_.Post([request, sequence = sequences.front()](
                       emulator::EngineModel& model, emulator::Micros) {
        const auto blob = model.ExportKv(sequence);
        if (!blob.has_value()) {
          http::ReplyError(request, ErrorCode::kNotFound,
                           Verdict::kNotExecuted);
          return;
        }
        const json described = {{"prompt_digest", blob->prompt_digest_},
                                {"tokens", blob->tokens_.count()}};
        ReplyJson(request, described.dump() + "\n");
      });
    });
  }

  void ImportKv(const http_request& request) {
    ReadJsonBody(request, [this, request](const json& body) {
      const json digest = body.value("prompt_digest", json());
      const json tokens = body.value("tokens", json());
      if (!digest.is_number_integer() || !tokens.is_number_integer()) {
        http::ReplyError(request, ErrorCode::kMalformedBody,
                         Verdict::kNotExecuted);
        return;
      }
      emulator::KvBlob blob;
      blob.prompt_digest_ = digest.get<uint64_t>();
      blob.tokens_ = Tokens(tokens.get<int64_t>());
      runner_.Post(
          [request, blob](emulator::EngineModel& model, emulator::Micros now) {
            model.ImportKv(blob, now);
            ReplyJson(request, "{\"imported\":true}\n");
          });
    });
  }

  void ApplyFaults(const http_request& request) {
    ReadJsonBody(request, [this, request](const json& body) {
      const json factor = body.value("straggler_factor", json(1));
      const json crash_after = body.value("crash_after_tokens", json(0));
      const json hang = body.value("hang", json(false));
      const json crash = body.value("crash", json(false));
      if (!factor.is_number() || !crash_after.is_number_integer() ||
          !hang.is_boolean() || !crash.is_boolean() || factor < 0 ||
          factor > kMaxStragglerFactor) {
        http::ReplyError(request, ErrorCode::kMalformedBody,
                         Verdict::kNotExecuted);
        return;
      }
      if (crash.get<bool>()) {
        runner_.Post(
            [this](emulator::EngineModel&, emulator::Micros) { Crash(); });
        return;
      }
      runner_.Post([request, factor, crash_after, hang](
                       emulator::EngineModel& model, emulator::Micros now) {
        model.SetStragglerFactor(factor.get<double>());
        model.SetHung(hang.get<bool>(), now);
        if (crash_after.get<int64_t>() > 0) {
          model.CrashAfterTokens(crash_after.get<int64_t>());
        }
        ReplyJson(request, "{\"accepted\":true}\n");
      });
    });
  }

  // Call on the runner's thread, so that no tokens are written meanwhile.
  [[noreturn]] void Crash() {
    for (const auto& generation : live_.All()) {
      generation->Abandon(Outcome::kCrashed);
    }
    LOG(ERROR) << "crashing because of an injected fault";
    google::FlushLogFiles(google::GLOG_INFO);
    _exit(kCrashExitCode);
  }

  Journal journal_;
  EngineOrders orders_;
  std::atomic<bool> stopping_{false};
  LiveGenerations live_;
  EngineRunner runner_;
  http::Listener listener_;
};

EngineServer::EngineServer(const EngineSettings& settings)
    : impl_(std::make_unique<Impl>(settings)) {}

EngineServer::~EngineServer() = default;

Status EngineServer::Open() {
  return impl_->Open();
}

void EngineServer::Close() {
  impl_->Close();
}

}  // namespace bergamotscale::standins
