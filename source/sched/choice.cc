#include <algorithm>
#include <limits>
#include <utility>

#include "sched/placement_pass.h"

// Load pattern: lasting tasks that serve users occupy most of every VM. Fillers
// use the remaining CPU and interfere with some of these tasks. Tasks that
// count against a VM's capacity are therefore packed, and fillers are placed
// where they interfere least, so that some VMs stay free of sensitive tasks.

namespace almondtally::sched {
namespace {

/// Exceeds the differences in free CPU, so that a VM that refuses starts is not
/// chosen each time.
constexpr double kLastVmPenalty = 1.5;
/// Exceeds all other differences between VMs: tasks that are not started lose
/// more than by any other choice.
constexpr double kUnreliableVmPenalty = 32;
constexpr double kUnsuitable = std::numeric_limits<double>::lowest();

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
  return score;
}

/// @param may_wait the task may wait for a VM whose serving tasks it would not
/// disturb.
bool IsKnownUnmet(const PlacementPass& pass, const QueueTerms& terms,
                  const StepSpec& step, bool may_wait) {
  return std::any_of(
      pass.unmet.begin(), pass.unmet.end(), [&](const UnmetRequest& it) {
        return it.filler == step.filler && Fits(it.each, step.each) &&
               it.service == terms.service &&
               it.required_label == step.required_label &&
               (!it.image || (may_wait && *it.image == step.image));
      });
}

void RememberUnmet(PlacementPass& pass, const QueueTerms& terms,
                   const StepSpec& step, bool ruled_out_by_serving) {
  UnmetRequest unmet{terms.service, step.required_label, step.filler, step.each,
                     std::nullopt};
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
  // Fillers of one step may differ in how long they may still wait.
  out.others_may_fit = step.filler && may_wait;
  if (IsKnownUnmet(pass, terms, step, may_wait)) return out;
  double best_score = kUnsuitable;
  bool ruled_out_by_serving = false;
  bool closed_to_task = false;
  for (CandidateVm& candidate : pass.candidates) {
    if (!IsOpenToInnocent(candidate)) continue;
    if (!HasRoom(candidate, terms, step)) continue;
    if (!IsOpenToTask(candidate, step, key)) {
      closed_to_task = true;
      if (HasEarlierRun(candidate, key)) out.others_may_fit = true;
      continue;
    }
    const double score = Score(shard, candidate, step, task, may_wait);
    if (score == kUnsuitable) ruled_out_by_serving = true;
    if (score <= best_score) continue;
    out.vm = &candidate;
    best_score = score;
  }
  // Other tasks may still use a VM that is closed to this one only.
  if (out.vm == nullptr && !closed_to_task)
    RememberUnmet(pass, terms, step, ruled_out_by_serving);
  return out;
}

}  // namespace almondtally::sched
