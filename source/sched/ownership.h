#pragma once

#include "sched/shard_state.h"

// What a planner may conclude from the time that has passed.
//
// A planner that has been replaced learns of it from the store or from an
// agent. Without contact to either, it goes on planning, and the agents that it
// no longer hears may follow its successor, which renews their leases. That a
// lease has ended by the clock, or that a VM is silent, is therefore no proof
// that its runs have stopped.
//
// A proof is a commit that was sent at or after the time in question: this
// planner still owned the shard then, so no successor had renewed a lease or
// started a run before. Earlier planners stop by themselves; see
// EndOfEarlierLeases. Whatever ends, starts or forgets something because time
// has passed asks the functions below, and not the clock.

namespace almondtally::sched {

/// How long after its last confirmed ownership of the shard a planner may still
/// grant leases.
inline constexpr Duration kOwnershipProofValidity{6'000};

/// @return true if this planner has proven that it owned the shard at `time` or
/// later. Implies that `time` has passed.
bool IsOwnershipProvenSince(const ShardState& shard, MonotonicTime time);

/// @return true if all leases that this planner has granted to a VM have ended,
/// and no successor has renewed them.
bool HaveLeasesEnded(const ShardState& shard, const VmEntity& vm);

/// @return true if the leases of a VM have ended by the clock, and a successor
/// may have renewed them.
bool IsLeaseUnproven(const ShardState& shard, const VmEntity& vm,
                     MonotonicTime now);

/// @return when the leases granted by earlier planners have expired, unless a
/// later planner has renewed them, and those that rows of VMs not heard yet
/// tell of.
MonotonicTime EndOfEarlierLeases(const ShardState& shard);

/// @return true while runs of an earlier planner may still execute without
/// having been reported to this one.
bool IsRecovering(const ShardState& shard);

/// @return true if a VM that has not reported may have a run of the task, so
/// that the task is not placed.
bool AwaitsEarlierRun(const ShardState& shard, const JobEntity& job,
                      const TaskEntity& task);

/// @return true if the task's last VM is silent, or its worker is, and a
/// process that nobody has heard of may run the task there.
bool AwaitsLateRun(const ShardState& shard, MonotonicTime now,
                   const TaskEntity& task);

/// @return true if the task is idle and may be placed now.
bool IsPlaceable(const ShardState& shard, MonotonicTime now,
                 const JobEntity& job, const TaskEntity& task);

/// @return true if a proof of ownership would show that leases have ended, so
/// that their tasks can be placed again.
bool AwaitsProof(const ShardState& shard, MonotonicTime now);

}  // namespace almondtally::sched
