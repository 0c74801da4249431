#include <algorithm>
#include <limits>
#include <utility>

#include "sched/placement_pass.h"
#include "sched/run_times.h"

// Load pattern: lasting tasks that serve users occupy most of every VM. Fillers
// use the remaining CPU and interfere with some of these tasks. Tasks that
// count against a VM's capacity are therefore packed, and fillers are placed
// where they interfere least, so that some VMs stay free of sensitive tasks.
// Some VMs turn several times slower for a while. A task that such a VM would
// cost more than a short wait leaves it alone for as long.

namespace almondtally::sched {
namespace {

/// Exceeds the differences in free CPU, so that a VM that refuses starts is not
/// chosen each time.
constexpr double kLastVmPenalty = 1.5;
/// Exceeds all other differences between VMs: tasks that are not started lose
/// more than by any other choice.
constexpr double kUnreliableVmPenalty = 32;
/// Exceeds the differences between VMs of like speed.
constexpr double kSlowVmPenalty = 12;
/// Longest wait for a VM of usual speed.
constexpr Duration kMaxWaitForSpeed{8'000};
constexpr double kUnsuitable = std::numeric_limits<double>::lowest();

/// Waiting for as long as a slow VM would cost is at most twice as long as the
/// best choice, whenever a VM of usual speed gets room.
/// @return true if a task waits for a VM of usual speed.
bool WaitsForSpeed(const ShardState& shard, MonotonicTime now,
                   const PlacementPass& pass, const StepSpec& step,
                   const TaskKey& key, const TaskEntity& task) {
  if (pass.fastest_slow <= 0 || step.lasting) return false;
  const auto time =
      EstimateRunTime(shard, now, shard.jobs.at(key.job), key.step);
  const auto cost = static_cast<int64_t>(
      static_cast<double>(time.typical.count()) * (1 / pass.fastest_slow - 1));
  return now - task.since < std::min(Duration(cost), kMaxWaitForSpeed);
}

/// @return true if a filler on a slow VM would be paused at once.
bool MissesTarget(const VmEntity& vm) {
  return std::any_of(vm.runs.begin(), vm.runs.end(), [](const auto& it) {
    return it.second.over_target_since != MonotonicTime{};
  });
}

/// @param may_wait the task may wait for a VM whose serving tasks it would not
/// disturb.
/// @return the score of a VM for a task, where higher is better; kUnsuitable if
/// the task should wait instead.
double Score(const ShardState& shard, CandidateVm& candidate,
             const StepSpec& step, const TaskEntity& task, bool may_wait) {
  const auto capacity = static_cast<double>(
      std::max<int64_t>(1, candidate.vm->worker.capacity.cpu.value));
  const auto unused_cpu =
      static_cast<double>(candidate.idle_cpu - candidate.filler_cpu);
  double score = unused_cpu / capacity;
  if (step.filler) {
    // Fillers that together exceed the idle CPU only slow each other down.
    if (!candidate.serving)
      candidate.serving = ListServingTasks(shard, *candidate.vm, std::nullopt);
    const double share = std::min(
        SpeedOnIdleCpu(candidate, step),
        AllowedFillerSpeed(shard, *candidate.vm, step, *candidate.serving));
    if (share < kMinFillerSpeed && may_wait) return kUnsuitable;
    // Prefer the highest speed, then the VM with the most idle CPU.
    score = 4 * share + score;
  } else {
    // Best fit: prefer the VM with the least unreserved CPU.
    score = -static_cast<double>(candidate.free.cpu.value) / capacity;
  }
  const auto& failed = task.failed_on;
  if (std::find(failed.begin(), failed.end(), candidate.vm->id) !=
      failed.end()) {
    score -= 8;
  }
  if (!candidate.vm->failing_jobs.empty()) score -= 4;
  if (candidate.vm->id == task.last_vm) score -= kLastVmPenalty;
  if (candidate.unreliable) score -= kUnreliableVmPenalty;
  if (!step.data_rack.empty() &&
      candidate.vm->worker.rack.value != step.data_rack) {
    score -= 2;
  }
  score -= kSlowVmPenalty * (1 - candidate.speed);
  return score;
}

/// @param may_wait the task may wait for a VM whose serving tasks it would not
/// disturb.
bool IsKnownUnmet(const PlacementPass& pass, const QueueTerms& terms,
                  const StepSpec& step, bool may_wait, bool waits_for_speed) {
  return std::any_of(
      pass.unmet.begin(), pass.unmet.end(), [&](const UnmetRequest& it) {
        return it.filler == step.filler && Fits(it.each, step.each) &&
               it.service == terms.service &&
               it.required_label == step.required_label &&
               (!it.image || (may_wait && *it.image == step.image)) &&
               (!it.usual_vms_only || waits_for_speed);
      });
}

void RememberUnmet(PlacementPass& pass, const QueueTerms& terms,
                   const StepSpec& step, bool ruled_out_by_serving,
                   bool ruled_out_by_speed) {
  UnmetRequest unmet{terms.service, step.required_label, step.filler,
                     step.each,     std::nullopt,        ruled_out_by_speed};
  if (ruled_out_by_serving) unmet.image = step.image;
  pass.unmet.push_back(std::move(unmet));
}

}  // namespace

VmChoice ChooseVm(const ShardState& shard, MonotonicTime now,
                  PlacementPass& pass, const QueueTerms& terms,
                  const StepSpec& step, const TaskKey& key,
                  const TaskEntity& task) {
  const bool may_wait = now - task.since < pass.max_filler_wait;
  VmChoice out;
  const bool waits_for_speed = WaitsForSpeed(shard, now, pass, step, key, task);
  // Tasks of one step may differ in how long they may still wait. One that has
  // not run waits as long as any.
  out.others_may_fit =
      (step.filler && may_wait) || (waits_for_speed && !task.last_vm.empty());
  if (IsKnownUnmet(pass, terms, step, may_wait, waits_for_speed)) return out;
  double best_score = kUnsuitable;
  bool ruled_out_by_serving = false;
  bool ruled_out_by_speed = false;
  bool closed_to_task = false;
  for (CandidateVm& candidate : pass.candidates) {
    if (!IsOpenToInnocent(candidate)) continue;
    if (!HasRoom(candidate, terms, step)) continue;
    if (!IsOpenToTask(candidate, step, key)) {
      closed_to_task = true;
      if (HasEarlierRun(candidate, key)) out.others_may_fit = true;
      continue;
    }
    if (candidate.speed < 1 &&
        (waits_for_speed || (step.filler && MissesTarget(*candidate.vm)))) {
      ruled_out_by_speed = true;
      continue;
    }
    const double score = Score(shard, candidate, step, task, may_wait);
    if (score == kUnsuitable) ruled_out_by_serving = true;
    if (score <= best_score) continue;
    out.vm = &candidate;
    best_score = score;
  }
  // Other tasks may still use a VM that is closed to this one only.
  if (out.vm == nullptr && !closed_to_task) {
    RememberUnmet(pass, terms, step, ruled_out_by_serving, ruled_out_by_speed);
  }
  return out;
}

}  // namespace almondtally::sched
