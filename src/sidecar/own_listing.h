// Watches whether the platform's list shows this instance as leaving.
#ifndef BERGAMOTSCALE_SRC_SIDECAR_OWN_LISTING_H_
#define BERGAMOTSCALE_SRC_SIDECAR_OWN_LISTING_H_

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "bergamotscale/ids.h"
#include "bergamotscale/units.h"

namespace bergamotscale::sidecar {

// @return whether the body of GET /instances shows the instance as leaving.
// Thread safety: safe.
bool IsListedAsLeaving(const std::string& body, const InstanceId& instance);

// Polls the list; while it can't be reached nothing changes.
// Thread safety: use on the io_context's thread.
class OwnListing {
 public:
  // @param url of the list; if empty, nothing is polled.
  // @param on_leaving called once, on the io_context's thread.
  OwnListing(boost::asio::io_context& io,
             const std::string& url,
             InstanceId instance,
             Millis interval,
             std::function<void()> on_leaving);
  ~OwnListing();
  OwnListing(const OwnListing&) = delete;
  OwnListing& operator=(const OwnListing&) = delete;

  void Start();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace bergamotscale::sidecar

#endif  // BERGAMOTSCALE_SRC_SIDECAR_OWN_LISTING_H_
