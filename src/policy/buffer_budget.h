// Bounds the bytes that a process keeps in memory for requests and responses.
#ifndef BERGAMOTSCALE_SRC_POLICY_BUFFER_BUDGET_H_
#define BERGAMOTSCALE_SRC_POLICY_BUFFER_BUDGET_H_

#include <cstddef>
#include <functional>
#include <list>
#include <utility>

#include "bergamotscale/units.h"

namespace bergamotscale::policy {

// What a buffer holds.
enum class BufferUse {
  kUnboundedResponse,  // of an upstream that announced no length
  kResponse,           // of an upstream that announced a length
  kOutput,             // for a caller that hasn't read it yet
  kRequest,            // of a caller
  // Of a request that an upstream has: a further send would need it.
  kRetryCopy,
  // The same, of a stream that another upstream can continue.
  kResumableCopy,
  // Of a stream that has begun and waits for another upstream.
  kInterruptedRequest,
};

// @return the use as it is logged and counted.
const char* BufferUseName(BufferUse use);

// Limits on single requests don't bound the memory of the process: a hundred
// upstreams that sent without end at once, each within the limit of a response,
// used up all of it. When the buffers together exceed the limit, the one that
// weighs most is given up: a response without a length weighs four times as
// much as a request of its size, so that small and sound ones come last. Of
// requests, copies for a further send go first, as most requests need none;
// those of resumable streams go behind others, and less urgent requests before
// more urgent ones.
// Thread safety: none.
class BufferBudget {
 public:
  // @param limit zero for none.
  explicit BufferBudget(Bytes limit) : limit_(limit) {}
  BufferBudget(const BufferBudget&) = delete;
  BufferBudget& operator=(const BufferBudget&) = delete;

 private:
  struct Buffer {
    BufferUse use_;
    size_t size_ = 0;
    // From 0 for the most to 1 for the least urgent; 1 if unknown.
    double slack_ = 1;
    bool given_up_ = false;
    std::function<void()> on_give_up_;
  };

 public:
  // One buffer. Must not outlive the budget.
  class Account {
   public:
    // @param on_give_up called from SetSize() of any account, once until the
    // size of this one is zero again. It must not change accounts at once, but
    // release the buffer soon.
    Account(BufferBudget& budget,
            BufferUse use,
            std::function<void()> on_give_up);
    ~Account();
    Account(const Account&) = delete;
    Account& operator=(const Account&) = delete;

    void SetSize(size_t size);
    void SetUse(BufferUse use) { buffer_->use_ = use; }
    // @param level of the request, of so many levels; 0 is the most urgent. A
    // buffer without an urgency counts as the least urgent one.
    void SetUrgency(int level, int levels);

   private:
    BufferBudget& budget_;
    const std::list<Buffer>::iterator buffer_;
  };

  // @param hook called for each buffer that is given up.
  void SetGiveUpHook(std::function<void(BufferUse, size_t size)> hook) {
    on_give_up_ = std::move(hook);
  }

  // @return the size of all buffers that are not given up.
  size_t held() const { return held_; }
  Bytes limit() const { return limit_; }
  // @return whether less than half of the limit is used.
  bool HasSpare() const {
    return held_ < static_cast<size_t>(limit_.count()) / 2;
  }

 private:
  void SetSize(Buffer& buffer, size_t size);
  void GiveUpHeaviest();

  const Bytes limit_;
  std::list<Buffer> buffers_;
  size_t held_ = 0;
  std::function<void(BufferUse, size_t)> on_give_up_;
};

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_BUFFER_BUDGET_H_
