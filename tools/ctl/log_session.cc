#include "tools/ctl/log_session.h"

#include <chrono>
#include <cstdint>
#include <thread>

#include <gflags/gflags.h>

DEFINE_string(log, "", "URL of the log service");
DEFINE_int32(timeout_ms, 8000, "how long to wait for the log service");

namespace bergamotscale::ctl {
namespace {

constexpr Millis kCallTimeout = Millis(3000);
constexpr std::chrono::milliseconds kPollInterval{5};
constexpr int64_t kNever = int64_t{1} << 52;

// This process is short-lived, so it leaves writing snapshots to the others.
config::ConfigFollowerOptions Options() {
  config::ConfigFollowerOptions options;
  options.max_snapshot_age_ = Millis(kNever);
  options.max_records_after_snapshot_ = kNever;
  return options;
}

}  // namespace

LogSession::LogSession()
    : client_(FLAGS_log, kCallTimeout), follower_(client_, Options(), {}) {
  follower_.Start();
}

Status LogSession::CatchUp() {
  const Clock clock = Clock::Steady();
  const Millis end = clock.Now() + Millis(FLAGS_timeout_ms);
  while (!follower_.caught_up()) {
    if (clock.Now() > end) {
      return Error(ErrorCode::kLogUnavailable, FLAGS_log);
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return Done{};
}

bool HasLog() {
  return !FLAGS_log.empty();
}

}  // namespace bergamotscale::ctl
