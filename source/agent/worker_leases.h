#pragma once

#include <optional>
#include <set>

#include "base/clock.h"

namespace almondtally::sched {

/// Until when the runs of the present worker process may hold leases, by who
/// gave them. An end is empty if no such lease is known.
struct WorkerLeases {
  /// The latest end that the worker may have received from this process of the
  /// agent, and the ends carried by calls in flight.
  std::optional<MonotonicTime> sent_until;
  std::multiset<MonotonicTime> in_flight;
  /// Taken by the worker process from calls meant for a former one.
  std::optional<MonotonicTime> taken_until;
  /// Leases sent by an earlier process of the agent have ended by then. Other
  /// ends that have passed say nothing about these.
  MonotonicTime inherited_until{};
};

namespace detail {

/// @return by when all leases have ended; empty if it is not known which leases
/// the present worker process has.
std::optional<MonotonicTime> EndOfLeases(const WorkerLeases& leases);

/// Notes that the worker may have received a lease that ends at `until`.
void RecordSentLease(WorkerLeases& leases, MonotonicTime until);

/// Forgets what was sent to a worker process that was replaced.
void ForgetSentLeases(WorkerLeases& leases);

}  // namespace detail
}  // namespace almondtally::sched
