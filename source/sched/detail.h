#pragma once

#include "sched/board.h"

/// Helpers shared by the files of this package.
namespace almondtally::sched {

/// Marks steps whose predecessors are done.
void UpdateReady(const JobSpec& spec, OccurrenceEntity& occurrence,
                 MonotonicTime now);

/// Ends a job: nothing of it is placed any more; its runs are stopped.
void EndJob(Board& board, MonotonicTime now, JobEntity& job, JobState state);

}  // namespace almondtally::sched
