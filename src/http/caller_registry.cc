#include "src/http/caller_registry.h"

#include <algorithm>
#include <utility>

#include <boost/asio/ip/address_v4.hpp>

namespace bergamotscale::http {
namespace {

using boost::asio::ip::address_v4;

// From 127.1.0.0 up to, but not including, 127.255.0.0.
constexpr uint32_t kFirstAddress = 0x7f010000;
constexpr uint32_t kEndAddress = 0x7fff0000;

bool IsCallerAddress(const std::string& address) {
  boost::system::error_code error;
  const address_v4 parsed = boost::asio::ip::make_address_v4(address, error);
  return !error && parsed.to_uint() >= kFirstAddress &&
         parsed.to_uint() < kEndAddress;
}

}  // namespace

std::string CallerRegistry::Add() {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (;;) {
    std::string address = address_v4(kFirstAddress + next_address_).to_string();
    next_address_ = (next_address_ + 1) % (kEndAddress - kFirstAddress);
    if (callers_.emplace(address, Caller()).second) {
      return address;
    }
  }
}

void CallerRegistry::Remove(const std::string& address) {
  std::map<HookId, LeftHook> hooks;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = callers_.find(address);
    if (found == callers_.end()) {
      return;
    }
    hooks = std::move(found->second.hooks_);
    callers_.erase(found);
  }
  for (const auto& [id, hook] : hooks) {
    hook();
  }
}

CallerRegistry::HookId CallerRegistry::AddHook(const std::string& address,
                                               LeftHook hook,
                                               bool* left) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = callers_.find(address);
  if (found == callers_.end()) {
    *left = IsCallerAddress(address);
    return kNoHook;
  }
  *left = false;
  const HookId id = next_hook_++;
  found->second.hooks_.emplace(id, std::move(hook));
  return id;
}

void CallerRegistry::RemoveHook(const std::string& address, HookId id) {
  LeftHook removed;  // destroyed without the lock
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = callers_.find(address);
  if (found == callers_.end()) {
    return;
  }
  const auto hook = found->second.hooks_.find(id);
  if (hook != found->second.hooks_.end()) {
    removed = std::move(hook->second);
    found->second.hooks_.erase(hook);
  }
}

void CallerRegistry::RequestStarted(const std::string& address) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = callers_.find(address);
  if (found != callers_.end()) {
    ++found->second.in_progress_;
  }
}

void CallerRegistry::RequestFinished(const std::string& address) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = callers_.find(address);
  if (found != callers_.end()) {
    found->second.in_progress_ = std::max(0, found->second.in_progress_ - 1);
  }
}

int CallerRegistry::requests_in_progress(const std::string& address) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = callers_.find(address);
  return found == callers_.end() ? 0 : found->second.in_progress_;
}

}  // namespace bergamotscale::http
