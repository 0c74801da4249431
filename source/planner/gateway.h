#pragma once

#include <functional>
#include <memory>

#include "peer/links.h"
#include "planner/planner.h"

namespace almondtally::sched {

/// Sends callers' requests to the current planner and retries them while the
/// planner changes. Retries are safe: all requests are idempotent by job id.
class Gateway {
 public:
  Gateway(EventLoop& loop, PeerLinks& links, Planner& planner)
      : loop_(loop), links_(links), planner_(planner) {}

  /// @param timeout after which the caller no longer waits.
  /// @param fn called once. The verdict is kUnavailable, or kRejected with a
  /// time to retry after, only if no planner can have acted on any attempt, or
  /// can still do so; otherwise kUnknown.
  void Call(const JobCall& call, Duration timeout, Planner::AnswerFn fn);

 private:
  struct PendingCall;

  void TrySend(const std::shared_ptr<PendingCall>& pending_call);
  bool TryTakeOver(PendingCall& pending_call, const JobAnswer& answer);
  void RetryLater(const std::shared_ptr<PendingCall>& pending_call);

  EventLoop& loop_;
  PeerLinks& links_;
  Planner& planner_;
};

}  // namespace almondtally::sched
