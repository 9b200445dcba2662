// Callers by the loopback address that stands for their connection.
#ifndef BERGAMOTSCALE_SRC_HTTP_CALLER_REGISTRY_H_
#define BERGAMOTSCALE_SRC_HTTP_CALLER_REGISTRY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <unordered_map>

namespace bergamotscale::http {

// Gives out addresses of 127/8, one a connection, and keeps the hooks of those
// who want to know when the caller leaves.
// Thread safety: safe.
class CallerRegistry {
 public:
  using LeftHook = std::function<void()>;
  using HookId = int64_t;
  // Of a hook that needs no removal.
  static constexpr HookId kNoHook = 0;

  // @return a new caller's address. An address comes again only after all
  // others had their turn. Precondition: fewer callers than addresses.
  std::string Add();
  // Removes the caller, then calls its hooks on this thread.
  void Remove(const std::string& address);

  // @return the id of the hook, which is kept if the caller is present. If it
  // has left, or is none of ours, kNoHook: @param left tells which.
  HookId AddHook(const std::string& address, LeftHook hook, bool* left);
  void RemoveHook(const std::string& address, HookId id);

  void RequestStarted(const std::string& address);
  void RequestFinished(const std::string& address);
  // @return requests that started and have not finished.
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
