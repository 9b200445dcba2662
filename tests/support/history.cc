#include "tests/support/history.h"

#include <algorithm>
#include <map>
#include <sstream>

#include <nlohmann/json.hpp>

namespace bergamotscale::tests {
namespace {

// The sends and executions of one order.
struct Order {
  std::vector<const Send*> sends_;
  std::vector<const Execution*> executions_;
};

using Orders = std::map<std::string, Order>;

Orders GroupByKey(const std::vector<Send>& sends,
                  const std::vector<Execution>& executions) {
  Orders orders;
  for (const Send& send : sends) {
    orders[send.key_].sends_.push_back(&send);
  }
  for (const Execution& execution : executions) {
    if (!execution.key_.empty()) {
      orders[execution.key_].executions_.push_back(&execution);
    }
  }
  for (auto& [key, order] : orders) {
    std::stable_sort(
        order.sends_.begin(), order.sends_.end(),
        [](const Send* a, const Send* b) { return a->sent_at_ < b->sent_at_; });
  }
  return orders;
}

class Checker {
 public:
  explicit Checker(const AnswerBelongs& belongs) : belongs_(belongs) {}

  void Check(const std::string& key, const Order& order) {
    key_ = key;
    CheckExecutions(order);
    CheckLastSend(order);
    CheckNotRun(order);
    CheckAnswers(order);
  }

  std::vector<Violation> violations_;

 private:
  void Add(Rule rule, const std::string& what) {
    violations_.push_back({rule, key_ + ": " + what});
  }

  void CheckExecutions(const Order& order) {
    if (order.executions_.size() < 2) {
      return;
    }
    std::string places;
    for (const Execution* execution : order.executions_) {
      places += " " + execution->upstream_ + "@" +
                std::to_string(execution->started_at_);
    }
    Add(Rule::kExecutedTwice, "executed" + places);
  }

  void CheckLastSend(const Order& order) {
    const bool open = !order.sends_.empty() &&
                      order.sends_.back()->result_ == SendResult::kUnanswered;
    if (open) {
      Add(Rule::kOpenEnd, "the last send has no answer");
    }
  }

  // "Not run" is false if the order had been executed before the response, if
  // this request was executed, or if no other send can have executed it.
  void CheckNotRun(const Order& order) {
    const bool all_not_run = std::all_of(
        order.sends_.begin(), order.sends_.end(), [](const Send* send) {
          return send->result_ == SendResult::kNotExecuted ||
                 send->this_send_not_run_;
        });
    const bool any_single_send =
        std::any_of(order.sends_.begin(), order.sends_.end(),
                    [](const Send* send) { return send->this_send_not_run_; });
    if (all_not_run && any_single_send && !order.executions_.empty()) {
      Add(Rule::kFalseNotRun,
          "each send was told of non-execution, but executed");
    }
    for (const Send* send : order.sends_) {
      if (send->result_ != SendResult::kNotExecuted) {
        continue;
      }
      for (const Execution* execution : order.executions_) {
        const bool executed_before = execution->started_at_ < send->ended_at_;
        const bool same = !send->request_id_.empty() &&
                          send->request_id_ == execution->request_id_;
        if (executed_before || same || all_not_run) {
          Add(Rule::kFalseNotRun, "told at " + std::to_string(send->ended_at_) +
                                      ", executed at " +
                                      std::to_string(execution->started_at_));
        }
      }
    }
  }

  void CheckAnswers(const Order& order) {
    const Send* first = nullptr;
    for (const Send* send : order.sends_) {
      if (send->result_ != SendResult::kAnswered) {
        continue;
      }
      if (order.executions_.empty()) {
        Add(Rule::kInventedAnswer, send->answer_);
      }
      if (!belongs_(*send)) {
        Add(Rule::kForeignAnswer, send->answer_);
      }
      if (first != nullptr && first->answer_ != send->answer_) {
        Add(Rule::kAnswersDiffer, first->answer_ + " and " + send->answer_);
      }
      first = first == nullptr ? send : first;
    }
  }

  const AnswerBelongs& belongs_;
  std::string key_;
};

}  // namespace

const char* RuleName(Rule rule) {
  switch (rule) {
    case Rule::kExecutedTwice:
      return "executed twice";
    case Rule::kOpenEnd:
      return "open end";
    case Rule::kFalseNotRun:
      return "false not run";
    case Rule::kForeignAnswer:
      return "foreign answer";
    case Rule::kAnswersDiffer:
      return "answers differ";
    case Rule::kInventedAnswer:
      return "invented answer";
  }
  return "unknown";
}

std::vector<Violation> CheckHistory(const std::vector<Send>& sends,
                                    const std::vector<Execution>& executions,
                                    const AnswerBelongs& belongs) {
  Checker checker(belongs);
  for (const auto& [key, order] : GroupByKey(sends, executions)) {
    checker.Check(key, order);
  }
  return checker.violations_;
}

std::vector<Execution> ParseJournal(const std::string& lines,
                                    const std::string& upstream) {
  std::vector<Execution> executions;
  // Execution numbers with their start times, since the last restart.
  std::map<int64_t, int64_t> starts;
  std::istringstream stream(lines);
  std::string text;
  while (std::getline(stream, text)) {
    const nlohmann::json line = nlohmann::json::parse(text, nullptr, false);
    if (!line.is_object()) {
      continue;  // incomplete, because the process was killed
    }
    const auto number = line.at("number").get<int64_t>();
    const auto start = line.at("start").get<int64_t>();
    const auto known = starts.find(number);
    if (known != starts.end() && known->second == start) {
      continue;
    }
    starts[number] = start;
    executions.push_back({line.at("key").get<std::string>(),
                          line.at("id").get<std::string>(), start, upstream,
                          line.at("digest").dump()});
  }
  return executions;
}

std::string Describe(const std::vector<Violation>& violations) {
  std::string text;
  for (const Violation& violation : violations) {
    text +=
        std::string(RuleName(violation.rule_)) + ": " + violation.what_ + "\n";
  }
  return text;
}

}  // namespace bergamotscale::tests
