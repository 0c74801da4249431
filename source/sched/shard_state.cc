#include "sched/shard_state.h"

#include <algorithm>
#include <utility>

#include "sched/detail.h"

namespace almondtally::sched {
namespace {

/// An agent that is reachable reports more often than this.
constexpr Duration kMaxReportAge{700};

MonotonicTime FromUnix(const ShardState& shard, int64_t unix_ms) {
  return MonotonicTime(Duration(unix_ms - shard.unix_offset_ms));
}

OccurrenceEntity MakeOccurrence(const JobSpec& spec, MonotonicTime due_at) {
  OccurrenceEntity out;
  out.due_at = due_at;
  for (const StepSpec& step : spec.steps) {
    StepEntity entity;
    entity.tasks.resize(step.count);
    for (TaskEntity& task : entity.tasks) {
      task.since = due_at;
      task.not_before = due_at;
    }
    out.steps.push_back(std::move(entity));
  }
  return out;
}

MonotonicTime DueTime(const ShardState& shard, const JobEntity& job,
                      uint32_t occurrence) {
  const JobSpec& spec = job.record.spec;
  if (spec.occurrences == 0) return job.accepted_at;
  return FromUnix(shard, spec.first_due_ms + spec.period_ms * occurrence);
}

/// Adds an occurrence, unless it exists. Its steps are not marked as ready yet.
/// Its tasks are not placed before it is due by this planner's clock, which may
/// be behind that of the planner which started the occurrence.
OccurrenceEntity& AddOccurrence(const ShardState& shard, JobEntity& job,
                                uint32_t number) {
  const auto [it, is_new] = job.occurrences.try_emplace(number);
  if (is_new) {
    it->second = MakeOccurrence(job.record.spec, DueTime(shard, job, number));
  }
  return it->second;
}

Duration ObjectiveOf(const JobSpec& spec, const QueueTerms& terms) {
  std::vector<int64_t> finish(spec.steps.size(), 0);
  int64_t longest = 0;
  for (size_t i = 0; i < spec.steps.size(); ++i) {
    for (const uint32_t before : spec.steps[i].after) {
      finish[i] = std::max(finish[i], finish[before]);
    }
    finish[i] += spec.steps[i].estimate_ms;
    longest = std::max(longest, finish[i]);
  }
  const double stretched = terms.stretch * static_cast<double>(longest);
  return Duration(static_cast<int64_t>(stretched) + terms.latency_target_ms);
}

void RemoveSuspects(ShardState& shard, const JobId& job) {
  for (std::set<TaskKey>* tasks : {&shard.crashed_tasks, &shard.suspects}) {
    const auto first = tasks->lower_bound(TaskKey{job, 0, 0, 0});
    auto last = first;
    while (last != tasks->end() && last->job == job) ++last;
    tasks->erase(first, last);
  }
}

}  // namespace

void UpdateReadySteps(const JobSpec& spec, OccurrenceEntity& occurrence,
                      MonotonicTime now) {
  for (size_t i = 0; i < spec.steps.size(); ++i) {
    StepEntity& step = occurrence.steps[i];
    if (step.ready) continue;
    const auto& after = spec.steps[i].after;
    step.ready = std::all_of(after.begin(), after.end(), [&](uint32_t before) {
      return occurrence.steps[before].done == spec.steps[before].count;
    });
    if (!step.ready) continue;
    for (TaskEntity& task : step.tasks) task.since = now;
  }
}

JobEntity MakeJob(const ShardState& shard, MonotonicTime now,
                  const JobRecord& record) {
  JobEntity job;
  job.record = record;
  const auto it = shard.queues.find(record.spec.queue);
  job.terms = it != shard.queues.end() ? it->second : record.terms;
  job.objective = ObjectiveOf(record.spec, job.terms);
  // Another process may have written the stored time, and clocks differ between
  // machines and may jump. A job must not appear to be accepted in the future.
  job.accepted_at = std::min(now, FromUnix(shard, record.accepted_at_ms));
  if (record.spec.occurrences == 0) {
    job.next_occurrence = 1;
    UpdateReadySteps(record.spec, AddOccurrence(shard, job, 0), now);
  }
  return job;
}

JobEntity& AddJob(ShardState& shard, MonotonicTime now,
                  const JobRecord& record) {
  shard.open_jobs.insert(record.spec.id);
  JobEntity& job = shard.jobs[record.spec.id];
  job = MakeJob(shard, now, record);
  return job;
}

void ApplyProgress(ShardState& shard, MonotonicTime now, JobEntity& job,
                   const JobProgress& progress) {
  const JobSpec& spec = job.record.spec;
  for (const StepProgress& row : progress.steps) {
    if (row.step >= spec.steps.size() ||
        row.occurrence >= spec.occurrence_count()) {
      continue;
    }
    auto& step = AddOccurrence(shard, job, row.occurrence).steps[row.step];
    const size_t n = std::min(step.tasks.size(), row.done.size());
    for (size_t i = 0; i < n; ++i) {
      if (row.done[i] != '1') continue;
      step.tasks[i].phase = TaskPhase::kDone;
      ++step.done;
      job.started = true;
    }
    const auto note_run = [&](TaskEntity& task, RunNumber run) {
      task.run = std::max(task.run, run);
      task.last_ended_run = task.run;
      job.started = true;
    };
    for (const TaskRuns& failed : row.failures) {
      if (failed.index >= step.tasks.size()) continue;
      TaskEntity& task = step.tasks[failed.index];
      task.failed_runs = failed.runs;
      for (const RunNumber run : failed.runs) note_run(task, run);
    }
    for (const TaskCrashes& crashed : row.crashes) {
      if (crashed.index >= step.tasks.size() || crashed.runs.empty()) continue;
      TaskEntity& task = step.tasks[crashed.index];
      for (const CrashedRun& it : crashed.runs) note_run(task, it.run);
      RestoreCrashes(shard, {spec.id, row.occurrence, row.step, crashed.index},
                     task, crashed.runs);
    }
  }
  for (auto& [number, occurrence] : job.occurrences) {
    for (size_t i = 0; i < spec.steps.size(); ++i) {
      if (occurrence.steps[i].done == spec.steps[i].count) {
        ++occurrence.steps_done;
      }
    }
    UpdateReadySteps(spec, occurrence, now);
    if (occurrence.steps_done == spec.steps.size()) ++job.occurrences_done;
  }
  job.state = progress.state;
  job.recorded = progress.state;
  job.ended_at_ms = progress.ended_at_ms;
  if (!IsFinal(job.state)) return;
  job.ended_at = std::min(now, FromUnix(shard, progress.ended_at_ms));
  shard.ended.push_back(spec.id);
  shard.open_jobs.erase(spec.id);
  RemoveSuspects(shard, spec.id);
}

void RemoveJob(ShardState& shard, const JobId& job) {
  shard.jobs.erase(job);
  shard.open_jobs.erase(job);
  shard.dirty.erase(job);
  RemoveSuspects(shard, job);
}

void MarkDirty(ShardState& shard, const JobId& job) {
  shard.dirty.insert(job);
  ++shard.change;
}

void EndJob(ShardState& shard, MonotonicTime now, JobEntity& job,
            JobState state) {
  if (IsFinal(job.state)) return;
  job.state = state;
  job.ended_at = now;
  job.ended_at_ms = shard.unix_offset_ms + now.time_since_epoch().count();
  const JobId& id = job.record.spec.id;
  MarkDirty(shard, id);
  shard.ended.push_back(id);
  shard.open_jobs.erase(id);
  RemoveSuspects(shard, id);
  shard.loads.erase(id);
  for (auto& [vm_id, vm] : shard.vms) {
    for (auto it = vm.runs.lower_bound(TaskKey{id, 0, 0, 0});
         it != vm.runs.end() && it->first.job == id; ++it) {
      it->second.stop_wanted = true;
    }
  }
}

void CancelJob(ShardState& shard, MonotonicTime now, JobEntity& job) {
  EndJob(shard, now, job, JobState::kCancelled);
}

int64_t CountPendingJobs(const ShardState& shard, const QueueId& queue) {
  int64_t n = 0;
  for (const JobId& id : shard.open_jobs) {
    const JobEntity& job = shard.jobs.at(id);
    if (job.accepted && job.record.spec.queue == queue && !job.started) ++n;
  }
  return n;
}

std::optional<MonotonicTime> StartDueOccurrences(ShardState& shard,
                                                 MonotonicTime now) {
  std::optional<MonotonicTime> next;
  for (const JobId& id : shard.open_jobs) {
    JobEntity& job = shard.jobs.at(id);
    const JobSpec& spec = job.record.spec;
    if (spec.occurrences == 0 || !job.accepted) continue;
    while (job.next_occurrence < spec.occurrences) {
      const MonotonicTime due = DueTime(shard, job, job.next_occurrence);
      if (due > now) {
        if (!next || due < *next) next = due;
        break;
      }
      auto& occurrence = AddOccurrence(shard, job, job.next_occurrence++);
      UpdateReadySteps(spec, occurrence, now);
    }
  }
  return next;
}

void SetQueues(ShardState& shard, std::map<QueueId, QueueTerms> queues) {
  shard.queues = std::move(queues);
  for (auto& [id, job] : shard.jobs) {
    const auto it = shard.queues.find(job.record.spec.queue);
    if (it == shard.queues.end()) continue;
    job.terms = it->second;
    job.objective = ObjectiveOf(job.record.spec, job.terms);
  }
}

void SetRunSpec(VmRun& run, const StepSpec& step) {
  run.known = true;
  run.size = step.each;
  run.filler = step.filler;
  run.image = step.image;
  run.tail_target_ms = step.tail_target_ms;
}

bool HasReportedRecently(const VmEntity& vm, MonotonicTime now) {
  return vm.synced && now - vm.last_report_at <= kMaxReportAge;
}

Resources ReservedCapacity(const VmEntity& vm) {
  Resources sum;
  for (const auto& [key, run] : vm.runs) {
    Resources size = run.size;
    if (run.filler) size.cpu = MilliCpu(0);
    sum += size;
  }
  return sum;
}

bool IsOverCapacity(const VmEntity& vm) {
  if (!Fits(ReservedCapacity(vm), vm.worker.capacity)) return true;
  return vm.worker.capacity.cpu.value <= 0 &&
         std::any_of(vm.runs.begin(), vm.runs.end(),
                     [](const auto& it) { return it.second.filler; });
}

TaskEntity* FindTask(ShardState& shard, const TaskKey& key) {
  const auto job = shard.jobs.find(key.job);
  if (job == shard.jobs.end()) return nullptr;
  const auto it = job->second.occurrences.find(key.occurrence);
  if (it == job->second.occurrences.end()) return nullptr;
  if (key.step >= it->second.steps.size()) return nullptr;
  auto& tasks = it->second.steps[key.step].tasks;
  return key.index < tasks.size() ? &tasks[key.index] : nullptr;
}

TaskEntity* FindReportedTask(ShardState& shard, MonotonicTime now,
                             const TaskKey& key) {
  const auto it = shard.jobs.find(key.job);
  if (it == shard.jobs.end()) return nullptr;
  JobEntity& job = it->second;
  const bool is_new = !job.occurrences.contains(key.occurrence);
  if (is_new && !IsFinal(job.state) &&
      key.occurrence < job.record.spec.occurrence_count()) {
    OccurrenceEntity& added = AddOccurrence(shard, job, key.occurrence);
    UpdateReadySteps(job.record.spec, added, now);
  }
  return FindTask(shard, key);
}

const StepSpec* FindStep(const ShardState& shard, const TaskKey& key) {
  const auto job = shard.jobs.find(key.job);
  if (job == shard.jobs.end()) return nullptr;
  const auto& steps = job->second.record.spec.steps;
  return key.step < steps.size() ? &steps[key.step] : nullptr;
}

}  // namespace almondtally::sched
