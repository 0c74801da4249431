#include <algorithm>
#include <cmath>
#include <utility>

#include "sched/copies.h"
#include "sched/detail.h"
#include "sched/ownership.h"
#include "sched/run_times.h"
#include "sched/shard_state.h"

namespace almondtally::sched {
namespace {

/// Delay before a failed task is retried, so that a transient fault does not
/// use up all its attempts.
constexpr Duration kRetryDelay{150};
/// Minimum delay before a task whose start was refused is placed again.
constexpr Duration kRefusedStartDelay{100};
/// A VM receives no tasks for a while after tasks of this many different jobs
/// failed there in a row. Failures of a single job do not count, since a job
/// that fails on every VM does not indicate a faulty VM.
constexpr size_t kFailingJobsThreshold = 3;
/// How long such a VM receives no tasks.
constexpr Duration kSetAsideTime{4'000};
/// How long tasks go to other VMs after a start that a VM did not carry out,
/// unless it carries out one meanwhile.
constexpr Duration kAvoidAfterRefusedStart{4'000};
/// A count of an agent above this is not believed in full.
constexpr Duration kLongestMissBelieved{600'000};
/// A late run that an agent reports to last longer than this is not believed.
constexpr Duration kLongestLateRun{60'000};
/// A start call without an answer begins its run by then, and the longest lease
/// of a worker has ended.
constexpr Duration kLateRunTime =
    kMaxCallDelay + kDefaultMaxWorkerLease +
    kDefaultMaxWorkerLease * kClockDriftPercent / 100;
/// Delay before a lasting task that failed is restarted.
constexpr Duration kLastingRestartDelay{50};

JobEntity* FindJob(ShardState& shard, const JobId& id) {
  const auto it = shard.jobs.find(id);
  return it == shard.jobs.end() ? nullptr : &it->second;
}

/// Stops all runs of a task except the one on VM `except`.
void StopRuns(ShardState& shard, const TaskKey& task, const VmId& except) {
  for (auto& [id, vm] : shard.vms) {
    const auto it = vm.runs.find(task);
    if (it != vm.runs.end() && id != except) it->second.stop_wanted = true;
  }
}

/// Delays the next placement of a task, which may also have to wait until its
/// occurrence is due.
void DelayPlacement(TaskEntity& task, MonotonicTime until) {
  task.not_before = std::max(task.not_before, until);
}

void FinishTask(ShardState& shard, MonotonicTime now, JobEntity& job,
                const TaskKey& key, TaskEntity& task) {
  if (task.phase == TaskPhase::kDone) return;
  task.phase = TaskPhase::kDone;
  task.vm = {};
  task.copy.reset();
  shard.crashed_tasks.erase(key);
  shard.suspects.erase(key);
  auto& occurrence = job.occurrences.at(key.occurrence);
  StepEntity& step = occurrence.steps[key.step];
  const StepSpec& spec = job.record.spec.steps[key.step];
  MarkDirty(shard, key.job);
  if (++step.done < spec.count) return;
  RecordEndOfStep(shard, now, job, key.step);
  UpdateReadySteps(job.record.spec, occurrence, now);
  if (++occurrence.steps_done < occurrence.steps.size()) return;
  if (++job.occurrences_done < job.record.spec.occurrence_count()) return;
  EndJob(shard, now, job, JobState::kCompleted);
}

/// @param others_may_run the task may have runs on other VMs.
void ProcessSuccess(ShardState& shard, MonotonicTime now, JobEntity& job,
                    const TaskKey& key, const VmId& vm, bool others_may_run) {
  const StepSpec& spec = job.record.spec.steps[key.step];
  auto& tasks = job.occurrences.at(key.occurrence).steps[key.step].tasks;
  if (!spec.gang) {
    if (others_may_run) StopRuns(shard, key, vm);
    return FinishTask(shard, now, job, key, tasks[key.index]);
  }
  // The tasks of a gang end together, so the end of one completes all of them.
  for (uint32_t i = 0; i < spec.count; ++i) {
    const TaskKey member{key.job, key.occurrence, key.step, i};
    if (others_may_run) StopRuns(shard, member, vm);
    FinishTask(shard, now, job, member, tasks[i]);
  }
}

void RecordVmFailure(VmEntity& vm, MonotonicTime now, const JobId& job,
                     Decisions& log) {
  vm.failing_jobs.insert(job);
  if (vm.failing_jobs.size() < kFailingJobsThreshold) return;
  if (vm.set_aside_until > now) return;
  vm.set_aside_until = now + kSetAsideTime;
  Decision decision;
  decision.kind = Decision::Kind::kVmSetAside;
  decision.vm = vm.id;
  decision.reason = "consecutive failures of tasks from several jobs";
  log.push_back(std::move(decision));
}

void ProcessFailure(ShardState& shard, MonotonicTime now, JobEntity& job,
                    const TaskKey& key, TaskEntity& task, RunNumber run,
                    VmEntity& vm, Decisions& log) {
  const StepSpec& spec = job.record.spec.steps[key.step];
  RecordVmFailure(vm, now, key.job, log);
  task.failed_on.push_back(vm.id);
  if (spec.lasting) {
    DelayPlacement(task, now + kLastingRestartDelay);
    return;
  }
  task.failed_runs.push_back(run);
  DelayPlacement(task, now + kRetryDelay);
  MarkDirty(shard, key.job);
  const size_t attempt_limit = std::max<uint32_t>(1, job.terms.max_attempts);
  if (task.failed_runs.size() < attempt_limit) return;
  EndJob(shard, now, job, JobState::kFailed);
}

/// Returns a task to the idle state.
/// @param outcome how its run ended, or why that run no longer counts.
void MakeIdle(TaskEntity& task, MonotonicTime now, const VmId& vm,
              std::string outcome) {
  task.phase = TaskPhase::kIdle;
  task.vm = {};
  task.since = now;
  task.last_outcome = std::move(outcome);
  task.last_outcome_vm = vm;
}

/// Makes an idle task wait for a run that its VM may begin late.
void NoteLateRun(TaskEntity& task, const VmEntity& vm, const VmRun& run) {
  task.late_run_on = vm.id;
  task.late_run_until = run.late_run_until;
}

/// A VM that did not carry out a start is avoided for a while.
void AvoidAfterRefusedStart(VmEntity& vm, MonotonicTime now) {
  vm.avoided_until = now + kAvoidAfterRefusedStart;
}

/// Processes the end of a task's current run.
void ProcessCurrentRunEnd(ShardState& shard, MonotonicTime now, JobEntity& job,
                          const TaskKey& key, TaskEntity& task, VmEntity& vm,
                          const RunEndReport& end, Decisions& log) {
  const StepSpec& spec = job.record.spec.steps[key.step];
  const bool untracked = task.phase != TaskPhase::kPlaced;
  MakeIdle(task, now, vm.id, std::string(ToString(end.end)));
  if (!end.checkpoint.empty()) task.checkpoint = end.checkpoint;
  if (end.end != RunEnd::kNotStarted) {
    task.waiting_since = now;
    task.refused_starts = 0;
  }
  switch (end.end) {
    case RunEnd::kDone:
      vm.failing_jobs.clear();
      if (spec.lasting) break;
      return ProcessSuccess(shard, now, job, key, vm.id,
                            untracked || spec.copies_allowed);
    case RunEnd::kFailed:
      return ProcessFailure(shard, now, job, key, task, end.run, vm, log);
    case RunEnd::kNotStarted:
      DelayPlacement(task, now + kRefusedStartDelay);
      AvoidAfterRefusedStart(vm, now);
      ++task.refused_starts;
      task.last_refusal = end.reason;
      break;
    case RunEnd::kStopped:
    case RunEnd::kLapsed:
    case RunEnd::kGangBroken:
    case RunEnd::kGangIncomplete:
    case RunEnd::kWorkerLost:
      break;
  }
}

/// Processes the end of a task's copy. The current run goes on unless the task
/// is done or its job has failed.
void ProcessCopyEnd(ShardState& shard, MonotonicTime now, JobEntity& job,
                    TaskEntity& task, VmEntity& vm, const RunEndReport& end,
                    Decisions& log) {
  RemoveCopy(task, now);
  switch (end.end) {
    case RunEnd::kDone:
      vm.failing_jobs.clear();
      return ProcessSuccess(shard, now, job, end.task, vm.id, true);
    case RunEnd::kFailed:
      return ProcessFailure(shard, now, job, end.task, task, end.run, vm, log);
    case RunEnd::kNotStarted:
      return AvoidAfterRefusedStart(vm, now);
    default:
      return;
  }
}

void LogEnd(const VmEntity& vm, const RunEndReport& end, bool is_known,
            Decisions& log) {
  Decision decision;
  decision.kind = Decision::Kind::kEnded;
  decision.task = end.task;
  decision.vm = vm.id;
  decision.run = end.run;
  decision.outcome = ToString(end.end);
  decision.reason = is_known ? end.reason : "no such task, ignored";
  log.push_back(std::move(decision));
}

bool IsFailureRecorded(const TaskEntity& task, const RunEndReport& end) {
  const auto& runs = task.failed_runs;
  return std::find(runs.begin(), runs.end(), end.run) != runs.end();
}

/// Processes the end of a run that is not the task's current one: a previous
/// planner received but did not store it, the VM was considered lost, or the
/// run was reported to have ended in another way before. The agent forgets the
/// end once it is recorded, so its result counts now or never: success ends the
/// task, and a failure is an attempt. Other ends have no result, and the task
/// does not wait for this run.
void ProcessOtherRunEnd(ShardState& shard, MonotonicTime now, JobEntity& job,
                        TaskEntity& task, VmEntity& vm, const RunEndReport& end,
                        Decisions& log) {
  const StepSpec& spec = job.record.spec.steps[end.task.step];
  if (spec.lasting) return;
  if (end.end == RunEnd::kDone) {
    // The lease ended before the end was heard, which voids it. The task is
    // left to its later run.
    const bool is_void =
        (end.run == task.lost_run || end.run == task.lost_copy) &&
        task.phase == TaskPhase::kPlaced;
    if (is_void) return;
    return ProcessSuccess(shard, now, job, end.task, vm.id, true);
  }
  if (end.end == RunEnd::kFailed) {
    ProcessFailure(shard, now, job, end.task, task, end.run, vm, log);
  }
}

/// Processes the end of a run of a task that is not done.
void ProcessTaskRunEnd(ShardState& shard, MonotonicTime now, JobEntity& job,
                       TaskEntity& task, VmEntity& vm, const RunEndReport& end,
                       Decisions& log) {
  ProcessWorkerCrash(shard, now, job, task, vm, end, log);
  if (IsFinal(job.state)) return;
  // The worker has survived the run. A lasting task may end before it is
  // cleared each time, and would keep its VM closed to all others.
  if (end.end == RunEnd::kDone || end.end == RunEnd::kFailed) {
    shard.suspects.erase(end.task);
  }
  const bool is_copy = IsCopy(task, vm.id, end.run);
  const bool is_current = task.phase == TaskPhase::kPlaced &&
                          task.vm == vm.id && task.run == end.run;
  // A run that an earlier planner started, or one on a VM that was considered
  // lost. While the task is idle, its outcome counts like that of a current
  // run.
  const bool is_untracked =
      task.phase == TaskPhase::kIdle && end.run > task.last_ended_run;
  if (!is_current && !is_copy && !is_untracked) {
    return ProcessOtherRunEnd(shard, now, job, task, vm, end, log);
  }
  if (end.end != RunEnd::kNotStarted) job.started = true;
  task.last_ended_run = std::max(task.last_ended_run, end.run);
  if (is_copy) return ProcessCopyEnd(shard, now, job, task, vm, end, log);
  task.run = std::max(task.run, end.run);
  ProcessCurrentRunEnd(shard, now, job, end.task, task, vm, end, log);
  if (!IsFinal(job.state)) PromoteCopy(shard, end.task, task, log);
}

void ProcessRunEnd(ShardState& shard, MonotonicTime now, VmEntity& vm,
                   const RunEndReport& end, Decisions& log) {
  const auto it = vm.runs.find(end.task);
  if (it != vm.runs.end() && it->second.run <= end.run) {
    RecordEndOfRun(shard, now, vm, end, it->second);
    vm.runs.erase(it);
  }
  JobEntity* job = FindJob(shard, end.task.job);
  TaskEntity* task = FindReportedTask(shard, now, end.task);
  LogEnd(vm, end, task != nullptr, log);
  if (job == nullptr || task == nullptr || IsFinal(job->state)) return;
  if (task->phase == TaskPhase::kDone) return;
  if (end.is_sole_run) task->is_accounted_for = true;
  if (task->late_run_on == vm.id) task->late_run_until = {};
  if (end.end != RunEnd::kDone && IsFailureRecorded(*task, end)) return;
  const std::optional<TaskCopy> copy = task->copy;
  ProcessTaskRunEnd(shard, now, *job, *task, vm, end, log);
  if (copy) LogCopyOutcome(now, *job, *task, *copy, vm.id, end, log);
}

/// @return how long a target had been missed when the report was made.
Duration MissedBefore(const RunReport& report) {
  return Duration(std::clamp<int64_t>(report.over_target_ms, 0,
                                      kLongestMissBelieved.count()));
}

/// Updates the planner's view of a reported run. The run becomes the current
/// run of an idle task, and is stopped if the task does not need it.
void ProcessRun(ShardState& shard, MonotonicTime now, VmEntity& vm,
                const RunReport& report, Decisions& log) {
  VmRun& run = vm.runs[report.task];
  if (run.run > report.run) return;
  RecordProgress(shard, now, vm, report.task, run, report);
  run.run = report.run;
  run.seen = true;
  const bool started_running =
      run.phase == RunPhase::kStarting && report.phase == RunPhase::kRunning;
  if (started_running) {
    run.running_since = now;
    run.running_since_stamp = vm.stamp;
    vm.avoided_until = {};
  }
  run.phase = report.phase;
  run.percent = report.percent;
  run.measurement = report.measurement;
  run.over_target_ms = report.over_target_ms;
  run.held_by_agent = report.held;
  const MonotonicTime late_run_until =
      now +
      std::clamp(Duration(report.late_run_ms), Duration(0), kLongestLateRun);
  // A later process of the agent does not know of an earlier one's calls.
  const bool may_be_later = report.phase == RunPhase::kStarting;
  run.late_run_until = may_be_later
                           ? std::max(run.late_run_until, late_run_until)
                           : late_run_until;
  run.speed_limit_sent = report.pace;
  const StepSpec* step = FindStep(shard, report.task);
  if (step != nullptr && !run.known) {
    SetRunSpec(run, *step);
  }
  run.size_requested = report.unsized;
  if (step != nullptr && step->tail_target_ms > 0) {
    const bool over_target = run.measurement > step->tail_target_ms;
    if (!over_target) run.over_target_since = {};
    // This planner may not have been the one that heard of it first.
    if (over_target && run.over_target_since == MonotonicTime{})
      run.over_target_since = now - MissedBefore(report);
  }
  JobEntity* job = FindJob(shard, report.task.job);
  TaskEntity* task = FindReportedTask(shard, now, report.task);
  if (job == nullptr || task == nullptr || IsFinal(job->state) ||
      task->phase == TaskPhase::kDone) {
    run.stop_wanted = true;
    return;
  }
  // The checkpoint of a copy may be behind.
  const bool is_copy = IsCopy(*task, vm.id, report.run);
  if (!report.checkpoint.empty() && (!is_copy || task->checkpoint.empty())) {
    task->checkpoint = report.checkpoint;
  }
  if (report.phase == RunPhase::kRunning) job->started = true;
  if (is_copy) return;
  const bool is_current = task->vm == vm.id && task->run == report.run;
  const bool is_adopted = task->phase == TaskPhase::kIdle;
  const bool is_sole_run = vm.lease_kept && vm.worker.responsive &&
                           report.phase != RunPhase::kStarting;
  if (is_sole_run && (is_current || is_adopted)) task->is_accounted_for = true;
  if (report.phase != RunPhase::kStarting && (is_current || is_adopted)) {
    task->waiting_since = {};
    task->refused_starts = 0;
  }
  if (is_adopted) {
    task->highest_run = HighestRun(*task);
    task->phase = TaskPhase::kPlaced;
    task->vm = vm.id;
    task->run = report.run;
    task->since = now;
    Decision decision;
    decision.kind = Decision::Kind::kAdopted;
    decision.task = report.task;
    decision.vm = vm.id;
    decision.run = report.run;
    log.push_back(std::move(decision));
    return;
  }
  if (is_current || AdoptCopy(shard, now, report.task, *task, vm, log)) return;
  run.stop_wanted = true;
}

/// Removes runs that the agent does not have and whose end it did not report.
/// In a complete report these are all runs that are not listed, otherwise, or
/// if ends may be missing, only starts that the agent ignored. Batch numbers
/// say nothing about a run that was reported before, perhaps by an earlier
/// process of the agent.
void RemoveMissingRuns(ShardState& shard, MonotonicTime now, VmEntity& vm,
                       const SyncReport& report, Decisions& log) {
  std::set<TaskKey> reported;
  for (const RunReport& run : report.runs) reported.insert(run.task);
  for (auto it = vm.runs.begin(); it != vm.runs.end();) {
    const VmRun& run = it->second;
    const bool unsent = run.start_batch == 0;
    const bool start_pending =
        !run.seen && (unsent || run.start_batch > report.batch);
    const bool unchanged = run.seen && (!report.complete || report.partial);
    if (reported.contains(it->first) || start_pending || unchanged) {
      ++it;
      continue;
    }
    Decision decision;
    decision.kind = Decision::Kind::kMissing;
    decision.task = it->first;
    decision.vm = vm.id;
    decision.run = run.run;
    decision.reason = run.seen ? "reported before" : "ordered before";
    log.push_back(std::move(decision));
    TaskEntity* task = FindTask(shard, it->first);
    if (task != nullptr && task->phase == TaskPhase::kPlaced &&
        task->vm == vm.id && task->run == run.run) {
      MakeIdle(*task, now, vm.id, "missing");
      NoteLateRun(*task, vm, run);
      PromoteCopy(shard, it->first, *task, log);
    } else if (task != nullptr && IsCopy(*task, vm.id, run.run)) {
      LogWastedCopy(now, it->first, *task, "missing", log);
      RemoveCopy(*task, now);
    }
    it = vm.runs.erase(it);
  }
}

/// Lets the agent discard the ends whose effects are in the store.
void ReleaseRecordedEnds(const ShardState& shard, VmEntity& vm) {
  while (!vm.uncommitted_ends.empty() &&
         vm.uncommitted_ends.front().change <= shard.recorded_change) {
    vm.ends_recorded = vm.uncommitted_ends.front().number;
    vm.uncommitted_ends.pop_front();
  }
}

void UpdateWorker(VmEntity& vm, MonotonicTime now, const WorkerReport& worker) {
  if (vm.worker.id != worker.id) {
    vm.failing_jobs.clear();
    vm.set_aside_until = {};
    vm.avoided_until = {};
    vm.speed = {};
  }
  if (worker.draining && !vm.worker.draining) {
    vm.shutdown_at = now + Duration(worker.remaining_ms);
  }
  vm.worker = worker;
}

/// Notes that starts which the former process of the agent has not confirmed
/// may be calls on their way to the worker.
void ExpectLateRuns(VmEntity& vm, MonotonicTime now) {
  for (auto& [task, run] : vm.runs) {
    const bool may_be_called =
        run.seen || run.start_batch != 0 || run.maybe_sent;
    if (run.phase == RunPhase::kStarting && may_be_called)
      run.late_run_until = std::max(run.late_run_until, now + kLateRunTime);
  }
}

}  // namespace

void ApplyReport(ShardState& shard, MonotonicTime now, VmEntity& vm,
                 const SyncReport& report, Decisions& log) {
  vm.last_report_at = now;
  if (report.life != vm.reporting_incarnation) {
    // A new agent process needs its own range of fencing numbers even before it
    // knows its worker.
    vm.reporting_incarnation = report.life;
    ExpectLateRuns(vm, now);
    ++vm.incarnations_seen;
  }
  if (!report.settled) return;
  if (report.life != vm.life) {
    vm.life = report.life;
    vm.synced = false;
    vm.seen_version = 0;
    vm.seen_end = 0;
    vm.ends_recorded = 0;
    vm.uncommitted_ends.clear();
    vm.batch_sent = report.batch;
    vm.batch_in_flight = false;
    for (auto& [task, run] : vm.runs) {
      if (!run.seen) run.start_batch = 0;
      // The new process receives no batch of the former one.
      run.maybe_sent = false;
      run.stop_batch = 0;
    }
  }
  if (report.stamp > vm.stamp || !vm.synced) {
    vm.stamp = report.stamp;
    const Duration former_lease(report.former_lease_ms);
    vm.lease_ends_at =
        now + std::max(kMaxLeaseDuration, former_lease + kLeaseExpiryMargin);
  }
  if (report.version < vm.seen_version) return;
  if (!vm.synced && !report.complete) return;
  UpdateWorker(vm, now, report.worker);
  vm.lease_kept = report.lease_kept;
  for (const RunEndReport& end : report.ends) {
    if (end.number <= vm.seen_end) continue;
    vm.seen_end = end.number;
    ProcessRunEnd(shard, now, vm, end, log);
    vm.uncommitted_ends.push_back({end.number, shard.change});
  }
  for (const RunReport& run : report.runs) ProcessRun(shard, now, vm, run, log);
  RemoveMissingRuns(shard, now, vm, report, log);
  ClearProvenSuspects(shard, vm, log);
  UpdateModelsFromReport(shard, now, vm, report);
  vm.seen_version = report.version;
  ReleaseRecordedEnds(shard, vm);
  vm.partial = report.partial;
  vm.has_former_lease = report.former_lease_ms > 0;
  vm.unregistered = report.awaits_registration ||
                    (vm.has_former_lease && !report.former_lease_recorded);
  if (!vm.partial) vm.awaiting_first_sync = false;
  if (vm.synced) return;
  vm.synced = true;
  Decision decision;
  decision.kind = Decision::Kind::kVmSynced;
  decision.vm = vm.id;
  decision.outcome = std::to_string(vm.runs.size()) + " runs";
  log.push_back(std::move(decision));
}

void ExpireVmLeases(ShardState& shard, MonotonicTime now, Decisions& log) {
  for (auto& [id, vm] : shard.vms) {
    if (!vm.synced || !HaveLeasesEnded(shard, vm)) continue;
    Decision decision;
    decision.kind = Decision::Kind::kVmLost;
    decision.vm = id;
    decision.age_ms = (now - vm.last_report_at).count();
    decision.outcome =
        std::to_string(vm.runs.size()) + " runs lost with their lease";
    log.push_back(std::move(decision));
    vm.synced = false;
    vm.seen_version = 0;
    vm.batch_in_flight = false;
    const auto runs = std::exchange(vm.runs, {});
    for (const auto& [key, run] : runs) {
      TaskEntity* task = FindTask(shard, key);
      if (task == nullptr || task->phase != TaskPhase::kPlaced) continue;
      if (IsCopy(*task, id, run.run)) {
        LogWastedCopy(now, key, *task, "vm_lost", log);
        task->lost_copy = run.run;
        RemoveCopy(*task, now);
        continue;
      }
      if (task->vm != id || task->run != run.run) continue;
      task->lost_run = run.run;
      MakeIdle(*task, now, id, "vm_lost");
      NoteLateRun(*task, vm, run);
      PromoteCopy(shard, key, *task, log);
    }
  }
}

void MarkChangesRecorded(ShardState& shard, uint64_t change) {
  shard.recorded_change = std::max(shard.recorded_change, change);
  for (auto& [id, vm] : shard.vms) ReleaseRecordedEnds(shard, vm);
}

}  // namespace almondtally::sched
