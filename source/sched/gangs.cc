#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sched/ownership.h"
#include "sched/placement_pass.h"

namespace almondtally::sched {
namespace {

/// Chooses a VM for each task of a gang and reserves the capacity.
/// @param rack the rack to use; any if empty.
/// @return nothing if not all tasks find a VM.
std::vector<CandidateVm*> ChooseVmsOfGang(
    const ShardState& shard, const ReadyStep& ready_step,
    const std::optional<RackId>& rack, bool reliable_only,
    std::vector<CandidateVm>& candidates) {
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
      if (rack && candidate.vm->worker.rack != *rack) continue;
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

void AssignGang(ShardState& shard, MonotonicTime now,
                const ReadyStep& ready_step,
                const std::vector<CandidateVm*>& chosen, Decisions& log) {
  const StepSpec& spec = ready_step.job->record.spec.steps[ready_step.step];
  StepEntity& step = ready_step.job->occurrences.at(ready_step.occurrence)
                         .steps[ready_step.step];
  RunNumber number;
  std::string checkpoint;
  for (const TaskEntity& task : step.tasks) {
    number = std::max(number, task.run);
    if (!task.checkpoint.empty()) checkpoint = task.checkpoint;
  }
  number = NextRunNumber(shard, number);
  TaskKey key{ready_step.job->record.spec.id, ready_step.occurrence,
              ready_step.step, 0};
  for (; key.index < chosen.size(); ++key.index) {
    TaskEntity& task = step.tasks[key.index];
    task.checkpoint = checkpoint;
    AssignTask(shard, now, *chosen[key.index]->vm, spec, key, task, number,
               log);
  }
}

/// Spreads a gang that fits on no rack over several, unless a rack is expected
/// to be free in time.
void SpreadGang(ShardState& shard, MonotonicTime now,
                const ReadyStep& ready_step, PlacementPass& pass,
                TaskEntity& first, Decisions& log) {
  const StepSpec& spec = ready_step.job->record.spec.steps[ready_step.step];
  const TaskKey key{ready_step.job->record.spec.id, ready_step.occurrence,
                    ready_step.step, 0};
  for (const bool reliable_only : {true, false}) {
    const std::vector<CandidateVm*> chosen = ChooseVmsOfGang(
        shard, ready_step, std::nullopt, reliable_only, pass.candidates);
    if (chosen.empty()) continue;
    for (CandidateVm* candidate : chosen) Release(*candidate, spec);
    if (WaitsForOneRack(shard, now, ready_step, pass, key, first)) return;
    for (CandidateVm* candidate : chosen) Reserve(shard, *candidate, spec);
    ++shard.near_waits.spread_gangs;
    EndNearWait(shard, now, key, first, false, Duration(0), log);
    return AssignGang(shard, now, ready_step, chosen, log);
  }
}

}  // namespace

void PlaceGang(ShardState& shard, MonotonicTime now,
               const ReadyStep& ready_step, PlacementPass& pass,
               Decisions& log) {
  const StepSpec& spec = ready_step.job->record.spec.steps[ready_step.step];
  StepEntity& step = ready_step.job->occurrences.at(ready_step.occurrence)
                         .steps[ready_step.step];
  const TaskKey key{ready_step.job->record.spec.id, ready_step.occurrence,
                    ready_step.step, 0};
  for (const TaskEntity& task : step.tasks) {
    if (!IsPlaceable(shard, now, *ready_step.job, task)) return;
  }
  std::set<std::optional<RackId>> racks;
  for (const CandidateVm& candidate : pass.candidates) {
    racks.insert(spec.one_rack ? std::optional(candidate.vm->worker.rack)
                               : std::nullopt);
  }
  TaskEntity& first = step.tasks.front();
  for (const bool reliable_only : {true, false}) {
    for (const std::optional<RackId>& rack : racks) {
      const std::vector<CandidateVm*> chosen = ChooseVmsOfGang(
          shard, ready_step, rack, reliable_only, pass.candidates);
      if (chosen.empty()) continue;
      EndNearWait(shard, now, key, first, true,
                  GainOfOneRack(shard, now, *ready_step.job, key), log);
      return AssignGang(shard, now, ready_step, chosen, log);
    }
  }
  if (spec.one_rack && shard.features.far_factor > 1)
    SpreadGang(shard, now, ready_step, pass, first, log);
}

}  // namespace almondtally::sched
