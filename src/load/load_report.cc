#include "src/load/load_report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <sstream>

#include <nlohmann/json.hpp>

namespace bergamotscale::load {
namespace {

using emulator::Micros;
using nlohmann::json;

constexpr double kMicrosPerMilli = 1000;
constexpr double kPercent = 100;

double MicrosToMillis(Micros time) {
  return static_cast<double>(time.count()) / kMicrosPerMilli;
}

double Quantile(const std::vector<double>& sorted, double share) {
  const auto rank = static_cast<size_t>(
      std::ceil(share * static_cast<double>(sorted.size())));
  return sorted[std::max<size_t>(rank, 1) - 1];
}

// @return the mean inter-token latency in milliseconds.
double MeanInterTokenMillis(const RequestResult& result) {
  const int64_t gaps = result.delivered_.count() - 1;
  if (gaps < 1) {
    return 0;
  }
  return MicrosToMillis(result.last_token_ - result.first_token_) /
         static_cast<double>(gaps);
}

bool MeetsTargets(const ClassProfile& profile, const RequestResult& result) {
  const auto first = static_cast<double>(profile.first_token_target_.count());
  const auto between =
      static_cast<double>(profile.between_tokens_target_.count());
  return result.kind_ == ResultKind::kComplete &&
         MicrosToMillis(result.first_token_) <= first &&
         MeanInterTokenMillis(result) <= between;
}

void CountResult(const ClassProfile& profile,
                 const RequestResult& result,
                 ClassReport* report) {
  ++report->arrivals_;
  report->delivered_ += result.delivered_;
  report->whole_ += result.kind_ == ResultKind::kComplete ? 1 : 0;
  report->wrong_ += result.kind_ == ResultKind::kWrong ? 1 : 0;
  report->failed_ += result.kind_ == ResultKind::kFailed ? 1 : 0;
  report->left_ += result.kind_ == ResultKind::kCallerLeft ? 1 : 0;
  report->attained_ += MeetsTargets(profile, result) ? 1 : 0;
  if (result.kind_ == ResultKind::kRefused) {
    ++report->refused_[result.code_];
  }
}

ClassReport MakeClassReport(const ClassProfile& profile,
                            const std::vector<RequestResult>& results) {
  ClassReport report;
  report.class_ = profile.class_;
  report.tier_ = profile.tier_;
  std::vector<double> first_tokens;
  std::vector<double> gaps;
  for (const RequestResult& result : results) {
    if (result.class_ != profile.class_) {
      continue;
    }
    CountResult(profile, result, &report);
    if (result.first_token_ > Micros(0)) {
      first_tokens.push_back(MicrosToMillis(result.first_token_));
    }
    if (result.delivered_ > Tokens(1)) {
      gaps.push_back(MeanInterTokenMillis(result));
    }
  }
  const int64_t stayed = report.arrivals_ - report.left_;
  report.attainment_ = stayed > 0 ? static_cast<double>(report.attained_) /
                                        static_cast<double>(stayed)
                                  : 0;
  report.first_token_ = ComputePercentiles(std::move(first_tokens));
  report.between_tokens_ = ComputePercentiles(std::move(gaps));
  return report;
}

json PercentilesToJson(const Percentiles& percentiles) {
  return {{"p50", percentiles.p50_},
          {"p95", percentiles.p95_},
          {"p99", percentiles.p99_}};
}

std::string FormatRejections(const ClassReport& report) {
  std::string text;
  for (const auto& [code, count] : report.refused_) {
    text += (text.empty() ? "" : " ") + code + ":" + std::to_string(count);
  }
  return text.empty() ? "-" : text;
}

}  // namespace

Percentiles ComputePercentiles(std::vector<double> sample) {
  Percentiles percentiles;
  if (sample.empty()) {
    return percentiles;
  }
  std::sort(sample.begin(), sample.end());
  percentiles.p50_ = Quantile(sample, 0.5);
  percentiles.p95_ = Quantile(sample, 0.95);
  percentiles.p99_ = Quantile(sample, 0.99);
  return percentiles;
}

double LoadReport::WastedShare() const {
  if (written_ < Tokens(0)) {
    return -1;
  }
  if (written_ == Tokens(0)) {
    return 0;
  }
  return static_cast<double>((written_ - delivered_).count()) /
         static_cast<double>(written_.count());
}

LoadReport MakeReport(Mix mix,
                      const WorkloadOptions& options,
                      double seconds,
                      const std::vector<RequestResult>& results) {
  LoadReport report;
  report.seed_ = options.seed_;
  report.seconds_ = seconds;
  for (const ClassProfile& profile : GetMixProfile(mix).classes_) {
    report.classes_.push_back(MakeClassReport(profile, results));
  }
  Tokens whole(0);
  for (const RequestResult& result : results) {
    report.delivered_ += result.delivered_;
    if (result.kind_ == ResultKind::kComplete) {
      whole += result.delivered_;
    }
  }
  report.goodput_ = static_cast<double>(whole.count()) / seconds;
  return report;
}

std::string FormatTable(const LoadReport& report) {
  std::ostringstream table;
  char line[256];
  std::snprintf(line, sizeof(line),
                "%-12s %4s %8s %6s %6s %6s %6s %8s %9s %9s "
                "%9s %9s  %s\n",
                "class", "tier", "arrivals", "whole", "wrong", "failed", "left",
                "attained", "first p50", "first p99", "token p50", "token p99",
                "refused");
  table << line;
  for (const ClassReport& each : report.classes_) {
    std::snprintf(
        line, sizeof(line),
        "%-12s %4lld %8lld %6lld %6lld %6lld %6lld %7.2f%% %9.1f "
        "%9.1f %9.2f %9.2f  ",
        each.class_.value().c_str(), static_cast<long long>(each.tier_.value()),
        static_cast<long long>(each.arrivals_),
        static_cast<long long>(each.whole_),
        static_cast<long long>(each.wrong_),
        static_cast<long long>(each.failed_),
        static_cast<long long>(each.left_), each.attainment_ * kPercent,
        each.first_token_.p50_, each.first_token_.p99_,
        each.between_tokens_.p50_, each.between_tokens_.p99_);
    table << line << FormatRejections(each) << "\n";
  }
  table << "seed " << report.seed_ << ", " << report.seconds_
        << " s, times in ms; goodput " << report.goodput_
        << " tokens/s; delivered " << report.delivered_.count();
  if (report.written_ >= Tokens(0)) {
    table << ", written " << report.written_.count() << ", wasted "
          << report.WastedShare() * kPercent << "%";
  }
  table << "\n";
  return table.str();
}

std::string FormatJson(const LoadReport& report) {
  json classes = json::array();
  for (const ClassReport& each : report.classes_) {
    classes.push_back(
        {{"class", each.class_.value()},
         {"tier", each.tier_.value()},
         {"arrivals", each.arrivals_},
         {"whole", each.whole_},
         {"wrong", each.wrong_},
         {"failed", each.failed_},
         {"left", each.left_},
         {"attained", each.attained_},
         {"attainment", each.attainment_},
         {"first_token_ms", PercentilesToJson(each.first_token_)},
         {"between_tokens_ms", PercentilesToJson(each.between_tokens_)},
         {"refused", each.refused_},
         {"delivered_tokens", each.delivered_.count()}});
  }
  json result = {{"seed", report.seed_},
                 {"seconds", report.seconds_},
                 {"classes", classes},
                 {"goodput_tokens_per_second", report.goodput_},
                 {"delivered_tokens", report.delivered_.count()}};
  if (report.written_ >= Tokens(0)) {
    result["written_tokens"] = report.written_.count();
    result["wasted_share"] = report.WastedShare();
  }
  return result.dump(2) + "\n";
}

Result<Tokens> TokensWritten(const std::string& journal, Millis since) {
  Tokens written(0);
  std::istringstream lines(journal);
  for (std::string line; std::getline(lines, line);) {
    const json record = json::parse(line, nullptr, false);
    if (!record.is_object() || !record.contains("tokens") ||
        !record.contains("start") || !record["tokens"].is_number_integer() ||
        !record["start"].is_number_integer()) {
      return Error(ErrorCode::kProtocolError, "invalid journal line: " + line);
    }
    if (Millis(record["start"].get<int64_t>()) >= since) {
      written += Tokens(record["tokens"].get<int64_t>());
    }
  }
  return written;
}

}  // namespace bergamotscale::load
