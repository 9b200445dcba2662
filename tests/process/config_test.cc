// Publication of configurations by separate bergamotctl processes, with the log
// stand-in as a process.
#include <algorithm>
#include <string>
#include <utility>

#include <doctest/doctest.h>
#include <boost/process.hpp>

#include "tests/support/child_process.h"

namespace bergamotscale::tests {
namespace {

namespace bp = boost::process;

constexpr int kSeeds = 20;
constexpr int kAcceptedExitCode = 0;
constexpr int kConflictExitCode = 3;

std::string Binary(const char* name) {
  return std::string(BERGAMOTSCALE_BIN_DIR) + "/" + name;
}

std::string Example(const char* name) {
  return std::string(BERGAMOTSCALE_EXAMPLES_DIR) + "/" + name;
}

bp::child Publish(const std::string& file, const std::string& log, int base) {
  return bp::child(Binary("bergamotctl"), "publish", Example(file.c_str()),
                   "--log=" + log, "--base=" + std::to_string(base),
                   bp::std_out > bp::null, bp::std_err > bp::null);
}

int ExitCodeOf(bp::child child) {
  child.wait();
  return child.exit_code();
}

// A log stand-in that drops records after the retention time.
struct Log {
  explicit Log(const std::string& retention_ms = "3600000")
      : port_(FreePort()),
        process_(folder_,
                 "fake_log",
                 "log",
                 "{\"port\":" + std::to_string(port_) +
                     ",\"retention_ms\":" + retention_ms + "}"),
        url_("http://127.0.0.1:" + std::to_string(port_)) {}
  ScratchFolder folder_;
  uint16_t port_;
  ChildProcess process_;
  std::string url_;
};

TEST_CASE("config processes: of two publishers exactly one is accepted") {
  Log log;
  REQUIRE(WaitUntilOk(log.url_ + "/healthz"));
  for (int seed = 0; seed < kSeeds; ++seed) {
    bp::child first = Publish("hanbit_tagworks.json", log.url_, seed);
    bp::child second = Publish("plygu_ffliw.json", log.url_, seed);
    const int one = ExitCodeOf(std::move(first));
    const int two = ExitCodeOf(std::move(second));
    CAPTURE(seed);
    CHECK(std::min(one, two) == kAcceptedExitCode);
    CHECK(std::max(one, two) == kConflictExitCode);
  }
}

TEST_CASE(
    "config processes: a document is restored after all records expired") {
  Log log("3000");
  REQUIRE(WaitUntilOk(log.url_ + "/healthz"));
  REQUIRE(ExitCodeOf(Publish("hanbit_tagworks.json", log.url_, 0)) ==
          kAcceptedExitCode);
  std::this_thread::sleep_for(std::chrono::milliseconds(3300));
  const auto restore = [&](const std::string& revision) {
    return ExitCodeOf(bp::child(
        Binary("bergamotctl"), "restore", Example("plygu_ffliw.json"),
        "--log=" + log.url_, "--revision=" + revision, "--timeout_ms=300",
        bp::std_out > bp::null, bp::std_err > bp::null));
  };
  CHECK(restore("9") == kAcceptedExitCode);
  // The stream shows the restored revision, so a publication based on it is
  // accepted.
  CHECK(ExitCodeOf(Publish("hanbit_tagworks.json", log.url_, 9)) ==
        kAcceptedExitCode);
}

}  // namespace
}  // namespace bergamotscale::tests
