#include "standins/engine/engine_runner.h"

#include <atomic>
#include <chrono>
#include <set>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace bergamotscale::standins {

using emulator::EngineEvent;
using emulator::EngineEventType;
using emulator::Micros;
using emulator::SequenceId;

class EngineRunner::Impl {
 public:
  Impl(const emulator::EngineParameters& parameters,
       std::function<void()> on_crash)
      : on_crash_(std::move(on_crash)),
        start_(std::chrono::steady_clock::now()),
        model_(parameters),
        work_(context_.get_executor()),
        timer_(context_),
        thread_([this] { context_.run(); }) {}

  ~Impl() {
    context_.stop();
    thread_.join();
  }

  // Runs `task` on the runner's thread after advancing the model.
  void Post(std::function<void(Micros)> task) {
    boost::asio::post(context_, [this, task = std::move(task)] {
      const Micros now = Now();
      Advance(now);
      task(now);
      SetTimer();
    });
  }

  void Add(const emulator::EngineRequest& request,
           SequenceHooks hooks,
           Micros now) {
    if (model_.Submit(request, now)) {
      hooks_[request.id_] = std::move(hooks);
    }
  }

  void Drop(SequenceId id, Micros now) {
    model_.Cancel(id, now);
    hooks_.erase(id);
  }

  emulator::EngineModel& model() { return model_; }
  SequenceId NextId() { return SequenceId(++last_id_); }

 private:
  Micros Now() const {
    const auto passed = std::chrono::steady_clock::now() - start_;
    return Micros(
        std::chrono::duration_cast<std::chrono::microseconds>(passed).count());
  }

  void Advance(Micros now) {
    std::vector<EngineEvent> events;
    model_.Advance(now, &events);
    std::set<SequenceId> touched;
    for (const EngineEvent& event : events) {
      if (event.type_ == EngineEventType::kCrashed) {
        on_crash_();
        return;
      }
      Dispatch(event, &touched);
    }
    for (const SequenceId id : touched) {
      const auto found = hooks_.find(id);
      if (found != hooks_.end()) {
        found->second.on_batch_end_();
      }
    }
  }

  void Dispatch(const EngineEvent& event, std::set<SequenceId>* touched) {
    const auto found = hooks_.find(event.id_);
    if (found == hooks_.end()) {
      return;
    }
    if (event.type_ == EngineEventType::kToken) {
      found->second.on_token_(event.index_, event.cached_tokens_);
      touched->insert(event.id_);
    } else if (event.type_ == EngineEventType::kFinished) {
      found->second.on_finished_();
      hooks_.erase(found);
    }
  }

  void SetTimer() {
    const std::optional<Micros> next = model_.NextEventTime();
    if (!next.has_value()) {
      timer_.cancel();
      return;
    }
    timer_.expires_at(start_ + std::chrono::microseconds(next->count()));
    timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        Advance(Now());
        SetTimer();
      }
    });
  }

  std::function<void()> on_crash_;
  std::chrono::steady_clock::time_point start_;
  emulator::EngineModel model_;
  std::unordered_map<SequenceId, SequenceHooks> hooks_;
  std::atomic<int64_t> last_id_{0};
  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  boost::asio::steady_timer timer_;
  std::thread thread_;
};

EngineRunner::EngineRunner(const emulator::EngineParameters& parameters,
                           std::function<void()> on_crash)
    : impl_(std::make_unique<Impl>(parameters, std::move(on_crash))) {}

EngineRunner::~EngineRunner() = default;

SequenceId EngineRunner::NextId() {
  return impl_->NextId();
}

void EngineRunner::Submit(const emulator::EngineRequest& request,
                          SequenceHooks hooks) {
  impl_->Post([this, request, hooks = std::move(hooks)](Micros now) {
    impl_->Add(request, hooks, now);
  });
}

void EngineRunner::Cancel(SequenceId id) {
  impl_->Post([this, id](Micros now) { impl_->Drop(id, now); });
}

void EngineRunner::Post(ModelTask task) {
  impl_->Post([this, task = std::move(task)](Micros now) {
    task(impl_->model(), now);
  });
}

}  // namespace bergamotscale::standins
