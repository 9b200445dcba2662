// Distinct types for identifiers of different kinds.
#ifndef BERGAMOTSCALE_IDS_H_
#define BERGAMOTSCALE_IDS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include <msgpack.hpp>

namespace bergamotscale {

// A string identifier. Identifiers of different kinds are different types, so
// one cannot be passed for another.
// Thread safety: the same as std::string.
template <typename Tag>
class StringId {
 public:
  StringId() = default;
  explicit StringId(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  friend bool operator==(const StringId& a, const StringId& b) {
    return a.value_ == b.value_;
  }
  friend bool operator!=(const StringId& a, const StringId& b) {
    return !(a == b);
  }
  friend bool operator<(const StringId& a, const StringId& b) {
    return a.value_ < b.value_;
  }

  MSGPACK_DEFINE(value_)

 private:
  std::string value_;
};

// An integer identifier that can be compared by size, such as an offset.
// Thread safety: the same as int64_t.
template <typename Tag>
class NumberId {
 public:
  constexpr NumberId() = default;
  constexpr explicit NumberId(int64_t value) : value_(value) {}

  constexpr int64_t value() const { return value_; }

  friend constexpr bool operator==(NumberId a, NumberId b) {
    return a.value_ == b.value_;
  }
  friend constexpr bool operator!=(NumberId a, NumberId b) {
    return a.value_ != b.value_;
  }
  friend constexpr bool operator<(NumberId a, NumberId b) {
    return a.value_ < b.value_;
  }
  friend constexpr bool operator>(NumberId a, NumberId b) { return b < a; }
  friend constexpr bool operator<=(NumberId a, NumberId b) { return !(b < a); }
  friend constexpr bool operator>=(NumberId a, NumberId b) { return !(a < b); }

  MSGPACK_DEFINE(value_)

 private:
  int64_t value_ = 0;
};

using RequestId = StringId<struct RequestIdTag>;
using WorkspaceId = StringId<struct WorkspaceIdTag>;
using InstanceId = StringId<struct InstanceIdTag>;
using GroupId = StringId<struct GroupIdTag>;
using ModelId = StringId<struct ModelIdTag>;
using ClassId = StringId<struct ClassIdTag>;
using ZoneId = StringId<struct ZoneIdTag>;
using IdempotencyKey = StringId<struct IdempotencyKeyTag>;
using PublicationId = StringId<struct PublicationIdTag>;

// Revision of the configuration document, incremented by each accepted
// publication. Zero: no document has been published.
using Revision = NumberId<struct RevisionTag>;
// Position of a record in a stream of the platform's log service, from zero.
using LogOffset = NumberId<struct LogOffsetTag>;
// Rises each time a log is restored from a copy. Offsets of different eras
// can't be compared.
using LogEra = NumberId<struct LogEraTag>;
// Priority tier of a service class; 1 is the highest priority.
using Tier = NumberId<struct TierTag>;

}  // namespace bergamotscale

namespace std {

template <typename Tag>
struct hash<bergamotscale::StringId<Tag>> {
  size_t operator()(const bergamotscale::StringId<Tag>& id) const {
    return hash<string>()(id.value());
  }
};

template <typename Tag>
struct hash<bergamotscale::NumberId<Tag>> {
  size_t operator()(bergamotscale::NumberId<Tag> id) const {
    return hash<int64_t>()(id.value());
  }
};

}  // namespace std

#endif  // BERGAMOTSCALE_IDS_H_
