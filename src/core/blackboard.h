// Shares an immutable snapshot between threads.
#ifndef BERGAMOTSCALE_SRC_CORE_BLACKBOARD_H_
#define BERGAMOTSCALE_SRC_CORE_BLACKBOARD_H_

#include <memory>
#include <mutex>
#include <utility>

namespace bergamotscale {

// Holds the newest snapshot of a T. Writers replace it as a whole; a reader's
// snapshot never changes and stays valid as long as the reader holds it.
// Thread safety: safe.
template <typename T>
class LatestSnapshot {
 public:
  // @return the newest snapshot; null before the first Write().
  std::shared_ptr<const T> Read() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return snapshot_;
  }

  // Replaces the snapshot.
  void Write(T value) { Write(std::make_shared<const T>(std::move(value))); }
  void Write(std::shared_ptr<const T> snapshot) {
    const std::lock_guard<std::mutex> lock(mutex_);
    snapshot_ = std::move(snapshot);
  }

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const T> snapshot_;
};

}  // namespace bergamotscale

#endif  // BERGAMOTSCALE_SRC_CORE_BLACKBOARD_H_
