#include "src/policy/buffer_budget.h"

#include <algorithm>

namespace bergamotscale::policy {
namespace {

// @return how much a byte weighs at the highest urgency.
double Weight(BufferUse use) {
  switch (use) {
    case BufferUse::kUnboundedResponse:
      return 4;
    case BufferUse::kRetryCopy:
      return 3;
    case BufferUse::kResumableCopy:
      return 2.5;
    case BufferUse::kResponse:
    case BufferUse::kOutput:
      return 2;
    case BufferUse::kRequest:
      return 1;
    case BufferUse::kInterruptedRequest:
      return 0.4;
  }
  return 1;
}

}  // namespace

const char* BufferUseName(BufferUse use) {
  switch (use) {
    case BufferUse::kUnboundedResponse:
      return "unbounded_response";
    case BufferUse::kResponse:
      return "response";
    case BufferUse::kOutput:
      return "output";
    case BufferUse::kRequest:
      return "request";
    case BufferUse::kRetryCopy:
      return "retry_copy";
    case BufferUse::kResumableCopy:
      return "resumable_copy";
    case BufferUse::kInterruptedRequest:
      return "interrupted_request";
  }
  return "";
}

BufferBudget::Account::Account(BufferBudget& budget,
                               BufferUse use,
                               std::function<void()> on_give_up)
    : budget_(budget),
      buffer_(budget.buffers_.insert(
          budget.buffers_.end(),
          Buffer{use, 0, 1, false, std::move(on_give_up)})) {}

BufferBudget::Account::~Account() {
  budget_.SetSize(*buffer_, 0);
  budget_.buffers_.erase(buffer_);
}

void BufferBudget::Account::SetSize(size_t size) {
  budget_.SetSize(*buffer_, size);
}

void BufferBudget::Account::SetUrgency(int level, int levels) {
  buffer_->slack_ = levels > 1 ? static_cast<double>(level) / (levels - 1) : 0;
}

void BufferBudget::SetSize(Buffer& buffer, size_t size) {
  const bool grows = size > buffer.size_;
  if (!buffer.given_up_) {
    held_ = held_ - buffer.size_ + size;
  }
  buffer.size_ = size;
  if (size == 0) {
    buffer.given_up_ = false;
  }
  const auto limit = static_cast<size_t>(limit_.count());
  while (grows && limit > 0 && held_ > limit) {
    GiveUpHeaviest();
  }
}

void BufferBudget::GiveUpHeaviest() {
  Buffer* heaviest = nullptr;
  double most = 0;
  for (Buffer& buffer : buffers_) {
    const double weight = buffer.given_up_
                              ? 0
                              : static_cast<double>(buffer.size_) *
                                    Weight(buffer.use_) * (1 + buffer.slack_);
    if (weight > most) {
      most = weight;
      heaviest = &buffer;
    }
  }
  // The size of all of them exceeds the limit, so there is one.
  heaviest->given_up_ = true;
  held_ -= heaviest->size_;
  if (on_give_up_) {
    on_give_up_(heaviest->use_, heaviest->size_);
  }
  heaviest->on_give_up_();
}

}  // namespace bergamotscale::policy
