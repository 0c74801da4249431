#pragma once

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

/// Stops runs of a VM that has been over its capacity for some time, until the
/// others fit.
void StopRunsOverCapacity(ShardState& shard, VmEntity& vm, MonotonicTime now,
                          Decisions& log);

/// @return the CPU use of the fillers on a VM, as last measured.
std::vector<FillerUse> MeasuredFillerUse(const VmEntity& vm);

/// Updates the load and interference models from the measurements in a report.
void UpdateModelsFromReport(ShardState& shard, MonotonicTime now, VmEntity& vm,
                            const SyncReport& report);

/// Ends a job: its tasks are no longer placed, and its runs are stopped.
void EndJob(ShardState& shard, MonotonicTime now, JobEntity& job,
            JobState state);

}  // namespace almondtally::sched
