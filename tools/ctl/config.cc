#include <iostream>

#include <nlohmann/json.hpp>

#include "tools/ctl/command.h"
#include "tools/ctl/log_session.h"

namespace bergamotscale::ctl {
namespace {

constexpr int kIndent = 2;

void PrintOutcome(const config::PublicationOutcome& outcome) {
  std::cout << outcome.time_.count() << " " << outcome.id_.value() << " "
            << (outcome.accepted_ ? "accepted as " : "conflict with ")
            << outcome.revision_.value() << ", from " << outcome.base_.value()
            << ", by " << outcome.author_ << ": " << outcome.comment_ << "\n";
}

}  // namespace

int RunConfig(const Arguments& arguments) {
  if (!arguments.empty() || !HasLog()) {
    return FailUsage("config");
  }
  LogSession session;
  const Status caught_up = session.CatchUp();
  if (!caught_up.ok()) {
    return Fail(caught_up.error());
  }
  const auto current = session.follower().Current();
  if (!current) {
    return Fail(ErrorCode::kNotConfigured);
  }
  std::cerr << "revision " << current->revision_.value() << "\n";
  std::cout << nlohmann::json::parse(current->text_).dump(kIndent) << "\n";
  return kExitOk;
}

int RunHistory(const Arguments& arguments) {
  if (!arguments.empty() || !HasLog()) {
    return FailUsage("history");
  }
  LogSession session;
  const Status caught_up = session.CatchUp();
  if (!caught_up.ok()) {
    return Fail(caught_up.error());
  }
  for (const auto& outcome : session.follower().History()) {
    PrintOutcome(outcome);
  }
  return kExitOk;
}

}  // namespace bergamotscale::ctl
