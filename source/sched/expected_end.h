#pragma once

#include "base/clock.h"
#include "sched/shard_state.h"

/// When tasks are expected to end, by the speed of their VM and by the place of
/// their data.
namespace almondtally::sched {

/// Speed of a VM against the others of its service; 1 is the usual speed.
double SpeedOf(const ShardState& shard, const VmEntity& vm, MonotonicTime now);

/// @return how many times as long a task of a step takes on a VM because its
/// data is on another rack; 1 if the place makes no difference.
double FarFactor(const ShardState& shard, const VmEntity& vm,
                 const StepSpec& step);

/// @return the expected time of a run of a task that starts on a VM now without
/// a checkpoint.
Duration ExpectedRunTime(const ShardState& shard, MonotonicTime now,
                         const VmEntity& vm, const JobEntity& job,
                         uint32_t step);

/// @return the expected time until a run on a VM ends, by its own progress as
/// far as it is known. Not for lasting tasks.
Duration ExpectedRemainingTime(const ShardState& shard, MonotonicTime now,
                               const VmEntity& vm, const JobEntity& job,
                               const TaskKey& key, const VmRun& run);

}  // namespace almondtally::sched
