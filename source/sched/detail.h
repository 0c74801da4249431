#pragma once

#include <map>
#include <set>

#include "sched/shard_state.h"

/// Helpers shared by the source files of this library.
namespace almondtally::sched {

/// Marks steps as ready whose predecessor steps are all done.
void UpdateReadySteps(const JobSpec& spec, OccurrenceEntity& occurrence,
                      MonotonicTime now);

/// @return the part of a VM's capacity that its runs reserve, including those
/// being stopped; fillers reserve no CPU.
Resources ReservedCapacity(const VmEntity& vm);

/// @return true if the runs of a VM reserve more than its capacity, which has
/// shrunk since they were placed, or fillers are on a VM without processors.
bool IsOverCapacity(const VmEntity& vm);

/// @return true if the latest report of the VM describes the present: an agent
/// that is reachable reports more often than this requires. What a report said
/// earlier does not show that it still holds.
bool HasReportedRecently(const VmEntity& vm, MonotonicTime now);

/// Stops runs of a VM that has been over its capacity for some time, until the
/// others fit.
void StopRunsOverCapacity(ShardState& shard, VmEntity& vm, MonotonicTime now,
                          Decisions& log);

/// @return true if the disruption limit of a step allows taking one of its
/// tasks down.
bool MayDisrupt(const ShardState& shard, MonotonicTime now, const TaskKey& key,
                const StepSpec& step);

/// @return true if another VM could run a filler at nearly full speed.
bool CanRunElsewhere(const ShardState& shard, MonotonicTime now,
                     const VmEntity& here, const TaskKey& key,
                     const StepSpec& step);

/// Estimates the speeds of the VMs from the evidence since the last update.
void UpdateVmSpeeds(ShardState& shard, MonotonicTime now, Decisions& log);

/// Stops runs on slow VMs that end much sooner, or serve better, elsewhere.
void StopRunsOnSlowVms(ShardState& shard, MonotonicTime now, Decisions& log);

/// @return the CPU use of the fillers on a VM, as last measured.
std::vector<FillerUse> MeasuredFillerUse(const VmEntity& vm);

/// Updates the load and interference models from the measurements in a report.
void UpdateModelsFromReport(ShardState& shard, MonotonicTime now, VmEntity& vm,
                            const SyncReport& report);

/// Marks the progress row of a job as changed.
void MarkDirty(ShardState& shard, const JobId& job);

// Tasks suspected of crashing workers.

/// Records that the worker crashed during a run, if the run may be the cause.
/// Ends the job if the task is proven to crash workers.
void ProcessWorkerCrash(ShardState& shard, MonotonicTime now, JobEntity& job,
                        TaskEntity& task, VmEntity& vm, const RunEndReport& end,
                        Decisions& log);

/// Clears the suspects whose runs on a VM have not crashed its worker.
/// @param vm has just reported.
void ClearProvenSuspects(ShardState& shard, const VmEntity& vm, Decisions& log);

/// Restores the stored crashes of a task, which they may make a suspect.
void RestoreCrashes(ShardState& shard, const TaskKey& key, TaskEntity& task,
                    const std::vector<CrashedRun>& crashes);

/// VMs that run suspects.
struct SuspectTests {
  std::set<VmId> vms;
  /// Those on which the suspect that was started last has not run for long
  /// enough to start another one.
  std::set<VmId> busy;
};
SuspectTests ListSuspectTests(ShardState& shard, MonotonicTime now);

/// @return true if a suspect may be tested together with others: one worker has
/// crashed under it, or several after different times, and not at once.
bool MayShareTest(const TaskEntity& task);

/// @return true if a task of the step is a suspect.
bool HasSuspect(const ShardState& shard, const TaskKey& first_of_step);

/// How many suspects of a service may start.
struct SuspectLimits {
  /// How many more VMs may run suspects.
  size_t free_vms = 0;
  /// How many tasks that may share a test may start together on one VM.
  size_t group_size = 1;
};
std::map<ServiceId, SuspectLimits> LimitSuspects(ShardState& shard,
                                                 MonotonicTime now,
                                                 const SuspectTests& tests);

/// Ends a job: its tasks are no longer placed, and its runs are stopped.
void EndJob(ShardState& shard, MonotonicTime now, JobEntity& job,
            JobState state);

}  // namespace almondtally::sched
