#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "peer/messages.h"

namespace almondtally {

/// How requests are spread.
struct RoutingParams {
  /// Targets compared for one request.
  int choices = 4;
  /// Load of a target in another data centre counts as higher by this much
  /// of its slots, in percent; it is chosen only if the local ones are fuller.
  int64_t remote_penalty = 50;
  /// A new target's share grows to its full size within this time.
  Duration slow_start{5'000};
  /// Failures in a row after which a target is set aside.
  int eject_after = 5;
  Duration eject_for{5'000};
  /// Retries allowed for each 100 requests, besides a small reserve.
  int64_t retry_percent = 10;
  int64_t retry_reserve = 10;
};

/// One target as one entry knows it, for one service.
struct TargetLoad {
  VmId vm;
  DataCentreId data_centre;
  int64_t limit = 0;
  /// As announced; includes what this entry had sent by then.
  int64_t announced = 0;
  /// Sent by this entry and not yet answered.
  int64_t in_flight = 0;
  /// `in_flight` when the announcement arrived.
  int64_t in_flight_then = 0;
  /// Smoothed time of its answers in ms; 0 before the first.
  double answer_ms = 0;
  MonotonicTime joined_at{};
  MonotonicTime ejected_until{};
  int failures = 0;
  bool leaving = false;
};

/// Targets of one service, ordered by VM.
using ServiceTargets = std::vector<TargetLoad>;

/// @return the target of that VM, or null.
TargetLoad* FindTarget(ServiceTargets& targets, const VmId& vm);

/// Retries that may still be made; refilled by requests.
struct RetryBudget {
  /// In hundredths of a retry.
  int64_t hundredths = 0;
};

void NoteRequest(RetryBudget& budget, const RoutingParams& params);
/// @return true, using up one retry, if the budget allows it.
bool TakeRetry(RetryBudget& budget);

/// A routing decision with its reason.
struct RouteChoice {
  VmId vm;
  std::string reason;
};

/// Chooses a target by the least load among a few drawn at random.
/// @param tried targets that already refused this request.
/// @param why tells why there is none.
std::optional<RouteChoice> ChooseTarget(const ServiceTargets& targets,
                                        const DataCentreId& local,
                                        const std::vector<VmId>& tried,
                                        const RoutingParams& params,
                                        MonotonicTime now, Random& random,
                                        std::string& why);

/// Takes over announced load of one target.
void TakeLoad(ServiceTargets& targets, const Announce& announce,
              const ServiceLoad& load, MonotonicTime now);

/// Takes over how long an answer of a target took.
void NoteAnswer(TargetLoad& target, Duration took);

/// Counts how a request at a target ended.
/// @return true if the target has just been ejected.
bool NoteOutcome(TargetLoad& target, bool failed, const RoutingParams& params,
                 MonotonicTime now);

}  // namespace almondtally
