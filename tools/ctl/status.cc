#include <iostream>
#include <sstream>

#include <nlohmann/json.hpp>

#include "src/http/client.h"
#include "tools/ctl/command.h"

namespace bergamotscale::ctl {
namespace {

constexpr Millis kTimeout = Millis(2000);
constexpr int kHttpOk = 200;
constexpr char kRevisionMetric[] = "config_revision";

Result<http::Reply> Get(const std::string& url) {
  http::Call call;
  call.url_ = url;
  call.timeout_ = kTimeout;
  return http::CallAndWait(call);
}

// @return the value of the revision metric; "-" if there is none.
std::string FindRevision(const std::string& metrics) {
  std::istringstream lines(metrics);
  std::string line;
  while (std::getline(lines, line)) {
    if (line.find(kRevisionMetric) != std::string::npos && line[0] != '#') {
      return line.substr(line.rfind(' ') + 1);
    }
  }
  return "-";
}

// @return the state of the placement lease, such as
// " lease entry-1 fence 12 (held)"; empty for a process that doesn't report it.
std::string DescribeLease(const std::string& url) {
  const Result<http::Reply> reply = Get(url + "/placement");
  if (!reply.ok() || reply.value().status_ != kHttpOk) {
    return "";
  }
  const auto state = nlohmann::json::parse(reply.value().body_, nullptr, false);
  if (!state.is_object()) {
    return "";
  }
  const std::string holder = state.value("holder", std::string());
  if (holder.empty()) {
    return " lease free";
  }
  return " lease " + holder + " fence " +
         std::to_string(state.value("fence", int64_t{0})) +
         (state.value("held", false) ? " (held)" : "");
}

bool PrintStatus(const std::string& url) {
  const Result<http::Reply> health = Get(url + "/healthz");
  if (!health.ok() || health.value().status_ != kHttpOk) {
    std::cout << url << " unreachable\n";
    return false;
  }
  const Result<http::Reply> ready = Get(url + "/readyz");
  const bool is_ready = ready.ok() && ready.value().status_ == kHttpOk;
  const Result<http::Reply> metrics = Get(url + "/metrics");
  std::cout << url << (is_ready ? " ready" : " not ready") << " revision "
            << (metrics.ok() ? FindRevision(metrics.value().body_) : "-")
            << DescribeLease(url) << "\n";
  return is_ready;
}

}  // namespace

int RunStatus(const Arguments& arguments) {
  if (arguments.empty()) {
    return FailUsage("status");
  }
  int exit_code = kExitOk;
  for (const std::string& url : arguments) {
    if (!PrintStatus(url)) {
      exit_code = kExitFailed;
    }
  }
  return exit_code;
}

}  // namespace bergamotscale::ctl
