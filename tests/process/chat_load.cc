#include "tests/process/chat_load.h"

#include <chrono>
#include <sstream>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "src/emulator/answer.h"
#include "src/http/client.h"

namespace bergamotscale::testing {
namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kReadinessInterval(100);
constexpr std::chrono::milliseconds kRetryDelay(200);
constexpr int kMaxPrinted = 10;

// Appends the text of server-sent events to the answer. Stops at an error
// event.
void ReadEventStream(const std::string& body, ChatAnswer* answer) {
  const std::string prefix = "data: ";
  std::istringstream lines(body);
  for (std::string line; std::getline(lines, line);) {
    if (line.rfind(prefix, 0) != 0) {
      continue;
    }
    const std::string data = line.substr(prefix.size());
    if (data == "[DONE]") {
      answer->complete_ = true;
      continue;
    }
    const json event = json::parse(data, nullptr, false);
    if (event.contains("error")) {
      return;
    }
    const json delta = event.value("/choices/0/delta"_json_pointer, json());
    if (delta.is_object()) {
      answer->text_ += delta.value("content", "");
    }
  }
}

void ReadResponse(const std::string& body, ChatAnswer* answer) {
  const json message = json::parse(body, nullptr, false);
  if (!message.is_object()) {
    return;
  }
  answer->text_ =
      message.value("/choices/0/message/content"_json_pointer, std::string());
  answer->complete_ = true;
}

// An incomplete response ends with the error, so messages show its last part.
std::string GetTail(const std::string& body) {
  constexpr size_t kTail = 300;
  return body.size() <= kTail ? body : body.substr(body.size() - kTail);
}

}  // namespace

std::string ChatContent(int number, int tokens) {
  return "keywords for image " + std::to_string(number) +
         " [tokens=" + std::to_string(tokens) + "]";
}

std::string ChatBody(const std::string& content, bool stream) {
  const json body = {{"model", Cluster::kModel},
                     {"stream", stream},
                     {"messages", {{{"role", "user"}, {"content", content}}}}};
  return body.dump();
}

std::string ExpectedText(const std::string& content) {
  return emulator::AnswerText(ModelId(Cluster::kModel),
                              emulator::JoinMessages({{"user", content}}),
                              Tokens(0));
}

ChatAnswer Chat(const std::string& entry_url,
                const std::string& content,
                bool stream,
                const std::string& key) {
  http::Call call;
  call.method_ = "POST";
  call.url_ = entry_url + "/v1/chat/completions";
  call.body_ = ChatBody(content, stream);
  call.headers_ = {
      {"Authorization", std::string("Bearer ") + Cluster::kWorkspaceKey}};
  if (!key.empty()) {
    call.headers_.push_back({"Idempotency-Key", key});
  }
  call.timeout_ = Millis(30000);
  ChatAnswer answer;
  const Result<http::Reply> reply = http::CallAndWait(call);
  if (!reply.ok()) {
    answer.body_ = reply.error().Message();
    return answer;
  }
  answer.status_ = reply.value().status_;
  answer.body_ = reply.value().body_;
  if (answer.status_ == 200 && stream) {
    ReadEventStream(answer.body_, &answer);
  } else if (answer.status_ == 200) {
    ReadResponse(answer.body_, &answer);
  }
  return answer;
}

bool IsCorrect(const ChatAnswer& answer, const std::string& content) {
  return answer.complete_ && answer.text_ == ExpectedText(content);
}

ChatLoad::ChatLoad(const Cluster& cluster, const LoadOptions& options)
    : cluster_(cluster), options_(options), ready_(cluster.entries()) {
  for (std::atomic<bool>& ready : ready_) {
    ready = true;
  }
  readiness_thread_ = std::thread([this] { PollReadiness(); });
  running_callers_ = options_.threads_;
  for (int i = 0; i < options_.threads_; ++i) {
    threads_.emplace_back([this] { RunCaller(); });
  }
}

ChatLoad::~ChatLoad() {
  Stop();
  Wait();
}

void ChatLoad::Wait() {
  for (std::thread& thread : threads_) {
    if (thread.joinable()) {
      thread.join();
    }
  }
  ended_ = true;
  if (readiness_thread_.joinable()) {
    readiness_thread_.join();
  }
}

void ChatLoad::RunCaller() {
  for (;;) {
    const int number = next_++;
    if (number >= options_.requests_ || stopped_) {
      break;
    }
    RunRequest(number);
  }
  --running_callers_;
}

void ChatLoad::RunRequest(int number) {
  const std::string content = ChatContent(number, options_.tokens_);
  for (int sent = 0; sent <= options_.max_retries_; ++sent) {
    const std::string entry_url = PickEntry(number + sent);
    const ChatAnswer answer = Chat(entry_url, content, number % 2 == 0);
    if (IsCorrect(answer, content)) {
      ++correct_;
      return;
    }
    if (answer.complete_) {
      ++wrong_;
      MESSAGE("wrong answer: " << answer.body_);
      return;
    }
    if (failed_ + retries_ < kMaxPrinted) {
      MESSAGE("failed attempt of request " << number << " at " << entry_url
                                           << ": status " << answer.status_
                                           << ": " << GetTail(answer.body_));
    }
    if (sent < options_.max_retries_) {
      ++retries_;
      std::this_thread::sleep_for(kRetryDelay);
    }
  }
  ++failed_;
}

void ChatLoad::PollReadiness() {
  while (!ended_) {
    for (size_t i = 0; i < ready_.size(); ++i) {
      http::Call call;
      call.url_ = cluster_.Url("entry-" + std::to_string(i + 1)) + "/readyz";
      call.timeout_ = Millis(1000);
      const Result<http::Reply> reply = http::CallAndWait(call);
      ready_[i] = reply.ok() && reply.value().status_ == 200;
    }
    std::this_thread::sleep_for(kReadinessInterval);
  }
}

std::string ChatLoad::PickEntry(int number) {
  if (options_.only_entry_ != 0) {
    return cluster_.Url("entry-" + std::to_string(options_.only_entry_));
  }
  const size_t count = ready_.size();
  for (size_t i = 0; i < count; ++i) {
    const size_t index = (static_cast<size_t>(number) + i) % count;
    if (ready_[index]) {
      return cluster_.Url("entry-" + std::to_string(index + 1));
    }
  }
  return cluster_.Url("entry-1");
}

LoadOptions MakeUnlimitedLoad(int tokens) {
  constexpr int kUnlimited = 1000000;
  LoadOptions options;
  options.requests_ = kUnlimited;
  options.threads_ = 16;
  options.tokens_ = tokens;
  return options;
}

void StopAndCheckAnswers(ChatLoad& load) {
  load.Stop();
  load.Wait();
  MESSAGE(load.correct() << " correct answers");
  CHECK(load.correct() > 0);
  CHECK(load.wrong() == 0);
  CHECK(load.failed() == 0);
}

}  // namespace bergamotscale::testing
