#pragma once

#include <deque>

#include "base/clock.h"

namespace almondtally::sched {

/// One task's estimate of its job's log tail.
struct LoadSample {
  MonotonicTime at{};
  /// Logarithm of the tail latency over its target, without the fillers' part.
  double log_tail = 0;
  /// Weight of the sample; lower the more fillers disturbed the task.
  double trust = 1;
};

/// The tail latency that the load of a job's users alone gives each of its
/// tasks, as the logarithm of its share of the target.
struct JobLoad {
  /// Before the first measure: half of the target.
  static constexpr double kFirst = -0.7;

  std::deque<LoadSample> samples;
  /// Smoothed over several seconds.
  double mean = kFirst;
  /// Share of its tasks' measures that were over the target, smoothed likewise.
  double missed = 0;
};

void TakeSample(JobLoad& load, const LoadSample& sample);
/// Notes whether one task of the job missed its target.
void NoteTarget(JobLoad& load, bool missed);

/// @return the log tail without fillers that is expected at a time shortly
/// after the last sample.
double LogTailAt(const JobLoad& load, MonotonicTime when);

}  // namespace almondtally::sched
