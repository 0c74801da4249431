#pragma once

#include "agent/run_table.h"

// A call names its worker by the id alone, so that a process which starts again
// under that id carries out calls that were meant for the former one. A lease
// end in such a call is on the former process's clock, and far ahead on that of
// the new one, which shortens it to its longest lease.

namespace almondtally::sched::detail {

/// Notes the lease end of a call that the worker has not answered.
/// @param lease_until_ms on the worker's clock; 0 if the call carried none.
void RecordUnansweredLease(RunTable& table, MonotonicTime now,
                           int64_t lease_until_ms);

/// Notes which lease ends of the former worker process may reach the one that
/// replaces it.
/// @param same_id the new process has the id of the former one. A worker with
/// another id rejects the calls.
void RecordLeasesOfFormerWorker(RunTable& table, MonotonicTime now,
                                bool same_id);

/// Determines how long the leases last that the worker process took from calls
/// meant for a former one.
/// @param call answered by the present process.
void UpdateLeasesOfFormerWorker(RunTable& table, MonotonicTime now,
                                const RenewCall& call,
                                const WorkerListing& listing);

/// Stops the runs that the worker process has started by calls meant for a
/// former one: their leases last for longer than a later planner counts on.
void StopRunsOfFormerCalls(RunTable& table, const WorkerListing& listing);

/// Forgets leases of a former process once they cannot outlast a grant.
void ExpireLeasesOfFormerWorker(RunTable& table, MonotonicTime now);

/// @return the longest time that a lease of a former process may still last.
Duration LongestFormerLease(const RunTable& table);

/// @return true if runs may outlast the usual lease and the store does not tell
/// later planners so.
bool HasUnrecordedLease(const RunTable& table);

/// Assumes that an earlier process of this agent sent calls to a former process
/// of the worker just before it ended: they may be carried out as long as the
/// present worker process is young.
void AssumeFormerAgent(RunTable& table, MonotonicTime now);

}  // namespace almondtally::sched::detail
