#include "standins/engine/weight_fetch.h"

#include <utility>

#include "src/http/client.h"

namespace bergamotscale::standins {
namespace {

constexpr int kHttpOk = 200;
constexpr Millis kFetchTimeout = Millis(600000);

}  // namespace

void FetchWeights(const std::string& store_url,
                  const std::string& name,
                  std::function<void(bool sent)> done) {
  if (store_url.empty()) {
    done(true);
    return;
  }
  http::Call call;
  call.url_ = store_url + "/weights/" + name;
  call.timeout_ = kFetchTimeout;
  http::CallOnce(call,
                 [done = std::move(done)](const Result<http::Reply>& reply) {
                   done(reply.ok() && reply.value().status_ == kHttpOk);
                 });
}

}  // namespace bergamotscale::standins
