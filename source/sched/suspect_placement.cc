#include <algorithm>
#include <utility>

#include "sched/copies.h"
#include "sched/ownership.h"
#include "sched/placement_pass.h"

// Placement of the tasks that are suspected of crashing workers; see
// suspects.cc for the load pattern.

namespace almondtally::sched {
namespace {

/// How long a VM is closed to other tasks before a suspect starts there, if one
/// of them was started so lately that a crash would make it a suspect. Longer
/// than a start takes, and `kCrashSuspectWindow`.
constexpr Duration kQuietWait{150};
/// A VM that was closed in vain is not closed again for this long.
constexpr Duration kQuietPause{1'000};

/// @return the CPU, in thousandths, of the runs that a crash of the worker
/// would end. Lasting tasks count more, since their users notice.
int64_t LossOnCrash(const VmEntity& vm, const ShardState& shard) {
  constexpr int64_t kLastingFactor = 10;
  int64_t sum = 0;
  for (const auto& [key, run] : vm.runs) {
    const StepSpec* step = FindStep(shard, key);
    const bool lasting = step != nullptr && step->lasting;
    sum += run.size.cpu.value * (lasting ? kLastingFactor : 1);
  }
  return sum;
}

/// @return true if a run that is no suspect was started on the VM so lately
/// that a crash would make it one.
bool HasLateStart(const ShardState& shard, const VmEntity& vm,
                  MonotonicTime now) {
  return std::any_of(vm.runs.begin(), vm.runs.end(), [&](const auto& it) {
    const VmRun& run = it.second;
    const bool is_late = run.phase == RunPhase::kStarting ||
                         now - run.running_since <= kCrashSuspectWindow;
    return is_late && !shard.suspects.contains(it.first);
  });
}

/// Returns the VM on which a crash would do least harm, if possible one on
/// which no other task could be taken for its cause.
/// @param group_size how many suspects may be placed there in this pass.
/// @return null if no VM may run the suspect now.
CandidateVm* ChooseVmOfSuspect(const ShardState& shard, MonotonicTime now,
                               PlacementPass& pass, const QueueTerms& terms,
                               const StepSpec& step, const TaskKey& key,
                               size_t group_size) {
  const size_t free_vms = pass.suspect_limits[terms.service].free_vms;
  CandidateVm* best = nullptr;
  std::pair<bool, int64_t> least{};
  for (CandidateVm& candidate : pass.candidates) {
    if (candidate.busy_with_suspect) continue;
    if (candidate.suspects_placed >= group_size) continue;
    if (!candidate.testing_suspect && free_vms == 0) continue;
    if (!HasRoom(candidate, terms, step) ||
        !IsOpenToTask(candidate, step, key)) {
      continue;
    }
    if (!candidate.loss_on_crash)
      candidate.loss_on_crash = LossOnCrash(*candidate.vm, shard);
    const std::pair harm(HasLateStart(shard, *candidate.vm, now),
                         *candidate.loss_on_crash);
    if (best != nullptr && harm >= least) continue;
    best = &candidate;
    least = harm;
  }
  return best;
}

/// Closes the VM to other tasks for a moment if one was started there lately.
/// @return true if the suspect is to wait for that.
bool WaitsForQuietVm(const ShardState& shard, MonotonicTime now,
                     CandidateVm& candidate) {
  if (!HasLateStart(shard, *candidate.vm, now)) return false;
  MonotonicTime& closed_until = candidate.vm->reserved_for_suspects_until;
  const bool has_waited =
      closed_until <= now && now - closed_until < kQuietPause;
  if (has_waited) return false;
  if (closed_until <= now) closed_until = now + kQuietWait;
  candidate.reserved_for_suspects = true;
  return true;
}

}  // namespace

void PlaceSuspects(ShardState& shard, MonotonicTime now,
                   const ReadyStep& ready_step, PlacementPass& pass,
                   Decisions& log) {
  const StepSpec& spec = ready_step.job->record.spec.steps[ready_step.step];
  const QueueTerms& terms = ready_step.job->terms;
  auto& tasks = ready_step.job->occurrences.at(ready_step.occurrence)
                    .steps[ready_step.step]
                    .tasks;
  const TaskKey first{ready_step.job->record.spec.id, ready_step.occurrence,
                      ready_step.step, 0};
  if (spec.gang || !HasSuspect(shard, first)) return;
  SuspectLimits& limits = pass.suspect_limits[terms.service];
  bool no_vm_for_shared_test = false;
  bool no_vm_for_own_test = false;
  TaskKey key = first;
  for (; key.index < tasks.size(); ++key.index) {
    TaskEntity& task = tasks[key.index];
    if (!IsPlaceable(shard, now, *ready_step.job, task)) continue;
    if (!shard.suspects.contains(key)) continue;
    const bool may_share = MayShareTest(task);
    bool& no_vm = may_share ? no_vm_for_shared_test : no_vm_for_own_test;
    if (no_vm) continue;
    CandidateVm* const vm = ChooseVmOfSuspect(
        shard, now, pass, terms, spec, key, may_share ? limits.group_size : 1);
    if (vm == nullptr || WaitsForQuietVm(shard, now, *vm)) {
      no_vm = true;
      continue;
    }
    Reserve(shard, *vm, spec);
    if (!vm->testing_suspect) --limits.free_vms;
    vm->testing_suspect = true;
    ++vm->suspects_placed;
    if (!may_share) vm->busy_with_suspect = true;
    vm->loss_on_crash.reset();
    AssignTask(shard, now, *vm->vm, spec, key, task,
               NextRunNumber(shard, HighestRun(task)), log);
  }
}

}  // namespace almondtally::sched
