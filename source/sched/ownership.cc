#include "sched/ownership.h"

#include <algorithm>

namespace almondtally::sched {
namespace {

bool AwaitsFirstSync(const ShardState& shard) {
  return std::any_of(shard.vms.begin(), shard.vms.end(), [](const auto& it) {
    return it.second.awaiting_first_sync;
  });
}

}  // namespace

bool IsOwnershipProvenSince(const ShardState& shard, MonotonicTime time) {
  return shard.ownership_proven_at >= time;
}

bool HaveLeasesEnded(const ShardState& shard, const VmEntity& vm) {
  return IsOwnershipProvenSince(shard, vm.lease_ends_at);
}

bool IsLeaseUnproven(const ShardState& shard, const VmEntity& vm,
                     MonotonicTime now) {
  return vm.synced && now >= vm.lease_ends_at && !HaveLeasesEnded(shard, vm);
}

MonotonicTime EndOfEarlierLeases(const ShardState& shard) {
  // A planner that was replaced may still grant leases until its last confirmed
  // ownership is too old.
  MonotonicTime last_grant =
      shard.last_earlier_proof_at + kOwnershipProofValidity;
  if (shard.earlier_planners_stopped_at != MonotonicTime{}) {
    last_grant = std::min(last_grant, shard.earlier_planners_stopped_at);
  }
  MonotonicTime out = last_grant + kMaxLeaseDuration;
  for (const auto& [id, vm] : shard.vms) {
    if (vm.awaiting_first_sync) out = std::max(out, vm.recorded_lease_ends_at);
  }
  return out;
}

bool IsRecovering(const ShardState& shard) {
  return !IsOwnershipProvenSince(shard, EndOfEarlierLeases(shard)) &&
         AwaitsFirstSync(shard);
}

bool AwaitsEarlierRun(const ShardState& shard, const JobEntity& job,
                      const TaskEntity& task) {
  return shard.recovering && job.loaded_from_store && !task.is_accounted_for;
}

bool AwaitsLateRun(const ShardState& shard, MonotonicTime now,
                   const TaskEntity& task) {
  if (now >= task.late_run_until) return false;
  const auto vm = shard.vms.find(task.late_run_on);
  const bool is_heard = vm != shard.vms.end() && vm->second.synced &&
                        vm->second.worker.responsive;
  return !is_heard;
}

bool IsPlaceable(const ShardState& shard, MonotonicTime now,
                 const JobEntity& job, const TaskEntity& task) {
  return task.phase == TaskPhase::kIdle && task.not_before <= now &&
         !AwaitsEarlierRun(shard, job, task) &&
         !AwaitsLateRun(shard, now, task);
}

bool AwaitsProof(const ShardState& shard, MonotonicTime now) {
  if (now >= EndOfEarlierLeases(shard) && IsRecovering(shard)) return true;
  return std::any_of(shard.vms.begin(), shard.vms.end(), [&](const auto& it) {
    return IsLeaseUnproven(shard, it.second, now);
  });
}

}  // namespace almondtally::sched
