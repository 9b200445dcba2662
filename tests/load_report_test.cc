// Tests the attainment, rejections and wasted tokens in load reports.
#include <doctest/doctest.h>

#include "src/load/load_report.h"

namespace bergamotscale::load {
namespace {

using emulator::Micros;

RequestResult ResultOf(const char* name, ResultKind kind, int64_t first_ms) {
  RequestResult result;
  result.class_ = ClassId(name);
  result.kind_ = kind;
  result.first_token_ = Micros(first_ms * 1000);
  result.last_token_ = result.first_token_ + Micros(100000);
  result.delivered_ = Tokens(11);  // 10 ms between tokens
  return result;
}

TEST_CASE("load report: only whole answers within targets attain") {
  std::vector<RequestResult> results = {
      ResultOf("suggestion", ResultKind::kComplete, 100),
      ResultOf("suggestion", ResultKind::kComplete, 90000),
      ResultOf("suggestion", ResultKind::kFailed, 100),
      ResultOf("suggestion", ResultKind::kCallerLeft, 100),
      ResultOf("bulk", ResultKind::kComplete, 100)};
  results.push_back(ResultOf("suggestion", ResultKind::kRefused, 0));
  results.back().code_ = "overloaded";
  results.back().delivered_ = Tokens(0);
  LoadReport report =
      MakeReport(Mix::kTagworks, WorkloadOptions{}, 10, results);
  const ClassReport& quick = report.classes_.front();
  CHECK(quick.arrivals_ == 5);
  CHECK(quick.attained_ == 1);
  CHECK(quick.attainment_ == doctest::Approx(0.25));
  CHECK(quick.refused_.at("overloaded") == 1);
  CHECK(report.goodput_ == doctest::Approx(3.3));
  report.written_ = Tokens(110);
  CHECK(report.WastedShare() == doctest::Approx(0.5));
}

TEST_CASE("load report: tokens written since a time; a bad line is an error") {
  const std::string journal =
      "{\"start\":5,\"tokens\":7}\n{\"start\":10,\"tokens\":3}\n";
  CHECK(TokensWritten(journal, Millis(0)).value() == Tokens(10));
  CHECK(TokensWritten(journal, Millis(6)).value() == Tokens(3));
  CHECK(!TokensWritten(journal + "{}\n", Millis(0)).ok());
}

TEST_CASE("load report: percentiles") {
  std::vector<double> sample;
  for (int i = 100; i >= 1; --i) {
    sample.push_back(i);
  }
  CHECK(ComputePercentiles(sample).p50_ == 50);
  CHECK(ComputePercentiles(sample).p99_ == 99);
  CHECK(ComputePercentiles({}).p99_ == 0);
}

}  // namespace
}  // namespace bergamotscale::load
