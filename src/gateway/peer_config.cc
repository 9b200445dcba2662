#include "src/gateway/peer_config.h"

#include <charconv>
#include <string_view>
#include <utility>

#include "src/web/call_client.h"
#include "src/web/one_shot_timer.h"

namespace bergamotscale::gateway {
namespace {

using boost::asio::ip::tcp;

constexpr char kConfigTarget[] = "/config";
// Milliseconds since the peer last confirmed its configuration.
constexpr char kAgeHeader[] = "Config-Age-Ms";
constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
// A version usually arrives from the log within this time.
constexpr Millis kMaxLag = Millis(300);
constexpr Millis kRetryPause = Millis(500);
constexpr Millis kResponseTimeout = Millis(1'000);

}  // namespace

void AnswerPeerConfig(const ControlState& state,
                      Millis now,
                      const std::string& target,
                      web::Responder& responder) {
  // Read before the document, which may be replaced by a newer one meanwhile.
  const Millis age = state.TableAge(now);
  const auto document = state.document_.Read();
  web::HeaderList headers;
  if (target != kConfigTarget || document == nullptr) {
    headers.Add("Content-Type", "text/plain");
    responder.Reply(kStatusNotFound, headers, "no configuration\n");
    return;
  }
  headers.Add("Content-Type", "application/octet-stream");
  headers.Add(kAgeHeader, std::to_string(age.count()));
  responder.Reply(kStatusOk, headers, *document);
}

class PeerConfigReader::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& io,
       Clock boot,
       DecisionLog* log,
       PeerConfigHooks hooks)
      : io_(io),
        boot_(std::move(boot)),
        log_(log),
        hooks_(std::move(hooks)),
        timer_(io.get_executor()) {}

  void Stop() {
    timer_.Cancel();
    client_.reset();
  }

  void OnPeerVersion(const tcp::endpoint& peer, int64_t version) {
    if (version < newest_version_ || version <= hooks_.own_version_()) {
      return;
    }
    newest_version_ = version;
    peer_ = peer;
    if (!is_waiting_) {
      ReadAfter(kMaxLag);
    }
  }

 private:
  void ReadAfter(Millis pause) {
    is_waiting_ = true;
    timer_.Start(pause, [self = shared_from_this()] {
      self->is_waiting_ = false;
      if (self->newest_version_ > self->hooks_.own_version_()) {
        self->Read();
      }
    });
  }

  void Read() {
    is_waiting_ = true;
    const Millis asked_at = boot_.Now();
    client_ = std::make_unique<web::CallClient>(
        io_, peer_, ErrorCode::kUpstreamUnreachable);
    client_->Get(kConfigTarget, kResponseTimeout,
                 [self = shared_from_this(),
                  asked_at](Result<web::CallResponse> response) {
                   self->OnResponse(asked_at, std::move(response));
                 });
  }

  void OnResponse(Millis asked_at, Result<web::CallResponse> result) {
    // The peer has few connections for such calls.
    client_.reset();
    const bool was_read = result.ok() && result.value().status_ == kStatusOk;
    LogLine line("peer_config");
    line.Add("peer", peer_.address().to_string())
        .Add("peer_version", newest_version_)
        .Add("version", hooks_.own_version_());
    if (was_read) {
      web::CallResponse response = std::move(result).value();
      const std::string_view text = response.headers_.Find(kAgeHeader);
      int64_t age = 0;
      const auto read =
          std::from_chars(text.data(), text.data() + text.size(), age);
      // Of an unknown age, it is in force but proves nothing.
      const Millis as_of = read.ec == std::errc() && age >= 0
                               ? asked_at - Millis(age)
                               : Millis(0);
      log_->Write(line.Add("outcome", "read").Add("age_ms", age));
      hooks_.on_config_(std::move(response.body_), as_of);
    } else {
      log_->Write(line.Add("outcome", "failed")
                      .Add("reason",
                           result.ok() ? "status " + std::to_string(
                                                         result.value().status_)
                                       : result.error().Message()));
      // Another peer may answer, even one with a version between.
      newest_version_ = 0;
    }
    ReadAfter(kRetryPause);
  }

  boost::asio::io_context& io_;
  const Clock boot_;
  DecisionLog* const log_;
  const PeerConfigHooks hooks_;
  web::OneShotTimer timer_;
  std::unique_ptr<web::CallClient> client_;
  int64_t newest_version_ = 0;
  tcp::endpoint peer_;  // has newest_version_
  bool is_waiting_ = false;
};

PeerConfigReader::PeerConfigReader(boost::asio::io_context& io,
                                   Clock boot,
                                   DecisionLog* log,
                                   PeerConfigHooks hooks)
    : impl_(
          std::make_shared<Impl>(io, std::move(boot), log, std::move(hooks))) {}

PeerConfigReader::~PeerConfigReader() {
  impl_->Stop();
}

void PeerConfigReader::OnPeerVersion(const tcp::endpoint& peer,
                                     int64_t version) {
  impl_->OnPeerVersion(peer, version);
}

}  // namespace bergamotscale::gateway
