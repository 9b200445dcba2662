// The measurements of an experiment.
#ifndef BERGAMOTSCALE_SRC_LAB_RECORDER_H_
#define BERGAMOTSCALE_SRC_LAB_RECORDER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "src/lab/arrivals.h"
#include "src/lab/scenario.h"

namespace bergamotscale::lab {

using emulator::Micros;

// One class in the measured part of a run.
struct ClassReport {
  std::string name_;
  int64_t tier_ = 0;
  int64_t requests_ = 0;  // with a known outcome at the end of the run
  int64_t refused_ = 0;
  int64_t failed_ = 0;  // timed out, or lost with an engine
  int64_t completed_ = 0;
  int64_t preempted_ = 0;          // preemptions by engines
  double attainment_ = 0;          // percent of requests within both targets
  double first_token_p99_ = 0;     // ms
  double between_tokens_p99_ = 0;  // ms
  // Minimum number of completions in any of the 30 s windows.
  int64_t min_per_window_ = 0;
};

struct Report {
  std::string policy_;
  uint64_t seed_ = 0;
  std::vector<ClassReport> classes_;
  double goodput_ = 0;  // tokens per second of requests within their targets
  double output_ = 0;   // tokens generated per second
  // Goodput as a percentage of what the engines could generate at the batch
  // sizes that they ran.
  double goodput_percent_ = 0;
  // Goodput as a percentage of ComputeMaxGoodput(); 0 if the top tier alone
  // exceeds the capacity.
  double attainable_percent_ = 0;
  // Percent of the shared prompt tokens that were cached, over started
  // requests.
  double cached_percent_ = 0;
  double mean_batch_ = 0;
  double wasted_percent_ = 0;  // of the tokens generated
  int64_t generated_tokens_ = 0;
  int64_t wasted_tokens_ = 0;
  int64_t crashes_ = 0;
  int64_t retries_ = 0;
};

// Records the events of a simulation and reports on them.
// Thread safety: none.
class Recorder {
 public:
  // Keeps references to both arguments, which must outlive it.
  Recorder(const Scenario& scenario, const std::vector<Arrival>& arrivals);

  void RecordRejected(int request);
  void RecordFailed(int request);
  void RecordLeft(int request, Micros at);
  void RecordCompleted(int request, Micros at);
  // Records that the caller received the token with this index.
  void RecordDelivered(int request, int64_t index, Micros at);
  // Records that an engine generated a token.
  void RecordGenerated(Micros at);
  // Records that an engine has prefilled a request; `cached` tokens of its
  // prompt were cached.
  void RecordPrefilled(int request, Tokens cached, Micros at);
  void RecordPreempted(int request);
  void RecordCrash() { ++crashes_; }
  void RecordRetry() { ++retries_; }
  // Records a sample of one engine that is up.
  void Sample(Micros at, int running);

  Report MakeReport(const std::string& policy, uint64_t seed) const;

 private:
  enum class End { kOpen, kRefused, kFailed, kLeft, kCompleted };
  struct Progress {
    End end_ = End::kOpen;
    Micros ended_;
    Micros first_;
    Micros last_;
    int64_t delivered_ = 0;
    int64_t in_window_ = 0;
  };

  bool IsInWindow(Micros at) const;
  bool IsMeasured(int request) const;
  bool MissedFirstToken(int request, Micros by) const;
  bool IsUndecided(int request) const;
  bool MetTargets(int request) const;
  double MeanTokenInterval(int request) const;
  ClassReport MakeClassReport(int class_index) const;
  int64_t MinPerWindow(int class_index) const;

  const Scenario& scenario_;
  const std::vector<Arrival>& arrivals_;
  std::vector<Progress> progress_;
  std::vector<int64_t> preempted_;
  Micros from_;
  Micros to_;
  int64_t generated_ = 0;
  int64_t delivered_ = 0;
  int64_t generated_in_window_ = 0;
  int64_t shared_prompts_ = 0;  // tokens
  int64_t cached_prompts_ = 0;  // tokens
  int64_t samples_ = 0;
  int64_t busy_samples_ = 0;
  int64_t sampled_running_ = 0;
  int64_t crashes_ = 0;
  int64_t retries_ = 0;
};

}  // namespace bergamotscale::lab

#endif  // BERGAMOTSCALE_SRC_LAB_RECORDER_H_
