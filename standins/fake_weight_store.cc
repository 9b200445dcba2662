// A stand-in for the platform's weight store.
//
// GET /weights/NAME   {"name","bytes"} after fetch_ms; 429 above
//                     fetches_per_window in any window_ms
// GET /journal        one JSON line for each fetch
#include <deque>

#include <nlohmann/json.hpp>

#include "bergamotscale/clock.h"
#include "src/http/listener.h"
#include "src/process/process.h"
#include "standins/platform/event_loop.h"

namespace bergamotscale::standins {
namespace {

using nlohmann::json;
using settings::FieldReader;
using web::http::http_request;
using Need = FieldReader::Need;

constexpr Millis kMaxFetch = Millis(600000);
constexpr int64_t kWeightBytes = int64_t{16} * 1024 * 1024 * 1024;
constexpr char kWeightsPrefix[] = "/weights/";

struct Options {
  std::string address_ = "127.0.0.1";
  int port_ = 0;
  int fetches_per_window_ = 30;
  Millis window_ = Millis(60000);
  Millis fetch_ = Millis(500);
};

class Server {
 public:
  explicit Server(const Options& options)
      : options_(options),
        listener_(options.address_, static_cast<uint16_t>(options.port_)) {
    listener_.Route("GET", "/healthz", [](http_request request) {
      http::ReplyText(request, 200, "ok\n", "text/plain");
    });
    listener_.Route("GET", "/journal", [this](http_request request) {
      loop_.Post([this, request] {
        http::ReplyText(request, 200, journal_, "application/x-ndjson");
      });
    });
    listener_.RouteOthers([this](http_request request) {
      loop_.Post([this, request] { Fetch(request); });
    });
  }

  Status Open() { return listener_.Open(); }
  void Close() { listener_.Close(); }

 private:
  void Fetch(const http_request& request) {
    const std::string path = request.request_uri().path();
    if (path.rfind(kWeightsPrefix, 0) != 0) {
      http::ReplyError(request, ErrorCode::kUnknownPath, Verdict::kNotExecuted);
      return;
    }
    const Millis now = clock_.Now();
    while (!fetches_.empty() && now - fetches_.front() >= options_.window_) {
      fetches_.pop_front();
    }
    const std::string name = path.substr(sizeof(kWeightsPrefix) - 1);
    const bool over =
        fetches_.size() >= static_cast<size_t>(options_.fetches_per_window_);
    WriteJournal(name, over);
    if (over) {
      http::ReplyError(request, ErrorCode::kRateLimited, Verdict::kNotExecuted,
                       options_.window_ - (now - fetches_.front()));
      return;
    }
    fetches_.push_back(now);
    loop_.PostAfter(options_.fetch_, [request, name] {
      const json body = {{"name", name}, {"bytes", kWeightBytes}};
      http::ReplyText(request, 200, body.dump(), "application/json");
    });
  }

  void WriteJournal(const std::string& name, bool over) {
    const json line = {{"time_ms", Clock::Wall().Now().count()},
                       {"name", name},
                       {"outcome", over ? "rate_limited" : "sent"}};
    journal_ += line.dump() + "\n";
  }

  const Options options_;
  const Clock clock_ = Clock::Steady();
  std::deque<Millis> fetches_;
  std::string journal_;
  http::Listener listener_;
  EventLoop loop_;
};

int Run(const Options& options) {
  Server server(options);
  return process::ServeUntilStop([&server] { return server.Open(); },
                                 [&server] { server.Close(); });
}

}  // namespace
}  // namespace bergamotscale::standins

int main(int argc, char** argv) {
  using namespace bergamotscale::standins;  // NOLINT: this file's own names
  Options options;
  bergamotscale::process::ProcessOptions process;
  process.summary_ = "stand-in of the platform's rate-limited weight store";
  process.read_settings_ = [&](FieldReader& reader) {
    reader.String("address", Need::kOptional, &options.address_);
    reader.Integer("port", Need::kRequired, 1, 65535, &options.port_);
    reader.Integer("fetches_per_window", Need::kOptional, 1, 1000000,
                   &options.fetches_per_window_);
    reader.Duration("window_ms", Need::kOptional, bergamotscale::Millis(1),
                    kMaxFetch, &options.window_);
    reader.Duration("fetch_ms", Need::kOptional, bergamotscale::Millis(0),
                    kMaxFetch, &options.fetch_);
  };
  process.run_ = [&] { return Run(options); };
  return bergamotscale::process::RunProcess(argc, argv, process);
}
