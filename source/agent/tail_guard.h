#pragma once

#include "agent/run_table.h"

// How long serving tasks have missed their targets, by the agent's own clock
// and the worker's measures, and the agent's last resort against it.
//
// Load pattern: fillers disturb serving tasks for seconds, and the planner
// pauses them shortly before the allowed time ends (sched/pace.cc). Planners
// are replaced, or cut off from a VM, for seconds as well, while the agent
// hears its worker three times a second. The agent therefore counts the time,
// for whichever planner comes next, and pauses the fillers itself if nobody has
// when only the time for doing so is left.

namespace almondtally::sched {

/// Updates `over_target_since` after the run's measurement was listed.
void UpdateMissedTarget(AgentRun& run, MonotonicTime now);

/// @return how long the run has missed its target until now; 0 if it meets it.
Duration MissedFor(const AgentRun& run, MonotonicTime now);

/// @return the longest time for which a run on the VM has missed its target
/// until now; 0 if all targets are met.
Duration LongestMiss(const RunTable& table, MonotonicTime now);

/// Begins to hold the fillers of the VM at rest when a target has been missed
/// until just before the end of the allowed time, and ceases once it is met.
void UpdateFillerHold(RunTable& table, MonotonicTime now);

/// @return true if the agent keeps the run paused.
bool IsHeld(const RunTable& table, const AgentRun& run);

/// @return the speed limit that the run should have, in percent; negative if it
/// is left as it is.
int64_t WantedPace(const RunTable& table, const AgentRun& run);

/// Notes each run for the log whose target has been missed for the allowed time
/// while fillers were not known to be paused; once per missed target.
void NoteLongMisses(RunTable& table, MonotonicTime now);

/// Notes for the log that the worker confirmed a speed limit to or from 0.
/// @param run with its previous speed limit.
void NoteConfirmedPace(RunTable& table, MonotonicTime now, const AgentRun& run,
                       int64_t percent);

}  // namespace almondtally::sched
