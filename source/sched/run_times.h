#pragma once

#include "base/clock.h"
#include "sched/shard_state.h"

/// How long tasks run, learnt from the progress and the ends of runs.
namespace almondtally::sched {

/// Time that a task of a step takes on a VM of usual speed.
struct RunTimeEstimate {
  /// Nearly all tasks take at least this long.
  Duration low{};
  /// Half of the tasks take longer.
  Duration typical{};
  /// Nearly all tasks take at most this long.
  Duration high{};
  /// The estimate comes from runs that have ended or progressed, not from the
  /// declared time.
  bool learnt = false;
};

/// @return the run time of a task that starts without a checkpoint.
RunTimeEstimate EstimateRunTime(const ShardState& shard, MonotonicTime now,
                                const JobEntity& job, uint32_t step);

/// Expected run time of one task, to compare its run with.
struct ReferenceRunTime {
  Duration time{};
  /// Standard deviation of the logarithm of the ratio of actual times to it.
  double error = 1;
};

/// @return the run time of a task as far as it follows from other tasks.
ReferenceRunTime ReferenceRunTimeOf(const ShardState& shard, MonotonicTime now,
                                    const JobEntity& job, const TaskKey& key);

/// Records the run time of a task on a VM of usual speed.
/// @param time measured, or estimated from the progress so far.
/// @param ended the task has ended, and `time` is final.
void RecordRunTime(MonotonicTime now, JobEntity& job, const TaskKey& key,
                   Duration time, bool ended);

/// Records for the queue of a job how long the tasks of an ended step took.
void RecordEndOfStep(ShardState& shard, MonotonicTime now, const JobEntity& job,
                     uint32_t step);

}  // namespace almondtally::sched
