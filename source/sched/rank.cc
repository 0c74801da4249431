#include "sched/rank.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "sched/critical_path.h"
#include "sched/run_times.h"
#include "sched/shard_state.h"

// Load pattern: small urgent jobs arrive steadily, while batch jobs with many
// tasks arrive in bursts that exceed the free CPU for seconds. Ordering by
// deadline alone makes every job late during a burst. Within a priority, jobs
// that can still meet their objective therefore go first, shortest remaining
// work first, then late jobs. Jobs too late to be of value go last, one task of
// each before the other tasks of any.

namespace almondtally::sched {
namespace {

constexpr double kMilli = 1'000;

bool IsStepDone(const StepEntity& step) {
  return step.done == step.tasks.size();
}

double WorkLeft(const ShardState& shard, const JobEntity& job,
                const OccurrenceEntity& occurrence, MonotonicTime now) {
  double sum = 0;
  for (uint32_t i = 0; i < occurrence.steps.size(); ++i) {
    const StepSpec& spec = job.record.spec.steps[i];
    const StepEntity& step = occurrence.steps[i];
    const auto left = static_cast<double>(step.tasks.size() - step.done);
    const Duration time = EstimateRunTime(shard, now, job, i).typical;
    sum += left * static_cast<double>(spec.each.cpu.value) *
           static_cast<double>(time.count()) / kMilli;
  }
  return sum;
}

/// @return the critical path through the steps that are not done, if their
/// tasks are as short as they may be.
Duration ShortestRemainingPath(const ShardState& shard, const JobEntity& job,
                               const OccurrenceEntity& occurrence,
                               MonotonicTime now) {
  // Estimates that are not learnt are off by up to half in either direction.
  constexpr int64_t kDeclaredOverLow = 2;
  const Duration path = CriticalPath(job.record.spec, [&](uint32_t step) {
    if (IsStepDone(occurrence.steps[step])) return Duration(0);
    const RunTimeEstimate time = EstimateRunTime(shard, now, job, step);
    return time.learnt ? time.low * kDeclaredOverLow : time.typical;
  });
  return path / kDeclaredOverLow;
}

/// @return the time from the due time of an occurrence until it counts as late.
Duration ObjectiveOf(const ShardState& shard, const JobEntity& job,
                     MonotonicTime now) {
  if (!shard.features.uneven_vms) return job.objective;
  const Duration path = CriticalPath(job.record.spec, [&](uint32_t step) {
    return EstimateRunTime(shard, now, job, step).typical;
  });
  return Duration(
      std::llround(job.terms.stretch * static_cast<double>(path.count())) +
      job.terms.latency_target_ms);
}

Outlook OutlookOf(const ShardState& shard, const JobEntity& job,
                  const OccurrenceEntity& occurrence, Duration objective,
                  MonotonicTime now) {
  // The value of lasting tasks is the time that they run, whenever that is.
  const auto& steps = job.record.spec.steps;
  const bool lasting = std::any_of(steps.begin(), steps.end(),
                                   [](const auto& it) { return it.lasting; });
  if (lasting) return Outlook::kOnTime;
  const MonotonicTime late_at = occurrence.due_at + objective;
  if (now > occurrence.due_at + objective * kNoValueAfterObjectives) {
    return Outlook::kTooLate;
  }
  const MonotonicTime earliest =
      now + ShortestRemainingPath(shard, job, occurrence, now);
  return earliest <= late_at ? Outlook::kOnTime : Outlook::kLate;
}

}  // namespace

JobRank RankOf(const ShardState& shard, const JobEntity& job,
               const OccurrenceEntity& occurrence, MonotonicTime now) {
  JobRank out;
  out.priority = job.terms.priority;
  const Duration objective = ObjectiveOf(shard, job, now);
  out.outlook = OutlookOf(shard, job, occurrence, objective, now);
  out.work_left = WorkLeft(shard, job, occurrence, now);
  out.late_at = occurrence.due_at + objective;
  return out;
}

JobRank RankOfStarving(const JobRank& rank) {
  constexpr double kBeforeAnyWork = -1;
  JobRank out = rank;
  out.work_left = kBeforeAnyWork;
  return out;
}

}  // namespace almondtally::sched
