// Requests that wait in an entry until an engine has room for their prompt.
#ifndef BERGAMOTSCALE_SRC_POLICY_WAITING_ROOM_H_
#define BERGAMOTSCALE_SRC_POLICY_WAITING_ROOM_H_

#include <cstdint>
#include <map>
#include <vector>

#include "bergamotscale/units.h"

namespace bergamotscale::policy {

struct WaitingRequest {
  int priority_ = 0;  // 0 is the most urgent
  // When the answer has to begin at the latest to be on time.
  Millis due_;
  int route_priority_ = 0;  // decides among equal priorities
};

// Orders the requests that wait. Engines read prompts in the order in which
// they come, whatever their urgency, so an urgent request is late behind long
// prompts; this holds those back. It answers bursts of long prompts beside
// short urgent ones. Within a rank, requests go by their due time, and
// those that are late already stand back behind those that can still be on time
// for a while: serving the oldest first would make all of them late. Thread
// safety: none.
class WaitingRoom {
 public:
  // @return the name of the request in this room.
  uint64_t Add(const WaitingRequest& request);
  void Remove(uint64_t id);

  // @return the requests in the order in which they should be tried.
  std::vector<uint64_t> Order(Millis now) const;

  size_t size() const { return waiting_.size(); }

 private:
  std::map<uint64_t, WaitingRequest> waiting_;  // in the order of arrival
  uint64_t next_ = 0;
};

// How many prompt tokens may be ahead at an engine when a request is sent, so
// that a more urgent one that comes behind it can still be on time.
struct RoomRule {
  // The tightest target among the more urgent routes of the group; zero if
  // there is none, which means no limit.
  Millis tightest_target_;
  // Prompt tokens that an engine reads in a millisecond, beside its batch.
  double tokens_per_ms_ = 100;
};

// @param own_tokens what the engine would read of the request. A short prompt
// delays others little and may go behind more.
// @param reads_again whether another engine keeps what this one would read.
// That is for engines with next to nothing to do: where all are busy, it would
// take their time from what waits. This answers bursts beyond what the fleet
// reads.
// @return the limit; negative for none. Thread safety: safe.
double TokensAllowedAhead(const RoomRule& rule,
                          double own_tokens,
                          bool reads_again = false);

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_WAITING_ROOM_H_
