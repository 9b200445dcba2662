#include "src/gateway/upstream_set_impl.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

namespace bergamotscale::gateway {
namespace {

using boost::asio::ip::tcp;

// Connecting within a region takes a few milliseconds. A lost SYN is
// retransmitted only after a second, so waiting longer does not help.
constexpr Millis kConnectTimeout = Millis(400);
// An idle connection is dropped this long before the instance would close it,
// so that no request races with the close.
constexpr Millis kKeepAliveMargin = Millis(1'000);
// A dead idle connection goes unnoticed, so older ones are not reused.
constexpr Millis kMaxIdle = Millis(4'000);

}  // namespace

void UpstreamSet::Impl::Connect(const UpstreamKey& key,
                                bool force_new,
                                std::function<void(ConnectionResult)> done) {
  Instance* instance = Find(key);
  if (instance == nullptr) {
    PostResult(std::move(done),
               ConnectionResult{nullptr, false, false, "not listed"});
    return;
  }
  if (!force_new && UseIdle(instance, &done)) {
    return;
  }
  if (IsAtLimit() && !CloseOldestIdle()) {
    PostResult(std::move(done),
               ConnectionResult{nullptr, true, false, "at the limit"});
    return;
  }
  boost::system::error_code error;
  const auto address =
      boost::asio::ip::make_address_v4(instance->entry_.ip_, error);
  if (error) {
    PostResult(std::move(done),
               ConnectionResult{nullptr, false, false, "bad address"});
    return;
  }
  ++connections_opened_;
  const uint64_t number = static_cast<uint64_t>(connections_opened_);
  auto& connection = connecting_[number];
  connection = std::make_unique<web::ClientConnection>(
      io_, tcp::endpoint(address, instance->entry_.port_));
  connection->KeepWhileOpen(open_connections_);
  connection->Connect(
      kConnectTimeout,
      [weak = weak_from_this(), key, number,
       done = std::move(done)](const boost::system::error_code& failed) {
        if (const auto self = weak.lock()) {
          done(self->OnConnected(key, number, failed));
        }
      });
}

ConnectionResult UpstreamSet::Impl::OnConnected(
    const UpstreamKey& key,
    uint64_t number,
    const boost::system::error_code& failed) {
  const auto found = connecting_.find(number);
  ConnectionResult result;
  result.connection_ = std::move(found->second);
  connecting_.erase(found);
  result.connection_->set_opened_at(boot_.Now());
  if (failed) {
    result.connection_.reset();
    result.reason_ = failed.message();
    result.is_local_failure_ =
        failed == boost::system::errc::too_many_files_open ||
        failed == boost::system::errc::too_many_files_open_in_system ||
        failed == boost::system::errc::address_not_available ||
        failed == boost::system::errc::no_buffer_space ||
        failed == boost::system::errc::not_enough_memory;
    if (!result.is_local_failure_) {
      OnUnreachable(key);
    }
  }
  return result;
}

void UpstreamSet::Impl::ReturnConnection(
    const UpstreamKey& key,
    std::unique_ptr<web::ClientConnection> connection) {
  Instance* instance = Find(key);
  if (instance == nullptr || !IsOpen(*instance) || !connection->usable()) {
    return;
  }
  const Millis now = boot_.Now();
  Millis keep = kMaxIdle;
  if (connection->keep_alive() > Millis(0)) {
    keep = std::min(keep, connection->keep_alive() - kKeepAliveMargin);
  }
  if (keep <= Millis(0)) {
    return;
  }
  web::ClientConnection* raw = connection.get();
  instance->idle_.push_back({std::move(connection), now, now + keep});
  raw->WatchIdle([weak = weak_from_this(), key, raw] {
    if (const auto self = weak.lock()) {
      self->DropIdle(key, raw);
    }
  });
}

void UpstreamSet::Impl::CloseExpiredConnections() {
  const Millis now = boot_.Now();
  for (auto& [id, instance] : instances_) {
    auto& idle = instance.idle_;
    idle.erase(std::remove_if(idle.begin(), idle.end(),
                              [now](const IdleConnection& item) {
                                return now >= item.until_;
                              }),
               idle.end());
  }
}

bool UpstreamSet::Impl::HasFreeConnection() const {
  if (!IsAtLimit()) {
    return true;
  }
  return std::any_of(
      instances_.begin(), instances_.end(),
      [](const auto& item) { return !item.second.idle_.empty(); });
}

bool UpstreamSet::Impl::IsAtLimit() const {
  return static_cast<size_t>(open_connections_.use_count() - 1) >=
         max_connections_;
}

bool UpstreamSet::Impl::CloseOldestIdle() {
  Instance* oldest = nullptr;
  for (auto& [id, instance] : instances_) {
    if (!instance.idle_.empty() &&
        (oldest == nullptr ||
         instance.idle_.front().since_ < oldest->idle_.front().since_)) {
      oldest = &instance;
    }
  }
  if (oldest == nullptr) {
    return false;
  }
  oldest->idle_.pop_front();
  return true;
}

void UpstreamSet::Impl::PostResult(std::function<void(ConnectionResult)> done,
                                   ConnectionResult result) {
  auto shared = std::make_shared<ConnectionResult>(std::move(result));
  boost::asio::post(
      io_, [done = std::move(done), shared] { done(std::move(*shared)); });
}

bool UpstreamSet::Impl::UseIdle(Instance* instance,
                                std::function<void(ConnectionResult)>* done) {
  const Millis now = boot_.Now();
  while (!instance->idle_.empty()) {
    IdleConnection idle = std::move(instance->idle_.back());
    instance->idle_.pop_back();
    if (now < idle.until_ && idle.connection_->IsAlive()) {
      PostResult(std::move(*done), ConnectionResult{std::move(idle.connection_),
                                                    false, true, ""});
      return true;
    }
  }
  return false;
}

void UpstreamSet::Impl::DropIdle(const UpstreamKey& key,
                                 const web::ClientConnection* which) {
  Instance* instance = Find(key);
  if (instance == nullptr) {
    return;
  }
  auto& idle = instance->idle_;
  idle.erase(std::remove_if(idle.begin(), idle.end(),
                            [which](const IdleConnection& item) {
                              return item.connection_.get() == which;
                            }),
             idle.end());
}

}  // namespace bergamotscale::gateway
