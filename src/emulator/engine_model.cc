#include "src/emulator/engine_model.h"

#include <algorithm>
#include <deque>
#include <limits>
#include <unordered_map>
#include <utility>

#include "src/emulator/cache_events.h"
#include "src/emulator/prefix_cache.h"

namespace bergamotscale::emulator {
namespace {

// Minimum interval between load records.
constexpr Micros kMinReportInterval = Micros(10 * kMicrosPerMilli);
constexpr int64_t kNoCrash = std::numeric_limits<int64_t>::max();

// A request and its progress.
struct Sequence {
  EngineRequest request_;
  int64_t submission_number_ = 0;  // order of submission
  int64_t generated_ = 0;  // answer tokens, including those before a resume
  Tokens prefill_left_;
  Tokens cached_;
  // The work of the current step for this sequence.
  Tokens prefill_in_step_;
  bool decodes_in_step_ = false;

  Tokens KvTokens() const {
    return request_.prompt_tokens_ + Tokens(generated_);
  }
};

}  // namespace

class EngineModel::Impl {
 public:
  explicit Impl(const EngineParameters& parameters)
      : parameters_(parameters),
        cache_events_(parameters),
        cache_(parameters.prefix_capacity_, [this](uint64_t hash, bool stored) {
          cache_events_.Add(hash, stored, now_);
        }) {}

  bool Submit(const EngineRequest& request, Micros now) {
    if (crashed_) {
      return false;
    }
    now_ = now;
    Sequence sequence;
    sequence.request_ = request;
    sequence.submission_number_ = ++last_submission_number_;
    sequence.generated_ = request.done_.count();
    waiting_.push_back(std::move(sequence));
    if (!in_step_) {
      StartStep(now);
    }
    return true;
  }

  bool Cancel(SequenceId id, Micros now) {
    now_ = now;
    return Remove(id, &running_) || Remove(id, &waiting_);
  }

  std::optional<Micros> NextEventTime() const {
    if (!in_step_ || hung_ || crashed_) {
      return std::nullopt;
    }
    return step_end_;
  }

  void Advance(Micros now, std::vector<EngineEvent>* events) {
    while (in_step_ && !hung_ && !crashed_ && step_end_ <= now) {
      now_ = step_end_;
      EndStep(events);
      if (!crashed_) {
        StartStep(step_end_);
      }
    }
    now_ = now;
  }

  void SetHung(bool hung, Micros now) {
    // The step that was interrupted ends no earlier than the release.
    if (hung_ && !hung && step_end_ < now) {
      step_end_ = now;
    }
    hung_ = hung;
  }

  void Crash(Micros now, std::vector<EngineEvent>* events) {
    if (crashed_) {
      return;
    }
    crashed_ = true;
    in_step_ = false;
    running_.clear();
    waiting_.clear();
    cache_.Clear();
    EngineEvent event;
    event.type_ = EngineEventType::kCrashed;
    event.at_ = now;
    events->push_back(event);
  }

  void Restart(Micros now) {
    now_ = now;
    crashed_ = false;
    hung_ = false;
    tokens_to_crash_ = kNoCrash;
    reports_.clear();
  }

  std::optional<KvBlob> ExportKv(SequenceId id) const {
    for (const Sequence& sequence : running_) {
      if (sequence.request_.id_ == id && sequence.prefill_left_ == Tokens(0)) {
        return KvBlob{sequence.request_.prompt_digest_, sequence.KvTokens()};
      }
    }
    return std::nullopt;
  }

  void ImportKv(const KvBlob& blob, Micros now) {
    now_ = now;
    cache_.Store(blob.prompt_digest_, blob.tokens_);
  }

  LoadReport ReportAt(Micros now) const {
    const Micros report_time = now - parameters_.report_lag_;
    LoadReport report;
    report.kv_capacity_ = parameters_.kv_capacity_;
    for (const LoadReport& candidate : reports_) {
      if (candidate.at_ > report_time) {
        break;
      }
      report = candidate;
    }
    return report;
  }

  EngineParameters parameters_;
  CacheEventLog cache_events_;
  PrefixCache cache_;
  std::vector<Sequence> waiting_;
  std::vector<Sequence> running_;
  double straggler_factor_ = 1;
  int64_t tokens_to_crash_ = kNoCrash;
  bool hung_ = false;
  bool crashed_ = false;

