#include "src/entry/crash_report.h"

namespace bergamotscale::entry {
namespace {

policy::CrashRecord RecordOf(const CrashReport& report) {
  const policy::QuarantineOptions lifetimes;
  policy::CrashRecord record;
  record.digest_ = report.digest_;
  record.crashes_ = report.crashes_;
  record.blocked_ = report.crashes_ > 1;
  record.expires_in_ = record.blocked_ ? lifetimes.block_retention_
                                       : lifetimes.suspect_retention_;
  if (!report.sidecars_.empty()) {
    record.source_ = policy::ComputeCrashSourceId(report.sidecars_.back());
  }
  return record;
}

}  // namespace

bool IsCrash(const FailedCalls& calls) {
  return !calls.upstream_responds_ || calls.calls_with_upstream_up_ > 1;
}

void ReportCrash(TrafficContext& traffic, const CrashReport& report) {
  const bool changed =
      traffic.quarantine_.Merge(RecordOf(report), traffic.steady_.Now());
  if (changed) {
    traffic.upstreams_.SendGossip();
  }
}

}  // namespace bergamotscale::entry
