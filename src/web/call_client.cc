#include "src/web/call_client.h"

#include <utility>

#include "src/web/client_connection.h"
#include "src/web/one_shot_timer.h"

namespace bergamotscale::web {
namespace {

constexpr Millis kConnectTimeout = Millis(1'000);

}  // namespace

class CallClient::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& io,
       boost::asio::ip::tcp::endpoint server,
       ErrorCode failure)
      : io_(io),
        server_(std::move(server)),
        failure_(failure),
        timer_(io.get_executor()) {}

  void Stop() {
    done_ = nullptr;
    timer_.Cancel();
    connection_.reset();
  }

  void Call(OutgoingRequest call, Millis timeout, Done done) {
    done_ = std::move(done);
    response_ = CallResponse();
    if (connection_ != nullptr && connection_->usable()) {
      Send(std::move(call), timeout);
      return;
    }
    connection_ = std::make_unique<ClientConnection>(io_, server_);
    connection_->Connect(
        kConnectTimeout, [self = shared_from_this(), call = std::move(call),
                          timeout](const boost::system::error_code& error) {
          if (error) {
            self->Finish(Error(self->failure_, "connect: " + error.message()));
          } else {
            self->Send(call, timeout);
          }
        });
  }

 private:
  void Send(OutgoingRequest call, Millis timeout) {
    timer_.StartDeadlineTimer(timeout, [self = shared_from_this()] {
      self->Finish(Error(self->failure_, "no answer in time"));
    });
    call.headers_.Add("Host", server_.address().to_string() + ":" +
                                  std::to_string(server_.port()));
    ResponseHooks hooks;
    const std::weak_ptr<Impl> weak = weak_from_this();
    hooks.on_head_ = [weak](const ResponseHead& head) {
      if (const auto self = weak.lock()) {
        self->response_.status_ = head.status_;
        self->response_.headers_ = head.headers_;
      }
    };
    hooks.on_body_ = [weak](const std::string& bytes) {
      if (const auto self = weak.lock()) {
        self->response_.body_ += bytes;
      }
      return true;
    };
    hooks.on_end_ = [self = shared_from_this()](const CallResult& end) {
      if (end.complete_) {
        self->Finish(std::move(self->response_));
      } else {
        self->Finish(Error(self->failure_, end.error_.message()));
      }
    };
    connection_->Send(std::move(call), std::move(hooks));
  }

  void Finish(Result<CallResponse> response) {
    if (!done_) {
      return;
    }
    timer_.Cancel();
    if (!response.ok()) {
      connection_.reset();
    }
    const Done done = std::move(done_);
    done_ = nullptr;
    done(std::move(response));
  }

  boost::asio::io_context& io_;
  const boost::asio::ip::tcp::endpoint server_;
  const ErrorCode failure_;
  OneShotTimer timer_;
  std::unique_ptr<ClientConnection> connection_;
  CallResponse response_;
  Done done_;
};

CallClient::CallClient(boost::asio::io_context& io,
                       boost::asio::ip::tcp::endpoint server,
                       ErrorCode failure)
    : impl_(std::make_shared<Impl>(io, std::move(server), failure)) {}

CallClient::~CallClient() {
  impl_->Stop();
}

void CallClient::Get(const std::string& target, Millis timeout, Done done) {
  OutgoingRequest call;
  call.target_ = target;
  impl_->Call(std::move(call), timeout, std::move(done));
}

void CallClient::Post(const std::string& target,
                      std::string body,
                      Millis timeout,
                      Done done) {
  Post(target, HeaderList(), std::move(body), timeout, std::move(done));
}

void CallClient::Post(const std::string& target,
                      HeaderList headers,
                      std::string body,
                      Millis timeout,
                      Done done) {
  OutgoingRequest call;
  call.method_ = "POST";
  call.target_ = target;
  call.headers_ = std::move(headers);
  call.body_ = std::move(body);
  impl_->Call(std::move(call), timeout, std::move(done));
}

}  // namespace bergamotscale::web