 private:
  static bool Remove(SequenceId id, std::vector<Sequence>* sequences) {
    const auto found = std::find_if(
        sequences->begin(), sequences->end(),
        [id](const Sequence& each) { return each.request_.id_ == id; });
    if (found == sequences->end()) {
      return false;
    }
    sequences->erase(found);
    return true;
  }

  // @return whether `a` is more urgent than `b`.
  bool IsMoreUrgent(const Sequence& a, const Sequence& b) const {
    const int a_priority = a.request_.priority_;
    const int b_priority = b.request_.priority_;
    if (parameters_.honors_priority_ && a_priority != b_priority) {
      return a_priority < b_priority;
    }
    return a.submission_number_ < b.submission_number_;
  }

  Tokens KvUsed() const {
    Tokens used(0);
    for (const Sequence& sequence : running_) {
      used += sequence.KvTokens();
    }
    return used;
  }

  // Moves waiting sequences into the batch while it has capacity.
  void Admit() {
    Tokens kv_used = KvUsed();
    while (!waiting_.empty() &&
           static_cast<int>(running_.size()) < parameters_.max_running_) {
      const auto next =
          std::min_element(waiting_.begin(), waiting_.end(),
                           [this](const Sequence& a, const Sequence& b) {
                             return IsMoreUrgent(a, b);
                           });
      const Tokens needed = next->KvTokens() + Tokens(1);
      // A single sequence always runs, however large.
      if (!running_.empty() && kv_used + needed > parameters_.kv_capacity_) {
        return;
      }
      kv_used += needed;
      running_.push_back(std::move(*next));
      waiting_.erase(next);
      StartPrefill(&running_.back());
    }
  }

  void StartPrefill(Sequence* sequence) {
    const EngineRequest& request = sequence->request_;
    const Tokens cached = std::max(cache_.FindPrefix(request.prefix_hashes_),
                                   cache_.Find(request.prompt_digest_));
    // The last token is always computed, to generate the next one.
    sequence->cached_ = std::min(cached, sequence->KvTokens() - Tokens(1));
    sequence->prefill_left_ = sequence->KvTokens() - sequence->cached_;
  }

  void StartStep(Micros now) {
    now_ = now;
    Admit();
    RecordLoad(now);
    in_step_ = !running_.empty();
    if (!in_step_) {
      return;
    }
    Tokens budget = parameters_.prefill_chunk_;
    Micros duration = parameters_.step_base_;
    for (Sequence& sequence : running_) {
      sequence.prefill_in_step_ = std::min(budget, sequence.prefill_left_);
      sequence.decodes_in_step_ = sequence.prefill_left_ == Tokens(0);
      budget -= sequence.prefill_in_step_;
      duration +=
          parameters_.prefill_per_token_ * sequence.prefill_in_step_.count();
      if (sequence.decodes_in_step_) {
        duration += parameters_.step_per_sequence_;
      }
    }
    const double scaled =
        static_cast<double>(duration.count()) * straggler_factor_;
    step_time_ = Micros(std::max<int64_t>(1, static_cast<int64_t>(scaled)));
    step_end_ = now + step_time_;
  }

  void EndStep(std::vector<EngineEvent>* events) {
    in_step_ = false;
    for (Sequence& sequence : running_) {
      if (sequence.request_.crashes_engine_) {
        Crash(step_end_, events);
        return;
      }
    }
    for (Sequence& sequence : running_) {
      if (!ApplyStep(&sequence)) {
        continue;
      }
      GenerateToken(&sequence, events);
      if (--tokens_to_crash_ <= 0) {
        Crash(step_end_, events);
        return;
      }
    }
    const auto finished = std::remove_if(
        running_.begin(), running_.end(), [](const Sequence& each) {
          return each.generated_ >= each.request_.output_tokens_.count();
        });
    running_.erase(finished, running_.end());
    PreemptForMemory(events);
  }

  // Applies the step to a sequence.
  // @return whether the sequence generates a token at the end of this step.
  bool ApplyStep(Sequence* sequence) {
    if (sequence->decodes_in_step_) {
      return true;
    }
    if (sequence->prefill_in_step_ == Tokens(0)) {
      return false;
    }
    sequence->prefill_left_ -= sequence->prefill_in_step_;
    sequence->prefill_in_step_ = Tokens(0);
    if (sequence->prefill_left_ > Tokens(0)) {
      return false;
    }
    for (const uint64_t hash : sequence->request_.prefix_hashes_) {
      cache_.Store(hash, parameters_.block_);
    }
    return true;
  }

