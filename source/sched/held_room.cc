#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sched/copies.h"
#include "sched/expected_end.h"
#include "sched/ownership.h"
#include "sched/placement_pass.h"

// Load pattern: lasting tasks take most of every VM, and short tasks of the
// same or a lower priority the rest. The short ones go first, since they have
// less work left, and one of them takes each piece of room that another leaves,
// so that no VM ever has room for a lasting task that waits. Room for some of
// these is therefore held: on one VM, nothing else starts until it fits. No run
// is stopped for it.

namespace almondtally::sched {
namespace {

/// How long a lasting task waits before room is held for it.
constexpr Duration kHoldAfter{2'000};
/// Longest time that room is held for a task, and that a VM then is not held.
constexpr Duration kMaxHold{3'000};
constexpr Duration kSearchInterval{250};
/// Of how many VMs of a service one may be held.
constexpr size_t kVmsPerHold = 8;
/// Of how many VMs of a service one is left to short tasks: room is held for a
/// task only while it would fit on more VMs without their short tasks.
constexpr size_t kVmsPerShortVm = 4;
/// Expected time until a run ends that is being stopped.
constexpr Duration kStopTime{1'000};

/// A lasting task that has waited for long enough.
struct WaitingTask {
  MonotonicTime since{};
  TaskKey key;
  const JobEntity* job = nullptr;
  const StepSpec* step = nullptr;
};

/// The expected end of a run, and what it gives back.
struct ExpectedEnd {
  Duration after{};
  Resources size;
};

/// A VM of which room may be held.
struct HoldableVm {
  CandidateVm* candidate = nullptr;
  /// What its lasting tasks leave.
  Resources without_short;
  /// Of the runs that end by themselves, in their order; empty until needed.
  std::optional<std::vector<ExpectedEnd>> ends;
};

CandidateVm* FindCandidate(PlacementPass& pass, const VmId& vm) {
  const auto it =
      std::find_if(pass.candidates.begin(), pass.candidates.end(),
                   [&](const CandidateVm& c) { return c.vm->id == vm; });
  return it == pass.candidates.end() ? nullptr : &*it;
}

bool EndsByItself(const ShardState& shard, const TaskKey& key,
                  const VmRun& run) {
  const StepSpec* step = FindStep(shard, key);
  return run.stop_wanted || (step != nullptr && !step->lasting);
}

Resources ReservedSize(const VmRun& run) {
  Resources out = run.size;
  if (run.filler) out.cpu = MilliCpu(0);
  return out;
}

/// Leaves others only the room that the held task does not need. Fillers need
/// no more than memory.
void Withhold(CandidateVm& candidate, const StepSpec& step) {
  Resources& free = candidate.free;
  free -= step.each;
  free.cpu = std::max(free.cpu, MilliCpu(0));
  free.memory = std::max(free.memory, Mebibytes(0));
  free.accelerators = std::max(free.accelerators, Accelerators(0));
}

std::vector<ExpectedEnd> ListEnds(const ShardState& shard, MonotonicTime now,
                                  const VmEntity& vm) {
  std::vector<ExpectedEnd> out;
  for (const auto& [key, run] : vm.runs) {
    const auto job = shard.jobs.find(key.job);
    if (job == shard.jobs.end() || !EndsByItself(shard, key, run)) continue;
    const Duration after =
        run.stop_wanted
            ? kStopTime
            : ExpectedRemainingTime(shard, now, vm, job->second, key, run);
    if (after <= kMaxHold) out.push_back({after, ReservedSize(run)});
  }
  std::sort(out.begin(), out.end(),
            [](const auto& a, const auto& b) { return a.after < b.after; });
  return out;
}

/// @return the expected time until a task fits on a VM if nothing else starts
/// there; empty if it does not fit within the longest time of a hold.
std::optional<Duration> TimeUntilRoom(const ShardState& shard,
                                      MonotonicTime now, HoldableVm& vm,
                                      const StepSpec& step) {
  Resources free = vm.candidate->free;
  if (Fits(step.each, free)) return Duration(0);
  if (!vm.ends) vm.ends = ListEnds(shard, now, *vm.candidate->vm);
  for (const ExpectedEnd& it : *vm.ends) {
    free += it.size;
    if (Fits(step.each, free)) return it.after;
  }
  return std::nullopt;
}

/// @return false if the task of a hold does not wait any more.
bool StillWaits(ShardState& shard, const TaskKey& key) {
  const auto job = shard.jobs.find(key.job);
  if (job == shard.jobs.end() || IsFinal(job->second.state)) return false;
  const TaskEntity* task = FindTask(shard, key);
  return task != nullptr && task->phase == TaskPhase::kIdle;
}

/// Ends holds whose task does not wait any more or whose VM accepts no tasks,
/// and those that have lasted for too long.
void EndHolds(ShardState& shard, MonotonicTime now, PlacementPass& pass) {
  for (auto it = shard.room_holds.begin(); it != shard.room_holds.end();) {
    const bool expired = now - it->second.since >= kMaxHold;
    CandidateVm* candidate = FindCandidate(pass, it->first);
    if (expired && candidate != nullptr)
      candidate->vm->not_held_until = now + kMaxHold;
    const bool ends = expired || candidate == nullptr ||
                      !IsOpenToInnocent(*candidate) ||
                      shard.suspects.contains(it->second.task) ||
                      !StillWaits(shard, it->second.task);
    it = ends ? shard.room_holds.erase(it) : std::next(it);
  }
}

void Start(ShardState& shard, MonotonicTime now, CandidateVm& candidate,
           const StepSpec& step, const TaskKey& key, Decisions& log) {
  TaskEntity& task = *FindTask(shard, key);
  Reserve(shard, candidate, step);
  AssignTask(shard, now, *candidate.vm, step, key, task,
             NextRunNumber(shard, HighestRun(task)), log);
}

/// Places the tasks whose held room is free, and keeps others from the rest.
void UseHolds(ShardState& shard, MonotonicTime now, PlacementPass& pass,
              Decisions& log) {
  for (auto it = shard.room_holds.begin(); it != shard.room_holds.end();) {
    const TaskKey key = it->second.task;
    CandidateVm& candidate = *FindCandidate(pass, it->first);
    const StepSpec& step = *FindStep(shard, key);
    const JobEntity& job = shard.jobs.at(key.job);
    const bool starts = IsPlaceable(shard, now, job, *FindTask(shard, key)) &&
                        HasRoom(candidate, job.terms, step);
    if (!starts || !IsOpenToTask(candidate, step, key)) {
      Withhold(candidate, step);
      ++it;
      continue;
    }
    Start(shard, now, candidate, step, key, log);
    it = shard.room_holds.erase(it);
  }
}

/// @return one task of each step that waits, the one that has waited longest
/// first.
std::vector<WaitingTask> ListWaiting(const ShardState& shard, MonotonicTime now,
                                     const std::vector<ReadyStep>& steps) {
  std::vector<WaitingTask> out;
  const auto is_held = [&](const TaskKey& key) {
    return std::any_of(shard.room_holds.begin(), shard.room_holds.end(),
                       [&](const auto& it) { return it.second.task == key; });
  };
  for (const ReadyStep& it : steps) {
    const StepSpec& spec = it.job->record.spec.steps[it.step];
    if (!spec.lasting || spec.gang) continue;
    const auto& tasks =
        it.job->occurrences.at(it.occurrence).steps[it.step].tasks;
    TaskKey key{it.job->record.spec.id, it.occurrence, it.step, 0};
    for (; key.index < tasks.size(); ++key.index) {
      const TaskEntity& task = tasks[key.index];
      if (!IsPlaceable(shard, now, *it.job, task)) continue;
      if (now - task.since < kHoldAfter) continue;
      if (shard.suspects.contains(key) || is_held(key)) continue;
      out.push_back({task.since, key, it.job, &spec});
      break;
    }
  }
  std::sort(out.begin(), out.end(), [](const auto& a, const auto& b) {
    return std::pair(a.since, a.key) < std::pair(b.since, b.key);
  });
  return out;
}

std::vector<HoldableVm> ListHoldable(const ShardState& shard, MonotonicTime now,
                                     PlacementPass& pass) {
  std::vector<HoldableVm> out;
  for (CandidateVm& candidate : pass.candidates) {
    const VmEntity& vm = *candidate.vm;
    if (!IsOpenToInnocent(candidate) || candidate.unreliable) continue;
    if (candidate.speed < 1 || vm.not_held_until > now) continue;
    if (shard.room_holds.contains(vm.id)) continue;
    Resources left = candidate.free;
    for (const auto& [key, run] : vm.runs) {
      if (EndsByItself(shard, key, run)) left += ReservedSize(run);
    }
    out.push_back({&candidate, left, std::nullopt});
  }
  return out;
}

size_t CountHolds(const ShardState& shard, const ServiceId& service) {
  return std::count_if(
      shard.room_holds.begin(), shard.room_holds.end(), [&](const auto& it) {
        return shard.vms.at(it.first).worker.service == service;
      });
}

/// @return the VM on which a task is expected to fit first; null if too few
/// VMs would have room for it without short tasks.
CandidateVm* ChooseVmToHold(const ShardState& shard, MonotonicTime now,
                            const WaitingTask& task,
                            std::vector<HoldableVm>& vms, size_t vms_of_service,
                            Duration& wait) {
  const auto& label = task.step->required_label;
  CandidateVm* best = nullptr;
  size_t suitable = 0;
  for (HoldableVm& it : vms) {
    const WorkerReport& worker = it.candidate->vm->worker;
    const bool has_label =
        label.empty() || std::find(worker.labels.begin(), worker.labels.end(),
                                   label) != worker.labels.end();
    if (worker.service != task.job->terms.service || !has_label) continue;
    if (!Fits(task.step->each, it.without_short)) continue;
    if (!IsOpenToTask(*it.candidate, *task.step, task.key)) continue;
    ++suitable;
    const auto time = TimeUntilRoom(shard, now, it, *task.step);
    if (!time || (best != nullptr && *time >= wait)) continue;
    best = it.candidate;
    wait = *time;
  }
  return suitable > vms_of_service / kVmsPerShortVm ? best : nullptr;
}

void BeginHold(ShardState& shard, MonotonicTime now, const WaitingTask& task,
               CandidateVm& candidate, Duration wait, Decisions& log) {
  shard.room_holds[candidate.vm->id] = {task.key, now};
  Withhold(candidate, *task.step);
  Decision decision;
  decision.kind = Decision::Kind::kRoomHeld;
  decision.task = task.key;
  decision.vm = candidate.vm->id;
  decision.reason = "room expected in " + std::to_string(wait.count()) + " ms";
  decision.age_ms = (now - task.since).count();
  log.push_back(std::move(decision));
}

}  // namespace

void HoldRoom(ShardState& shard, MonotonicTime now,
              const std::vector<ReadyStep>& ready_steps, PlacementPass& pass,
              Decisions& log) {
  EndHolds(shard, now, pass);
  UseHolds(shard, now, pass, log);
  if (now < shard.next_hold_search_at) return;
  shard.next_hold_search_at = now + kSearchInterval;
  const auto waiting = ListWaiting(shard, now, ready_steps);
  if (waiting.empty()) return;
  std::map<ServiceId, size_t> vms_of_service;
  for (const auto& it : pass.candidates) {
    ++vms_of_service[it.vm->worker.service];
  }
  std::vector<HoldableVm> holdable = ListHoldable(shard, now, pass);
  for (const WaitingTask& task : waiting) {
    const ServiceId& service = task.job->terms.service;
    const size_t vms = vms_of_service[service];
    const size_t limit = std::max<size_t>(1, vms / kVmsPerHold);
    if (CountHolds(shard, service) >= limit) continue;
    Duration wait{};
    CandidateVm* vm = ChooseVmToHold(shard, now, task, holdable, vms, wait);
    if (vm == nullptr) continue;
    if (Fits(task.step->each, vm->free)) {
      Start(shard, now, *vm, *task.step, task.key, log);
    } else {
      BeginHold(shard, now, task, *vm, wait, log);
    }
    std::erase_if(holdable,
                  [&](const HoldableVm& it) { return it.candidate == vm; });
  }
}

}  // namespace almondtally::sched
