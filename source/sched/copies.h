#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "base/clock.h"
#include "sched/placement_pass.h"
#include "sched/shard_state.h"

/// Copies: second runs of tasks whose step allows them, started where the first
/// one has more left than a fresh run would take. The first end counts.
namespace almondtally::sched {

/// @return true if tasks of a step may have two runs at a time.
bool AllowsCopies(const StepSpec& step);

/// @return the highest number of all runs that the task is known to have had.
inline RunNumber HighestRun(const TaskEntity& task) {
  return std::max(task.run, task.highest_run);
}

/// @return true if a run is the copy of the task.
bool IsCopy(const TaskEntity& task, const VmId& vm, RunNumber run);

/// A run that may get a copy.
struct SlowRun {
  TaskKey key;
  JobEntity* job = nullptr;
  TaskEntity* task = nullptr;
  const VmEntity* vm = nullptr;
  /// Expected time until it ends; Duration::max() if it is stuck.
  Duration remaining{};
  /// The same in times of a fresh run on a VM of usual speed.
  double excess = 0;
};

/// @return the runs that may get a copy if a VM is found, those that exceed a
/// fresh run most first; nothing while the next scan is not due, or if this
/// planner may not own the shard.
std::vector<SlowRun> ListSlowRuns(ShardState& shard, MonotonicTime now);

/// Starts copies on VMs where they are expected to end before the runs do.
/// @param ready_steps the steps that had idle tasks before this pass; those
/// that still have some keep copies off the VMs they could use.
void StartCopies(ShardState& shard, MonotonicTime now, PlacementPass& pass,
                 const std::vector<ReadyStep>& ready_steps,
                 const std::vector<SlowRun>& slow_runs, Decisions& log);

/// Keeps a run that is not the current one of its task as a copy, if the task
/// may have one.
/// @return false if the run is to be stopped.
bool AdoptCopy(const ShardState& shard, MonotonicTime now, const TaskKey& key,
               TaskEntity& task, const VmEntity& vm, Decisions& log);

/// Makes the copy of an idle task its current run.
void PromoteCopy(ShardState& shard, const TaskKey& key, TaskEntity& task,
                 Decisions& log);

/// Forgets the copy of a task. The next one is not started at once.
void RemoveCopy(TaskEntity& task, MonotonicTime now);

/// Logs that the copy of a task has come to nothing.
void LogWastedCopy(MonotonicTime now, const TaskKey& key,
                   const TaskEntity& task, const std::string& reason,
                   Decisions& log);

/// Logs whether a copy has won or was wasted, if the end of a run of its task
/// tells.
/// @param copy the copy as it was before the end.
/// @param vm where the run was that has ended.
void LogCopyOutcome(MonotonicTime now, const JobEntity& job,
                    const TaskEntity& task, const TaskCopy& copy,
                    const VmId& vm, const RunEndReport& end, Decisions& log);

}  // namespace almondtally::sched