  void GenerateToken(Sequence* sequence, std::vector<EngineEvent>* events) {
    EngineEvent event;
    event.id_ = sequence->request_.id_;
    event.at_ = step_end_;
    event.index_ = sequence->generated_++;
    event.cached_tokens_ = sequence->cached_;
    events->push_back(event);
    if (sequence->generated_ >= sequence->request_.output_tokens_.count()) {
      event.type_ = EngineEventType::kFinished;
      event.index_ = sequence->generated_;
      events->push_back(event);
    }
  }

  // Returns the least urgent sequences to the queue while memory is short.
  // Their prompt and answer so far are prefilled again later.
  void PreemptForMemory(std::vector<EngineEvent>* events) {
    while (running_.size() > 1 && KvUsed() > parameters_.kv_capacity_) {
      const auto last =
          std::max_element(running_.begin(), running_.end(),
                           [this](const Sequence& a, const Sequence& b) {
                             return IsMoreUrgent(a, b);
                           });
      EngineEvent event;
      event.type_ = EngineEventType::kPreempted;
      event.id_ = last->request_.id_;
      event.at_ = step_end_;
      events->push_back(event);
      last->decodes_in_step_ = false;
      waiting_.push_back(std::move(*last));
      running_.erase(last);
    }
  }

  void RecordLoad(Micros now) {
    if (!reports_.empty() && now - reports_.back().at_ < kMinReportInterval) {
      return;
    }
    LoadReport report;
    report.at_ = now;
    report.running_ = static_cast<int>(running_.size());
    report.waiting_ = static_cast<int>(waiting_.size());
    report.kv_used_ = KvUsed();
    report.kv_capacity_ = parameters_.kv_capacity_;
    report.prefix_used_ = cache_.used();
    report.step_time_ = step_time_;
    reports_.push_back(report);
    // Keeps one report that is older than the lag.
    while (reports_.size() > 1 &&
           reports_[1].at_ <= now - parameters_.report_lag_) {
      reports_.pop_front();
    }
  }

  Micros now_;
  int64_t last_submission_number_ = 0;
  bool in_step_ = false;
  Micros step_time_;
  Micros step_end_;
  std::deque<LoadReport> reports_;
};

EngineModel::EngineModel(const EngineParameters& parameters)
    : impl_(std::make_unique<Impl>(parameters)) {}

EngineModel::~EngineModel() = default;
EngineModel::EngineModel(EngineModel&&) noexcept = default;
EngineModel& EngineModel::operator=(EngineModel&&) noexcept = default;

bool EngineModel::Submit(const EngineRequest& request, Micros now) {
  return impl_->Submit(request, now);
}

bool EngineModel::Cancel(SequenceId id, Micros now) {
  return impl_->Cancel(id, now);
}

std::optional<Micros> EngineModel::NextEventTime() const {
  return impl_->NextEventTime();
}

void EngineModel::Advance(Micros now, std::vector<EngineEvent>* events) {
  impl_->Advance(now, events);
}

void EngineModel::SetStragglerFactor(double factor) {
  impl_->straggler_factor_ = factor;
}

void EngineModel::SetHung(bool hung, Micros now) {
  impl_->SetHung(hung, now);
}

void EngineModel::CrashAfterTokens(int64_t tokens) {
  impl_->tokens_to_crash_ = tokens;
}

void EngineModel::CrashNow(Micros now, std::vector<EngineEvent>* events) {
  impl_->Crash(now, events);
}

void EngineModel::Restart(Micros now) {
  impl_->Restart(now);
}

bool EngineModel::crashed() const {
  return impl_->crashed_;
}

std::optional<KvBlob> EngineModel::ExportKv(SequenceId id) const {
  return impl_->ExportKv(id);
}

void EngineModel::ImportKv(const KvBlob& blob, Micros now) {
  impl_->ImportKv(blob, now);
}

int EngineModel::running() const {
  return static_cast<int>(impl_->running_.size());
}

int EngineModel::waiting() const {
  return static_cast<int>(impl_->waiting_.size());
}

LoadReport EngineModel::ReportAt(Micros now) const {
  return impl_->ReportAt(now);
}

std::vector<CacheEvent> EngineModel::CacheEventsFrom(int64_t number,
                                                     Micros now) const {
  return impl_->cache_events_.GetPublished(number, now);
}

}  // namespace bergamotscale::emulator
