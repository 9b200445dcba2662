#include "src/config/config_publisher.h"

#include <future>
#include <mutex>
#include <utility>

#include <nlohmann/json.hpp>

#include "src/config/config_record.h"
#include "src/config/delta.h"
#include "src/config/document_reader.h"
#include "src/config/key_hash.h"
#include "src/http/timer.h"

namespace bergamotscale::config {
namespace {

using nlohmann::json;

constexpr size_t kIdBytes = 12;

// One publication in progress.
struct Attempt {
  PublishRequest request_;
  PublicationId id_;
  std::string payload_;
  ConfigPublisher::ResultHook hook_;
  Millis deadline_;
  // Whether an append may have taken effect.
  bool may_be_appended_ = false;
  Millis sent_at_;
};

using AttemptPtr = std::shared_ptr<Attempt>;

}  // namespace

const char* PublishStateName(PublishState state) {
  switch (state) {
    case PublishState::kAccepted:
      return "accepted";
    case PublishState::kConflict:
      return "conflict";
    case PublishState::kPending:
      return "pending";
    case PublishState::kNotPublished:
      return "not_published";
  }
  return "pending";
}

class ConfigPublisher::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(log::LogClient& client,
       ConfigFollower& follower,
       PublisherOptions options)
      : client_(client), follower_(follower), options_(std::move(options)) {}

  PublicationId Publish(const PublishRequest& request, ResultHook hook) {
    auto attempt = std::make_shared<Attempt>();
    attempt->request_ = request;
    attempt->id_ = PublicationId("p-" + RandomHex(kIdBytes));
    attempt->hook_ = std::move(hook);
    attempt->deadline_ = options_.steady_.Now() + options_.deadline_;
    const std::lock_guard<std::recursive_mutex> lock(mutex_);
    SendIfBaseIsCurrent(attempt);
    return attempt->id_;
  }

  void Close() {
    const std::lock_guard<std::recursive_mutex> lock(mutex_);
    closed_ = true;
  }

 private:
  using Step = void (Impl::*)(const AttemptPtr&);

  bool DeadlineHasPassed(const AttemptPtr& attempt) const {
    return options_.steady_.Now() >= attempt->deadline_;
  }

  void Schedule(Millis delay, const AttemptPtr& attempt, Step step) {
    http::CallAfter(delay, [self = shared_from_this(), attempt, step] {
      const std::lock_guard<std::recursive_mutex> lock(self->mutex_);
      if (!self->closed_) {
        (self.get()->*step)(attempt);
      }
    });
  }

  // Reports an invalid document or an outdated base without an append, and
  // waits until the follower has reached the base revision.
  void SendIfBaseIsCurrent(const AttemptPtr& attempt) {
    settings::FieldErrors errors;
    CheckConfigDocument(attempt->request_.document_, "document", &errors);
    if (!errors.empty()) {
      ReportNotPublished(attempt, settings::JoinErrors(errors));
      return;
    }
    const Revision known = follower_.revision();
    if (known > attempt->request_.base_) {
      ReportConflict(attempt, known);
    } else if (follower_.caught_up() && known == attempt->request_.base_) {
      Send(attempt);
    } else if (DeadlineHasPassed(attempt)) {
      ReportNotPublished(attempt, follower_.caught_up()
                                      ? "the base revision doesn't exist yet"
                                      : "the log can't be read");
    } else {
      Schedule(options_.poll_interval_, attempt, &Impl::SendIfBaseIsCurrent);
    }
  }

  std::string EncodePayload(const Attempt& attempt) const {
    PublicationRecord record;
    record.id_ = attempt.id_;
    record.base_ = attempt.request_.base_;
    record.author_ = attempt.request_.author_;
    record.comment_ = attempt.request_.comment_;
    record.time_ = options_.wall_.Now();
    record.document_ = ConfigDocumentToJson(attempt.request_.document_);
    const std::shared_ptr<const ConfigSnapshot> base = follower_.Current();
    if (base && base->revision_ == record.base_) {
      json delta = MakeDelta(json::parse(base->text_), record.document_);
      if (delta.dump().size() < record.document_.dump().size()) {
        record.delta_ = std::move(delta);
        record.document_ = nullptr;
      }
    }
    return EncodeRecord(record);
  }

