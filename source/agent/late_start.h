#pragma once

#include "agent/run_table.h"

namespace almondtally::sched::detail {

/// Notes that a start call has gone unanswered.
void RecordLateStart(RunTable& table, MonotonicTime now, const StartCall& call);

/// @return how long a run of the task may still begin late, or go on after a
/// late beginning; zero if it cannot.
Duration LateRunLeft(const RunTable& table, MonotonicTime now,
                     const TaskKey& task);

/// @return true if the worker does not answer, and a process that nobody has
/// heard of may run the task.
bool MayRunUnheard(const RunTable& table, MonotonicTime now,
                   const TaskKey& task);

/// Forgets the starts whose runs have ended for certain.
void ExpireLateStarts(RunTable& table, MonotonicTime now);

/// Forgets the starts that no process can carry out any more, and whose runs a
/// complete list would show.
/// @param asked_at when the worker was asked for the list.
void ForgetListedStarts(RunTable& table, MonotonicTime asked_at);

}  // namespace almondtally::sched::detail
