// What an experiment measures.
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
  int64_t requests_ = 0;  // those decided by the end
  int64_t refused_ = 0;
  int64_t failed_ = 0;  // given up, or lost with an engine
  int64_t completed_ = 0;
  int64_t preempted_ = 0;          // times that an engine put one back
  double attainment_ = 0;          // percent within both targets
  double first_token_p99_ = 0;     // ms
  double between_tokens_p99_ = 0;  // ms
  // Fewest completions in any whole 30 s.
  int64_t least_per_window_ = 0;
};

struct Report {
  std::string policy_;
  uint64_t seed_ = 0;
  std::vector<ClassReport> classes_;
  double goodput_ = 0;  // tokens per second of requests within their targets
  double output_ = 0;   // tokens per second written
  // Percent of what the engines could write at the batch that they ran.
  double goodput_percent_ = 0;
  // Percent of MostGoodput(); 0 if the top tier alone exceeds capacity.
  double attainable_percent_ = 0;
  // Percent of the shared prompts of requests started that were cached.
  double cached_percent_ = 0;
  double mean_batch_ = 0;
  double wasted_percent_ = 0;  // of the tokens written
  int64_t written_tokens_ = 0;
  int64_t wasted_tokens_ = 0;
  int64_t crashes_ = 0;
  int64_t retries_ = 0;
};

// Takes in what happens in a simulation and reports on it.
// Thread safety: none.
class Recorder {
 public:
  // Keeps references to both, which must outlive it.
  Recorder(const Scenario& scenario, const std::vector<Arrival>& arrivals);

  void Refused(int request);
  void Failed(int request);
  void Left(int request, Micros at);
  void Completed(int request, Micros at);
  // The caller received the token of that index, at that time.
  void Delivered(int request, int64_t index, Micros at);
  // An engine wrote a token.
  void Written(Micros at);
  // An engine has prefilled a request, of whose prompt `cached` were cached.
  void Prefilled(int request, Tokens cached, Micros at);
  void Preempted(int request);
  void Crashed() { ++crashes_; }
  void Retried() { ++retries_; }
  // A sample of one engine that is up.
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

  bool InWindow(Micros at) const;
  bool Measured(int request) const;
  bool FirstTokenMissed(int request, Micros by) const;
  bool Undecided(int request) const;
  bool Attained(int request) const;
  double BetweenTokens(int request) const;
  ClassReport MakeClassReport(int class_index) const;
  int64_t LeastPerWindow(int class_index) const;

  const Scenario& scenario_;
  const std::vector<Arrival>& arrivals_;
  std::vector<Progress> progress_;
  std::vector<int64_t> preempted_;
  Micros from_;
  Micros to_;
  int64_t written_ = 0;
  int64_t delivered_ = 0;
  int64_t written_in_window_ = 0;
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
