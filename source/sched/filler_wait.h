#pragma once

#include "base/clock.h"
#include "sched/rank.h"
#include "sched/shard_state.h"

namespace almondtally::sched {

/// @return how long the ready fillers of a job wait for a VM on which they do
/// not disturb serving tasks, from the time that they became ready.
Duration MaxFillerWait(const ShardState& shard, MonotonicTime now,
                       const JobEntity& job, const OccurrenceEntity& occurrence,
                       const JobRank& rank);

}  // namespace almondtally::sched
