// Chat requests whose answers are checked byte by byte.
#ifndef BERGAMOTSCALE_TESTS_PROCESS_CHAT_LOAD_H_
#define BERGAMOTSCALE_TESTS_PROCESS_CHAT_LOAD_H_

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "tests/process/cluster.h"

namespace bergamotscale::testing {

struct ChatAnswer {
  int status_ = 0;  // zero if there was no HTTP answer
  // Whether the answer has its end: [DONE] or a whole body.
  bool ended_ = false;
  std::string text_;
  std::string body_;
};

// @return the JSON body of a request whose answer has that many tokens.
std::string ChatBody(const std::string& content, bool stream);
// @return a content that no other call returns, with a length directive.
std::string ChatContent(int number, int tokens);
// @return what the answer to the content must be.
std::string ExpectedText(const std::string& content);
// Sends one request and waits for the answer.
// @param key makes an order of it, unless empty.
ChatAnswer Chat(const std::string& entry_url,
                const std::string& content,
                bool stream,
                const std::string& key = {});
// @return whether the answer is whole and right.
bool IsWhole(const ChatAnswer& answer, const std::string& content);

struct LoadOptions {
  int requests_ = 1000;
  int threads_ = 32;
  int tokens_ = 20;
  // Times that a caller sends a request again that was refused or broken.
  int resends_ = 0;
  // The number of the only entry that is used; zero for all.
  int only_entry_ = 0;
};

// Callers in threads of their own, each with one request at a time, half of
// them streaming. They use the entries that answer /readyz, as the platform's
// balancer does. Stop() or the end of the requests ends the load.
// Thread safety: safe.
class ChatLoad {
 public:
  ChatLoad(const Cluster& cluster, const LoadOptions& options);
  ~ChatLoad();
  ChatLoad(const ChatLoad&) = delete;
  ChatLoad& operator=(const ChatLoad&) = delete;

  // Lets requests in flight end and starts no more.
  void Stop() { stopped_ = true; }
  // Waits for the end.
  void Wait();
  bool running() const { return running_callers_ > 0; }

  int whole() const { return whole_; }
  // Answers with an end and another text than the prompt must yield.
  int wrong() const { return wrong_; }
  // Requests without an answer after all resends.
  int failed() const { return failed_; }
  int resent() const { return resent_; }

 private:
  void RunCaller();
  void RunRequest(int number);
  void FollowReadiness();
  std::string PickEntry(int number);

  const Cluster& cluster_;
  const LoadOptions options_;
  std::atomic<int> next_{0};
  std::atomic<int> running_callers_{0};
  std::atomic<int> whole_{0};
  std::atomic<int> wrong_{0};
  std::atomic<int> failed_{0};
  std::atomic<int> resent_{0};
  std::atomic<bool> stopped_{false};
  std::atomic<bool> ended_{false};
  std::vector<std::atomic<bool>> ready_;
  std::vector<std::thread> threads_;
  std::thread readiness_;
};

// @return a load that goes on until it is stopped, on 16 threads.
LoadOptions SteadyLoad(int tokens);

// Ends the load and checks that each of its answers was whole and right.
void CheckNothingLost(ChatLoad& load);

}  // namespace bergamotscale::testing

#endif  // BERGAMOTSCALE_TESTS_PROCESS_CHAT_LOAD_H_
