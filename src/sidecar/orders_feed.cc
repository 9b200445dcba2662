#include "src/sidecar/orders_feed.h"

#include <string>
#include <utility>

#include <boost/asio/post.hpp>

#include "src/log/stream_follower.h"

namespace bergamotscale::sidecar {

class OrdersFeed::Impl {
 public:
  Impl(boost::asio::io_context& io,
       log::LogClient& client,
       const orders::ExecutorOptions& options)
      : io_(io),
        client_(client),
        executor_(options,
                  Clock::Steady(),
                  Clock::Wall(),
                  [this](std::string payload, orders::AppendHook hook) {
                    Append(std::move(payload), std::move(hook));
                  }),
        follower_(client,
                  log::kOrdersStream,
                  log::FollowerOptions(),
                  FollowerHooks()) {}

  void Start() { follower_.Start(); }
  orders::OrderExecutor& executor() { return executor_; }
  bool caught_up() const { return follower_.caught_up(); }

 private:
  void Append(std::string payload, orders::AppendHook hook) {
    client_.Append(
        log::kOrdersStream, std::move(payload),
        // The response may arrive after this object is destroyed, so only the
        // context is captured.
        [io = &io_, hook = std::move(hook)](const Result<LogOffset>& result) {
          boost::asio::post(*io, [hook, result] { hook(result); });
        });
  }

  log::FollowerHooks FollowerHooks() {
    log::FollowerHooks hooks;
    hooks.on_record_ = [this](const log::Record& record) {
      boost::asio::post(io_, [this, record] {
        // Records before this one that are missing were deleted by the log's
        // retention.
        executor_.StartAt(record.offset_);
        executor_.OnRecord(record);
      });
    };
    hooks.on_records_expired_ = [this](LogOffset next) {
      boost::asio::post(io_, [this, next] { executor_.StartAt(next); });
    };
    return hooks;
  }

  boost::asio::io_context& io_;
  log::LogClient& client_;
  orders::OrderExecutor executor_;
  log::StreamFollower follower_;
};

OrdersFeed::OrdersFeed(boost::asio::io_context& io,
                       log::LogClient& client,
                       const orders::ExecutorOptions& options)
    : impl_(std::make_unique<Impl>(io, client, options)) {}

OrdersFeed::~OrdersFeed() = default;

void OrdersFeed::Start() {
  impl_->Start();
}

orders::OrderExecutor& OrdersFeed::executor() {
  return impl_->executor();
}

bool OrdersFeed::caught_up() const {
  return impl_->caught_up();
}

}  // namespace bergamotscale::sidecar
