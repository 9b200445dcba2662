#include "src/config/config_fold.h"

#include <algorithm>
#include <utility>

#include <glog/logging.h>

#include "src/config/delta.h"

namespace bergamotscale::config {
namespace {

constexpr size_t kMaxHistory = 1000;
constexpr size_t kMaxBufferedBytes = size_t{16} * 1024 * 1024;

LogOffset NextOffset(LogOffset offset) {
  return LogOffset(offset.value() + 1);
}

PublicationOutcome MakeOutcome(const PublicationRecord& record,
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
    BufferRecord(record);
  }
  const Result<ConfigRecord> decoded = DecodeRecord(record.payload_);
  if (decoded.ok()) {
    ApplyDecoded(record.offset_, decoded.value());
  } else {
    LOG(WARNING) << "ignoring config record " << record.offset_.value() << ": "
                 << decoded.error().Message();
  }
  if (complete_ && next_ <= record.offset_) {
    next_ = NextOffset(record.offset_);
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
  PublicationOutcome outcome = MakeOutcome(record, offset);
  outcome.revision_ = revision_;
  if (restart_time_ == Millis(0)) {
    restart_time_ = record.time_;
  }
  if (record.base_ == revision_ && ApplyDocumentChange(record)) {
    revision_ = Revision(revision_.value() + 1);
    outcome.accepted_ = true;
    outcome.revision_ = revision_;
    current_publication_ = outcome;
  }
  AddToHistory(std::move(outcome));
}

// @return false, and changes nothing, if the record's delta doesn't apply.
bool ConfigFold::ApplyDocumentChange(const PublicationRecord& record) {
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
    RestoreFrom(record);
  }
}

void ConfigFold::ApplyPeerOffer(const SnapshotRecord& state) {
  if (!complete_) {
    RestoreFrom(state);
  } else if (state.revision_ > revision_in_force()) {
    peer_state_ = state;
  }
}

// Precondition: !complete_.
void ConfigFold::RestoreFrom(const SnapshotRecord& state) {
  if (state.revision_ > revision_) {
    ReplaceDocument(state);
  }
  // A state older than the lost records doesn't cover them.
  if (state.as_of_ >= first_available_ && state.revision_ == revision_) {
    next_ = state.as_of_;
    complete_ = true;
    ReplayBufferedRecords();
  }
}

void ConfigFold::ReplaceDocument(const SnapshotRecord& state) {
  revision_ = state.revision_;
  document_ = state.document_;
  current_publication_ = PublicationOutcome();
  current_publication_.id_ = state.id_;
  current_publication_.base_ = Revision(state.revision_.value() - 1);
  current_publication_.accepted_ = true;
  current_publication_.revision_ = state.revision_;
  current_publication_.author_ = state.author_;
  current_publication_.comment_ = state.comment_;
  current_publication_.time_ = state.time_;
  AddToHistory(current_publication_);
}

Revision ConfigFold::revision_in_force() const {
  return peer_state_ ? std::max(peer_state_->revision_, revision_) : revision_;
}

bool ConfigFold::PeerIsAhead() const {
  return peer_state_ && peer_state_->revision_ > revision_;
}

const nlohmann::json& ConfigFold::document_in_force() const {
  return PeerIsAhead() ? peer_state_->document_ : document_;
}

SnapshotRecord ConfigFold::MetadataInForce() const {
  if (!PeerIsAhead()) {
    return MakeMetadata(current_publication_.time_);
  }
  SnapshotRecord metadata;
  metadata.revision_ = peer_state_->revision_;
  metadata.as_of_ = peer_state_->as_of_;
  metadata.id_ = peer_state_->id_;
  metadata.author_ = peer_state_->author_;
  metadata.comment_ = peer_state_->comment_;
  metadata.time_ = peer_state_->time_;
  return metadata;
}

void ConfigFold::OnRecordsLost(LogOffset first_available) {
  if (first_available <= next_) {
    return;
  }
  complete_ = false;
  first_available_ = first_available;
  buffered_records_.clear();
  buffered_bytes_ = 0;
  if (peer_state_) {
    const SnapshotRecord state = *peer_state_;
    peer_state_.reset();
    RestoreFrom(state);
  }
}

void ConfigFold::BufferRecord(const log::Record& record) {
  buffered_records_.push_back(record);
  buffered_bytes_ += record.payload_.size();
  // Dropped records count as lost; a later snapshot covers them.
  while (buffered_bytes_ > kMaxBufferedBytes) {
    buffered_bytes_ -= buffered_records_.front().payload_.size();
    first_available_ = NextOffset(buffered_records_.front().offset_);
    buffered_records_.pop_front();
  }
}

void ConfigFold::ReplayBufferedRecords() {
  const std::deque<log::Record> records = std::move(buffered_records_);
  buffered_records_.clear();
  buffered_bytes_ = 0;
  for (const log::Record& record : records) {
    Apply(record);
  }
}

void ConfigFold::AddToHistory(PublicationOutcome outcome) {
  // The state from a peer has no publication id.
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

SnapshotRecord ConfigFold::MakeMetadata(Millis wall_time) const {
  SnapshotRecord metadata;
  metadata.revision_ = revision_;
  metadata.as_of_ = next_;
  metadata.id_ = current_publication_.id_;
  metadata.author_ = current_publication_.author_;
  metadata.comment_ = current_publication_.comment_;
  metadata.time_ = wall_time;
  return metadata;
}

SnapshotRecord ConfigFold::MakeSnapshot(Millis wall_time) const {
  SnapshotRecord snapshot = MakeMetadata(wall_time);
  snapshot.document_ = document_;
  return snapshot;
}

}  // namespace bergamotscale::config
