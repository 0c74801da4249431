#pragma once

#include <algorithm>
#include <vector>

#include "base/clock.h"
#include "sched/job.h"

namespace almondtally::sched {

/// @param time_of returns the time that a step takes, by index.
/// @return the time of the longest chain of steps.
template <typename TimeFn>
Duration CriticalPath(const JobSpec& spec, const TimeFn& time_of) {
  std::vector<Duration> finish(spec.steps.size(), Duration(0));
  Duration longest{0};
  for (uint32_t i = 0; i < spec.steps.size(); ++i) {
    for (const uint32_t predecessor : spec.steps[i].after) {
      finish[i] = std::max(finish[i], finish[predecessor]);
    }
    finish[i] += time_of(i);
    longest = std::max(longest, finish[i]);
  }
  return longest;
}

}  // namespace almondtally::sched
