// Grants an upstream's slots to reservations.
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
  // Whether the number of slots is adapted to the inter-token latency.
  bool adapts_slots_ = true;
  Millis grant_timeout_ = Millis(500);
  // Identifies this sidecar's upstream in crash verdicts.
  uint64_t crash_source_ = 0;
};

// Identifies a reservation from Enqueue() to its end.
using Ticket = uint64_t;

// After on_refused_ the ticket has ended.
struct TicketHooks {
  // The ticket holds a slot; call Start() or End() within the grant timeout.
  std::function<void()> on_granted_;
  // The request was rejected and not executed here.
  std::function<void(ErrorCode, Millis retry_after)> on_refused_;
};

// How a granted or started ticket ends.
enum class TicketEnd {
  kCompleted,   // ran to completion
  kCancelled,   // cancelled, or failed without an upstream crash
  kNotStarted,  // the slot was not used
};

// Queues reservations for one upstream, decides which runs next, and records
// which requests were running when the upstream crashed.
// Thread safety: use from one thread.
class Scheduler {
 public:
  Scheduler(SchedulerOptions options, Clock clock);

  // Applies the service classes of a configuration.
  void Configure(const ConfigDocument& document);

  // Queues a reservation. Hooks may be called before this returns.
  Ticket Enqueue(const wire::Reserve& reserve, TicketHooks hooks);
  // Removes a ticket that was not started; no hook is called.
  void Withdraw(Ticket ticket);
  // Starts using a granted slot.
  // @return false if the ticket no longer holds a slot, or while paused.
  bool Start(Ticket ticket);
  // Records output tokens of a started ticket.
  void OnChunk(Ticket ticket, Tokens tokens);
  // Ends a ticket and frees its slot.
  void End(Ticket ticket, TicketEnd end);

  // @return digests of the running requests.
  std::vector<policy::RunningAttempt> RunningDigests() const;
  // Records that the upstream crashed.
  // @param running the requests that ran at that time.
  // @return the verdicts to send to peers.
  std::vector<wire::CrashVerdict> OnCrash(
      const std::vector<policy::RunningAttempt>& running);
  // Merges a peer's verdict. It also applies to running and queued requests.
  void Merge(const wire::CrashVerdict& verdict);
  std::vector<wire::CrashVerdict> Verdicts(size_t limit) const;

  // Refuses queued and future requests for these models.
  void SetWithheldModels(const std::set<ModelId>& models);
  // @return the models of all requests that hold a slot.
  std::set<ModelId> ModelsInUse() const;

  // While not accepting, waiting requests are refused and no new ones queued.
  void SetAccepting(bool accepting);
  // While paused, nothing is granted or started; queued requests stay queued.
  void SetPaused(bool paused);
  // Refuses all queued and future requests. Can't be undone.
  void Leave();

  // Refuses requests past their deadline and revokes unused grants. Call every
  // few milliseconds.
  void Tick();

  // Fills in the load and slot fields of a status.
  void FillStatus(wire::SidecarStatus* status) const;

 private:
  struct Reservation {
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

  ErrorCode CheckAdmission(const wire::Reserve& reserve);
  policy::QueueItem MakeQueueItem(const wire::Reserve& reserve,
                                  Ticket ticket) const;
  void GrantSlots();
  void Grant(const policy::QueueItem& item);
  bool RecheckSuspicion(const policy::QueueItem& item);
  void MarkSuspects(uint64_t digest);
  void Refuse(Ticket ticket, ErrorCode code);
  void RefuseWaiting(ErrorCode code);
  void FillModelLoads(wire::SidecarStatus* status) const;
  void ObserveAnswer(const Reservation& reservation);
  void RememberPrefixes(const Reservation& reservation);

  SchedulerOptions options_;
  Clock clock_;
  policy::WorkQueue queue_;
  policy::ConcurrencyLimiter limiter_;
  policy::BatchTarget batch_target_;
  policy::Quarantine quarantine_;
  std::vector<ClassId> classes_;
  std::map<Ticket, Reservation> reservations_;
  std::set<ModelId> withheld_;
  std::deque<uint64_t> recent_prefixes_;
  Ticket last_ticket_ = 0;
  bool accepting_ = false;
  bool paused_ = false;
  bool leaving_ = false;
};

}  // namespace bergamotscale::sidecar

#endif  // BERGAMOTSCALE_SRC_SIDECAR_SCHEDULER_H_
