#include <algorithm>
#include <string>
#include <tuple>
#include <vector>

#include "sched/detail.h"
#include "sched/shard_state.h"

namespace almondtally::sched {
namespace {

/// How long a VM must be over its capacity before runs are stopped: stopping
/// them costs more than a capacity that is back within seconds.
constexpr Duration kShrinkTolerance{3'000};
/// Minimum time between two searches for runs to stop on one VM: each compares
/// its runs with all other VMs.
constexpr Duration kStopInterval{500};
/// Runs that have completed at least this percentage are left to end.
constexpr int64_t kNearlyDonePercent = 75;
/// Runs without checkpoints are left to end if their declared run time ends
/// within this time.
constexpr Duration kLeftToEnd{5'000};
/// Minimum time between two lasting tasks that are stopped, so that each is
/// placed before the next one relies on the same room.
constexpr Duration kLastingStopInterval{1'000};
/// A lasting task below this percentage is still starting up.
constexpr int64_t kAvailablePercent = 100;

/// A run that may be stopped to reduce the load of its VM.
struct StoppableRun {
  TaskKey key;
  VmRun* run = nullptr;
  const StepSpec* step = nullptr;
  int64_t priority = 0;
  /// Makes no progress here, but would on another VM.
  bool starved = false;
};

Resources ReservedSize(const VmRun& run) {
  Resources size = run.size;
  if (run.filler) size.cpu = MilliCpu(0);
  return size;
}

/// @return true if stopping a run frees a resource of which there is too
/// little.
bool Relieves(const Resources& size, const Resources& free) {
  return (free.cpu.value < 0 && size.cpu.value > 0) ||
         (free.memory.value < 0 && size.memory.value > 0) ||
         (free.accelerators.value < 0 && size.accelerators.value > 0);
}

bool IsAvailable(const ShardState& shard, MonotonicTime now, const TaskKey& key,
                 const TaskEntity& task) {
  const auto vm = shard.vms.find(task.vm);
  if (task.phase != TaskPhase::kPlaced || vm == shard.vms.end()) return false;
  if (!HasReportedRecently(vm->second, now)) return false;
  const auto it = vm->second.runs.find(key);
  if (it == vm->second.runs.end()) return false;
  const VmRun& run = it->second;
  return run.run == task.run && run.phase == RunPhase::kRunning &&
         !run.stop_wanted && run.percent >= kAvailablePercent;
}

/// @return true if another VM has room for a task of the step.
bool HasRoomElsewhere(const ShardState& shard, MonotonicTime now,
                      const VmEntity& here, const StepSpec& step) {
  return std::any_of(shard.vms.begin(), shard.vms.end(), [&](const auto& it) {
    const VmEntity& vm = it.second;
    const WorkerReport& worker = vm.worker;
    const bool usable = vm.id != here.id && HasReportedRecently(vm, now) &&
                        worker.responsive && !worker.draining &&
                        !shard.room_holds.contains(vm.id) && !vm.evacuated &&
                        worker.service == here.worker.service;
    if (!usable) return false;
    const auto& labels = worker.labels;
    if (!step.required_label.empty() &&
        std::find(labels.begin(), labels.end(), step.required_label) ==
            labels.end()) {
      return false;
    }
    return Fits(step.each, worker.capacity - ReservedCapacity(vm));
  });
}

/// @return true for a filler on a VM without processors if another VM can run
/// it.
bool IsStarved(const ShardState& shard, MonotonicTime now, const VmEntity& vm,
               const VmRun& run, const StepSpec& step) {
  return run.filler && vm.worker.capacity.cpu.value <= 0 &&
         HasRoomElsewhere(shard, now, vm, step);
}

/// @return true if a run may be stopped, except for the conditions that hold
/// for lasting tasks only.
bool IsStoppable(const VmRun& run, const StepSpec& step, bool starved,
                 MonotonicTime now) {
  if (run.stop_wanted || run.phase != RunPhase::kRunning) return false;
  // A stop would end the other members as well.
  if (step.gang) return false;
  if (step.lasting || starved) return true;
  if (run.percent >= kNearlyDonePercent) return false;
  return step.checkpoints ||
         run.running_since + Duration(step.estimate_ms) > now + kLeftToEnd;
}

/// @return the runs of a VM that may be stopped, in the order in which they
/// are: lasting tasks last, and tasks that serve users after all others.
std::vector<StoppableRun> ListStoppableRuns(const ShardState& shard,
                                            VmEntity& vm, MonotonicTime now) {
  std::vector<StoppableRun> out;
  for (auto& [key, run] : vm.runs) {
    const StepSpec* step = FindStep(shard, key);
    if (step == nullptr) continue;
    const bool starved = IsStarved(shard, now, vm, run, *step);
    if (!IsStoppable(run, *step, starved, now)) continue;
    out.push_back(
        {key, &run, step, shard.jobs.at(key.job).terms.priority, starved});
  }
  const auto rank = [](const StoppableRun& it) {
    const bool serving = it.step->tail_target_ms > 0;
    return std::tuple(it.step->lasting, serving, !it.step->filler, -it.priority,
                      !it.step->checkpoints, it.run->percent, it.key);
  };
  std::sort(out.begin(), out.end(),
            [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
  return out;
}

}  // namespace

bool MayDisrupt(const ShardState& shard, MonotonicTime now, const TaskKey& key,
                const StepSpec& step) {
  if (step.disruption_limit < 0) return true;
  const auto& tasks = shard.jobs.at(key.job)
                          .occurrences.at(key.occurrence)
                          .steps[key.step]
                          .tasks;
  int64_t others_away = 0;
  TaskKey other = key;
  for (other.index = 0; other.index < tasks.size(); ++other.index) {
    if (other.index == key.index) continue;
    if (!IsAvailable(shard, now, other, tasks[other.index])) ++others_away;
  }
  return others_away < step.disruption_limit;
}

void StopRunsOverCapacity(ShardState& shard, VmEntity& vm, MonotonicTime now,
                          Decisions& log) {
  if (!IsOverCapacity(vm)) {
    vm.over_capacity_since = {};
    return;
  }
  if (vm.over_capacity_since == MonotonicTime{}) vm.over_capacity_since = now;
  if (now - vm.over_capacity_since < kShrinkTolerance) return;
  if (now < vm.next_shrink_stop_at || !HasReportedRecently(vm, now)) return;
  vm.next_shrink_stop_at = now + kStopInterval;
  Resources free = vm.worker.capacity - ReservedCapacity(vm);
  for (const auto& [key, run] : vm.runs) {
    if (run.stop_wanted) free += ReservedSize(run);
  }
  for (const StoppableRun& it : ListStoppableRuns(shard, vm, now)) {
    const Resources size = ReservedSize(*it.run);
    if (!it.starved && !Relieves(size, free)) continue;
    if (it.step->lasting) {
      if (now < shard.next_lasting_stop_at) continue;
      if (!MayDisrupt(shard, now, it.key, *it.step)) continue;
      // Without another place, the task keeps working here, if slowly.
      if (!HasRoomElsewhere(shard, now, vm, *it.step)) continue;
      shard.next_lasting_stop_at = now + kLastingStopInterval;
    }
    it.run->stop_wanted = true;
    free += size;
    Decision decision;
    decision.kind = Decision::Kind::kTakenBack;
    decision.task = it.key;
    decision.vm = vm.id;
    decision.run = it.run->run;
    decision.reason = "the worker's capacity has shrunk";
    decision.age_ms = (now - vm.over_capacity_since).count();
    log.push_back(std::move(decision));
  }
}

}  // namespace almondtally::sched
