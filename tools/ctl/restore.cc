#include <future>
#include <iostream>
#include <utility>

#include <gflags/gflags.h>

#include "src/config/config_record.h"
#include "src/config/document_reader.h"
#include "tools/ctl/command.h"
#include "tools/ctl/log_session.h"

DEFINE_int64(revision, 0, "a revision above any that was ever in force");

namespace bergamotscale::ctl {
namespace {

// @return the offset after the newest record of the configuration stream.
Result<LogOffset> EndOfStream(log::LogClient& client) {
  LogOffset from = log::kFromOldest;
  for (;;) {
    std::promise<Result<log::ReadPage>> promise;
    client.Read(log::kConfigStream, from, Millis(0),
                [&](Result<log::ReadPage> page) {
                  promise.set_value(std::move(page));
                });
    const Result<log::ReadPage> page = promise.get_future().get();
    if (!page.ok()) {
      return page.error();
    }
    from = page.value().next_;
    if (page.value().records_.size() < log::kMaxRecordsPerPage) {
      return from;
    }
  }
}

Result<LogOffset> Append(log::LogClient& client, const std::string& payload) {
  std::promise<Result<LogOffset>> promise;
  client.Append(log::kConfigStream, payload, [&](Result<LogOffset> offset) {
    promise.set_value(std::move(offset));
  });
  return promise.get_future().get();
}

int AppendSnapshot(LogSession& session, const ConfigDocument& document) {
  const Result<LogOffset> end = EndOfStream(session.client());
  if (!end.ok()) {
    return Fail(end.error());
  }
  config::SnapshotRecord snapshot;
  snapshot.revision_ = Revision(FLAGS_revision);
  snapshot.as_of_ = end.value();
  snapshot.id_ = PublicationId("restore-" + std::to_string(FLAGS_revision));
  snapshot.document_ = config::ConfigDocumentToJson(document);
  snapshot.author_ = "bergamotctl restore";
  snapshot.time_ = Clock::Wall().Now();
  const Result<LogOffset> offset =
      Append(session.client(), config::EncodeRecord(snapshot));
  if (!offset.ok()) {
    return Fail(offset.error());
  }
  const Status caught_up = session.CatchUp();
  if (!caught_up.ok()) {
    return Fail(caught_up.error());
  }
  const auto current = session.follower().Current();
  const bool restored =
      current && current->revision_ == Revision(FLAGS_revision);
  std::cout << (restored ? "restored" : "not restored") << "\n";
  return restored ? kExitOk : kExitFailed;
}

}  // namespace

int RunRestore(const Arguments& arguments) {
  if (arguments.size() != 1 || !HasLog() || FLAGS_revision < 1) {
    return FailUsage("restore");
  }
  const Result<ConfigDocument> document = ReadDocument(arguments.front());
  if (!document.ok()) {
    return Fail(document.error());
  }
  LogSession session;
  if (session.CatchUp().ok()) {
    std::cerr
        << "the stream still contains the revision in force; publish instead\n";
    return kExitFailed;
  }
  if (session.follower().revision() >= Revision(FLAGS_revision)) {
    std::cerr << "revision " << session.follower().revision().value()
              << " was in force already\n";
    return kExitFailed;
  }
  return AppendSnapshot(session, document.value());
}

}  // namespace bergamotscale::ctl
