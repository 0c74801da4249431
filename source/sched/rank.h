#pragma once

#include <compare>
#include <cstdint>

#include "base/clock.h"

namespace almondtally::sched {

struct JobEntity;
struct OccurrenceEntity;

/// What a job can still be worth to its caller.
enum class Outlook : uint8_t { kOnTime, kLate, kTooLate };

/// Order in which jobs get room: smaller goes first.
struct JobRank {
  int64_t priority = 0;
  Outlook outlook = Outlook::kOnTime;
  /// Declared processor time of tasks that are not done, in ms.
  double work_left = 0;
  MonotonicTime late_at{};

  auto operator<=>(const JobRank&) const = default;
};

JobRank RankOf(const JobEntity& job, const OccurrenceEntity& occurrence,
               MonotonicTime now);

}  // namespace almondtally::sched
