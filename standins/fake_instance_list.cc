// A stand-in for the platform's list of instances.
//
// GET  /instances   the list as of lag_ms ago
// POST /instances   registers an instance or changes its state
// POST /lag         {"lag_ms":N}
#include "bergamotscale/clock.h"
#include "src/http/listener.h"
#include "src/process/process.h"
#include "standins/platform/event_loop.h"
#include "standins/platform/instance_list.h"

namespace bergamotscale::standins {
namespace {

using settings::FieldReader;
using web::http::http_request;
using Need = FieldReader::Need;

constexpr Millis kMaxLag = Millis(600000);
constexpr char kJson[] = "application/json";

struct Options {
  std::string address_ = "127.0.0.1";
  int port_ = 0;
  Millis lag_ = Millis(1000);
};

class Server {
 public:
  explicit Server(const Options& options)
      : list_(options.lag_),
        listener_(options.address_, static_cast<uint16_t>(options.port_)) {
    listener_.Route("GET", "/healthz", [](http_request request) {
      http::ReplyText(request, 200, "ok\n", "text/plain");
    });
    listener_.Route("GET", "/instances", [this](http_request request) {
      loop_.Post([this, request] {
        http::ReplyText(request, 200, list_.Render(clock_.Now()), kJson);
      });
    });
    listener_.Route("POST", "/instances", [this](http_request request) {
      ReadBody(request, [this](const std::string& body) {
        return list_.Change(body, clock_.Now());
      });
    });
    listener_.Route("POST", "/lag", [this](http_request request) {
      ReadBody(request,
               [this](const std::string& body) { return SetLag(body); });
    });
  }

  Status Open() { return listener_.Open(); }
  void Close() { listener_.Close(); }

 private:
  void ReadBody(http_request request,
                std::function<Status(const std::string&)> task) {
    request.extract_utf8string(true).then(
        [this, request,
         task = std::move(task)](const pplx::task<std::string>& body) {
          try {
            loop_.Post([request, task, text = body.get()] {
              Reply(request, task(text));
            });
          } catch (const std::exception&) {
            Reply(request, ErrorCode::kMalformedBody);
          }
        });
  }

  static void Reply(const http_request& request, const Status& status) {
    if (status.ok()) {
      http::ReplyText(request, 200, "{}", kJson);
    } else {
      http::ReplyError(request, status.error(), Verdict::kNotExecuted);
    }
  }

  Status SetLag(const std::string& body) {
    Millis lag;
    const Status read =
        settings::ReadDocument(body, "lag", [&](FieldReader& reader) {
          reader.Duration("lag_ms", Need::kRequired, Millis(0), kMaxLag, &lag);
        });
    if (!read.ok()) {
      return Error(ErrorCode::kMalformedBody, read.error().detail_);
    }
    list_.SetLag(lag);
    return Done{};
  }

  const Clock clock_ = Clock::Steady();
  InstanceList list_;
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
  process.summary_ = "stand-in of the platform's lagging list of instances";
  process.read_settings_ = [&](FieldReader& reader) {
    reader.String("address", Need::kOptional, &options.address_);
    reader.Integer("port", Need::kRequired, 1, 65535, &options.port_);
    reader.Duration("lag_ms", Need::kOptional, bergamotscale::Millis(0),
                    kMaxLag, &options.lag_);
  };
  process.run_ = [&] { return Run(options); };
  return bergamotscale::process::RunProcess(argc, argv, process);
}
