// The slots of one upstream and the reservations that wait for them.
#ifndef BERGAMOTSCALE_SRC_SIDECAR_SCHEDULER_H_
#define BERGAMOTSCALE_SRC_SIDECAR_SCHEDULER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <vector>

#include "bergamotscale/clock.h"
#include "bergamotscale/config_document.h"
#include "bergamotscale/error.h"
#include "src/policy/batch_target.h"
#include "src/policy/concurrency_limiter.h"
#include "src/policy/quarantine.h"
#include "src/policy/work_queue.h"
#include "src/wire/messages.h"

namespace bergamotscale::sidecar {

struct SchedulerOptions {
  int initial_slots_ = 16;
  int max_slots_ = 256;
  // Whether the number of slots is learned from the time between tokens.
  bool learns_ = true;
  Millis grant_timeout_ = Millis(500);
  // Name of this sidecar's upstream in crash verdicts.
  uint64_t crash_source_ = 0;
};

// Names one reservation from Enqueue() to its end.
using Ticket = uint64_t;

// One of them is called at a time; after on_refused_ the ticket is over.
struct TicketHooks {
  // A slot is held: Start() or End() must follow within the grant timeout.
  std::function<void()> on_granted_;
  // It did not run here.
  std::function<void(ErrorCode, Millis retry_after)> on_refused_;
};

// How a ticket that was granted or started ends.
enum class TicketEnd {
  kCompleted,   // ran to its end
  kCancelled,   // was cancelled, or failed alone
  kNotStarted,  // the slot was not used
};

// Decides which reservation runs next and remembers which requests crash the
// upstream.
// Thread safety: use from one thread.
class Scheduler {
 public:
  Scheduler(SchedulerOptions options, Clock clock);

  // Takes targets and floors of a configuration.
  void Configure(const ConfigDocument& document);

  // Queues a reservation. Hooks may come before this returns.
  Ticket Enqueue(const wire::Reserve& reserve, TicketHooks hooks);
  // Removes a ticket that was not started, without a hook.
  void Withdraw(Ticket ticket);
  // Uses the slot of a grant.
  // @return false if the ticket holds no slot any more, or while held.
  bool Start(Ticket ticket);
  // Notes tokens that a started ticket has written.
  void OnChunk(Ticket ticket, Tokens tokens);
  // Frees the slot.
  void End(Ticket ticket, TicketEnd end);

  // @return digests of the requests that run now.
  std::vector<policy::RunningDigest> RunningDigests() const;
  // The upstream crashed while these ran.
  // @return what peers should be told.
  std::vector<wire::CrashVerdict> OnCrash(
      const std::vector<policy::RunningDigest>& running);
  // Takes in a peer's verdict. What runs or waits here is judged by it too.
  void Merge(const wire::CrashVerdict& verdict);
  std::vector<wire::CrashVerdict> Verdicts(size_t limit) const;

  // Refuses what waits, and from now on what comes, for these models.
  void Withhold(const std::set<ModelId>& models);
  // @return models of the requests that hold a slot.
  std::set<ModelId> ModelsInUse() const;

  // While not accepting nothing is granted, and nothing new is queued.
  void SetAccepting(bool accepting);
  // While held nothing is granted or started; what waits goes on waiting.
  void Hold(bool hold);
  // Refuses all that wait and from then on all that come. For good.
  void Leave();

  // Refuses what waited too long and takes back unused grants. Call every few
  // milliseconds.
  void Tick();

  // Fills in the parts of a status that are known here.
  void Describe(wire::SidecarStatus* status) const;

 private:
  struct Entry {
    policy::QueueItem item_;
    uint64_t digest_ = 0;
    ModelId model_;
    TicketHooks hooks_;
    std::vector<uint64_t> prefix_hashes_;
    bool granted_ = false;
    bool started_ = false;
    Millis granted_at_;
    Millis between_tokens_target_;
    Millis first_chunk_;
    Millis last_chunk_;
    Tokens output_;
  };

  ErrorCode Refusal(const wire::Reserve& reserve);
  policy::QueueItem ItemOf(const wire::Reserve& reserve, Ticket ticket) const;
  void Pump();
  void Grant(const policy::QueueItem& item);
  bool Reconsider(const policy::QueueItem& item);
  void MarkSuspects(uint64_t digest);
  void Refuse(Ticket ticket, ErrorCode code);
  void RefuseWaiting(ErrorCode code);
  void DescribeModels(wire::SidecarStatus* status) const;
  void ObserveAnswer(const Entry& entry);
  void RememberPrefixes(const Entry& entry);

  SchedulerOptions options_;
  Clock clock_;
  policy::WorkQueue queue_;
  policy::ConcurrencyLimiter limiter_;
  policy::BatchTarget batch_target_;
  policy::Quarantine quarantine_;
  std::vector<ClassId> classes_;
  std::map<Ticket, Entry> entries_;
  std::set<ModelId> withheld_;
  std::deque<uint64_t> recent_prefixes_;
  Ticket last_ticket_ = 0;
  bool accepting_ = false;
  bool held_ = false;
  bool leaving_ = false;
};

}  // namespace bergamotscale::sidecar

#endif  // BERGAMOTSCALE_SRC_SIDECAR_SCHEDULER_H_
