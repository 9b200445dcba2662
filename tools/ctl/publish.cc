#include <iostream>

#include <gflags/gflags.h>

#include "src/config/config_publisher.h"
#include "tools/ctl/command.h"
#include "tools/ctl/log_session.h"

DEFINE_int64(base, -1, "revision that the document was edited from");
DEFINE_string(author, "bergamotctl", "who publishes");
DEFINE_string(comment, "", "why it is published");

namespace bergamotscale::ctl {
namespace {

using config::PublishResult;
using config::PublishState;

int Report(const PublishResult& result) {
  std::cout << config::PublishStateName(result.state_) << " "
            << result.id_.value();
  switch (result.state_) {
    case PublishState::kAccepted:
      std::cout << " revision " << result.revision_.value() << "\n";
      return kExitOk;
    case PublishState::kConflict:
      std::cout << " revision " << result.revision_.value()
                << " is in force:\n";
      if (result.in_force_) {
        std::cout << result.in_force_->text_ << "\n";
      }
      return kExitConflict;
    case PublishState::kPending:
      std::cout << "\n";
      return kExitPending;
    case PublishState::kNotPublished:
      std::cout << ": " << result.detail_ << "\n";
      return kExitFailed;
  }
  return kExitFailed;
}

}  // namespace

int RunPublish(const Arguments& arguments) {
  if (arguments.size() != 1 || !HasLog()) {
    return FailUsage("publish");
  }
  const Result<ConfigDocument> document = ReadDocument(arguments.front());
  if (!document.ok()) {
    return Fail(document.error());
  }
  LogSession session;
  const Status caught_up = session.CatchUp();
  if (!caught_up.ok()) {
    return Fail(caught_up.error());
  }
  const Revision base =
      FLAGS_base < 0 ? session.follower().revision() : Revision(FLAGS_base);
  config::ConfigPublisher publisher(session.client(), session.follower());
  return Report(publisher.PublishAndWait(
      {document.value(), base, FLAGS_author, FLAGS_comment}));
}

}  // namespace bergamotscale::ctl
