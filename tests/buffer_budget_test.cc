// Tests which buffers are given up when memory runs short.
#include "src/policy/buffer_budget.h"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <doctest/doctest.h>

namespace bergamotscale::policy {
namespace {

constexpr int64_t kMegabyte = 1'000'000;

// Records the names of the buffers that were given up.
struct Buffers {
  explicit Buffers(Bytes limit) : budget_(limit) {}

  // @param level of two, 0 is the more urgent one; unknown if negative.
  void Set(const std::string& name,
           BufferUse use,
           size_t size,
           int level = -1) {
    auto& account = accounts_[name];
    if (account == nullptr) {
      account = std::make_unique<BufferBudget::Account>(
          budget_, use, [this, name] { given_up_.push_back(name); });
    }
    account->SetUse(use);
    if (level >= 0) {
      account->SetUrgency(level, 2);
    }
    account->SetSize(size);
  }

  BufferBudget budget_;
  std::vector<std::string> given_up_;
  std::map<std::string, std::unique_ptr<BufferBudget::Account>> accounts_;
};

// Each response stayed within its own limit, and a hundred of them used up the
// memory of the process.
TEST_CASE("buffer budget: endless responses go before sound requests") {
  Buffers buffers(Bytes{100 * kMegabyte});
  for (int i = 0; i < 50; ++i) {
    buffers.Set("sound" + std::to_string(i), BufferUse::kRequest, 500'000);
  }
  for (size_t size = 100'000; size <= 4 * kMegabyte; size += 100'000) {
    for (int i = 0; i < 100; ++i) {
      const std::string name = "endless" + std::to_string(i);
      if (std::count(buffers.given_up_.begin(), buffers.given_up_.end(),
                     name) == 0) {
        buffers.Set(name, BufferUse::kUnboundedResponse, size);
      }
    }
    CHECK(buffers.budget_.held() <= 100 * kMegabyte);
  }
  CHECK(buffers.given_up_.size() >= 75);
  for (const std::string& name : buffers.given_up_) {
    CHECK(name.rfind("endless", 0) == 0);
  }
}

TEST_CASE("buffer budget: a small unbounded response outlives a large body") {
  Buffers buffers(Bytes{10 * kMegabyte});
  buffers.Set("event", BufferUse::kUnboundedResponse, 1'000);
  buffers.Set("upload", BufferUse::kRequest, 4 * kMegabyte);
  buffers.Set("unread", BufferUse::kOutput, 4 * kMegabyte);
  buffers.Set("last", BufferUse::kRequest, 3 * kMegabyte);
  CHECK(buffers.given_up_ == std::vector<std::string>{"unread"});
}

TEST_CASE("buffer budget: what is given up no longer counts") {
  Buffers buffers(Bytes{kMegabyte});
  buffers.Set("a", BufferUse::kRequest, kMegabyte + 1);
  CHECK(buffers.given_up_ == std::vector<std::string>{"a"});
  CHECK(buffers.budget_.held() == 0);
  // Until it is released it may still grow; it is given up just once.
  buffers.Set("a", BufferUse::kRequest, 2 * kMegabyte);
  buffers.Set("b", BufferUse::kRequest, kMegabyte);
  CHECK(buffers.given_up_.size() == 1);
  CHECK(buffers.budget_.held() == kMegabyte);
  buffers.Set("b", BufferUse::kRequest, 0);
  buffers.Set("a", BufferUse::kRequest, 0);
  buffers.Set("a", BufferUse::kRequest, 7);
  CHECK(buffers.budget_.held() == 7);
  buffers.accounts_.clear();
  CHECK(buffers.budget_.held() == 0);
}

// All of them were given up by size alone: memory that retries had needed was
// kept, and streams that an upstream had left were broken off.
TEST_CASE("buffer budget: urgent and resumable requests go last") {
  Buffers buffers(Bytes{7 * kMegabyte});
  buffers.Set("interrupted", BufferUse::kInterruptedRequest, kMegabyte, 1);
  buffers.Set("waiting urgent", BufferUse::kRequest, kMegabyte, 0);
  buffers.Set("waiting", BufferUse::kRequest, kMegabyte, 1);
  buffers.Set("resumable urgent", BufferUse::kResumableCopy, kMegabyte, 0);
  buffers.Set("resumable", BufferUse::kResumableCopy, kMegabyte, 1);
  buffers.Set("copy urgent", BufferUse::kRetryCopy, kMegabyte, 0);
  buffers.Set("copy", BufferUse::kRetryCopy, kMegabyte, 1);
  for (int i = 0; i < 7; ++i) {
    buffers.Set("more" + std::to_string(i), BufferUse::kInterruptedRequest,
                kMegabyte, 0);
  }
  const std::vector<std::string> order = {
      "copy",    "resumable",      "copy urgent", "resumable urgent",
      "waiting", "waiting urgent", "interrupted"};
  CHECK(buffers.given_up_ == order);
}

// A caller that has not sent its whole request has no known urgency.
TEST_CASE("buffer budget: unfinished requests go before known ones") {
  Buffers buffers(Bytes{10 * kMegabyte});
  buffers.Set("known", BufferUse::kRequest, 4 * kMegabyte, 0);
  buffers.Set("unfinished", BufferUse::kRequest, 3 * kMegabyte);
  buffers.Set("more", BufferUse::kRequest, 4 * kMegabyte, 0);
  CHECK(buffers.given_up_ == std::vector<std::string>{"unfinished"});
}

TEST_CASE("buffer budget: without a limit nothing is given up") {
  Buffers buffers(Bytes{0});
  buffers.Set("a", BufferUse::kUnboundedResponse, 1'000 * kMegabyte);
  CHECK(buffers.given_up_.empty());
}

}  // namespace
}  // namespace bergamotscale::policy
