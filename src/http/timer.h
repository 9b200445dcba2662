// Delayed calls on the threads of the HTTP library.
#ifndef BERGAMOTSCALE_SRC_HTTP_TIMER_H_
#define BERGAMOTSCALE_SRC_HTTP_TIMER_H_

#include <functional>

#include "bergamotscale/units.h"

namespace bergamotscale::http {

// Runs the hook once, after the delay, on a thread of the HTTP library. It
// can't be cancelled, so the hook must check whether it still applies. Thread
// safety: safe.
void CallAfter(Millis delay, std::function<void()> hook);

}  // namespace bergamotscale::http

#endif  // BERGAMOTSCALE_SRC_HTTP_TIMER_H_
