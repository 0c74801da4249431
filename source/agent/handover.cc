#include "agent/handover.h"

namespace almondtally::sched::detail {
namespace {

/// What a worker lists may be as old as this.
constexpr Duration kMaxListingAge{1'000};

bool IsLeaseRecent(const RunTable& table, MonotonicTime now) {
  return now - table.handover.leased_since < kMaxListingAge;
}

}  // namespace

void NoteGrant(RunTable& table, MonotonicTime now,
               MonotonicTime granted_until) {
  const bool is_gap = now > table.lease_until && granted_until > now;
  if (!is_gap) return;
  table.handover.leased_since = now;
  UpdateHandover(table, now);
}

void NoteNewPlanner(RunTable& table, MonotonicTime now) {
  table.handover.lease_kept =
      now <= table.lease_until && !IsLeaseRecent(table, now);
}

void UpdateHandover(RunTable& table, MonotonicTime now) {
  const bool is_unleased = now > table.lease_until;
  if (is_unleased || IsLeaseRecent(table, now))
    table.handover.ends_before_lease = table.last_end;
}

bool ReportEnd(const RunTable& table, UnrecordedEnd& end) {
  if (end.reported_in == PlannerEpoch(0)) end.reported_in = table.epoch;
  // A lapsed run has ended with its lease, by which the planner may have given
  // it up, and a start may be refused for the same reason.
  const RunEnd how = end.report.end;
  const bool is_by_lease = how == RunEnd::kLapsed || how == RunEnd::kNotStarted;
  return table.handover.lease_kept && !is_by_lease && !end.is_repeated &&
         end.reported_in == table.epoch &&
         end.report.number > table.handover.ends_before_lease;
}

}  // namespace almondtally::sched::detail
