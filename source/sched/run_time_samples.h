#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "base/clock.h"

/// What is kept of measured run times.
namespace almondtally::sched {

/// Run times of the tasks of one step on VMs of usual speed.
struct StepRunTimes {
  /// Latest estimate of the full run time by task index, in ms; 0 if there is
  /// none. Empty until the first one.
  std::vector<float> by_task;
  /// Of the estimates; lower one of the two in the middle. Updated at
  /// intervals.
  Duration median{};
  /// Number of estimates when the median was updated.
  uint32_t known = 0;
  MonotonicTime next_update{};
};

/// Run time of the tasks of one ended step, as a multiple of the declared one.
struct RunTimeSample {
  MonotonicTime at{};
  double ratio = 1;
};

/// Run times of the steps of one queue that have ended last.
struct QueueRunTimes {
  std::deque<RunTimeSample> samples;
  /// Quantiles of the samples.
  double low = 0;
  double typical = 0;
  double high = 0;
};

}  // namespace almondtally::sched
