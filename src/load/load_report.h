// What a load run showed, by class.
#ifndef BERGAMOTSCALE_SRC_LOAD_LOAD_REPORT_H_
#define BERGAMOTSCALE_SRC_LOAD_LOAD_REPORT_H_

#include <map>
#include <string>
#include <vector>

#include "bergamotscale/result.h"
#include "src/load/live_request.h"
#include "src/load/workload.h"

namespace bergamotscale::load {

// Median and percentiles of a sample, in milliseconds.
struct Spread {
  double p50_ = 0;
  double p95_ = 0;
  double p99_ = 0;
};

// @return the spread; all zero for an empty sample. Thread safety: safe.
Spread SpreadOf(std::vector<double> sample);

struct ClassReport {
  ClassId class_;
  Tier tier_ = Tier(1);
  int64_t arrivals_ = 0;
  int64_t whole_ = 0;
  int64_t wrong_ = 0;
  int64_t failed_ = 0;
  int64_t left_ = 0;
  // Whole answers within the targets of the class.
  int64_t attained_ = 0;
  // Share of attained_ among the arrivals whose callers stayed.
  double attainment_ = 0;
  Spread first_token_;
  Spread between_tokens_;
  std::map<std::string, int64_t> refused_;  // by code
  Tokens delivered_;
};

struct LoadReport {
  uint64_t seed_ = 0;
  double seconds_ = 0;
  std::vector<ClassReport> classes_;
  // Tokens of whole answers a second.
  double goodput_ = 0;
  Tokens delivered_;
  // From the engines' journals; negative if they were not read.
  Tokens written_ = Tokens(-1);

  // @return the share of written tokens that no caller received, or a negative
  // number if written_ is not known.
  double WastedShare() const;
};

// Thread safety of all below: safe.
LoadReport MakeReport(Mix mix,
                      const WorkloadOptions& options,
                      double seconds,
                      const std::vector<RequestResult>& results);

std::string TableOf(const LoadReport& report);
std::string JsonOf(const LoadReport& report);

// @return the tokens of all executions in an engine's journal that started at
// or after a moment of the wall clock, or kProtocolError.
Result<Tokens> TokensWritten(const std::string& journal, Millis since);

}  // namespace bergamotscale::load

#endif  // BERGAMOTSCALE_SRC_LOAD_LOAD_REPORT_H_
