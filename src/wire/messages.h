// Messages between an entry and a sidecar. Each is one frame on a link stream.
#ifndef BERGAMOTSCALE_SRC_WIRE_MESSAGES_H_
#define BERGAMOTSCALE_SRC_WIRE_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "bergamotscale/error.h"
#include "bergamotscale/ids.h"
#include "bergamotscale/result.h"
#include "bergamotscale/units.h"
#include "bergamotscale/verdict.h"
#include "src/core/timestamp.h"
#include "src/wire/unpack_limit.h"

namespace bergamotscale::wire {

// Paths of the streams that an entry opens to a sidecar.
inline constexpr char kWorkPath[] = "/work";      // Reserve, Work / Granted...
inline constexpr char kStatusPath[] = "/status";  // Gossip both ways, Status

// Entry to sidecar, first message of a work stream: requests a slot. Nothing is
// executed before Work is sent; a reset of the stream cancels the reservation.
struct Reserve {
  RequestId request_id_;
  int attempt_ = 0;
  InstanceId entry_;
  WorkspaceId workspace_;
  ClassId class_;
  Tier tier_ = Tier(1);
  GroupId group_;
  ModelId model_;
  // Time the request has already waited, and the time left to its targets.
  Millis waited_;
  Millis first_token_target_;
  Millis between_tokens_target_;
  Millis deadline_left_;
  Tokens prompt_tokens_;
  Tokens expected_output_;
  // Hashes of the prompt's prefixes, the longest prefix last.
  std::vector<uint64_t> prefix_hashes_;
  // Digest of what would be executed; identifies the request in quarantine.
  uint64_t digest_ = 0;
  // Whether the request is a suspect; an upstream executes at most one at a
  // time.
  bool suspect_ = false;
  // Orders the events in the timelines of sender and receiver.
  Timestamp sent_;
  // Whether the caller has already received a part of the response.
  bool resumed_ = false;
  MSGPACK_DEFINE(request_id_,
                 attempt_,
                 entry_,
                 workspace_,
                 class_,
                 tier_,
                 group_,
                 model_,
                 waited_,
                 first_token_target_,
                 between_tokens_target_,
                 deadline_left_,
                 prompt_tokens_,
                 expected_output_,
                 prefix_hashes_,
                 digest_,
                 suspect_,
                 sent_,
                 resumed_)
};

// Sidecar to entry: a slot is reserved for a short time, until Work or a reset.
struct Granted {
  RequestId request_id_;
  // Orders the events in the timelines of sender and receiver.
  Timestamp sent_;
  MSGPACK_DEFINE(request_id_, sent_)
};

// Entry to sidecar, second message: what to execute.
struct Work {
  RequestId request_id_;
  std::string method_;
  std::string path_;
  std::string body_;
  bool stream_ = false;
  bool idempotent_ = true;
  // Empty unless the request is an order.
  IdempotencyKey key_;
  // Response text that the caller has already received; the engine continues
  // after it.
  std::string resume_text_;
  Tokens resume_tokens_;
  // Orders the events in the timelines of sender and receiver.
  Timestamp sent_;
  MSGPACK_DEFINE(request_id_,
                 method_,
                 path_,
                 body_,
                 stream_,
                 idempotent_,
                 key_,
                 resume_text_,
                 resume_tokens_,
                 sent_)
};

// Sidecar to entry: a piece of the response, numbered from zero per attempt.
struct Chunk {
  RequestId request_id_;
  int64_t sequence_ = 0;
  std::string text_;
  Tokens tokens_;
  MSGPACK_DEFINE(request_id_, sequence_, text_, tokens_)
};

// Sidecar to entry, last message of a complete response.
struct Finished {
  RequestId request_id_;
  int http_status_ = 200;
  std::string content_type_;
  // Body of a plain service's response; empty for a stream of chunks.
  std::string body_;
  std::string finish_reason_;
  Tokens prompt_tokens_;
  // Of the whole response, including the text given to a resumed execution.
  Tokens output_tokens_;
  Tokens cached_tokens_;
  // True if this is the recorded outcome of an earlier execution.
  bool replayed_ = false;
  // Orders the events in the timelines of sender and receiver.
  Timestamp sent_;
  MSGPACK_DEFINE(request_id_,
                 http_status_,
                 content_type_,
                 body_,
                 finish_reason_,
                 prompt_tokens_,
                 output_tokens_,
                 cached_tokens_,
                 replayed_,
                 sent_)
};

// Sidecar to entry, last message of a refused or failed attempt.
struct Refused {
  RequestId request_id_;
  ErrorCode code_ = ErrorCode::kInternal;
  Verdict verdict_ = Verdict::kMayHaveExecuted;
  // Zero if a retry after a wait would not succeed either.
  Millis retry_after_;
  std::string detail_;
  // Orders the events in the timelines of sender and receiver.
  Timestamp sent_;
  // For an order: the log shows that no earlier attempt was executed. The
  // verdict covers only this attempt.
  bool order_not_executed_ = false;
  // For a failed call: the upstream answered a health check after it.
  bool upstream_responds_ = false;
  MSGPACK_DEFINE(request_id_,
                 code_,
                 verdict_,
                 retry_after_,
                 detail_,
                 sent_,
                 order_not_executed_,
                 upstream_responds_)
};

// Load of one class at a sidecar.
struct ClassLoad {
  ClassId class_;
  int waiting_ = 0;
  int running_ = 0;
  // Expected wait of the next request of the class.
  Millis expected_wait_ = Millis(0);
  MSGPACK_DEFINE(class_, waiting_, running_, expected_wait_)
};

// Version and adapters of a model loaded in an engine.
struct LoadedModel {
  ModelId model_;
  std::string version_;
  std::vector<std::string> adapters_;
  MSGPACK_DEFINE(model_, version_, adapters_)
};

// Requests for one model at a sidecar.
struct ModelLoad {
  ModelId model_;
  int waiting_ = 0;
  int running_ = 0;
  MSGPACK_DEFINE(model_, waiting_, running_)
};

// Sidecar to entry, sent on every status stream several times a second.
struct SidecarStatus {
  InstanceId sidecar_;
  GroupId group_;
  ZoneId zone_;
  // False if the instance is leaving or its upstream is unreachable.
  bool accepting_ = false;
  bool leaving_ = false;
  int running_ = 0;
  int slots_ = 0;
  std::vector<ClassLoad> classes_;
  Millis between_tokens_;
  Millis expected_wait_;
  std::vector<ModelId> models_;
  std::vector<uint64_t> cached_prefixes_;
  // The elements of models_ that have a version or adapters.
  std::vector<LoadedModel> loaded_;
  // Load of the models that have requests.
  std::vector<ModelLoad> model_loads_;
  // Models that occupy memory but are sent no requests: they are to be
  // unloaded, or the engine may still be executing a command to load them.
  std::vector<ModelId> withheld_;
  // False after a pause of the sidecar, until its upstream has reported its
  // models.
  bool models_are_current_ = false;
  MSGPACK_DEFINE(sidecar_,
                 group_,
                 zone_,
                 accepting_,
                 leaving_,
                 running_,
                 slots_,
                 classes_,
                 between_tokens_,
                 expected_wait_,
                 models_,
                 cached_prefixes_,
                 loaded_,
                 model_loads_,
                 withheld_,
                 models_are_current_)
};

// State of a suspect or blocked request, which made upstreams crash.
struct CrashVerdict {
  uint64_t digest_ = 0;
  int crashes_ = 0;
  bool blocked_ = false;
  Millis expires_in_;
  // Identifies the upstream that crashed first; 0 if unknown.
  uint64_t source_ = 0;
  MSGPACK_DEFINE(digest_, crashes_, blocked_, expires_in_, source_)
};

// Requests per second of one workspace.
struct WorkspaceDemand {
  WorkspaceId workspace_;
  double per_second_ = 0;
  MSGPACK_DEFINE(workspace_, per_second_)
};

// Sent in both directions on a status stream: soft state that peers forward.
// The configuration document is included only for a peer that stays behind.
struct Gossip {
  InstanceId from_;
  Revision revision_;
  LogOffset config_offset_;
  std::string document_;
  std::vector<CrashVerdict> crash_verdicts_;
  // From an entry, its own demand; from a sidecar, the sums of the demands that
  // entries reported. May be empty.
  std::vector<WorkspaceDemand> demands_;
  // The sender has no configuration although it had time to read the log.
  bool needs_document_ = false;
  MSGPACK_DEFINE(from_,
                 revision_,
                 config_offset_,
                 document_,
                 crash_verdicts_,
                 demands_,
                 needs_document_)
};

// First byte of each frame; the message's fields follow.
enum class MessageType : uint8_t {
  kReserve = 1,
  kGranted = 2,
  kWork = 3,
  kChunk = 4,
  kFinished = 5,
  kRefused = 6,
  kSidecarStatus = 7,
  kGossip = 8,
};

template <typename T>
struct MessageTypeOf;
template <>
struct MessageTypeOf<Reserve> {
  static constexpr MessageType kType = MessageType::kReserve;
};
template <>
struct MessageTypeOf<Granted> {
  static constexpr MessageType kType = MessageType::kGranted;
};
template <>
struct MessageTypeOf<Work> {
  static constexpr MessageType kType = MessageType::kWork;
};
template <>
struct MessageTypeOf<Chunk> {
  static constexpr MessageType kType = MessageType::kChunk;
};
template <>
struct MessageTypeOf<Finished> {
  static constexpr MessageType kType = MessageType::kFinished;
};
template <>
struct MessageTypeOf<Refused> {
  static constexpr MessageType kType = MessageType::kRefused;
};
template <>
struct MessageTypeOf<SidecarStatus> {
  static constexpr MessageType kType = MessageType::kSidecarStatus;
};
template <>
struct MessageTypeOf<Gossip> {
  static constexpr MessageType kType = MessageType::kGossip;
};

// @return the type of a frame, or kProtocolError if the frame is empty or of
// an unknown type. Thread safety: safe.
Result<MessageType> PeekType(std::string_view frame);

// @return the message as one frame. Thread safety: safe.
template <typename T>
std::string Encode(const T& message) {
  msgpack::sbuffer buffer;
  const char type = static_cast<char>(MessageTypeOf<T>::kType);
  buffer.write(&type, sizeof(type));
  msgpack::pack(buffer, message);
  return std::string(buffer.data(), buffer.size());
}

// @return the message in a frame, or kProtocolError. Thread safety: safe.
template <typename T>
Result<T> Decode(std::string_view frame) {
  Result<MessageType> type = PeekType(frame);
  if (!type.ok()) {
    return type.error();
  }
  if (type.value() != MessageTypeOf<T>::kType) {
    return Error(ErrorCode::kProtocolError, "unexpected message type");
  }
  try {
    const msgpack::object_handle handle =
        msgpack::unpack(frame.data() + 1, frame.size() - 1, nullptr, nullptr,
                        MakeUnpackLimit(frame));
    return handle.get().as<T>();
  } catch (const std::exception& failure) {
    return Error(ErrorCode::kProtocolError, failure.what());
  }
}

}  // namespace bergamotscale::wire

#endif  // BERGAMOTSCALE_SRC_WIRE_MESSAGES_H_
