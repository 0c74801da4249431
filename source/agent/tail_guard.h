#pragma once

#include "agent/run_table.h"

// How long serving tasks have missed their targets, by the agent's own clock
// and the worker's measures.

namespace almondtally::sched {

/// Updates `over_target_since` after the run's measurement was listed.
void UpdateMissedTarget(AgentRun& run, MonotonicTime now);

/// @return how long the run has missed its target until now; 0 if it meets it.
Duration MissedFor(const AgentRun& run, MonotonicTime now);

/// @return the longest time for which a run on the VM has missed its target
/// until now; 0 if all targets are met.
Duration LongestMiss(const RunTable& table, MonotonicTime now);

/// Notes each run for the log whose target has been missed for the allowed time
/// while fillers were not known to be paused; once per missed target.
void NoteLongMisses(RunTable& table, MonotonicTime now);

/// Notes for the log that the worker confirmed a speed limit to or from 0.
/// @param run with its previous speed limit.
void NoteConfirmedPace(RunTable& table, MonotonicTime now, const AgentRun& run,
                       int64_t percent);

}  // namespace almondtally::sched
