#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "src/orders/order_executor.h"
#include "tests/property.h"

namespace bergamotscale::orders {
namespace {

constexpr int kExecutors = 3;
constexpr int kKeys = 4;
constexpr int kSteps = 1500;

enum class Safeguard {
  kClaims,
  kNone,
  // Executes when the append succeeds, without reading the claim back.
  kAppendResponseOnly,
  // Executes the order even if the log is unavailable.
  kExecuteWithoutLog,
};

// An in-memory log service in which appends and their responses randomly fail
// or are delayed.
class FakeLog {
 public:
  explicit FakeLog(std::mt19937_64& random) : random_(random) {}

  void Append(const std::string& payload, AppendHook hook) {
    pending_.push_back([this, payload, hook] { Settle(payload, hook); });
  }

  // Completes one random pending operation.
  void Step() {
    if (pending_.empty()) {
      return;
    }
    const size_t chosen = random_() % pending_.size();
    const auto next = pending_[chosen];
    pending_.erase(pending_.begin() + static_cast<int64_t>(chosen));
    next();
  }

  const std::vector<log::Record>& records() const { return records_; }
  void set_faulty(bool faulty) { faulty_ = faulty; }
  bool is_idle() const { return pending_.empty(); }

 private:
  void Settle(const std::string& payload, const AppendHook& hook) {
    switch (faulty_ ? random_() % 5 : 0) {
      case 0:
      case 1:
        hook(AppendRecord(payload));
        return;
      case 2:
        hook(Error(ErrorCode::kLogUnavailable));
        return;
      case 3:
        AppendRecord(payload);
        hook(Error(ErrorCode::kLogOutcomeUnknown));
        return;
      default:
        hook(Error(ErrorCode::kLogOutcomeUnknown));
        pending_.push_back([this, payload] { AppendRecord(payload); });
    }
  }

  LogOffset AppendRecord(const std::string& payload) {
    const LogOffset offset(static_cast<int64_t>(records_.size()));
    records_.push_back(log::Record{offset, payload});
    return offset;
  }

  std::mt19937_64& random_;
  std::vector<std::function<void()>> pending_;
  std::vector<log::Record> records_;
  bool faulty_ = true;
};

// The result of sending an order once.
struct Send {
  int key_ = 0;
  bool executed_ = false;
  bool refused_not_run_ = false;
  std::string answer_;
};

// Several executors on one log, with random sends, pauses and restarts.
class Simulation {
 public:
  Simulation(uint64_t seed, Safeguard safeguard)
      : random_(seed), log_(random_), safeguard_(safeguard) {
    for (int index = 0; index < kExecutors; ++index) {
      nodes_.emplace_back();
      Restart(index);
    }
  }

  void Run() {
    for (int step = 0; step < kSteps; ++step) {
      Step();
    }
    log_.set_faulty(false);
    for (int step = 0; step < kSteps; ++step) {
      now_ += Millis(50);
      Settle();
    }
  }

  int Executions(int key) const {
    const auto found = executions_.find(key);
    return found == executions_.end() ? 0 : found->second;
  }
  const std::vector<std::shared_ptr<Send>>& sends() const { return sends_; }
  const std::map<int, std::string>& answers() const { return answers_; }

 private:
  struct Node {
    std::unique_ptr<OrderExecutor> executor_;
    size_t read_ = 0;
    bool paused_ = false;
    std::vector<std::function<void()>> running_;
  };

  void Restart(int index) {
    Node& node = nodes_[index];
    ExecutorOptions options;
    options.boot_id_ = "boot" + std::to_string(++boots_);
    options.claim_timeout_ =
        Millis(100 + static_cast<int64_t>(random_() % 1000));
    options.outcome_wait_ = Millis(300);
    const auto now = [this] { return now_; };
    node.running_.clear();
    node.read_ = 0;
    node.paused_ = false;
    node.executor_ = std::make_unique<OrderExecutor>(
        options, Clock(now), Clock(now),
        [this](const std::string& payload, const AppendHook& hook) {
          log_.Append(payload, hook);
        });
  }

  void Step() {
    now_ += Millis(static_cast<int64_t>(random_() % 30));
    const int index = static_cast<int>(random_() % kExecutors);
    Node& node = nodes_[index];
    switch (random_() % 12) {
      case 0:
        SendOrder(node);
        return;
      case 1:
        node.paused_ = !node.paused_;
        return;
      case 2:
        if (random_() % 16 == 0) {
          Restart(index);
        }
        return;
      case 3:
        FinishOne(node);
        return;
      default:
        RunTurn(node);
        log_.Step();
    }
  }

  void Settle() {
    for (Node& node : nodes_) {
      node.paused_ = false;
      RunTurn(node);
      FinishOne(node);
      log_.Step();
    }
  }

