#include "planner/gateway.h"

#include <algorithm>
#include <utility>

namespace almondtally::sched {
namespace {

constexpr Duration kRetryInterval{60};
/// Timeout of one request to a planner. A store that takes longer than this is
/// too slow to be useful.
constexpr Duration kPlannerTimeout{2'000};
/// How long a request waits for another entry to take over from a planner that
/// cannot reach the store. A takeover claims the shard, reads all rows and
/// contacts the agents.
constexpr Duration kTakeOverTimeout{1'000};
/// Retry-after sent to callers when no planner answered in time.
constexpr int64_t kNoPlannerRetryAfterMs = 1'000;

}  // namespace

struct Gateway::PendingCall {
  JobCall call;
  MonotonicTime deadline{};
  Planner::AnswerFn fn;
  /// A planner may have received the request, or may receive it later.
  bool may_have_reached_planner = false;
  /// When a planner first reported that it cannot reach the store; zero if
  /// none has.
  MonotonicTime store_away_since{};

  void Finish(const JobAnswer& answer) {
    const auto done = std::exchange(fn, nullptr);
    if (done) done(answer);
  }

  /// Finishes with the answer to the latest attempt.
  /// @param earlier_may_act an earlier attempt may have taken effect, or may
  /// still do so, so that a refusal of the latest one says nothing about it.
  void FinishAttempt(const JobAnswer& answer, bool earlier_may_act) {
    const bool has_effect =
        call.verb == JobVerb::kSubmit || call.verb == JobVerb::kCancel;
    const bool refused_for_now =
        answer.verdict == JobVerdict::kUnavailable ||
        (answer.verdict == JobVerdict::kRejected && answer.retry_after_ms > 0);
    if (!earlier_may_act || !has_effect || !refused_for_now)
      return Finish(answer);
    JobAnswer unknown = answer;
    unknown.verdict = JobVerdict::kUnknown;
    unknown.reason = "an earlier attempt is unanswered; " + answer.reason;
    Finish(unknown);
  }
};

void Gateway::Call(const JobCall& call, Duration timeout,
                   Planner::AnswerFn fn) {
  auto pending_call = std::make_shared<PendingCall>();
  pending_call->call = call;
  pending_call->deadline = loop_.now() + timeout;
  pending_call->fn = std::move(fn);
  TrySend(pending_call);
}

void Gateway::RetryLater(const std::shared_ptr<PendingCall>& pending_call) {
  loop_.RunAfter(kRetryInterval,
                 [this, pending_call] { TrySend(pending_call); });
}

bool Gateway::TryTakeOver(PendingCall& pending_call, const JobAnswer& answer) {
  const MonotonicTime now = loop_.now();
  if (pending_call.store_away_since == MonotonicTime{})
    pending_call.store_away_since = now;
  if (now - pending_call.store_away_since > kTakeOverTimeout) return false;
  return planner_.RequestTakeOver(answer.owner_epoch);
}

void Gateway::TrySend(const std::shared_ptr<PendingCall>& pending_call) {
  if (pending_call->fn == nullptr) return;
  const Duration remaining = pending_call->deadline - loop_.now();
  if (remaining <= Duration(0)) {
    JobAnswer answer;
    answer.verdict = pending_call->may_have_reached_planner
                         ? JobVerdict::kUnknown
                         : JobVerdict::kUnavailable;
    answer.retry_after_ms = kNoPlannerRetryAfterMs;
    answer.reason = "no planner answered in time";
    return pending_call->Finish(answer);
  }
  if (planner_.planning()) {
    const bool earlier_may_act =
        std::exchange(pending_call->may_have_reached_planner, true);
    // The planner may answer after the deadline; this timer then answers the
    // caller.
    loop_.RunAfter(remaining, [this, pending_call] { TrySend(pending_call); });
    return planner_.Handle(
        pending_call->call,
        [this, pending_call, earlier_may_act](const auto& answer) {
          if (answer.verdict == JobVerdict::kUnknown)
            return RetryLater(pending_call);
          pending_call->FinishAttempt(answer, earlier_may_act);
        });
  }
  const auto& owner = planner_.owner();
  if (!owner) return RetryLater(pending_call);
  links_.Send<JobAnswer>(
      owner->address, path::kJobCall, pending_call->call,
      std::min(remaining, kPlannerTimeout),
      [this, pending_call, to = owner->address](std::optional<JobAnswer> answer,
                                                const WireReason& why) {
        if (answer && answer->store_away &&
            TryTakeOver(*pending_call, *answer)) {
          return RetryLater(pending_call);
        }
        if (answer && answer->verdict != JobVerdict::kUnknown) {
          return pending_call->FinishAttempt(
              *answer, pending_call->may_have_reached_planner);
        }
        if (answer) {
          if (!answer->no_effect) pending_call->may_have_reached_planner = true;
          if (answer->owner_address.empty()) return RetryLater(pending_call);
          planner_.UpdateOwner(answer->owner_epoch, answer->owner_address);
          return RetryLater(pending_call);
        }
        const bool not_sent = why.code == WireError::kConnect ||
                              why.code == WireError::kRefusedByPeer;
        if (!not_sent) pending_call->may_have_reached_planner = true;
        if (why.code == WireError::kTimeout) links_.Drop(to);
        RetryLater(pending_call);
      });
}

}  // namespace almondtally::sched
