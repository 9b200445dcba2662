#include "src/config/config_fold.h"

#include <algorithm>
#include <utility>

#include <glog/logging.h>

#include "src/config/delta.h"

namespace bergamotscale::config {
namespace {

constexpr size_t kMaxHistory = 1000;
constexpr size_t kMaxHeldBackBytes = size_t{16} * 1024 * 1024;

LogOffset After(LogOffset offset) {
  return LogOffset(offset.value() + 1);
}

PublicationOutcome OutcomeOf(const PublicationRecord& record,
                             LogOffset offset) {
  PublicationOutcome outcome;
  outcome.id_ = record.id_;
  outcome.base_ = record.base_;
  outcome.offset_ = offset;
  outcome.author_ = record.author_;
  outcome.comment_ = record.comment_;
  outcome.time_ = record.time_;
  return outcome;
}

}  // namespace

void ConfigFold::Apply(const log::Record& record) {
  if (record.offset_ < next_) {
    return;
  }
  if (!complete_) {
    HoldBack(record);
  }
  const Result<ConfigRecord> decoded = DecodeRecord(record.payload_);
  if (decoded.ok()) {
    ApplyDecoded(record.offset_, decoded.value());
  } else {
    LOG(WARNING) << "config record " << record.offset_.value() << ": "
                 << decoded.error().Message();
  }
  if (complete_ && next_ <= record.offset_) {
    next_ = After(record.offset_);
  }
}

void ConfigFold::ApplyDecoded(LogOffset offset, const ConfigRecord& record) {
  if (const auto* snapshot = std::get_if<SnapshotRecord>(&record)) {
    ApplySnapshot(*snapshot);
  } else if (complete_) {
    ApplyPublication(offset, std::get<PublicationRecord>(record));
  }
}

void ConfigFold::ApplyPublication(LogOffset offset,
                                  const PublicationRecord& record) {
  PublicationOutcome outcome = OutcomeOf(record, offset);
  outcome.revision_ = revision_;
  if (restart_time_ == Millis(0)) {
    restart_time_ = record.time_;
  }
  if (record.base_ == revision_ && ChangeDocument(record)) {
    revision_ = Revision(revision_.value() + 1);
    outcome.accepted_ = true;
    outcome.revision_ = revision_;
    publication_ = outcome;
  }
  Remember(std::move(outcome));
}

// @return false, and changes nothing, if the record's delta doesn't fit.
bool ConfigFold::ChangeDocument(const PublicationRecord& record) {
  if (!record.document_.is_null()) {
    document_ = record.document_;
    return true;
  }
  if (!document_.is_null()) {
    return PatchDocument(record.delta_, &document_).ok();
  }
  nlohmann::json first = nlohmann::json::object();
  if (!PatchDocument(record.delta_, &first).ok()) {
    return false;
  }
  document_ = std::move(first);
  return true;
}

void ConfigFold::ApplySnapshot(const SnapshotRecord& record) {
  if (complete_ && record.revision_ > revision_) {
    LOG(ERROR) << "snapshot of revision " << record.revision_.value()
               << " is ahead of the stream, which is at " << revision_.value();
    return;
  }
  if (record.as_of_ >= restart_offset_) {
    restart_offset_ = record.as_of_;
    restart_time_ = record.time_;
  }
  if (!complete_) {
    Adopt(record);
  }
}

void ConfigFold::Offer(const SnapshotRecord& state) {
  if (!complete_) {
    Adopt(state);
  } else if (state.revision_ > revision_in_force()) {
    offered_ = state;
  }
}

// Precondition: !complete_.
void ConfigFold::Adopt(const SnapshotRecord& state) {
  if (state.revision_ > revision_) {
    TakeDocument(state);
  }
  // A state from before the loss can't account for what came between.
  if (state.as_of_ >= resumed_ && state.revision_ == revision_) {
    next_ = state.as_of_;
    complete_ = true;
    ReplayHeldBack();
  }
}

void ConfigFold::TakeDocument(const SnapshotRecord& state) {
  revision_ = state.revision_;
  document_ = state.document_;
  publication_ = PublicationOutcome();
  publication_.id_ = state.id_;
  publication_.base_ = Revision(state.revision_.value() - 1);
  publication_.accepted_ = true;
  publication_.revision_ = state.revision_;
  publication_.author_ = state.author_;
  publication_.comment_ = state.comment_;
  publication_.time_ = state.time_;
  Remember(publication_);
}

Revision ConfigFold::revision_in_force() const {
  return offered_ ? std::max(offered_->revision_, revision_) : revision_;
}

bool ConfigFold::PeerIsAhead() const {
  return offered_ && offered_->revision_ > revision_;
}

const nlohmann::json& ConfigFold::document_in_force() const {
  return PeerIsAhead() ? offered_->document_ : document_;
}

SnapshotRecord ConfigFold::HeadInForce() const {
  if (!PeerIsAhead()) {
    return MakeHead(publication_.time_);
  }
  SnapshotRecord head;
  head.revision_ = offered_->revision_;
  head.as_of_ = offered_->as_of_;
  head.id_ = offered_->id_;
  head.author_ = offered_->author_;
  head.comment_ = offered_->comment_;
  head.time_ = offered_->time_;
  return head;
}

void ConfigFold::OnLost(LogOffset resumed) {
  if (resumed <= next_) {
    return;
  }
  complete_ = false;
  resumed_ = resumed;
  held_back_.clear();
  held_back_bytes_ = 0;
  if (offered_) {
    const SnapshotRecord state = *offered_;
    offered_.reset();
    Adopt(state);
  }
}

void ConfigFold::HoldBack(const log::Record& record) {
  held_back_.push_back(record);
  held_back_bytes_ += record.payload_.size();
  // What is dropped here counts as lost; a later snapshot covers it.
  while (held_back_bytes_ > kMaxHeldBackBytes) {
    held_back_bytes_ -= held_back_.front().payload_.size();
    resumed_ = After(held_back_.front().offset_);
    held_back_.pop_front();
  }
}

void ConfigFold::ReplayHeldBack() {
  const std::deque<log::Record> records = std::move(held_back_);
  held_back_.clear();
  held_back_bytes_ = 0;
  for (const log::Record& record : records) {
    Apply(record);
  }
}

void ConfigFold::Remember(PublicationOutcome outcome) {
  // A peer's offer doesn't tell the id.
  if (outcome.id_.empty() || FindOutcome(outcome.id_) != nullptr) {
    return;
  }
  history_.push_back(std::move(outcome));
  if (history_.size() > kMaxHistory) {
    history_.pop_front();
  }
}

const PublicationOutcome* ConfigFold::FindOutcome(
    const PublicationId& id) const {
  const auto found = std::find_if(
      history_.begin(), history_.end(),
      [&](const PublicationOutcome& outcome) { return outcome.id_ == id; });
  return found == history_.end() ? nullptr : &*found;
}

std::vector<PublicationOutcome> ConfigFold::History() const {
  return {history_.begin(), history_.end()};
}

SnapshotRecord ConfigFold::MakeHead(Millis wall_time) const {
  SnapshotRecord head;
  head.revision_ = revision_;
  head.as_of_ = next_;
  head.id_ = publication_.id_;
  head.author_ = publication_.author_;
  head.comment_ = publication_.comment_;
  head.time_ = wall_time;
  return head;
}

SnapshotRecord ConfigFold::MakeSnapshot(Millis wall_time) const {
  SnapshotRecord snapshot = MakeHead(wall_time);
  snapshot.document_ = document_;
  return snapshot;
}

}  // namespace bergamotscale::config
