#pragma once

#include "agent/run_table.h"

// What an agent can tell a planner that has taken over, so that the planner
// need not wait for other VMs.
//
// An earlier planner starts a task again elsewhere once it has heard that the
// task's run has ended, or once all leases of the run's VM have ended. If a
// lease was valid here all the time until the agent began to follow its present
// planner, neither has happened to a run that is still here, nor to one whose
// end no earlier planner was told of.

namespace almondtally::sched::detail {

/// Notes that a planner has granted a lease, before it is applied.
void NoteGrant(RunTable& table, MonotonicTime now, MonotonicTime granted_until);

/// Notes that the agent begins to follow another planner.
void NoteNewPlanner(RunTable& table, MonotonicTime now);

/// Notes that all ends so far may be those of runs that an earlier planner had
/// given up, while a lease has not been valid for long.
void UpdateHandover(RunTable& table, MonotonicTime now);

/// Notes that the end is reported to the present planner.
/// @return true if the end is that of a run which no earlier planner can have
/// started again.
bool ReportEnd(const RunTable& table, UnrecordedEnd& end);

}  // namespace almondtally::sched::detail
