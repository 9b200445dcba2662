// Registry of connected callers, keyed by their connection's loopback address.
#ifndef BERGAMOTSCALE_SRC_HTTP_CALLER_REGISTRY_H_
#define BERGAMOTSCALE_SRC_HTTP_CALLER_REGISTRY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <unordered_map>

namespace bergamotscale::http {

// Assigns an address in 127/8 to each connection, and keeps the hooks to call
// when the caller disconnects.
// Thread safety: safe.
class CallerRegistry {
 public:
  using LeftHook = std::function<void()>;
  using HookId = int64_t;
  // Id of a hook that was not kept.
  static constexpr HookId kNoHook = 0;

  // @return a new caller's address. An address is reused only after all others
  // have been used. Precondition: fewer callers than addresses.
  std::string Add();
  // Removes the caller, then calls its hooks on this thread.
  void Remove(const std::string& address);

  // Keeps a hook if the caller is connected.
  // @param left receives whether the caller has disconnected; false for an
  // address that was not assigned here. @return the hook's id, or kNoHook.
  HookId AddHook(const std::string& address, LeftHook hook, bool* left);
  void RemoveHook(const std::string& address, HookId id);

  void RequestStarted(const std::string& address);
  void RequestFinished(const std::string& address);
  // @return the number of requests that started and have not finished.
  int requests_in_progress(const std::string& address) const;

 private:
  struct Caller {
    std::map<HookId, LeftHook> hooks_;
    int in_progress_ = 0;
  };

  mutable std::mutex mutex_;
  std::unordered_map<std::string, Caller> callers_;
  uint32_t next_address_ = 0;
  HookId next_hook_ = 1;
};

}  // namespace bergamotscale::http

#endif  // BERGAMOTSCALE_SRC_HTTP_CALLER_REGISTRY_H_
