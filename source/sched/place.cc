#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "sched/copies.h"
#include "sched/filler_wait.h"
#include "sched/ownership.h"
#include "sched/placement_pass.h"

namespace almondtally::sched {
namespace {

/// Run numbers available to one task within one planner epoch.
constexpr uint64_t kRunsPerEpoch = 1'000;

bool HasPlacedTask(const JobEntity& job) {
  for (const auto& [number, occurrence] : job.occurrences) {
    for (const StepEntity& step : occurrence.steps) {
      const bool is_placed = std::any_of(
          step.tasks.begin(), step.tasks.end(),
          [](const auto& it) { return it.phase == TaskPhase::kPlaced; });
      if (is_placed) return true;
    }
  }
  return false;
}

std::vector<ReadyStep> ListReadySteps(ShardState& shard, MonotonicTime now) {
  std::vector<ReadyStep> out;
  for (const JobId& id : shard.open_jobs) {
    JobEntity& job = shard.jobs.at(id);
    if (!job.accepted) continue;
    for (auto& [number, occurrence] : job.occurrences) {
      for (uint32_t i = 0; i < occurrence.steps.size(); ++i) {
        const StepEntity& step = occurrence.steps[i];
        if (!step.ready || step.done == step.tasks.size()) continue;
        const bool idle = std::any_of(step.tasks.begin(), step.tasks.end(),
                                      [&](const auto& t) {
                                        return t.phase == TaskPhase::kIdle &&
                                               !AwaitsEarlierRun(shard, job, t);
                                      });
        if (!idle) continue;
        ReadyStep it;
        it.job = &job;
        it.occurrence = number;
        it.step = i;
        it.rank = RankOf(shard, job, occurrence, now);
        out.push_back(it);
        const bool is_starving = it.rank.outlook == Outlook::kTooLate &&
                                 !job.record.spec.steps[i].gang &&
                                 !HasPlacedTask(job);
        if (!is_starving) continue;
        it.rank = RankOfStarving(it.rank);
        it.max_tasks = 1;
        out.push_back(it);
      }
    }
  }
  std::sort(out.begin(), out.end(),
            [](const auto& a, const auto& b) { return a.rank < b.rank; });
  return out;
}

void PlaceIndependentTasks(ShardState& shard, MonotonicTime now,
                           const ReadyStep& ready_step, PlacementPass& pass,
                           Decisions& log) {
  const StepSpec& spec = ready_step.job->record.spec.steps[ready_step.step];
  StepEntity& step = ready_step.job->occurrences.at(ready_step.occurrence)
                         .steps[ready_step.step];
  TaskKey key{ready_step.job->record.spec.id, ready_step.occurrence,
              ready_step.step, 0};
  pass.max_filler_wait = MaxFillerWait(
      shard, now, *ready_step.job,
      ready_step.job->occurrences.at(ready_step.occurrence), ready_step.rank);
  const bool has_suspect = HasSuspect(shard, key);
  // The tasks of a step are alike, and its job cannot end before the suspect
  // does.
  if (has_suspect && !spec.lasting) return;
  size_t placed = 0;
  for (; key.index < step.tasks.size(); ++key.index) {
    if (placed >= ready_step.max_tasks) return;
    TaskEntity& task = step.tasks[key.index];
    if (!IsPlaceable(shard, now, *ready_step.job, task)) continue;
    if (has_suspect && shard.suspects.contains(key)) continue;
    const VmChoice choice =
        ChooseVm(shard, now, pass, ready_step.job->terms, spec, key, task);
    if (choice.vm == nullptr) {
      if (!choice.others_may_fit) return;
      continue;
    }
    if (WaitsForNearPlace(shard, now, ready_step, pass, key, task,
                          *choice.vm->vm, log)) {
      continue;
    }
    Reserve(shard, *choice.vm, spec);
    AssignTask(shard, now, *choice.vm->vm, spec, key, task,
               NextRunNumber(shard, HighestRun(task)), log);
    ++placed;
  }
}

}  // namespace

RunNumber NextRunNumber(const ShardState& shard, RunNumber last) {
  const uint64_t first = (shard.epoch.value - 1) * kRunsPerEpoch + 1;
  return RunNumber(std::max(first, last.value + 1));
}

void AssignTask(ShardState& shard, MonotonicTime now, VmEntity& vm,
                const StepSpec& step, const TaskKey& key, TaskEntity& task,
                RunNumber number, Decisions& log) {
  Decision decision;
  decision.kind = Decision::Kind::kPlaced;
  decision.task = key;
  decision.vm = vm.id;
  decision.run = number;
  decision.age_ms = (now - task.since).count();
  decision.outcome = task.last_outcome;
  if (!task.last_outcome.empty()) {
    decision.reason = "run " + std::to_string(task.run.value) + " was on " +
                      task.last_outcome_vm.value;
  }
  log.push_back(std::move(decision));
  ++shard.starts;
  task.phase = TaskPhase::kPlaced;
  task.is_accounted_for = true;
  task.run = number;
  task.vm = vm.id;
  task.last_vm = vm.id;
  if (task.waiting_since == MonotonicTime{}) task.waiting_since = task.since;
  task.since = now;
  shard.leaving_slow.erase(key);
  VmRun run;
  run.run = number;
  SetRunSpec(run, step);
  vm.runs[key] = run;
  // Update the speed limits at once, so that a new filler starts with the right
  // one.
  vm.next_pace_at = now;
}

void PlaceTasks(ShardState& shard, MonotonicTime now, Decisions& log) {
  shard.recovering = IsRecovering(shard);
  const auto ready_steps = ListReadySteps(shard, now);
  const auto slow_runs = ListSlowRuns(shard, now);
  if (ready_steps.empty()) shard.room_holds.clear();
  if (ready_steps.empty() && slow_runs.empty()) return;
  PlacementPass pass;
  const SuspectTests tests = ListSuspectTests(shard, now);
  pass.candidates = ListCandidateVms(shard, now, tests);
  for (const CandidateVm& it : pass.candidates) {
    if (it.speed < 1) pass.fastest_slow = std::max(pass.fastest_slow, it.speed);
  }
  if (!shard.suspects.empty()) {
    pass.suspect_limits = LimitSuspects(shard, now, tests);
    for (const ReadyStep& it : ready_steps) {
      PlaceSuspects(shard, now, it, pass, log);
    }
  }
  HoldRoom(shard, now, ready_steps, pass, log);
  for (const ReadyStep& it : ready_steps) {
    if (it.job->record.spec.steps[it.step].gang) {
      PlaceGang(shard, now, it, pass, log);
    } else {
      PlaceIndependentTasks(shard, now, it, pass, log);
    }
  }
  StartCopies(shard, now, pass, ready_steps, slow_runs, log);
}

}  // namespace almondtally::sched
