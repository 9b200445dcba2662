// One work stream: reservation, grant, execution and response.
#ifndef BERGAMOTSCALE_SRC_SIDECAR_WORK_SESSION_H_
#define BERGAMOTSCALE_SRC_SIDECAR_WORK_SESSION_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include "src/link/link.h"
#include "src/metrics/metrics.h"
#include "src/orders/order_executor.h"
#include "src/sidecar/execution.h"
#include "src/sidecar/scheduler.h"
#include "src/sidecar/settings.h"
#include "src/timeline/timeline.h"
#include "src/wire/messages.h"

namespace bergamotscale::sidecar {

// Called with the result of the probe that follows a failed call.
using ProbeHook = std::function<void(bool upstream_up)>;

// Shared by all sessions of a sidecar; must outlive them.
struct SessionContext {
  boost::asio::io_context& io_;
  const SidecarSettings& settings_;
  Scheduler& scheduler_;
  orders::OrderExecutor& executor_;
  timeline::Timeline& timeline_;
  metrics::Metrics& metrics_;
  // A call failed after it was sent. The hook is called after a probe.
  std::function<void(ProbeHook)> on_upstream_failed_;
  // The upstream refused work because it is leaving, or is unreachable.
  std::function<void()> on_upstream_unavailable_;
};

// Handles one request from its reservation to its response.
// Thread safety: use on the io_context's thread.
class WorkSession : public std::enable_shared_from_this<WorkSession> {
 public:
  using EndHook = std::function<void(const std::shared_ptr<WorkSession>&)>;

  // @param on_end called once, when the session has ended.
  WorkSession(SessionContext& context, link::Stream stream, EndHook on_end);

  // @return the hooks of the stream; they don't keep the session alive.
  link::StreamHooks Hooks();

  // Fails the running call if it got no data for `silence`. Call when health
  // checks of the upstream time out.
  void OnUpstreamSilent(Millis silence);

 private:
  enum class State {
    kNew,
    kWaiting,   // queued
    kGranted,   // holds a slot and waits for the work message
    kClaiming,  // claims the order in the log
    kRunning,   // executing at the upstream
    kEnded,
  };

  void OnMessage(std::string_view frame);
  void OnStreamEnd(link::StreamEnd end);
  void OnReserve(std::string_view frame);
  void OnGranted();
  void OnWork(std::string_view frame);
  ErrorCode CheckWork(const wire::Work& work) const;

  void Claim();
  void OnClaimWon(const orders::ClaimId& claim);
  void Replay(const orders::Outcome& outcome);
  void Execute();
  void OnChunk(const std::string& text, Tokens tokens);
  void OnFinished(const wire::Finished& finished);
  static bool IsUpstreamUnavailable(ErrorCode code, Verdict verdict);
  void OnFailed(const Error& error, Verdict verdict);
  void RefuseAfterProbe(const Error& error, Verdict verdict);
  void RecordOutcome(const wire::Finished& finished);
  void RecordFailure(const Error& error, Verdict verdict);

  void Refuse(const Error& error, Verdict verdict, Millis retry_after);
  void SendChunk(const std::string& text, Tokens tokens);
  void SendFinished(const wire::Finished& finished);
  void End(TicketEnd end);
  bool is_order() const { return !work_.key_.empty(); }

  SessionContext& context_;
  link::Stream stream_;
  EndHook on_end_;
  State state_ = State::kNew;
  wire::Reserve reserve_message_;
  wire::Work work_;
  Ticket ticket_ = 0;
  orders::AttemptHandle attempt_ = 0;
  orders::ClaimId claim_;
  std::unique_ptr<Execution> execution_;
  // Whether the upstream responded to the probe after the call failed.
  bool upstream_responds_ = false;
  int64_t next_sequence_ = 0;
  // Text of an order's response so far, to be recorded.
  std::string text_;
};

}  // namespace bergamotscale::sidecar

#endif  // BERGAMOTSCALE_SRC_SIDECAR_WORK_SESSION_H_
