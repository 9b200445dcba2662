#include "src/gateway/usage_reporter.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace bergamotscale::gateway {
namespace {

using duties::UsageReport;
using duties::WindowId;

// The same call is made at most twice per second.
constexpr Millis kCallInterval = Millis(500);

std::string FormatCounts(const duties::WorkspaceCounts& counts) {
  std::string text;
  for (const auto& [workspace, count] : counts) {
    text += (text.empty() ? "" : ",") + workspace.value() + ":" +
            std::to_string(count);
  }
  return text;
}

}  // namespace

UsageReporter::UsageReporter(duties::UsageRules rules,
                             Clock boot,
                             Hooks hooks,
                             metrics::Metrics* metrics,
                             DecisionLog* log)
    : rules_(rules),
      boot_(std::move(boot)),
      hooks_(std::move(hooks)),
      metrics_(metrics),
      log_(log) {}

void UsageReporter::Send(const duties::DutyState& stored, lease::Fence token) {
  const Millis now = boot_.Now();
  if (is_calling_ || now < resumes_at_) {
    return;
  }
  const UsageReport* chosen = nullptr;
  const std::vector<UsageReport> reports = duties::UnconfirmedReports(stored);
  for (const UsageReport& report : reports) {
    if (accepted_.count(report.window_) == 0 &&
        (chosen == nullptr ||
         TriedAt(report.window_) < TriedAt(chosen->window_))) {
      chosen = &report;
    }
  }
  if (chosen == nullptr) {
    tried_at_.clear();
    return;
  }
  const WindowId window = chosen->window_;
  const auto tried = tried_at_.find(window);
  if (tried != tried_at_.end()) {
    if (now < tried->second + kCallInterval) {
      return;
    }
    log_->Write(LogLine("duty_report_retried")
                    .Add("window", window)
                    .Add("age_ms", AgeOf(window).count()));
  }
  tried_at_[window] = now;
  is_calling_ = true;
  hooks_.report_(*chosen, token,
                 [self = shared_from_this(), window,
                  token](const Result<DutyAnswer>& answer) {
                   if (!self->stopped_) {
                     self->OnAnswer(window, token, answer);
                   }
                 });
}

void UsageReporter::ConfirmAccepted(duties::DutyState* state) const {
  for (const WindowId window : accepted_) {
    duties::Confirm(window, state);
  }
}

void UsageReporter::OnStored(const duties::DutyState& before,
                             const duties::DutyState& stored) {
  std::set<WindowId> still_accepted;
  for (const duties::DecidedReport& decided : stored.decided_) {
    const WindowId window = decided.report_.window_;
    const bool is_known =
        std::any_of(before.decided_.begin(), before.decided_.end(),
                    [window](const duties::DecidedReport& other) {
                      return other.report_.window_ == window;
                    });
    if (!is_known) {
      log_->Write(LogLine("duty_window_decided")
                      .Add("window", window)
                      .Add("age_ms", AgeOf(window).count())
                      .Add("counts", FormatCounts(decided.report_.counts_)));
      metrics_->Add("bergamot_gateway_duty_windows", "decided");
    }
    if (!decided.confirmed_ && accepted_.count(window) > 0) {
      still_accepted.insert(window);
    }
  }
  accepted_ = std::move(still_accepted);
}

// @return the time since the end of the window.
Millis UsageReporter::AgeOf(WindowId window) const {
  return hooks_.true_time_() - duties::EndOf(window, rules_.window_length_);
}

// Windows that were not tried yet come first.
Millis UsageReporter::TriedAt(WindowId window) const {
  const auto tried = tried_at_.find(window);
  return tried == tried_at_.end() ? Millis(-1) : tried->second;
}

void UsageReporter::OnAnswer(WindowId window,
                             lease::Fence token,
                             const Result<DutyAnswer>& answer) {
  is_calling_ = false;
  if (!answer.ok()) {
    metrics_->Add("bergamot_gateway_duty_calls", "failed");
    LogRefusal(window, token, answer.error().Message());
    return;
  }
  switch (answer.value()) {
    case DutyAnswer::kAccepted:
      metrics_->Add("bergamot_gateway_duty_calls", "accepted");
      OnConfirmed(window, token);
      break;
    case DutyAnswer::kFenced:
      metrics_->Add("bergamot_gateway_duty_calls", "fenced");
      LogRefusal(window, token, "a higher token was seen");
      hooks_.on_fenced_(token);
      break;
    case DutyAnswer::kRejected:
      metrics_->Add("bergamot_gateway_duty_calls", "rejected");
      resumes_at_ = boot_.Now() + kCallInterval;
      LogRefusal(window, token, "not carried out");
      break;
  }
}

void UsageReporter::OnConfirmed(WindowId window, lease::Fence token) {
  accepted_.insert(window);
  tried_at_.erase(window);
  const Millis age = AgeOf(window);
  const bool is_late = age > rules_.late_;
  log_->Write(LogLine("duty_report_confirmed")
                  .Add("window", window)
                  .Add("token", token.value())
                  .Add("age_ms", age.count())
                  .Add("late", int64_t{is_late ? 1 : 0}));
  metrics_->Add("bergamot_gateway_duty_windows", "confirmed");
  if (is_late) {
    metrics_->Add("bergamot_gateway_duty_windows", "late");
  }
}

void UsageReporter::LogRefusal(WindowId window,
                               lease::Fence token,
                               const std::string& reason) {
  log_->Write(LogLine("duty_report_refused")
                  .Add("window", window)
                  .Add("token", token.value())
                  .Add("reason", reason));
}

}  // namespace bergamotscale::gateway
