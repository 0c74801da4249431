#include "sched/filler_wait.h"

#include <algorithm>
#include <vector>

#include "sched/critical_path.h"
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
  return CriticalPath(job.record.spec, [&](uint32_t step) {
    const StepEntity& at = occurrence.steps[step];
    return at.done < at.tasks.size()
               ? EstimateRunTime(shard, now, job, step).typical
               : Duration(0);
  });
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
