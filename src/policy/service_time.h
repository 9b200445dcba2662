// Learns how long requests of a route take once they are sent.
#ifndef BERGAMOTSCALE_SRC_POLICY_SERVICE_TIME_H_
#define BERGAMOTSCALE_SRC_POLICY_SERVICE_TIME_H_

#include <optional>
#include <string>
#include <unordered_map>

#include "bergamotscale/units.h"

namespace bergamotscale::policy {

// Tells which waiting requests can hardly be served any more. It answers
// overloads in which requests were sent so late that their callers left in the
// middle of the answer: the engines' time was lost for requests that could
// still be served, and the callers learned late that they could come back.
// Thread safety: none.
class ServiceTime {
 public:
  // Records a request that was served.
  // @param elapsed from the send to the end of the response.
  void OnServed(const std::string& route, Millis elapsed);

  // @return the time that a request of the route needs at least to be worth
  // sending; zero if nothing is known.
  Millis MinTimeLeft(const std::string& route) const;

  // @return the time within which nearly all requests of the route are served:
  // the longest of the latest ones and a margin, as the mean says little about
  // streams that differ in length. nullopt if too little is known.
  std::optional<Millis> LongestUsual(const std::string& route) const;

 private:
  struct Samples {
    double mean_ms_ = 0;
    int count_ = 0;
    // The longest of the latest samples, and of as many before them.
    Millis longest_;
    Millis former_longest_;
    int in_longest_ = 0;
  };

  std::unordered_map<std::string, Samples> routes_;
};

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_SERVICE_TIME_H_
