#include "agent/late_start.h"

#include <algorithm>

#include "agent/former_lease.h"

namespace almondtally::sched::detail {
namespace {

/// @return when a run that begins late has ended at the latest.
MonotonicTime EndOfLateRun(const RunTable& table, const LateStart& start) {
  MonotonicTime leased_by = start.arrives_by;
  // A late renewal may extend the lease that the start gave.
  if (table.unanswered_lease_ms != 0) {
    leased_by = std::max(leased_by, table.unanswered_lease_at + kMaxCallDelay);
  }
  return leased_by + LongestFormerLease(table);
}

}  // namespace

void RecordLateStart(RunTable& table, MonotonicTime now,
                     const StartCall& call) {
  // A worker with another id rejects the call.
  if (call.call.worker != table.worker.id) return;
  table.late_starts[call.start.task].arrives_by = now + kMaxCallDelay;
}

Duration LateRunLeft(const RunTable& table, MonotonicTime now,
                     const TaskKey& task) {
  const auto it = table.late_starts.find(task);
  if (it == table.late_starts.end()) return Duration(0);
  return std::max(Duration(0), EndOfLateRun(table, it->second) - now);
}

bool MayRunUnheard(const RunTable& table, MonotonicTime now,
                   const TaskKey& task) {
  return !table.worker.responsive &&
         LateRunLeft(table, now, task) > Duration(0);
}

void ExpireLateStarts(RunTable& table, MonotonicTime now) {
  std::erase_if(table.late_starts, [&](const auto& it) {
    return now > EndOfLateRun(table, it.second);
  });
}

void ForgetListedStarts(RunTable& table, MonotonicTime asked_at) {
  std::erase_if(table.late_starts, [&](const auto& it) {
    return asked_at > it.second.arrives_by;
  });
  auto& earlier = table.earlier_starts_arrive_by;
  if (earlier && asked_at > *earlier) earlier.reset();
}

}  // namespace almondtally::sched::detail
