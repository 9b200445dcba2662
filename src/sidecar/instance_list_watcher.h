// Detects that the platform's instance list shows this instance as leaving.
#ifndef BERGAMOTSCALE_SRC_SIDECAR_INSTANCE_LIST_WATCHER_H_
#define BERGAMOTSCALE_SRC_SIDECAR_INSTANCE_LIST_WATCHER_H_

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "bergamotscale/ids.h"
#include "bergamotscale/units.h"

namespace bergamotscale::sidecar {

// @param body the response body of GET /instances.
// @return whether it lists the instance as leaving.
// Thread safety: safe.
bool IsListedAsLeaving(const std::string& body, const InstanceId& instance);

// Polls the instance list until this instance is listed as leaving. Failed
// polls are ignored.
// Thread safety: use on the io_context's thread.
class InstanceListWatcher {
 public:
  // @param url base URL of the list service; if empty, nothing is polled.
  // @param on_leaving called once, on the io_context's thread.
  InstanceListWatcher(boost::asio::io_context& io,
                      const std::string& url,
                      InstanceId instance,
                      Millis interval,
                      std::function<void()> on_leaving);
  ~InstanceListWatcher();
  InstanceListWatcher(const InstanceListWatcher&) = delete;
  InstanceListWatcher& operator=(const InstanceListWatcher&) = delete;

  void Start();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace bergamotscale::sidecar

#endif  // BERGAMOTSCALE_SRC_SIDECAR_INSTANCE_LIST_WATCHER_H_
