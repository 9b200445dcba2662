// The list of instances behind the instance list stand-in, with delayed
// changes.
#ifndef BERGAMOTSCALE_STANDINS_PLATFORM_INSTANCE_LIST_H_
#define BERGAMOTSCALE_STANDINS_PLATFORM_INSTANCE_LIST_H_

#include <deque>
#include <map>
#include <string>

#include <nlohmann/json.hpp>

#include "bergamotscale/result.h"
#include "bergamotscale/units.h"

namespace bergamotscale::standins {

// Registers instances and shows each change only after a lag.
// Thread safety: use from one thread. `now` must not decrease.
class InstanceList {
 public:
  explicit InstanceList(Millis lag);

  // Registers an instance or changes it. The JSON object has "id", "role"
  // ("entry", "sidecar", "console"...), "group", "zone", "address",
  // "link_port", "http_port" and "state": "live", "leaving", or "gone", which
  // removes it from the list. Only "id" is required; on a change, missing
  // fields keep their values.
  // @return kMalformedBody with one line per error.
  Status Change(const std::string& text, Millis now);

  // @return {"instances":[...]}, the list as it was one lag before `now`.
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
