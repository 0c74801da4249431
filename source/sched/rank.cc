#include "sched/rank.h"

#include <algorithm>
#include <vector>

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

double WorkLeft(const JobEntity& job, const OccurrenceEntity& occurrence) {
  double sum = 0;
  for (size_t i = 0; i < occurrence.steps.size(); ++i) {
    const StepSpec& spec = job.record.spec.steps[i];
    const StepEntity& step = occurrence.steps[i];
    const auto left = static_cast<double>(step.tasks.size() - step.done);
    sum += left * static_cast<double>(spec.each.cpu.value) *
           static_cast<double>(spec.estimate_ms) / kMilli;
  }
  return sum;
}

/// @return the critical path through the steps that are not done, by declared
/// run times.
Duration RemainingCriticalPath(const JobEntity& job,
                               const OccurrenceEntity& occurrence) {
  const auto& steps = job.record.spec.steps;
  std::vector<int64_t> finish(steps.size(), 0);
  int64_t longest = 0;
  for (size_t i = 0; i < steps.size(); ++i) {
    for (const uint32_t predecessor : steps[i].after) {
      finish[i] = std::max(finish[i], finish[predecessor]);
    }
    if (!IsStepDone(occurrence.steps[i])) finish[i] += steps[i].estimate_ms;
    longest = std::max(longest, finish[i]);
  }
  return Duration(longest);
}

Outlook OutlookOf(const JobEntity& job, const OccurrenceEntity& occurrence,
                  MonotonicTime now) {
  // The value of lasting tasks is the time that they run, whenever that is.
  const auto& steps = job.record.spec.steps;
  const bool lasting = std::any_of(steps.begin(), steps.end(),
                                   [](const auto& it) { return it.lasting; });
  if (lasting) return Outlook::kOnTime;
  const MonotonicTime late_at = occurrence.due_at + job.objective;
  if (now > occurrence.due_at + job.objective * kNoValueAfterObjectives) {
    return Outlook::kTooLate;
  }
  // Estimates are off by up to half in either direction, so half of the
  // critical path may be enough.
  const MonotonicTime earliest =
      now + RemainingCriticalPath(job, occurrence) / 2;
  return earliest <= late_at ? Outlook::kOnTime : Outlook::kLate;
}

}  // namespace

JobRank RankOf(const ShardState& /*shard*/, const JobEntity& job,
               const OccurrenceEntity& occurrence, MonotonicTime now) {
  JobRank out;
  out.priority = job.terms.priority;
  out.outlook = OutlookOf(job, occurrence, now);
  out.work_left = WorkLeft(job, occurrence);
  out.late_at = occurrence.due_at + job.objective;
  return out;
}

JobRank RankOfStarving(const JobRank& rank) {
  constexpr double kBeforeAnyWork = -1;
  JobRank out = rank;
  out.work_left = kBeforeAnyWork;
  return out;
}

}  // namespace almondtally::sched
