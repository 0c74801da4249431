#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "sched/placement_pass.h"

namespace almondtally::sched {
namespace {

/// Chooses a VM for each task of a gang and reserves the capacity.
/// @param rack the rack to use if the gang must be on one.
/// @return nothing if not all tasks find a VM.
std::vector<CandidateVm*> ChooseVmsOfGang(
    const ShardState& shard, const ReadyStep& ready_step, const RackId& rack,
    bool reliable_only, std::vector<CandidateVm>& candidates) {
  const StepSpec& spec = ready_step.job->record.spec.steps[ready_step.step];
  TaskKey key{ready_step.job->record.spec.id, ready_step.occurrence,
              ready_step.step, 0};
  std::vector<CandidateVm*> chosen;
  for (; key.index < spec.count; ++key.index) {
    CandidateVm* best = nullptr;
    for (CandidateVm& candidate : candidates) {
      // One slow member slows down all of them.
      if ((candidate.unreliable || candidate.speed < 1) && reliable_only)
        continue;
      if (!IsOpenToInnocent(candidate)) continue;
      if (spec.one_rack && candidate.vm->worker.rack != rack) continue;
      if (!HasRoom(candidate, ready_step.job->terms, spec)) continue;
      if (!IsOpenToTask(candidate, spec, key)) continue;
      const auto placed_here =
          std::count(chosen.begin(), chosen.end(), &candidate);
      if (spec.max_per_vm != 0 && placed_here >= spec.max_per_vm) continue;
      if (best == nullptr || candidate.idle_cpu > best->idle_cpu)
        best = &candidate;
    }
    if (best == nullptr) break;
    Reserve(shard, *best, spec);
    chosen.push_back(best);
  }
  if (chosen.size() == spec.count) return chosen;
  for (CandidateVm* candidate : chosen) Release(*candidate, spec);
  return {};
}

}  // namespace

void PlaceGang(ShardState& shard, MonotonicTime now,
               const ReadyStep& ready_step,
               std::vector<CandidateVm>& candidates, Decisions& log) {
  const StepSpec& spec = ready_step.job->record.spec.steps[ready_step.step];
  StepEntity& step = ready_step.job->occurrences.at(ready_step.occurrence)
                         .steps[ready_step.step];
  TaskKey key{ready_step.job->record.spec.id, ready_step.occurrence,
              ready_step.step, 0};
  RunNumber number;
  std::string checkpoint;
  for (const TaskEntity& task : step.tasks) {
    if (task.phase != TaskPhase::kIdle || task.not_before > now) return;
    number = std::max(number, task.run);
    if (!task.checkpoint.empty()) checkpoint = task.checkpoint;
  }
  std::set<RackId> racks;
  for (const CandidateVm& candidate : candidates) {
    racks.insert(spec.one_rack ? candidate.vm->worker.rack : RackId());
  }
  for (const bool reliable_only : {true, false}) {
    for (const RackId& rack : racks) {
      const std::vector<CandidateVm*> chosen =
          ChooseVmsOfGang(shard, ready_step, rack, reliable_only, candidates);
      if (chosen.empty()) continue;
      number = NextRunNumber(shard, number);
      for (key.index = 0; key.index < chosen.size(); ++key.index) {
        TaskEntity& task = step.tasks[key.index];
        task.checkpoint = checkpoint;
        AssignTask(shard, now, *chosen[key.index]->vm, spec, key, task, number,
                   log);
      }
      return;
    }
  }
}

}  // namespace almondtally::sched
