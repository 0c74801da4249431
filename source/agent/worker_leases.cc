#include "agent/worker_leases.h"

#include <algorithm>

namespace almondtally::sched::detail {

std::optional<MonotonicTime> EndOfLeases(const WorkerLeases& leases) {
  // An empty end is less than any other.
  auto out = std::max(leases.sent_until, leases.taken_until);
  if (!leases.in_flight.empty()) {
    out = std::max(out, std::optional(*leases.in_flight.rbegin()));
  }
  if (!out) return std::nullopt;
  return std::max(*out, leases.inherited_until);
}

void RecordSentLease(WorkerLeases& leases, MonotonicTime until) {
  leases.sent_until = std::max(leases.sent_until, std::optional(until));
}

void ForgetSentLeases(WorkerLeases& leases) {
  leases.sent_until.reset();
  leases.in_flight.clear();
}

}  // namespace almondtally::sched::detail
