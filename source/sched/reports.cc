#include <algorithm>
#include <cmath>
#include <utility>

#include "sched/board.h"
#include "sched/detail.h"

namespace almondtally::sched {
namespace {

/// Delay before a failed task is retried, so that a transient fault does not
/// use up all its attempts.
constexpr Duration kRetryPause{150};
/// Minimum delay before a task whose start was refused is placed again.
constexpr Duration kRefusalPause{100};
/// A VM receives no tasks for a while after tasks of this many different jobs
/// failed there in a row. Failures of a single job do not count, since a job
/// that fails on every VM does not indicate a faulty VM.
constexpr size_t kFailingJobs = 3;
/// How long such a VM receives no tasks.
constexpr Duration kSetAside{4'000};
/// Delay before a lasting task that failed is restarted.
constexpr Duration kLastingPause{50};

JobEntity* FindJob(Board& board, const JobId& id) {
  const auto it = board.jobs.find(id);
  return it == board.jobs.end() ? nullptr : &it->second;
}

void MarkDirty(Board& board, const JobId& job) {
  board.dirty.insert(job);
  ++board.change;
}

/// Stops all runs of a task except the one on VM `except`.
void StopRuns(Board& board, const TaskKey& task, const VmId& except) {
  for (auto& [id, vm] : board.vms) {
    const auto it = vm.runs.find(task);
    if (it != vm.runs.end() && id != except) it->second.stop_wanted = true;
  }
}

void FinishTask(Board& board, MonotonicTime now, JobEntity& job,
                const TaskKey& key, TaskEntity& task) {
  if (task.phase == TaskPhase::kDone) return;
  task.phase = TaskPhase::kDone;
  task.vm = {};
  auto& occurrence = job.occurrences.at(key.occurrence);
  StepEntity& step = occurrence.steps[key.step];
  const StepSpec& spec = job.record.spec.steps[key.step];
  MarkDirty(board, key.job);
  if (++step.done < spec.count) return;
  UpdateReady(job.record.spec, occurrence, now);
  if (++occurrence.steps_done < occurrence.steps.size()) return;
  if (++job.occurrences_done < job.record.spec.times()) return;
  EndJob(board, now, job, JobState::kCompleted);
}

void TakeDone(Board& board, MonotonicTime now, JobEntity& job,
              const TaskKey& key, const VmId& vm) {
  const StepSpec& spec = job.record.spec.steps[key.step];
  auto& tasks = job.occurrences.at(key.occurrence).steps[key.step].tasks;
  if (!spec.gang) {
    StopRuns(board, key, vm);
    return FinishTask(board, now, job, key, tasks[key.index]);
  }
  // The tasks of a gang end together, so the end of one completes all of them.
  for (uint32_t i = 0; i < spec.count; ++i) {
    FinishTask(board, now, job, {key.job, key.occurrence, key.step, i},
               tasks[i]);
  }
}

void NoteVmFailure(VmEntity& vm, MonotonicTime now, const JobId& job,
                   Decisions& log) {
  vm.failing_jobs.insert(job);
  if (vm.failing_jobs.size() < kFailingJobs) return;
  if (vm.set_aside_until > now) return;
  vm.set_aside_until = now + kSetAside;
  Decision line;
  line.kind = Decision::Kind::kVmSetAside;
  line.vm = vm.id;
  line.reason = "consecutive failures of tasks from several jobs";
  log.push_back(std::move(line));
}

void TakeFailed(Board& board, MonotonicTime now, JobEntity& job,
                const TaskKey& key, TaskEntity& task, RunNumber run,
                VmEntity& vm, Decisions& log) {
  const StepSpec& spec = job.record.spec.steps[key.step];
  NoteVmFailure(vm, now, key.job, log);
  task.failed_on.push_back(vm.id);
  if (spec.lasting) {
    task.not_before = now + kLastingPause;
    return;
  }
  task.failed_runs.push_back(run);
  task.not_before = now + kRetryPause;
  MarkDirty(board, key.job);
  const size_t allowed = std::max<uint32_t>(1, job.terms.max_attempts);
  if (task.failed_runs.size() < allowed) return;
  EndJob(board, now, job, JobState::kFailed);
}

/// Processes the end of a task's current run.
void TakeTaskEnd(Board& board, MonotonicTime now, JobEntity& job,
                 const TaskKey& key, TaskEntity& task, VmEntity& vm,
                 const EndReport& end, Decisions& log) {
  const StepSpec& spec = job.record.spec.steps[key.step];
  task.phase = TaskPhase::kIdle;
  task.vm = {};
  task.since = now;
  if (!end.checkpoint.empty()) task.checkpoint = end.checkpoint;
  switch (end.end) {
    case RunEnd::kDone:
      vm.failing_jobs.clear();
      if (spec.lasting) break;
      return TakeDone(board, now, job, key, vm.id);
    case RunEnd::kFailed:
      return TakeFailed(board, now, job, key, task, end.run, vm, log);
    case RunEnd::kNotStarted:
      task.not_before = now + kRefusalPause;
      break;
    case RunEnd::kStopped:
    case RunEnd::kLapsed:
    case RunEnd::kGangBroken:
    case RunEnd::kGangIncomplete:
    case RunEnd::kWorkerLost:
      break;
  }
}

void LogEnd(const VmEntity& vm, const EndReport& end, Decisions& log) {
  Decision line;
  line.kind = Decision::Kind::kEnded;
  line.task = end.task;
  line.vm = vm.id;
  line.run = end.run;
  line.outcome = ToString(end.end);
  line.reason = end.reason;
  log.push_back(std::move(line));
}

bool WasCounted(const TaskEntity& task, const EndReport& end) {
  const auto& runs = task.failed_runs;
  return std::find(runs.begin(), runs.end(), end.run) != runs.end();
}

/// Processes the end of an earlier run that a previous planner received but did
/// not store, while a later run continues. A failure still counts as an
/// attempt. Success is ignored and left to the later run, since the earlier run
/// may be on a VM that was considered lost.
void TakeEarlierEnd(Board& board, MonotonicTime now, JobEntity& job,
                    TaskEntity& task, VmEntity& vm, const EndReport& end,
                    Decisions& log) {
  const StepSpec& spec = job.record.spec.steps[end.task.step];
  if (spec.lasting || end.run >= task.run) return;
  if (end.end != RunEnd::kFailed) return;
  TakeFailed(board, now, job, end.task, task, end.run, vm, log);
}

void TakeEnd(Board& board, MonotonicTime now, VmEntity& vm,
             const EndReport& end, Decisions& log) {
  const auto it = vm.runs.find(end.task);
  if (it != vm.runs.end() && it->second.run <= end.run) vm.runs.erase(it);
  LogEnd(vm, end, log);
  JobEntity* job = FindJob(board, end.task.job);
  TaskEntity* task = FindTask(board, end.task);
  if (job == nullptr || task == nullptr || IsFinal(job->state)) return;
  if (task->phase == TaskPhase::kDone || WasCounted(*task, end)) return;
  const bool present = task->phase == TaskPhase::kPlaced && task->vm == vm.id &&
                       task->run == end.run;
  // A run that an earlier planner started, or one on a VM that was considered
  // lost. While the task is idle, its outcome counts like that of a current
  // run.
  const bool orphan =
      task->phase == TaskPhase::kIdle && end.run > task->ended_run;
  if (!present && !orphan) {
    return TakeEarlierEnd(board, now, *job, *task, vm, end, log);
  }
  if (end.end != RunEnd::kNotStarted) job->started = true;
  task->ended_run = end.run;
  task->run = std::max(task->run, end.run);
  TakeTaskEnd(board, now, *job, end.task, *task, vm, end, log);
}

/// Updates the planner's view of a reported run. The run becomes the current
/// run of an idle task, and is stopped if the task does not need it.
void TakeRun(Board& board, MonotonicTime now, VmEntity& vm,
             const RunReport& report, Decisions& log) {
  VmRun& run = vm.runs[report.task];
  if (run.run > report.run) return;
  run.run = report.run;
  run.seen = true;
  const bool began =
      run.phase == RunPhase::kStarting && report.phase == RunPhase::kRunning;
  if (began) run.running_since = now;
  run.phase = report.phase;
  run.percent = report.percent;
  run.measure = report.measure;
  run.pace_sent = report.pace;
  const StepSpec* step = FindStep(board, report.task);
  if (step != nullptr && !run.known) {
    run.known = true;
    run.size = step->each;
    run.filler = step->filler;
  }
  run.size_wanted = report.unsized;
  if (step != nullptr && step->tail_target_ms > 0) {
    const bool over = run.measure > step->tail_target_ms;
    if (!over) run.over_since = {};
    if (over && run.over_since == MonotonicTime{}) run.over_since = now;
  }
  JobEntity* job = FindJob(board, report.task.job);
  TaskEntity* task = FindTask(board, report.task);
  if (job == nullptr || task == nullptr || IsFinal(job->state) ||
      task->phase == TaskPhase::kDone) {
    run.stop_wanted = true;
    return;
  }
  if (!report.checkpoint.empty()) task->checkpoint = report.checkpoint;
  if (report.phase == RunPhase::kRunning) job->started = true;
  if (task->phase == TaskPhase::kIdle) {
    task->phase = TaskPhase::kPlaced;
    task->vm = vm.id;
    task->run = report.run;
    task->since = now;
    Decision line;
    line.kind = Decision::Kind::kAdopted;
    line.task = report.task;
    line.vm = vm.id;
    line.run = report.run;
    log.push_back(std::move(line));
    return;
  }
  const bool present = task->vm == vm.id && task->run == report.run;
  if (!present) run.stop_wanted = true;
}

/// Removes runs that the agent does not have and whose end it did not report.
/// In a complete report these are all runs that are not listed, otherwise only
/// starts that the agent ignored.
void DropMissing(Board& board, MonotonicTime now, VmEntity& vm,
                 const SyncReport& report) {
  std::set<TaskKey> reported;
  for (const RunReport& run : report.runs) reported.insert(run.task);
  for (auto it = vm.runs.begin(); it != vm.runs.end();) {
    const VmRun& run = it->second;
    const bool ordered = run.start_batch != 0 && run.start_batch > report.batch;
    const bool unsent = run.start_batch == 0 && !run.seen;
    const bool listed_before = run.seen && !report.complete;
    if (reported.contains(it->first) || ordered || unsent || listed_before) {
      ++it;
      continue;
    }
    TaskEntity* task = FindTask(board, it->first);
    if (task != nullptr && task->phase == TaskPhase::kPlaced &&
        task->vm == vm.id && task->run == run.run) {
      task->phase = TaskPhase::kIdle;
      task->vm = {};
      task->since = now;
    }
    it = vm.runs.erase(it);
  }
}

void TakeWorker(VmEntity& vm, MonotonicTime now, const WorkerReport& worker) {
  if (vm.worker.id != worker.id) {
    vm.failing_jobs.clear();
    vm.set_aside_until = {};
  }
  if (worker.draining && !vm.worker.draining) {
    vm.leaves_at = now + Duration(worker.remaining_ms);
  }
  vm.worker = worker;
}

}  // namespace

void TakeReport(Board& board, MonotonicTime now, VmEntity& vm,
                const SyncReport& report, Decisions& log) {
  vm.heard_at = now;
  if (report.life != vm.present_life) {
    // A new agent process needs its own range of fencing numbers even before it
    // knows its worker.
    vm.present_life = report.life;
    ++vm.lives;
  }
  if (!report.settled) return;
  if (report.life != vm.life) {
    vm.life = report.life;
    vm.synced = false;
    vm.seen_version = 0;
    vm.seen_end = 0;
    vm.ends_recorded = 0;
    vm.pending_ends.clear();
    vm.batch_sent = report.batch;
    vm.batch_in_flight = false;
    for (auto& [task, run] : vm.runs) {
      if (!run.seen) run.start_batch = 0;
      run.stop_batch = 0;
    }
  }
  if (report.stamp > vm.stamp || !vm.synced) {
    vm.stamp = report.stamp;
    vm.lease_ends_at = now + kLeaseGrant + kLeaseGrant * 3 / 100 + kLeaseMargin;
  }
  if (report.version < vm.seen_version) return;
  if (!vm.synced && !report.complete) return;
  TakeWorker(vm, now, report.worker);
  for (const EndReport& end : report.ends) {
    if (end.number <= vm.seen_end) continue;
    vm.seen_end = end.number;
    TakeEnd(board, now, vm, end, log);
    vm.pending_ends.push_back({end.number, board.change});
  }
  for (const RunReport& run : report.runs) TakeRun(board, now, vm, run, log);
  DropMissing(board, now, vm, report);
  LearnFromReport(board, now, vm, report);
  vm.seen_version = report.version;
  TakeRecorded(board, board.recorded_change);
  vm.unaccounted = false;
  if (vm.synced) return;
  vm.synced = true;
  Decision line;
  line.kind = Decision::Kind::kVmSynced;
  line.vm = vm.id;
  line.outcome = std::to_string(vm.runs.size()) + " runs";
  log.push_back(std::move(line));
}

void ExpireVms(Board& board, MonotonicTime now, Decisions& log) {
  for (auto& [id, vm] : board.vms) {
    if (!vm.synced || now < vm.lease_ends_at) continue;
    Decision line;
    line.kind = Decision::Kind::kVmLost;
    line.vm = id;
    line.age_ms = (now - vm.heard_at).count();
    line.outcome =
        std::to_string(vm.runs.size()) + " runs lost with their lease";
    log.push_back(std::move(line));
    vm.synced = false;
    vm.seen_version = 0;
    vm.batch_in_flight = false;
    const auto runs = std::exchange(vm.runs, {});
    for (const auto& [key, run] : runs) {
      TaskEntity* task = FindTask(board, key);
      if (task == nullptr || task->phase != TaskPhase::kPlaced) continue;
      if (task->vm != id || task->run != run.run) continue;
      task->phase = TaskPhase::kIdle;
      task->vm = {};
      task->since = now;
    }
  }
}

bool IsRecovering(const Board& board, MonotonicTime now) {
  // A planner that was replaced may still grant leases until its last confirmed
  // ownership is too old.
  const MonotonicTime free_at = board.took_over_at + kProofLife + kLeaseGrant +
                                kLeaseGrant * 3 / 100 + kLeaseMargin;
  if (now >= free_at) return false;
  return std::any_of(board.vms.begin(), board.vms.end(),
                     [](const auto& it) { return it.second.unaccounted; });
}

void TakeRecorded(Board& board, uint64_t change) {
  board.recorded_change = std::max(board.recorded_change, change);
  for (auto& [id, vm] : board.vms) {
    while (!vm.pending_ends.empty() &&
           vm.pending_ends.front().change <= board.recorded_change) {
      vm.ends_recorded = vm.pending_ends.front().number;
      vm.pending_ends.pop_front();
    }
  }
}

}  // namespace almondtally::sched
