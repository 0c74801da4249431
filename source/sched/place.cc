#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "sched/detail.h"
#include "sched/ownership.h"
#include "sched/rank.h"
#include "sched/room.h"
#include "sched/shard_state.h"

// Load pattern: lasting tasks that serve users occupy most of every VM. Fillers
// use the remaining CPU and interfere with some of these tasks. Tasks that
// count against a VM's capacity are therefore packed, and fillers are placed
// where they interfere least, so that some VMs stay free of sensitive tasks.

namespace almondtally::sched {
namespace {

/// A filler waits if it would run below this share of full speed.
constexpr double kMinFillerSpeed = 0.7;
/// Longest wait of a filler for a VM without interference; after that, slow
/// progress is better than none. Callers are guaranteed a start within 3 s
/// while most of the capacity is free.
constexpr Duration kMaxFillerWait{2'300};
/// Share of their reserved CPU that serving tasks use at peak load,
/// approximately.
constexpr double kServingCpuUse = 0.6;
/// Exceeds the differences in free CPU, so that a VM that refuses starts is not
/// chosen each time.
constexpr double kLastVmPenalty = 1.5;
/// Exceeds all other differences between VMs: tasks that are not started lose
/// more than by any other choice.
constexpr double kUnreliableVmPenalty = 32;
constexpr double kUnsuitable = std::numeric_limits<double>::lowest();
/// Run numbers available to one task within one planner epoch.
constexpr uint64_t kRunsPerEpoch = 1'000;

/// A VM that accepts tasks. The remaining capacity is updated with each task
/// that is placed.
struct CandidateVm {
  VmEntity* vm = nullptr;
  /// Capacity not reserved; fillers reserve memory and accelerators, no CPU.
  Resources free;
  /// CPU, in thousandths, that tasks other than fillers are expected to leave
  /// idle.
  int64_t idle_cpu = 0;
  /// CPU that the fillers on the VM ask for.
  int64_t filler_cpu = 0;
  /// The VM's serving tasks; empty until they are needed.
  std::optional<std::vector<ServingTask>> serving;
  /// A suspect runs here, so that only suspects may start.
  bool testing_suspect = false;
  /// The suspects that were started last must run for a while before the next.
  bool busy_with_suspect = false;
  /// Suspects that were placed here in this pass.
  size_t suspects_placed = 0;
  /// Only suspects may start here.
  bool reserved_for_suspects = false;
  /// Starts are likely not to be carried out here.
  bool unreliable = false;
  /// See LossOnCrash; empty until it is needed.
  std::optional<int64_t> loss_on_crash;
};

/// A request that no VM could satisfy in this pass.
struct UnmetRequest {
  ServiceId service;
  std::string required_label;
  bool filler = false;
  Resources each;
  /// Set if some VM had room but its serving tasks ruled the image out.
  std::optional<std::string> image;
};

/// Candidates of one planning pass, and the requests that they cannot satisfy.
/// With many steps waiting for the same resources, only the first of them
/// searches all VMs.
struct PlacementPass {
  std::vector<CandidateVm> candidates;
  std::vector<UnmetRequest> unmet;
  std::map<ServiceId, SuspectLimits> suspect_limits;
};

/// Result of the search for a VM.
struct VmChoice {
  CandidateVm* vm = nullptr;
  /// Other tasks of the step may find a VM although this one did not.
  bool others_may_fit = false;
};

/// A ready step that has idle tasks.
struct ReadyStep {
  JobEntity* job = nullptr;
  uint32_t occurrence = 0;
  uint32_t step = 0;
  JobRank rank;
  /// How many tasks may be placed.
  size_t max_tasks = std::numeric_limits<size_t>::max();
};

bool AcceptsTasks(const ShardState& shard, const VmEntity& vm,
                  MonotonicTime now) {
  return vm.synced && !vm.partial && !vm.row_unproven &&
         !IsLeaseUnproven(shard, vm, now) && vm.worker.responsive &&
         !vm.worker.draining;
}

/// @return true if the VM did not carry out its last start, or if its agent is
/// late with its report. Such a VM has more room than others, since nothing
/// starts there.
bool IsUnreliable(const VmEntity& vm, MonotonicTime now) {
  return vm.avoided_until > now || !HasReportedRecently(vm, now);
}

/// @return the services of which most VMs are set aside. Their failures are due
/// to the tasks, and no other VM would do better.
std::set<ServiceId> ListServicesMostlySetAside(const ShardState& shard,
                                               MonotonicTime now) {
  std::map<ServiceId, int> balance;
  for (const auto& [id, vm] : shard.vms) {
    if (!AcceptsTasks(shard, vm, now)) continue;
    balance[vm.worker.service] += vm.set_aside_until > now ? 1 : -1;
  }
  std::set<ServiceId> out;
  for (const auto& [service, surplus] : balance) {
    if (surplus > 0) out.insert(service);
  }
  return out;
}

std::vector<CandidateVm> ListCandidateVms(ShardState& shard, MonotonicTime now,
                                          const SuspectTests& tests) {
  std::vector<CandidateVm> out;
  const auto mostly_set_aside = ListServicesMostlySetAside(shard, now);
  for (auto& [id, vm] : shard.vms) {
    const WorkerReport& worker = vm.worker;
    const bool set_aside =
        vm.set_aside_until > now && !mostly_set_aside.contains(worker.service);
    if (!AcceptsTasks(shard, vm, now) || set_aside) continue;
    CandidateVm candidate;
    candidate.vm = &vm;
    candidate.free = worker.capacity;
    candidate.idle_cpu = worker.capacity.cpu.value;
    candidate.testing_suspect = tests.vms.contains(id);
    candidate.busy_with_suspect = tests.busy.contains(id);
    candidate.reserved_for_suspects =
        vm.reserved_for_suspects_until > now || vm.has_former_lease;
    candidate.unreliable = IsUnreliable(vm, now);
    for (const auto& [task, run] : vm.runs) {
      Resources size = run.size;
      if (run.filler) {
        candidate.filler_cpu += size.cpu.value;
        size.cpu = MilliCpu(0);
      }
      candidate.free -= size;
      const double used = run.tail_target_ms > 0 ? kServingCpuUse : 1;
      candidate.idle_cpu -=
          static_cast<int64_t>(static_cast<double>(size.cpu.value) * used);
    }
    out.push_back(candidate);
  }
  return out;
}

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
  const bool recovering = IsRecovering(shard);
  for (const JobId& id : shard.open_jobs) {
    JobEntity& job = shard.jobs.at(id);
    if (!job.accepted) continue;
    if (recovering && job.loaded_from_store) continue;
    for (auto& [number, occurrence] : job.occurrences) {
      for (uint32_t i = 0; i < occurrence.steps.size(); ++i) {
        const StepEntity& step = occurrence.steps[i];
        if (!step.ready || step.done == step.tasks.size()) continue;
        const bool idle = std::any_of(
            step.tasks.begin(), step.tasks.end(),
            [](const auto& t) { return t.phase == TaskPhase::kIdle; });
        if (!idle) continue;
        ReadyStep it;
        it.job = &job;
        it.occurrence = number;
        it.step = i;
        it.rank = RankOf(job, occurrence, now);
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

uint32_t CountRunsOfStep(const VmEntity& vm, const TaskKey& key) {
  uint32_t n = 0;
  const TaskKey first{key.job, key.occurrence, key.step, 0};
  for (auto it = vm.runs.lower_bound(first); it != vm.runs.end(); ++it) {
    const TaskKey& at = it->first;
    if (at.job != key.job || at.occurrence != key.occurrence ||
        at.step != key.step) {
      break;
    }
    ++n;
  }
  return n;
}

/// @return the share of full speed that the idle CPU of a VM allows a filler.
double SpeedOnIdleCpu(const CandidateVm& candidate, const StepSpec& step) {
  const auto wanted =
      static_cast<double>(std::max<int64_t>(1, step.each.cpu.value));
  const auto idle =
      static_cast<double>(candidate.idle_cpu - candidate.filler_cpu);
  return std::clamp(idle / wanted, 0.0, 1.0);
}

/// @return true if a VM could run tasks like those of a step.
bool HasRoom(const CandidateVm& candidate, const QueueTerms& terms,
             const StepSpec& step) {
  Resources need = step.each;
  if (step.filler) need.cpu = MilliCpu(0);
  if (!Fits(need, candidate.free)) return false;
  if (step.filler && SpeedOnIdleCpu(candidate, step) < kMinFillerSpeed)
    return false;
  const WorkerReport& worker = candidate.vm->worker;
  if (worker.service != terms.service) return false;
  const auto& labels = worker.labels;
  return step.required_label.empty() ||
         std::find(labels.begin(), labels.end(), step.required_label) !=
             labels.end();
}

/// @return true if tasks that are not suspected of crashing workers may start.
bool IsOpenToInnocent(const CandidateVm& candidate) {
  return !candidate.testing_suspect && !candidate.reserved_for_suspects;
}

bool HasEarlierRun(const CandidateVm& candidate, const TaskKey& key) {
  return candidate.vm->runs.contains(key);
}

/// @return true unless the VM has an earlier run of the task, or as many tasks
/// of the step as allowed.
bool IsOpenToTask(const CandidateVm& candidate, const StepSpec& step,
                  const TaskKey& key) {
  if (HasEarlierRun(candidate, key)) return false;
  return step.max_per_vm == 0 ||
         CountRunsOfStep(*candidate.vm, key) < step.max_per_vm;
}

/// @return the score of a VM for a task, where higher is better; kUnsuitable if
/// the task should wait instead.
double Score(const ShardState& shard, MonotonicTime now, CandidateVm& candidate,
             const StepSpec& step, const TaskEntity& task) {
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
    const bool may_wait = now - task.since < kMaxFillerWait;
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

VmChoice ChooseVm(const ShardState& shard, MonotonicTime now,
                  PlacementPass& pass, const QueueTerms& terms,
                  const StepSpec& step, const TaskKey& key,
                  const TaskEntity& task) {
  const bool may_wait = now - task.since < kMaxFillerWait;
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
    const double score = Score(shard, now, candidate, step, task);
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

void Reserve(const ShardState& shard, CandidateVm& candidate,
             const StepSpec& step) {
  Resources size = step.each;
  if (step.filler) {
    candidate.filler_cpu += size.cpu.value;
    size.cpu = MilliCpu(0);
    if (candidate.serving)
      AddFillerLoad(shard, *candidate.vm, step, *candidate.serving);
  }
  if (step.tail_target_ms > 0) candidate.serving.reset();
  candidate.free -= size;
  candidate.idle_cpu -= size.cpu.value;
}

void Release(CandidateVm& candidate, const StepSpec& step) {
  Resources size = step.each;
  if (step.filler) {
    candidate.filler_cpu -= size.cpu.value;
    size.cpu = MilliCpu(0);
  }
  candidate.free += size;
  candidate.idle_cpu += size.cpu.value;
}

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
  task.run = number;
  task.vm = vm.id;
  task.last_vm = vm.id;
  if (task.waiting_since == MonotonicTime{}) task.waiting_since = task.since;
  task.since = now;
  VmRun run;
  run.run = number;
  SetRunSpec(run, step);
  vm.runs[key] = run;
  // Update the speed limits at once, so that a new filler starts with the right
  // one.
  vm.next_pace_at = now;
}

void PlaceIndependentTasks(ShardState& shard, MonotonicTime now,
                           const ReadyStep& ready_step, PlacementPass& pass,
                           Decisions& log) {
  const StepSpec& spec = ready_step.job->record.spec.steps[ready_step.step];
  StepEntity& step = ready_step.job->occurrences.at(ready_step.occurrence)
                         .steps[ready_step.step];
  TaskKey key{ready_step.job->record.spec.id, ready_step.occurrence,
              ready_step.step, 0};
  const bool has_suspect = HasSuspect(shard, key);
  // The tasks of a step are alike, and its job cannot end before the suspect
  // does.
  if (has_suspect && !spec.lasting) return;
  size_t placed = 0;
  for (; key.index < step.tasks.size(); ++key.index) {
    if (placed >= ready_step.max_tasks) return;
    TaskEntity& task = step.tasks[key.index];
    if (task.phase != TaskPhase::kIdle || task.not_before > now) continue;
    if (has_suspect && shard.suspects.contains(key)) continue;
    const VmChoice choice =
        ChooseVm(shard, now, pass, ready_step.job->terms, spec, key, task);
    if (choice.vm == nullptr) {
      if (!choice.others_may_fit) return;
      continue;
    }
    Reserve(shard, *choice.vm, spec);
    AssignTask(shard, now, *choice.vm->vm, spec, key, task,
               NextRunNumber(shard, task.run), log);
    ++placed;
  }
}

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

/// Places the idle suspects of a step, each on the VM where a crash does least
/// harm.
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
    if (task.phase != TaskPhase::kIdle || task.not_before > now) continue;
    if (!shard.suspects.contains(key)) continue;
    const bool may_share = MayShareTest(task);
    bool& no_vm = may_share ? no_vm_for_shared_test : no_vm_for_own_test;
    if (no_vm) continue;
    CandidateVm* const vm = ChooseVmOfSuspect(
        shard, now, pass, terms, spec, key, may_share ? limits.group_size : 1);
    if (vm == nullptr) {
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
               NextRunNumber(shard, task.run), log);
  }
}

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
      if (candidate.unreliable && reliable_only) continue;
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

/// Places all tasks of a gang, or none.
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

}  // namespace

void PlaceTasks(ShardState& shard, MonotonicTime now, Decisions& log) {
  const auto ready_steps = ListReadySteps(shard, now);
  if (ready_steps.empty()) return;
  PlacementPass pass;
  const SuspectTests tests = ListSuspectTests(shard, now);
  pass.candidates = ListCandidateVms(shard, now, tests);
  if (!shard.suspects.empty()) {
    pass.suspect_limits = LimitSuspects(shard, now, tests);
    for (const ReadyStep& it : ready_steps) {
      PlaceSuspects(shard, now, it, pass, log);
    }
  }
  for (const ReadyStep& it : ready_steps) {
    if (it.job->record.spec.steps[it.step].gang) {
      PlaceGang(shard, now, it, pass.candidates, log);
    } else {
      PlaceIndependentTasks(shard, now, it, pass, log);
    }
  }
}

}  // namespace almondtally::sched
