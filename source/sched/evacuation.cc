#include "sched/evacuation.h"

#include <string>
#include <utility>

#include "sched/copies.h"
#include "sched/shard_state.h"

// Load pattern: operators evacuate one data centre after the other and take
// them back, while planners are replaced and the store is away. Tasks that end
// there continue elsewhere.

namespace almondtally::sched {
namespace {

/// @return true if the agent cannot have received the start of the run.
bool IsUnsent(const VmRun& run) {
  return !run.seen && run.start_batch == 0 && !run.maybe_sent;
}

/// @return the task of a run that may be taken back by itself; null if there
/// is none. The members of a gang start and end together, so that the agent's
/// refusal decides.
TaskEntity* FindTaskToTakeBack(ShardState& shard, const VmEntity& vm,
                               const TaskKey& key, const VmRun& run) {
  const StepSpec* const step = FindStep(shard, key);
  TaskEntity* const task = FindTask(shard, key);
  if (step == nullptr || step->gang || task == nullptr) return nullptr;
  const bool is_current = task->phase == TaskPhase::kPlaced &&
                          task->vm == vm.id && task->run == run.run;
  return is_current ? task : nullptr;
}

void TakeBackUnsentRuns(ShardState& shard, MonotonicTime now, VmEntity& vm,
                        Decisions& log) {
  for (auto it = vm.runs.begin(); it != vm.runs.end();) {
    const auto& [key, run] = *it;
    TaskEntity* const task =
        IsUnsent(run) ? FindTaskToTakeBack(shard, vm, key, run) : nullptr;
    if (task == nullptr) {
      ++it;
      continue;
    }
    Decision decision;
    decision.kind = Decision::Kind::kTakenBack;
    decision.task = key;
    decision.vm = vm.id;
    decision.run = run.run;
    decision.reason = "the data centre is evacuated";
    log.push_back(std::move(decision));
    task->phase = TaskPhase::kIdle;
    task->vm = {};
    task->since = now;
    task->last_outcome = "evacuated";
    task->last_outcome_vm = vm.id;
    PromoteCopy(shard, key, *task, log);
    it = vm.runs.erase(it);
  }
}

}  // namespace

bool AdoptReading(EvacuationReading& known, const EvacuationReading& other) {
  if (other.version < known.version) return false;
  const bool changed = other.data_centres != known.data_centres;
  known = other;
  return changed;
}

bool IsEvacuated(const Evacuations& evacuations, const DataCentreId& id) {
  return evacuations.reading.data_centres.contains(id);
}

bool IsOutdated(const Evacuations& evacuations, MonotonicTime now) {
  if (evacuations.max_age == Duration(0)) return false;
  return evacuations.reading.read_at == MonotonicTime{} ||
         now - evacuations.reading.read_at >= evacuations.max_age;
}

bool AdoptNotice(EvacuationNotice& known, const EvacuationNotice& other) {
  if (other.as_of.value == 0 || other.as_of < known.as_of) return false;
  const bool changed = other.evacuated != known.evacuated;
  known = other;
  return changed;
}

void ApplyEvacuations(ShardState& shard, MonotonicTime now, Decisions& log) {
  const bool outdated = IsOutdated(shard.evacuations, now);
  for (auto& [id, vm] : shard.vms) {
    vm.evacuated = IsEvacuated(shard.evacuations, vm.data_centre);
    vm.starts_held = outdated;
    if (vm.evacuated) TakeBackUnsentRuns(shard, now, vm, log);
  }
}

}  // namespace almondtally::sched
