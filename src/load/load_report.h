// The results of a load run by service class.
#ifndef BERGAMOTSCALE_SRC_LOAD_LOAD_REPORT_H_
#define BERGAMOTSCALE_SRC_LOAD_LOAD_REPORT_H_

#include <map>
#include <string>
#include <vector>

#include "bergamotscale/result.h"
#include "src/load/live_request.h"
#include "src/load/workload.h"

namespace bergamotscale::load {

// Percentiles of a sample, in milliseconds.
struct Percentiles {
  double p50_ = 0;
  double p95_ = 0;
  double p99_ = 0;
};

// @return the percentiles; all zero for an empty sample. Thread safety: safe.
Percentiles ComputePercentiles(std::vector<double> sample);

struct ClassReport {
  ClassId class_;
  Tier tier_ = Tier(1);
  int64_t arrivals_ = 0;
  int64_t whole_ = 0;
  int64_t wrong_ = 0;
  int64_t failed_ = 0;
  int64_t left_ = 0;
  // Complete responses within the targets of the class.
  int64_t attained_ = 0;
  // Fraction of arrivals that attained the targets, without those whose callers
  // disconnected.
  double attainment_ = 0;
  Percentiles first_token_;
  Percentiles between_tokens_;
  std::map<std::string, int64_t> refused_;  // by code
  Tokens delivered_;
};

struct LoadReport {
  uint64_t seed_ = 0;
  double seconds_ = 0;
  std::vector<ClassReport> classes_;
  // Tokens per second in complete responses.
  double goodput_ = 0;
  Tokens delivered_;
  // From the engines' journals; negative if unknown.
  Tokens written_ = Tokens(-1);

  // @return the fraction of written tokens that no caller received; negative if
  // written_ is unknown.
  double WastedShare() const;
};

// Thread safety of the functions below: safe.
LoadReport MakeReport(Mix mix,
                      const WorkloadOptions& options,
                      double seconds,
                      const std::vector<RequestResult>& results);

std::string FormatTable(const LoadReport& report);
std::string FormatJson(const LoadReport& report);

// @return the tokens of all executions in an engine's journal that started at
// or after this wall-clock time, or kProtocolError.
Result<Tokens> TokensWritten(const std::string& journal, Millis since);

}  // namespace bergamotscale::load

#endif  // BERGAMOTSCALE_SRC_LOAD_LOAD_REPORT_H_
