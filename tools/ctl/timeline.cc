#include <fstream>
#include <iostream>
#include <vector>

#include <gflags/gflags.h>

#include "src/http/client.h"
#include "src/timeline/event_json.h"
#include "src/timeline/report.h"
#include "tools/ctl/command.h"

DEFINE_string(output, "", "file to write; standard output if empty");

namespace bergamotscale::ctl {
namespace {

using timeline::Event;

constexpr Millis kTimeout = Millis(5000);
constexpr int kHttpOk = 200;
// Given in place of a request id, explains placement instead of a request.
constexpr char kPlacement[] = "placement";

Result<std::vector<Event>> FetchEvents(const std::string& url) {
  http::Call call;
  call.url_ = url + "/timeline";
  call.timeout_ = kTimeout;
  const Result<http::Reply> reply = http::CallAndWait(call);
  if (!reply.ok()) {
    return reply.error();
  }
  if (reply.value().status_ != kHttpOk) {
    return Error(ErrorCode::kUpstreamFailed, "no time line");
  }
  return timeline::ParseEvents(reply.value().body_);
}

// @return the merged events of all processes that respond. For any other, it
// prints the error and continues.
std::vector<Event> FetchMerged(const Arguments& urls) {
  std::vector<std::vector<Event>> timelines;
  for (const std::string& url : urls) {
    Result<std::vector<Event>> events = FetchEvents(url);
    if (events.ok()) {
      timelines.push_back(std::move(events).value());
    } else {
      std::cerr << url << ": " << events.error().Message() << "\n";
    }
  }
  return timeline::Merge(timelines);
}

}  // namespace

int RunTimeline(const Arguments& arguments) {
  if (arguments.empty()) {
    return FailUsage("timeline");
  }
  const std::string trace = timeline::ToChromeTrace(FetchMerged(arguments));
  if (FLAGS_output.empty()) {
    std::cout << trace << "\n";
    return kExitOk;
  }
  std::ofstream file(FLAGS_output);
  file << trace << "\n";
  return file.good() ? kExitOk : kExitFailed;
}

int RunExplain(const Arguments& arguments) {
  if (arguments.size() < 2) {
    return FailUsage("explain");
  }
  const Arguments urls(arguments.begin() + 1, arguments.end());
  const std::vector<Event> merged = FetchMerged(urls);
  std::cout << (arguments[0] == kPlacement
                    ? timeline::ExplainPlacement(merged)
                    : timeline::Explain(merged, RequestId(arguments[0])));
  return kExitOk;
}

}  // namespace bergamotscale::ctl
