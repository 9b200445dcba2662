// Sends chat requests and compares the text of each answer with the expected
// one.
#ifndef BERGAMOTSCALE_TESTS_PROCESS_CHAT_LOAD_H_
#define BERGAMOTSCALE_TESTS_PROCESS_CHAT_LOAD_H_

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "tests/process/cluster.h"

namespace bergamotscale::testing {

struct ChatAnswer {
  int status_ = 0;  // zero if there was no HTTP response
  // Whether the answer is complete: a stream with [DONE], or a JSON body.
  bool complete_ = false;
  std::string text_;
  // The response's body, or the error if there was no response.
  std::string body_;
};

// @return the JSON body of a chat request with one message.
std::string ChatBody(const std::string& content, bool stream);
// @return the content of a message, different for each number. It makes the
// engine stand-in answer with that many tokens.
std::string ChatContent(int number, int tokens);
// @return the text with which the engine stand-in answers the content.
std::string ExpectedText(const std::string& content);
// Sends one chat request and waits for the answer.
// @param key if not empty, the request is an order with this idempotency key.
ChatAnswer Chat(const std::string& entry_url,
                const std::string& content,
                bool stream,
                const std::string& key = {});
// @return whether the answer is complete and has the expected text.
bool IsCorrect(const ChatAnswer& answer, const std::string& content);

struct LoadOptions {
  int requests_ = 1000;
  int threads_ = 32;
  int tokens_ = 20;  // in each answer
  // How often a caller retries a request that was refused or had an incomplete
  // answer.
  int max_retries_ = 0;
  // Number of the only entry that requests are sent to; zero for all entries.
  int only_entry_ = 0;
};

// Runs callers, each on its own thread and with one request at a time. Half of
// the requests are streaming. Like the platform's load balancer, callers use
// only entries that respond 200 to /readyz. The load ends after the last
// request or with Stop(). Thread safety: safe.
class ChatLoad {
 public:
  ChatLoad(const Cluster& cluster, const LoadOptions& options);
  ~ChatLoad();
  ChatLoad(const ChatLoad&) = delete;
  ChatLoad& operator=(const ChatLoad&) = delete;

  // Starts no more requests; those in flight continue.
  void Stop() { stopped_ = true; }
  // Waits until all callers have ended.
  void Wait();
  bool running() const { return running_callers_ > 0; }

  int correct() const { return correct_; }
  // Complete answers with another text than expected.
  int wrong() const { return wrong_; }
  // Requests without a complete answer after all retries.
  int failed() const { return failed_; }
  int retries() const { return retries_; }

 private:
  void RunCaller();
  void RunRequest(int number);
  void PollReadiness();
  std::string PickEntry(int number);

  const Cluster& cluster_;
  const LoadOptions options_;
  std::atomic<int> next_{0};
  std::atomic<int> running_callers_{0};
  std::atomic<int> correct_{0};
  std::atomic<int> wrong_{0};
  std::atomic<int> failed_{0};
  std::atomic<int> retries_{0};
  std::atomic<bool> stopped_{false};
  std::atomic<bool> ended_{false};
  std::vector<std::atomic<bool>> ready_;
  std::vector<std::thread> threads_;
  std::thread readiness_thread_;
};

// @return options for a load on 16 threads that runs until Stop().
LoadOptions MakeUnlimitedLoad(int tokens);

// Stops the load and checks that every request got a correct answer.
void StopAndCheckAnswers(ChatLoad& load);

}  // namespace bergamotscale::testing

#endif  // BERGAMOTSCALE_TESTS_PROCESS_CHAT_LOAD_H_
