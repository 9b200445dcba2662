// The single thread that runs a stand-in's logic, which then needs no locks.
#ifndef BERGAMOTSCALE_STANDINS_PLATFORM_EVENT_LOOP_H_
#define BERGAMOTSCALE_STANDINS_PLATFORM_EVENT_LOOP_H_

#include <functional>
#include <memory>

#include "bergamotscale/units.h"

namespace bergamotscale::standins {

// Runs posted tasks one after another.
// Thread safety: safe.
class EventLoop {
 public:
  EventLoop();
  // Drops tasks that have not run and joins the thread.
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Runs a task on the loop's thread, after tasks posted earlier.
  void Post(std::function<void()> task);
  void PostAfter(Millis delay, std::function<void()> task);
  // Runs a task on the loop's thread and waits until it has returned. Must not
  // be called on the loop's thread.
  void RunAndWait(const std::function<void()>& task);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::standins

#endif  // BERGAMOTSCALE_STANDINS_PLATFORM_EVENT_LOOP_H_
