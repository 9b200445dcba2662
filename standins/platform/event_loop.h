// One thread that runs all of a stand-in's logic, so that it needs no locks.
#ifndef BERGAMOTSCALE_STANDINS_PLATFORM_EVENT_LOOP_H_
#define BERGAMOTSCALE_STANDINS_PLATFORM_EVENT_LOOP_H_

#include <functional>
#include <memory>

#include "bergamotscale/units.h"

namespace bergamotscale::standins {

// Thread safety: safe.
class EventLoop {
 public:
  EventLoop();
  // Drops what has not run and joins the thread.
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Runs a task on the thread of the loop, after those posted before.
  void Post(std::function<void()> task);
  void PostAfter(Millis delay, std::function<void()> task);
  // Runs a task there and waits for it. Don't call on the loop's thread.
  void RunAndWait(const std::function<void()>& task);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::standins

#endif  // BERGAMOTSCALE_STANDINS_PLATFORM_EVENT_LOOP_H_
