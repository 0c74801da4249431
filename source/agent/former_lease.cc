#include "agent/former_lease.h"

#include <algorithm>

namespace almondtally::sched::detail {
namespace {

/// @return how long a lease of the worker's may last on the agent's clock.
Duration WithDrift(Duration lease) {
  return lease + lease * kClockDriftPercent / 100;
}

/// Forgets the unanswered calls that can no longer be carried out.
void ExpireUnansweredLeases(RunTable& table, MonotonicTime now) {
  if (now - table.unanswered_lease_at <= kMaxCallDelay) return;
  table.unanswered_lease_ms = 0;
}

}  // namespace

void RecordUnansweredLease(RunTable& table, MonotonicTime now,
                           int64_t lease_until_ms) {
  if (lease_until_ms == 0) return;
  ExpireUnansweredLeases(table, now);
  table.unanswered_lease_ms =
      std::max(table.unanswered_lease_ms, lease_until_ms);
  table.unanswered_lease_at = now;
}

void RecordLeasesOfFormerWorker(RunTable& table, MonotonicTime now,
                                bool same_id) {
  if (!table.leases.in_flight.empty()) {
    RecordUnansweredLease(table, now, table.lease_sent_ms);
  }
  ExpireUnansweredLeases(table, now);
  if (!same_id) table.unanswered_lease_ms = 0;
  // Kept for the next process: it has not seen the fencing number that makes
  // the call void.
  table.former_lease_end_ms = table.unanswered_lease_ms;
  table.lease_sent_ms = 0;
  table.leases.taken_until.reset();
  table.has_former_lease = false;
  table.former_lease_recorded = false;
}

void UpdateLeasesOfFormerWorker(RunTable& table, MonotonicTime now,
                                const RenewCall& call,
                                const WorkerListing& listing) {
  if (table.former_lease_end_ms == 0) return;
  const Duration until_end(table.former_lease_end_ms - listing.clock_ms);
  const MonotonicTime taken_until =
      now +
      WithDrift(std::clamp(until_end, Duration(0), table.max_worker_lease));
  table.leases.taken_until = taken_until;
  table.has_former_lease = taken_until > now + kLeaseGrantDuration;
  if (call.call.fencing >= table.process_fencing) table.former_lease_end_ms = 0;
}

void StopRunsOfFormerCalls(RunTable& table, const WorkerListing& listing) {
  for (const WorkerRun& listed : listing.running) {
    const auto it = table.runs.find(listed.task);
    if (it == table.runs.end()) continue;
    AgentRun& run = it->second;
    if (run.call_fencing < table.process_fencing) run.stop_requested = true;
  }
}

void ExpireLeasesOfFormerWorker(RunTable& table, MonotonicTime now) {
  if (!table.has_former_lease ||
      *table.leases.taken_until > now + kLeaseGrantDuration) {
    return;
  }
  table.has_former_lease = false;
  table.former_lease_recorded = false;
  ++table.version;
}

Duration LongestFormerLease(const RunTable& table) {
  return WithDrift(table.max_worker_lease);
}

bool HasUnrecordedLease(const RunTable& table) {
  return table.has_former_lease && !table.former_lease_recorded;
}

void AssumeFormerAgent(RunTable& table, MonotonicTime now) {
  RecordUnansweredLease(table, now,
                        (kMaxCallDelay + table.max_worker_lease).count());
  table.former_lease_end_ms = table.unanswered_lease_ms;
  table.former_lease_recorded = false;
  table.renew_immediately = true;
}

}  // namespace almondtally::sched::detail
