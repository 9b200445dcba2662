// The lagging list of instances of the instance list stand-in.
#ifndef BERGAMOTSCALE_STANDINS_PLATFORM_INSTANCE_LIST_H_
#define BERGAMOTSCALE_STANDINS_PLATFORM_INSTANCE_LIST_H_

#include <deque>
#include <map>
#include <string>

#include <nlohmann/json.hpp>

#include "bergamotscale/result.h"
#include "bergamotscale/units.h"

namespace bergamotscale::standins {

// Shows each change only after a lag.
// Thread safety: use from one thread. `now` must not decrease.
class InstanceList {
 public:
  explicit InstanceList(Millis lag);

  // Registers an instance or changes it. The JSON object has "id", "role"
  // ("entry", "sidecar", "console"...), "group", "zone", "address",
  // "link_port", "http_port" and "state": "live", "leaving", or "gone", which
  // takes it off the list. On a change only "id" is needed.
  // @return kMalformedBody with one line per error.
  Status Change(const std::string& text, Millis now);

  // @return {"instances":[...]} as of one lag before `now`.
  std::string Render(Millis now);

  void SetLag(Millis lag) { lag_ = lag; }

 private:
  struct Pending {
    Millis time_;
    nlohmann::json instance_;
  };

  Millis lag_;
  std::map<std::string, nlohmann::json> newest_;
  std::deque<Pending> pending_;
  std::map<std::string, nlohmann::json> shown_;
};

}  // namespace bergamotscale::standins

#endif  // BERGAMOTSCALE_STANDINS_PLATFORM_INSTANCE_LIST_H_
