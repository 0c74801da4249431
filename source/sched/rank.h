#pragma once

#include <compare>
#include <cstdint>

#include "base/clock.h"

namespace almondtally::sched {

struct JobEntity;
struct OccurrenceEntity;
struct ShardState;

/// Whether a job can still finish in time to be of value to its caller.
enum class Outlook : uint8_t { kOnTime, kLate, kTooLate };

/// Sort key of jobs for placement: smaller goes first.
struct JobRank {
  int64_t priority = 0;
  Outlook outlook = Outlook::kOnTime;
  /// Declared CPU time, in CPU-milliseconds, of the tasks that are not done.
  double work_left = 0;
  MonotonicTime late_at{};

  auto operator<=>(const JobRank&) const = default;
};

JobRank RankOf(const ShardState& shard, const JobEntity& job,
               const OccurrenceEntity& occurrence, MonotonicTime now);

/// @param rank of a job that is too late to be of value, and of which nothing
/// runs.
/// @return the rank of its next task: before all other tasks that are too late,
/// the oldest job first.
JobRank RankOfStarving(const JobRank& rank);

}  // namespace almondtally::sched
