#pragma once

#include "base/clock.h"
#include "sched/shard_state.h"

/// How long tasks run, learnt from runs that have ended.
namespace almondtally::sched {

/// Time that a task of a step takes on a VM of usual speed.
struct RunTimeEstimate {
  /// Nearly all tasks take at least this long.
  Duration low{};
  /// Half of the tasks take longer.
  Duration typical{};
  /// Nearly all tasks take at most this long.
  Duration high{};
  /// The estimate comes from runs that have ended, not from the declared time.
  bool learnt = false;
};

/// @return the run time of a task that starts without a checkpoint.
RunTimeEstimate EstimateRunTime(const ShardState& shard, MonotonicTime now,
                                const JobEntity& job, uint32_t step);

}  // namespace almondtally::sched
