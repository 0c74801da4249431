#include "sched/rank.h"

#include <algorithm>
#include <vector>

#include "sched/board.h"

// Load pattern: small urgent jobs arrive steadily while wide batch jobs come
// in bursts that exceed the free processors for seconds. Ranked by deadline
// alone, a burst makes every job late. So within a priority the jobs that can
// still be on time go first, those with the least work left before the others;
// then the late ones; what is past any use goes last but still runs.

namespace almondtally::sched {
namespace {

/// A job that is late by this many times its objective is worth nothing more.
constexpr int64_t kUselessAfter = 3;
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

/// @return the longest chain of declared run times that is not done.
Duration ChainLeft(const JobEntity& job, const OccurrenceEntity& occurrence) {
  const auto& steps = job.record.spec.steps;
  std::vector<int64_t> finish(steps.size(), 0);
  int64_t longest = 0;
  for (size_t i = 0; i < steps.size(); ++i) {
    for (const uint32_t before : steps[i].after) {
      finish[i] = std::max(finish[i], finish[before]);
    }
    if (!IsStepDone(occurrence.steps[i])) finish[i] += steps[i].estimate_ms;
    longest = std::max(longest, finish[i]);
  }
  return Duration(longest);
}

Outlook OutlookOf(const JobEntity& job, const OccurrenceEntity& occurrence,
                  MonotonicTime now) {
  const MonotonicTime late_at = occurrence.due_at + job.objective;
  if (now > occurrence.due_at + job.objective * kUselessAfter) {
    return Outlook::kTooLate;
  }
  // Estimates are off by half either way, so half of the chain may do.
  const MonotonicTime earliest = now + ChainLeft(job, occurrence) / 2;
  return earliest <= late_at ? Outlook::kOnTime : Outlook::kLate;
}

}  // namespace

JobRank RankOf(const JobEntity& job, const OccurrenceEntity& occurrence,
               MonotonicTime now) {
  JobRank out;
  out.priority = job.terms.priority;
  out.outlook = OutlookOf(job, occurrence, now);
  out.work_left = WorkLeft(job, occurrence);
  out.late_at = occurrence.due_at + job.objective;
  return out;
}

}  // namespace almondtally::sched
