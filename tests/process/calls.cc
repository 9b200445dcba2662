#include "tests/process/calls.h"

#include <doctest/doctest.h>

#include "src/http/client.h"
#include "tests/process/chat_load.h"

namespace bergamotscale::testing {

std::string Send(const Cluster& cluster, const TestRequest& request) {
  http::Call call;
  call.method_ = "POST";
  call.url_ = cluster.Url(request.entry_) + request.path_;
  call.body_ = request.body_;
  call.timeout_ = Millis(30000);
  call.headers_ = {{"Authorization", "Bearer " + request.workspace_key_}};
  if (!request.class_.empty()) {
    call.headers_.push_back({"X-Service-Class", request.class_});
  }
  if (!request.idempotency_key_.empty()) {
    call.headers_.push_back({"Idempotency-Key", request.idempotency_key_});
  }
  const Result<http::Reply> reply = http::CallAndWait(call);
  if (!reply.ok()) {
    return reply.error().Message();
  }
  const int status = reply.value().status_;
  const std::string body = status == 200 ? "" : " " + reply.value().body_;
  return std::to_string(status) + body;
}

std::string RawChat(const std::string& content,
                    const std::string& idempotency_key,
                    const std::string& service_class) {
  const std::string body = ChatBody(content, /*stream=*/true);
  std::string optional;
  if (!idempotency_key.empty()) {
    optional += "Idempotency-Key: " + idempotency_key + "\r\n";
  }
  if (!service_class.empty()) {
    optional += "X-Service-Class: " + service_class + "\r\n";
  }
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"
         "Authorization: Bearer " +
         std::string(Cluster::kWorkspaceKey) + "\r\n" + optional +
         "Content-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

void PostFaults(const Cluster& cluster,
                const std::string& name,
                const std::string& faults) {
  http::Call call;
  call.method_ = "POST";
  call.url_ = cluster.Url(name) + "/faults";
  call.body_ = faults;
  const Result<http::Reply> reply = http::CallAndWait(call);
  REQUIRE(reply.ok());
  REQUIRE(reply.value().status_ == 200);
}

int CountExecutions(const Cluster& cluster,
                    int engines,
                    const std::string& key) {
  int executions = 0;
  for (int number = 1; number <= engines; ++number) {
    for (const auto& record :
         cluster.FetchJournal("engine-" + std::to_string(number))) {
      executions += record.value("key", std::string()) == key ? 1 : 0;
    }
  }
  return executions;
}

int FindRunningEngine(const Cluster& cluster, int engines) {
  for (int number = 1; number <= engines; ++number) {
    for (const auto& record :
         cluster.FetchJournal("engine-" + std::to_string(number))) {
      if (record["outcome"] == "running") {
        return number;
      }
    }
  }
  return 0;
}

int WaitForRunningEngine(const Cluster& cluster, int engines) {
  int number = 0;
  WaitUntil([&] { return (number = FindRunningEngine(cluster, engines)) != 0; },
            std::chrono::milliseconds(5000));
  return number;
}

}  // namespace bergamotscale::testing
