#include "planner/gateway.h"

#include <algorithm>
#include <utility>

namespace almondtally::sched {
namespace {

constexpr Duration kRetryEvery{60};
/// Longest wait for one planner's answer; a store that is slow answers later
/// than that only if it is hardly of use.
constexpr Duration kPlannerTimeout{2'000};
/// How long a request waits for another entry to take over from a planner
/// that cannot reach the store: a claim, reading all rows, hearing the agents.
constexpr Duration kTakeOverPatience{500};
/// Silence of the link for this long means that the planner is gone.
constexpr int64_t kNoPlannerRetryAfterMs = 1'000;

}  // namespace

struct Gateway::Attempt {
  JobCall call;
  MonotonicTime deadline{};
  Planner::AnswerFn fn;
  bool maybe_sent = false;
  /// Since when the planner has been known to miss the store.
  MonotonicTime take_over_since{};

  void Finish(const JobAnswer& answer) {
    const auto done = std::exchange(fn, nullptr);
    if (done) done(answer);
  }
};

void Gateway::Call(const JobCall& call, Duration timeout,
                   Planner::AnswerFn fn) {
  auto attempt = std::make_shared<Attempt>();
  attempt->call = call;
  attempt->deadline = loop_.now() + timeout;
  attempt->fn = std::move(fn);
  Try(attempt);
}

void Gateway::TryLater(const std::shared_ptr<Attempt>& attempt) {
  loop_.After(kRetryEvery, [this, attempt] { Try(attempt); });
}

bool Gateway::MayTakeOver(Attempt& attempt, const JobAnswer& answer) {
  const MonotonicTime now = loop_.now();
  if (attempt.take_over_since == MonotonicTime{}) attempt.take_over_since = now;
  if (now - attempt.take_over_since > kTakeOverPatience) return false;
  return planner_.OfferTakeOver(answer.owner_epoch);
}

void Gateway::Try(const std::shared_ptr<Attempt>& attempt) {
  if (attempt->fn == nullptr) return;
  const Duration left = attempt->deadline - loop_.now();
  if (left <= Duration(0)) {
    JobAnswer answer;
    answer.verdict =
        attempt->maybe_sent ? JobVerdict::kUnknown : JobVerdict::kUnavailable;
    answer.retry_after_ms = kNoPlannerRetryAfterMs;
    answer.reason = "no planner answered in time";
    return attempt->Finish(answer);
  }
  if (planner_.planning()) {
    attempt->maybe_sent = true;
    // An answer that the planner owes may outlast the caller.
    loop_.After(left, [this, attempt] { Try(attempt); });
    return planner_.Handle(attempt->call, [this, attempt](const auto& answer) {
      if (answer.verdict == JobVerdict::kUnknown) return TryLater(attempt);
      attempt->Finish(answer);
    });
  }
  const auto& owner = planner_.owner();
  if (!owner) return TryLater(attempt);
  links_.Send<JobAnswer>(
      owner->address, path::kJobCall, attempt->call,
      std::min(left, kPlannerTimeout),
      [this, attempt, to = owner->address](std::optional<JobAnswer> answer,
                                           const WireReason& why) {
        if (answer && answer->store_away && MayTakeOver(*attempt, *answer)) {
          return TryLater(attempt);
        }
        if (answer && answer->verdict != JobVerdict::kUnknown) {
          return attempt->Finish(*answer);
        }
        if (answer) {
          if (answer->owner_address.empty()) return TryLater(attempt);
          planner_.TakeOwnerHint(answer->owner_epoch, answer->owner_address);
          return TryLater(attempt);
        }
        const bool not_sent = why.code == WireError::kConnect ||
                              why.code == WireError::kRefusedByPeer;
        if (!not_sent) attempt->maybe_sent = true;
        if (why.code == WireError::kTimeout) links_.Drop(to);
        TryLater(attempt);
      });
}

}  // namespace almondtally::sched
