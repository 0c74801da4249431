#include "sched/run_times.h"

namespace almondtally::sched {

RunTimeEstimate EstimateRunTime(const ShardState& /*shard*/,
                                MonotonicTime /*now*/, const JobEntity& job,
                                uint32_t step) {
  // Declared times are off by up to half in either direction.
  const Duration declared(job.record.spec.steps[step].estimate_ms);
  return {declared / 2, declared, declared * 2, false};
}

}  // namespace almondtally::sched
