// A TCP relay for tests whose connections can be closed or frozen.
#ifndef BERGAMOTSCALE_TESTS_SUPPORT_RELAY_H_
#define BERGAMOTSCALE_TESTS_SUPPORT_RELAY_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_set>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "src/link/link.h"
#include "tests/support/silent_socket.h"

namespace bergamotscale::testing {

inline constexpr size_t kRelayBytes = size_t{64} * 1024;

// Relays between callers and one target. A frozen connection stays open on both
// sides, but no more data is relayed.
// Thread safety: Cut, Freeze, DropAllPackets and FreezeNew may be called on any
// thread.
class Relay {
 public:
  using Tcp = boost::asio::ip::tcp;
  using AsioError = boost::system::error_code;

  // Starts listening on the given port of 127.0.0.1; zero for a free port.
  Relay(boost::asio::io_context& io, link::Endpoint target, uint16_t port = 0)
      : core_(std::make_shared<Core>(io, std::move(target), port)) {
    core_->AcceptNext();
  }
  ~Relay() {
    boost::asio::post(core_->io_, [core = core_] {
      AsioError ignored;
      core->acceptor_.close(ignored);
      core->Cut();
    });
  }
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  link::Endpoint endpoint() const { return {"127.0.0.1", core_->port_}; }
  // Closes the current connections.
  void Cut() {
    boost::asio::post(core_->io_, [core = core_] { core->Cut(); });
  }
  // Freezes the current connections permanently; new ones work.
  void Freeze() {
    boost::asio::post(core_->io_, [core = core_] { core->Freeze(); });
  }
  // Like Freeze(), but both ends also get no more acknowledgements.
  void DropAllPackets() {
    boost::asio::post(core_->io_, [core = core_] { core->DropAllPackets(); });
  }
  // Sets whether connections accepted from now on are frozen too.
  void FreezeNew(bool freeze) {
    boost::asio::post(core_->io_,
                      [core = core_, freeze] { core->freeze_new_ = freeze; });
  }

 private:
  struct Pair {
    explicit Pair(Tcp::socket caller, boost::asio::io_context& io)
        : caller_(std::move(caller)), target_(io) {}
    void Close() {
      AsioError ignored;
      caller_.close(ignored);
      target_.close(ignored);
    }
    Tcp::socket caller_;
    Tcp::socket target_;
    std::array<char, kRelayBytes> to_target_;
    std::array<char, kRelayBytes> to_caller_;
    bool frozen_ = false;
  };

  struct Core : std::enable_shared_from_this<Core> {
    Core(boost::asio::io_context& io, link::Endpoint target, uint16_t port)
        : io_(io),
          target_(std::move(target)),
          acceptor_(
              io,
              Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), port)),
          port_(acceptor_.local_endpoint().port()) {}

    void AcceptNext() {
      acceptor_.async_accept([self = shared_from_this()](AsioError error,
                                                         Tcp::socket socket) {
        if (error) {
          return;
        }
        self->OnAccepted(std::make_shared<Pair>(std::move(socket), self->io_));
        self->AcceptNext();
      });
    }

    void OnAccepted(const std::shared_ptr<Pair>& pair) {
      pairs_.insert(pair);
      pair->frozen_ = freeze_new_;
      if (pair->frozen_) {
        return;
      }
      const Tcp::endpoint target(
          boost::asio::ip::make_address(target_.address_), target_.port_);
      pair->target_.async_connect(
          target, [self = shared_from_this(), pair](AsioError error) {
            if (error) {
              self->Drop(pair);
              return;
            }
            self->RelayData(pair, &pair->caller_, &pair->target_,
                            &pair->to_target_);
            self->RelayData(pair, &pair->target_, &pair->caller_,
                            &pair->to_caller_);
          });
    }

    void RelayData(const std::shared_ptr<Pair>& pair,
                   Tcp::socket* from,
                   Tcp::socket* to,
                   std::array<char, kRelayBytes>* buffer) {
      from->async_read_some(
          boost::asio::buffer(*buffer),
          [self = shared_from_this(), pair, from, to, buffer](AsioError error,
                                                              size_t count) {
            if (pair->frozen_) {
              return;
            }
            if (error) {
              self->Drop(pair);
              return;
            }
            boost::asio::async_write(
                *to, boost::asio::buffer(buffer->data(), count),
                [self, pair, from, to, buffer](AsioError failure, size_t) {
                  if (failure) {
                    self->Drop(pair);
                  } else if (!pair->frozen_) {
                    self->RelayData(pair, from, to, buffer);
                  }
                });
          });
    }

    void Drop(const std::shared_ptr<Pair>& pair) {
      if (!pair->frozen_) {
        pair->Close();
        pairs_.erase(pair);
      }
    }

    void Cut() {
      for (const auto& pair : std::exchange(pairs_, {})) {
        pair->Close();
      }
    }

    void Freeze() {
      for (const auto& pair : pairs_) {
        pair->frozen_ = true;
      }
    }

    void DropAllPackets() {
      Freeze();
      for (const auto& pair : pairs_) {
        LosePackets(pair->caller_.native_handle());
        LosePackets(pair->target_.native_handle());
      }
    }

    boost::asio::io_context& io_;
    const link::Endpoint target_;
    Tcp::acceptor acceptor_;
    const uint16_t port_;
    std::unordered_set<std::shared_ptr<Pair>> pairs_;
    bool freeze_new_ = false;
  };

  std::shared_ptr<Core> core_;
};

}  // namespace bergamotscale::testing

#endif  // BERGAMOTSCALE_TESTS_SUPPORT_RELAY_H_
