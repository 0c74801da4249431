#pragma once

#include <deque>

#include "base/clock.h"

namespace almondtally::sched {

/// Estimate of a job's log tail from a measurement of one of its tasks.
struct LoadSample {
  MonotonicTime at{};
  /// Log of the ratio of tail latency to target, without the effect of fillers.
  double log_tail = 0;
  /// Weight of the sample; lower the more fillers interfered with the task.
  double trust = 1;
};

/// Tail latency that user load alone causes in the tasks of a job, as the
/// logarithm of its ratio to the target (the "log tail").
struct JobLoad {
  /// Assumed before the first measurement: half of the target.
  static constexpr double kFirst = -0.7;

  std::deque<LoadSample> samples;
  /// Mean log tail, smoothed over several seconds.
  double mean = kFirst;
  /// Share of the tasks' measurements that exceeded the target, smoothed
  /// likewise.
  double missed = 0;
};

void AddSample(JobLoad& load, const LoadSample& sample);
/// Records whether a task of the job missed its target.
void RecordTargetResult(JobLoad& load, bool missed);

/// @return the log tail without fillers, predicted for a time shortly after the
/// last sample.
double PredictLogTail(const JobLoad& load, MonotonicTime when);

}  // namespace almondtally::sched