  // Appends the record. A retry uses the same id and base: if both copies are
  // appended, the second doesn't match the base.
  void Send(const AttemptPtr& attempt) {
    if (attempt->payload_.empty()) {
      attempt->payload_ = EncodePayload(*attempt);
    }
    attempt->sent_at_ = options_.steady_.Now();
    client_.Append(
        log::kConfigStream, attempt->payload_,
        [self = shared_from_this(), attempt](const Result<LogOffset>& offset) {
          self->OnAppended(attempt, offset);
        });
  }

  void OnAppended(const AttemptPtr& attempt, const Result<LogOffset>& offset) {
    const std::lock_guard<std::recursive_mutex> lock(mutex_);
    if (closed_) {
      return;
    }
    const bool refused =
        !offset.ok() && offset.error().code_ == ErrorCode::kLogUnavailable;
    attempt->may_be_appended_ = attempt->may_be_appended_ || !refused;
    if (attempt->may_be_appended_) {
      PollOutcome(attempt);
    } else if (DeadlineHasPassed(attempt)) {
      ReportNotPublished(attempt, offset.error().Message());
    } else {
      Schedule(options_.retry_delay_, attempt, &Impl::Send);
    }
  }

  // Looks up the record's outcome by its id in the follower.
  void PollOutcome(const AttemptPtr& attempt) {
    const std::optional<PublicationOutcome> outcome =
        follower_.FindOutcome(attempt->id_);
    if (outcome) {
      ReportOutcome(attempt, *outcome);
      return;
    }
    if (DeadlineHasPassed(attempt)) {
      Report(attempt, PublishState::kPending, Revision(0));
      return;
    }
    // True if a read that began after settle_time_ didn't return the record.
    const Millis since_sent = options_.steady_.Now() - attempt->sent_at_;
    const bool missed =
        follower_.caught_up() &&
        follower_.Staleness() < since_sent - options_.settle_time_;
    Schedule(missed ? options_.retry_delay_ : options_.poll_interval_, attempt,
             missed ? &Impl::Send : &Impl::PollOutcome);
  }

  void ReportOutcome(const AttemptPtr& attempt,
                     const PublicationOutcome& outcome) {
    if (outcome.accepted_) {
      Report(attempt, PublishState::kAccepted, outcome.revision_);
    } else {
      ReportConflict(attempt, outcome.revision_);
    }
  }

  void ReportConflict(const AttemptPtr& attempt, Revision revision_in_force) {
    PublishResult result;
    result.state_ = PublishState::kConflict;
    result.id_ = attempt->id_;
    result.revision_ = revision_in_force;
    result.in_force_ = follower_.Current();
    attempt->hook_(result);
  }

  void ReportNotPublished(const AttemptPtr& attempt,
                          const std::string& detail) {
    PublishResult result;
    result.state_ = PublishState::kNotPublished;
    result.id_ = attempt->id_;
    result.detail_ = detail;
    attempt->hook_(result);
  }

  static void Report(const AttemptPtr& attempt,
                     PublishState state,
                     Revision revision) {
    PublishResult result;
    result.state_ = state;
    result.id_ = attempt->id_;
    result.revision_ = revision;
    attempt->hook_(result);
  }

  log::LogClient& client_;
  ConfigFollower& follower_;
  const PublisherOptions options_;

  // Held while hooks run.
  std::recursive_mutex mutex_;
  bool closed_ = false;
};

ConfigPublisher::ConfigPublisher(log::LogClient& client,
                                 ConfigFollower& follower,
                                 PublisherOptions options)
    : impl_(std::make_shared<Impl>(client, follower, std::move(options))) {}

ConfigPublisher::~ConfigPublisher() {
  impl_->Close();
}

PublicationId ConfigPublisher::Publish(const PublishRequest& request,
                                       ResultHook hook) {
  return impl_->Publish(request, std::move(hook));
}

PublishResult ConfigPublisher::PublishAndWait(const PublishRequest& request) {
  auto promise = std::make_shared<std::promise<PublishResult>>();
  std::future<PublishResult> future = promise->get_future();
  Publish(request, [promise](const PublishResult& result) {
    promise->set_value(result);
  });
  return future.get();
}

}  // namespace bergamotscale::config
