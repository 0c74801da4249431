#include "sched/filler_wait.h"

#include <algorithm>
#include <vector>

#include "sched/run_times.h"

// Load pattern: serving tasks occupy all VMs, so that no VM is free of
// interference, while wide batch jobs wait for room. Fillers that then wait for
// a better VM in each of their steps make a job late that has room.

namespace almondtally::sched {
namespace {

/// After that, slow progress is better than none. Callers are guaranteed a
/// start within 3 s while most of the capacity is free.
constexpr Duration kMaxWait{2'300};
/// A step waits for at most the slack of its job divided by this; the rest is
/// for the steps after it and for slower progress beside serving tasks.
constexpr int64_t kSlackDivisor = 2;

/// @return the critical path through the steps that are not done.
Duration RemainingPath(const ShardState& shard, MonotonicTime now,
                       const JobEntity& job,
                       const OccurrenceEntity& occurrence) {
  const auto& steps = job.record.spec.steps;
  std::vector<Duration> finish(steps.size(), Duration(0));
  Duration longest{0};
  for (uint32_t i = 0; i < steps.size(); ++i) {
    for (const uint32_t before : steps[i].after) {
      finish[i] = std::max(finish[i], finish[before]);
    }
    const StepEntity& step = occurrence.steps[i];
    if (step.done < step.tasks.size())
      finish[i] += EstimateRunTime(shard, now, job, i).typical;
    longest = std::max(longest, finish[i]);
  }
  return longest;
}

}  // namespace

Duration MaxFillerWait(const ShardState& shard, MonotonicTime now,
                       const JobEntity& job, const OccurrenceEntity& occurrence,
                       const JobRank& rank) {
  if (!shard.features.admission || rank.outlook != Outlook::kOnTime)
    return kMaxWait;
  const Duration slack =
      rank.late_at - now - RemainingPath(shard, now, job, occurrence);
  return std::clamp(slack / kSlackDivisor, Duration(0), kMaxWait);
}

}  // namespace almondtally::sched