  void RunTurn(Node& node) {
    if (node.paused_) {
      return;
    }
    if (random_() % 2 == 0) {
      node.executor_->Tick();
    }
    if (node.read_ < log_.records().size()) {
      node.executor_->OnRecord(log_.records()[node.read_++]);
    }
  }

  void SendOrder(Node& node) {
    if (node.paused_) {
      return;
    }
    auto send = std::make_shared<Send>();
    send->key_ = static_cast<int>(random_() % kKeys);
    sends_.push_back(send);
    if (safeguard_ == Safeguard::kNone) {
      Execute(*send);
      return;
    }
    if (safeguard_ == Safeguard::kAppendResponseOnly) {
      log_.Append("claim", [this, send](const Result<LogOffset>& result) {
        if (result.ok()) {
          Execute(*send);
        }
      });
      return;
    }
    const OrderKey key{WorkspaceId("w"),
                       IdempotencyKey(std::to_string(send->key_))};
    OrderExecutor* executor = node.executor_.get();
    OrderHooks hooks;
    hooks.execute_ = [this, &node, executor, send](const ClaimId& claim) {
      node.running_.push_back(
          [this, executor, send, claim] { Finish(executor, *send, claim); });
    };
    hooks.replay_ = [send](const Outcome& outcome) {
      send->answer_ = outcome.body_;
    };
    hooks.refuse_ = [this, send](const Error& error, Verdict verdict) {
      send->refused_not_run_ = verdict == Verdict::kNotExecuted;
      if (safeguard_ == Safeguard::kExecuteWithoutLog &&
          error.code_ == ErrorCode::kLogUnavailable) {
        Execute(*send);
      }
    };
    const AttemptHandle handle = executor->Begin(key, 1, hooks);
    if (random_() % 6 == 0) {
      executor->CancelAttempt(handle);
    }
  }

  // The upstream refuses some requests without executing them.
  void Finish(OrderExecutor* executor, Send& send, const ClaimId& claim) {
    if (random_() % 4 == 0) {
      executor->Release(claim);
      send.refused_not_run_ = true;
      return;
    }
    Execute(send);
    Outcome outcome;
    outcome.body_ = send.answer_;
    executor->Complete(claim, outcome);
  }

  void Execute(Send& send) {
    send.executed_ = true;
    send.answer_ = "answer " + std::to_string(++answer_count_);
    ++executions_[send.key_];
    answers_[send.key_] = send.answer_;
  }

  void FinishOne(Node& node) {
    if (node.paused_ || node.running_.empty()) {
      return;
    }
    const auto finish = node.running_.back();
    node.running_.pop_back();
    finish();
  }

  std::mt19937_64 random_;
  Millis now_ = Millis(1000);
  FakeLog log_;
  Safeguard safeguard_;
  std::vector<Node> nodes_;
  int boots_ = 0;
  int answer_count_ = 0;
  std::vector<std::shared_ptr<Send>> sends_;
  std::map<int, int> executions_;
  std::map<int, std::string> answers_;
};

int KeysExecutedTwice(Safeguard safeguard) {
  Simulation simulation(1, safeguard);
  simulation.Run();
  int twice = 0;
  for (int key = 0; key < kKeys; ++key) {
    twice += simulation.Executions(key) > 1 ? 1 : 0;
  }
  return twice;
}

}  // namespace

TEST_CASE("order executor: random faults never execute an order twice") {
  testing::CheckProperty("at most once", [](uint64_t seed) {
    Simulation simulation(seed, Safeguard::kClaims);
    simulation.Run();
    for (int key = 0; key < kKeys; ++key) {
      RC_ASSERT(simulation.Executions(key) <= 1);
    }
    for (const auto& send : simulation.sends()) {
      RC_ASSERT(!(send->executed_ && send->refused_not_run_));
      if (!send->answer_.empty()) {
        RC_ASSERT(send->answer_ == simulation.answers().at(send->key_));
      }
    }
  });
}

TEST_CASE("order executor: without claims the random faults do execute twice") {
  CHECK(KeysExecutedTwice(Safeguard::kNone) > 0);
}

TEST_CASE("order executor: an append's answer alone permits two executions") {
  CHECK(KeysExecutedTwice(Safeguard::kAppendResponseOnly) > 0);
}

TEST_CASE("order executor: running without the log permits two executions") {
  CHECK(KeysExecutedTwice(Safeguard::kExecuteWithoutLog) > 0);
}

TEST_CASE("order executor: most orders do run under the random faults") {
  int ran = 0;
  for (uint64_t seed = 0; seed < 20; ++seed) {
    Simulation simulation(seed, Safeguard::kClaims);
    simulation.Run();
    for (int key = 0; key < kKeys; ++key) {
      ran += simulation.Executions(key);
    }
  }
  CHECK(ran > 20 * kKeys / 2);
}

}  // namespace bergamotscale::orders
