#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "peer/messages.h"

namespace almondtally {

/// Parameters of request routing.
struct RoutingParams {
  /// Number of targets sampled and compared for each request.
  int choices = 4;
  /// Added to the load of a target in another data centre, in percent of its
  /// limit, so that it is chosen only if the local targets are fuller.
  int64_t remote_penalty = 50;
  /// Time over which a new target's limit rises to its full value.
  Duration slow_start{5'000};
  /// Consecutive failures after which a target is ejected.
  int eject_after = 5;
  Duration eject_for{5'000};
  /// Retries allowed for each 100 requests, in addition to a small reserve.
  int64_t retry_percent = 10;
  int64_t retry_reserve = 10;
};

/// Load of one target for one service, as known to this entry.
struct TargetLoad {
  VmId vm;
  DataCentreId data_centre;
  int64_t limit = 0;
  /// Requests running or queued according to the last announcement, including
  /// those that this entry had sent by then.
  int64_t announced = 0;
  /// Requests sent by this entry and not answered yet.
  int64_t in_flight = 0;
  /// Value of `in_flight` when the last announcement arrived.
  int64_t in_flight_at_announce = 0;
  /// Moving average of the answer time in ms; 0 before the first answer.
  double smoothed_latency_ms = 0;
  MonotonicTime joined_at{};
  MonotonicTime ejected_until{};
  int failures = 0;
  bool leaving = false;
};

/// Targets of one service, sorted by VM.
using ServiceTargets = std::vector<TargetLoad>;

/// @return the target on `vm`, or null.
TargetLoad* FindTarget(ServiceTargets& targets, const VmId& vm);

/// Token bucket that limits retries; each request adds a fraction of a retry.
struct RetryBudget {
  /// Available retries, in hundredths.
  int64_t hundredths = 0;
};

/// Adds the share of a retry that one request earns.
void AddRetryCredit(RetryBudget& budget, const RoutingParams& params);
/// Takes one retry from the budget.
/// @return false if the budget is exhausted.
bool TryTakeRetry(RetryBudget& budget);

/// The target chosen for a request and the reason.
struct RouteChoice {
  VmId vm;
  std::string reason;
};

/// Samples a few targets at random and chooses the one with the lowest score.
/// @param tried targets that already refused this request.
/// @param why set to the reason if no target is chosen.
std::optional<RouteChoice> ChooseTarget(const ServiceTargets& targets,
                                        const DataCentreId& local,
                                        const std::vector<VmId>& tried,
                                        const RoutingParams& params,
                                        MonotonicTime now, Random& random,
                                        std::string& why);

/// Updates a target from the load that it announced, adding it if it is new.
void UpdateTargetLoad(ServiceTargets& targets, const Announcement& announce,
                      const ServiceLoad& load, MonotonicTime now);

/// Adds one answer time to the target's moving average.
void RecordLatency(TargetLoad& target, Duration took);

/// Records whether a request to a target failed, and ejects the target after
/// too many consecutive failures.
/// @return true if the target has just been ejected.
bool RecordOutcome(TargetLoad& target, bool failed, const RoutingParams& params,
                   MonotonicTime now);

}  // namespace almondtally
