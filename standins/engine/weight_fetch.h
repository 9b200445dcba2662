// Fetches weights from the platform's weight store.
#ifndef BERGAMOTSCALE_STANDINS_ENGINE_WEIGHT_FETCH_H_
#define BERGAMOTSCALE_STANDINS_ENGINE_WEIGHT_FETCH_H_

#include <functional>
#include <string>

namespace bergamotscale::standins {

// Calls `done` with whether the store sent the weights, on a thread of the HTTP
// library. If store_url is empty, calls it with true before returning. Thread
// safety: safe.
void FetchWeights(const std::string& store_url,
                  const std::string& name,
                  std::function<void(bool sent)> done);

}  // namespace bergamotscale::standins

#endif  // BERGAMOTSCALE_STANDINS_ENGINE_WEIGHT_FETCH_H_
