#include "sched/copies.h"

#include <map>
#include <optional>
#include <set>
#include <utility>

#include "sched/expected_end.h"
#include "sched/ownership.h"
#include "sched/run_times.h"

// Load pattern: some VMs run several times slower than the others, or their
// workers hang, while others have room. A task that started there keeps its job
// waiting for many times its run time. A second run elsewhere ends first, and
// costs little if the first run has much left.

namespace almondtally::sched {
namespace {

constexpr Duration kScanInterval{100};
/// A run must have been at work for this long before its end is estimated.
constexpr Duration kMinRunAge{300};
/// A run of a silent VM is stuck after this many times the typical run time.
/// The longest usual times include runs on slow VMs.
constexpr int64_t kStuckFactor = 2;
/// A start that a silent VM has not confirmed after this time is stuck.
constexpr Duration kMaxStartTime{1'000};
/// A copy must be expected to save this much, beside half of a fresh run.
constexpr Duration kMinGain{300};
constexpr double kMinRemainingFactor = 1.5;
/// How much a VM counts as slower for being in the data centre, or the rack, of
/// the first run: what slows that run may be common to the place.
constexpr double kSamePlacePenalty = 0.1;
/// Share of a service's CPU that copies may reserve.
constexpr double kMaxCpuShare = 0.1;
/// Runs for which a VM is searched in one pass.
constexpr size_t kMaxSearchesPerPass = 8;
/// Delay after a search without result, and after the end of a copy.
constexpr Duration kSearchRetryDelay{500};
constexpr Duration kNextCopyDelay{1'000};
/// No copies are started without a proof of ownership as young as this: a
/// successor may have recorded the end of the first run.
constexpr Duration kMaxProofAge{2'000};

Decision MakeDecision(Decision::Kind kind, const TaskKey& key, const VmId& vm,
                      RunNumber run) {
  Decision out;
  out.kind = kind;
  out.task = key;
  out.vm = vm;
  out.run = run;
  return out;
}

bool IsWorthCopying(Duration remaining, Duration fresh_run) {
  const double needed =
      kMinRemainingFactor * static_cast<double>(fresh_run.count()) +
      static_cast<double>(kMinGain.count());
  return static_cast<double>(remaining.count()) > needed;
}

/// @return true if nothing is known of what the runs of a VM do at present.
bool IsSilent(const VmEntity& vm, MonotonicTime now) {
  return !vm.worker.responsive || !HasReportedRecently(vm, now);
}

/// @return the expected time until the current run of a task ends; 0 if too
/// little is known.
Duration RemainingTime(const ShardState& shard, MonotonicTime now,
                       const JobEntity& job, const TaskKey& key,
                       const TaskEntity& task, const VmEntity& vm,
                       const VmRun& run) {
  const bool is_running =
      run.phase == RunPhase::kRunning && run.running_since != MonotonicTime{};
  const Duration age = now - (is_running ? run.running_since : task.since);
  if (IsSilent(vm, now)) {
    const Duration limit =
        is_running
            ? kStuckFactor * EstimateRunTime(shard, now, job, key.step).typical
            : kMaxStartTime;
    return age > limit ? Duration::max() : Duration(0);
  }
  if (!is_running || age < kMinRunAge) return Duration(0);
  return ExpectedRemainingTime(shard, now, vm, job, key, run);
}

/// @return true if one more failure of the task would not end its job.
bool MayFailOnce(const JobEntity& job, const TaskEntity& task) {
  return task.failed_runs.size() + 1 < job.terms.max_attempts;
}

bool MayHaveCopy(const ShardState& shard, const TaskKey& key,
                 const TaskEntity& task) {
  return task.phase == TaskPhase::kPlaced && !task.copy &&
         task.crashed_runs.empty() && !shard.suspects.contains(key);
}

void AddSlowRuns(const ShardState& shard, MonotonicTime now, JobEntity& job,
                 TaskKey key, StepEntity& step, std::vector<SlowRun>& out) {
  for (key.index = 0; key.index < step.tasks.size(); ++key.index) {
    TaskEntity& task = step.tasks[key.index];
    if (!MayHaveCopy(shard, key, task) || now < task.next_copy_at) continue;
    if (!MayFailOnce(job, task)) continue;
    const auto vm = shard.vms.find(task.vm);
    if (vm == shard.vms.end()) continue;
    const auto run = vm->second.runs.find(key);
    if (run == vm->second.runs.end() || run->second.run != task.run) continue;
    if (run->second.stop_wanted) continue;
    const Duration remaining =
        RemainingTime(shard, now, job, key, task, vm->second, run->second);
    const Duration fresh = EstimateRunTime(shard, now, job, key.step).typical;
    if (!IsWorthCopying(remaining, fresh)) continue;
    const double excess =
        static_cast<double>(remaining.count()) /
        static_cast<double>(std::max<int64_t>(1, fresh.count()));
    out.push_back({key, &job, &task, &vm->second, remaining, excess});
  }
}

/// Calls `fn` for each ready step of an open job whose tasks may have copies.
template <typename Fn>
void ForEachStepWithCopies(ShardState& shard, const Fn& fn) {
  for (const JobId& id : shard.open_jobs) {
    JobEntity& job = shard.jobs.at(id);
    if (!job.accepted) continue;
    const auto& specs = job.record.spec.steps;
    for (auto& [number, occurrence] : job.occurrences) {
      for (uint32_t i = 0; i < specs.size(); ++i) {
        StepEntity& step = occurrence.steps[i];
        if (!step.ready || step.done == step.tasks.size()) continue;
        if (AllowsCopies(specs[i])) fn(job, TaskKey{id, number, i, 0}, step);
      }
    }
  }
}

/// @return the CPU that more copies may reserve, by service.
std::map<ServiceId, int64_t> ListCpuForCopies(ShardState& shard,
                                              const PlacementPass& pass) {
  std::map<ServiceId, int64_t> capacity;
  for (const CandidateVm& it : pass.candidates) {
    capacity[it.vm->worker.service] += it.vm->worker.capacity.cpu.value;
  }
  std::map<ServiceId, int64_t> used;
  std::set<ServiceId> with_copies;
  ForEachStepWithCopies(shard, [&](const JobEntity& job, const TaskKey& key,
                                   StepEntity& step) {
    const ServiceId& service = job.terms.service;
    const auto copies =
        std::count_if(step.tasks.begin(), step.tasks.end(),
                      [](const TaskEntity& it) { return it.copy.has_value(); });
    if (copies == 0) return;
    used[service] += copies * job.record.spec.steps[key.step].each.cpu.value;
    with_copies.insert(service);
  });
  std::map<ServiceId, int64_t> out;
  for (const auto& [service, cpu] : capacity) {
    // The first copy is always allowed.
    out[service] =
        with_copies.contains(service)
            ? static_cast<int64_t>(static_cast<double>(cpu) * kMaxCpuShare) -
                  used[service]
            : cpu;
  }
  return out;
}

/// Service and required label of the tasks that wait for room.
using WaitingFor = std::set<std::pair<ServiceId, std::string>>;

/// @return true if no VM has room for the idle tasks of a step. Others wait for
/// a better place than those that are free.
bool WaitsForRoom(const ReadyStep& ready_step, MonotonicTime now,
                  const std::vector<CandidateVm>& candidates) {
  const StepSpec& spec = ready_step.job->record.spec.steps[ready_step.step];
  // A copy gives its room back within a run time, while lasting tasks wait for
  // room that other lasting tasks hold.
  if (spec.lasting) return false;
  const auto& tasks = ready_step.job->occurrences.at(ready_step.occurrence)
                          .steps[ready_step.step]
                          .tasks;
  const auto idle =
      std::find_if(tasks.begin(), tasks.end(), [&](const TaskEntity& task) {
        return task.phase == TaskPhase::kIdle && task.not_before <= now;
      });
  if (idle == tasks.end()) return false;
  const TaskKey key{ready_step.job->record.spec.id, ready_step.occurrence,
                    ready_step.step,
                    static_cast<uint32_t>(idle - tasks.begin())};
  return std::none_of(candidates.begin(), candidates.end(),
                      [&](const CandidateVm& it) {
                        return HasRoom(it, ready_step.job->terms, spec) &&
                               IsOpenToTask(it, spec, key);
                      });
}

WaitingFor ListWaiting(const std::vector<ReadyStep>& ready_steps,
                       MonotonicTime now,
                       const std::vector<CandidateVm>& candidates) {
  WaitingFor out;
  for (const ReadyStep& it : ready_steps) {
    const std::pair waiting(it.job->terms.service,
                            it.job->record.spec.steps[it.step].required_label);
    if (out.contains(waiting) || !WaitsForRoom(it, now, candidates)) continue;
    out.insert(waiting);
  }
  return out;
}

bool IsWaitedFor(const WorkerReport& worker, const WaitingFor& waiting) {
  if (waiting.contains({worker.service, ""})) return true;
  return std::any_of(worker.labels.begin(), worker.labels.end(),
                     [&](const auto& label) {
                       return waiting.contains({worker.service, label});
                     });
}

/// @return true if nothing speaks against the VM.
bool IsSound(const CandidateVm& candidate, MonotonicTime now,
             const TaskEntity& task) {
  const VmEntity& vm = *candidate.vm;
  return IsOpenToInnocent(candidate) && !candidate.unreliable &&
         vm.set_aside_until <= now && vm.failing_jobs.empty() &&
         std::find(task.failed_on.begin(), task.failed_on.end(), vm.id) ==
             task.failed_on.end();
}

/// A VM for a copy.
struct CopyPlace {
  CandidateVm* candidate = nullptr;
  Duration fresh_run{};
};

CopyPlace FindPlace(const ShardState& shard, MonotonicTime now,
                    PlacementPass& pass, const WaitingFor& waiting,
                    const SlowRun& slow) {
  const StepSpec& spec = slow.job->record.spec.steps[slow.key.step];
  CopyPlace out;
  std::pair<double, int64_t> least{};
  for (CandidateVm& candidate : pass.candidates) {
    const VmEntity& vm = *candidate.vm;
    if (!HasRoom(candidate, slow.job->terms, spec)) continue;
    if (!IsOpenToTask(candidate, spec, slow.key)) continue;
    if (!IsSound(candidate, now, *slow.task)) continue;
    if (IsWaitedFor(vm.worker, waiting)) continue;
    const Duration fresh =
        ExpectedRunTime(shard, now, vm, *slow.job, slow.key.step);
    double factor = 1;
    if (vm.data_centre == slow.vm->data_centre) factor += kSamePlacePenalty;
    if (vm.worker.rack == slow.vm->worker.rack) factor += kSamePlacePenalty;
    // Among equals the VM with the most free CPU: runs pile up on a slow one
    // before its speed is known.
    const std::pair cost(static_cast<double>(fresh.count()) * factor,
                         -candidate.free.cpu.value);
    if (out.candidate != nullptr && cost >= least) continue;
    out = {&candidate, fresh};
    least = cost;
  }
  return out;
}

void StartCopy(ShardState& shard, MonotonicTime now, const SlowRun& slow,
               const CopyPlace& place, Decisions& log) {
  const StepSpec& spec = slow.job->record.spec.steps[slow.key.step];
  TaskEntity& task = *slow.task;
  VmEntity& vm = *place.candidate->vm;
  VmRun run;
  run.run = NextRunNumber(shard, HighestRun(task));
  SetRunSpec(run, spec);
  vm.runs[slow.key] = run;
  task.copy = TaskCopy{vm.id, run.run, now};
  task.highest_run = run.run;
  ++shard.starts;
  Decision decision =
      MakeDecision(Decision::Kind::kCopyStarted, slow.key, vm.id, run.run);
  const std::string remaining =
      slow.remaining == Duration::max()
          ? "is stuck"
          : "has " + std::to_string(slow.remaining.count()) + " ms left";
  decision.reason = "run " + std::to_string(task.run.value) + " on " +
                    task.vm.value + " " + remaining + ", a fresh run takes " +
                    std::to_string(place.fresh_run.count()) + " ms";
  decision.age_ms = (now - task.since).count();
  log.push_back(std::move(decision));
}

}  // namespace

bool AllowsCopies(const StepSpec& step) {
  return step.copies_allowed && !step.gang && !step.lasting && !step.filler;
}

bool IsCopy(const TaskEntity& task, const VmId& vm, RunNumber run) {
  return task.copy && task.copy->vm == vm && task.copy->run == run;
}

std::vector<SlowRun> ListSlowRuns(ShardState& shard, MonotonicTime now) {
  std::vector<SlowRun> out;
  if (!shard.features.uneven_vms || now < shard.next_copy_scan_at) return out;
  shard.next_copy_scan_at = now + kScanInterval;
  if (IsRecovering(shard) ||
      !IsOwnershipProvenSince(shard, now - kMaxProofAge)) {
    return out;
  }
  ForEachStepWithCopies(
      shard, [&](JobEntity& job, const TaskKey& first, StepEntity& step) {
        if (HasSuspect(shard, first)) return;
        AddSlowRuns(shard, now, job, first, step, out);
      });
  std::sort(out.begin(), out.end(), [](const SlowRun& a, const SlowRun& b) {
    return std::pair(b.excess, a.key) < std::pair(a.excess, b.key);
  });
  if (out.size() > kMaxSearchesPerPass) out.resize(kMaxSearchesPerPass);
  return out;
}

void StartCopies(ShardState& shard, MonotonicTime now, PlacementPass& pass,
                 const std::vector<ReadyStep>& ready_steps,
                 const std::vector<SlowRun>& slow_runs, Decisions& log) {
  if (slow_runs.empty()) return;
  const WaitingFor waiting = ListWaiting(ready_steps, now, pass.candidates);
  std::map<ServiceId, int64_t> cpu_left = ListCpuForCopies(shard, pass);
  for (const SlowRun& slow : slow_runs) {
    const StepSpec& spec = slow.job->record.spec.steps[slow.key.step];
    int64_t& left = cpu_left[slow.job->terms.service];
    CopyPlace place;
    if (spec.each.cpu.value <= left)
      place = FindPlace(shard, now, pass, waiting, slow);
    if (place.candidate == nullptr ||
        !IsWorthCopying(slow.remaining, place.fresh_run)) {
      slow.task->next_copy_at = now + kSearchRetryDelay;
      continue;
    }
    Reserve(shard, *place.candidate, spec);
    StartCopy(shard, now, slow, place, log);
    left = ListCpuForCopies(shard, pass)[slow.job->terms.service];
  }
}

bool AdoptCopy(const ShardState& shard, MonotonicTime now, const TaskKey& key,
               TaskEntity& task, const VmEntity& vm, Decisions& log) {
  const StepSpec* const step = FindStep(shard, key);
  const auto run = vm.runs.find(key);
  if (step == nullptr || run == vm.runs.end()) return false;
  const bool is_wanted = shard.features.uneven_vms && AllowsCopies(*step) &&
                         MayHaveCopy(shard, key, task) &&
                         run->second.phase != RunPhase::kStopping &&
                         !run->second.stop_wanted;
  if (!is_wanted) return false;
  task.copy = TaskCopy{vm.id, run->second.run, now};
  task.highest_run = std::max(HighestRun(task), run->second.run);
  Decision decision =
      MakeDecision(Decision::Kind::kCopyAdopted, key, vm.id, run->second.run);
  decision.reason =
      "beside run " + std::to_string(task.run.value) + " on " + task.vm.value;
  log.push_back(std::move(decision));
  return true;
}

void PromoteCopy(ShardState& shard, const TaskKey& key, TaskEntity& task,
                 Decisions& log) {
  const auto copy = std::exchange(task.copy, std::nullopt);
  if (!copy || task.phase != TaskPhase::kIdle) return;
  const auto vm = shard.vms.find(copy->vm);
  if (vm == shard.vms.end()) return;
  const auto run = vm->second.runs.find(key);
  if (run == vm->second.runs.end() || run->second.run != copy->run) return;
  Decision decision =
      MakeDecision(Decision::Kind::kCopyPromoted, key, copy->vm, copy->run);
  decision.reason = "run " + std::to_string(task.run.value) + " on " +
                    task.last_outcome_vm.value + " " + task.last_outcome;
  log.push_back(std::move(decision));
  task.phase = TaskPhase::kPlaced;
  task.vm = copy->vm;
  task.run = copy->run;
  task.last_vm = copy->vm;
  task.since = copy->since;
  if (run->second.phase != RunPhase::kRunning) return;
  task.waiting_since = {};
  task.refused_starts = 0;
}

void RemoveCopy(TaskEntity& task, MonotonicTime now) {
  task.copy.reset();
  task.next_copy_at = now + kNextCopyDelay;
}

void LogWastedCopy(MonotonicTime now, const TaskKey& key,
                   const TaskEntity& task, const std::string& reason,
                   Decisions& log) {
  Decision decision = MakeDecision(Decision::Kind::kCopyWasted, key,
                                   task.copy->vm, task.copy->run);
  decision.age_ms = (now - task.copy->since).count();
  decision.reason = reason;
  log.push_back(std::move(decision));
}

void LogCopyOutcome(MonotonicTime now, const JobEntity& job,
                    const TaskEntity& task, const TaskCopy& copy,
                    const VmId& vm, const RunEndReport& end, Decisions& log) {
  const bool is_copy = copy.vm == vm && copy.run == end.run;
  const bool is_over =
      task.phase == TaskPhase::kDone || IsFinal(job.state) || is_copy;
  if (!is_over) return;
  const bool has_won = is_copy && end.end == RunEnd::kDone;
  Decision decision = MakeDecision(
      has_won ? Decision::Kind::kCopyWon : Decision::Kind::kCopyWasted,
      end.task, copy.vm, copy.run);
  decision.age_ms = (now - copy.since).count();
  if (has_won) {
    decision.reason = "before run " + std::to_string(task.run.value);
  } else {
    decision.reason = std::string(is_copy ? "the copy" : "the first run") +
                      " ended: " + std::string(ToString(end.end));
  }
  log.push_back(std::move(decision));
}

}  // namespace almondtally::sched
