#include "sched/load.h"

#include <algorithm>

namespace almondtally::sched {
namespace {

/// Window of the linear fit. Load oscillates with a period of about 10 s, so a
/// line fits for this long.
constexpr Duration kFitWindow{1'000};
/// Share of the fitted slope that predicts best: with so few samples, the full
/// slope overshoots.
constexpr double kSlopeDamping = 0.8;
/// Samples older than this say nothing about the current load.
constexpr Duration kMaxSampleAge{4'000};
/// Least standard deviation of the sample times, in s, for which a slope is
/// fitted.
constexpr double kMinSpread = 0.2;
/// Steepest slope per second: that of a queue whose utilisation rises from 0.2
/// to 0.6 within 5 s.
constexpr double kMaxSlope = 0.3;
/// Smoothing factor of the mean: covers about 5 s of samples of several tasks.
constexpr double kMeanSmoothing = 0.02;
/// Smoothing factor of the share of missed targets, whose samples are not
/// weighted.
constexpr double kMissedSmoothing = 0.01;
constexpr double kMilli = 1'000;

double Seconds(Duration time) {
  return static_cast<double>(time.count()) / kMilli;
}

}  // namespace

void AddSample(JobLoad& load, const LoadSample& sample) {
  load.samples.push_back(sample);
  load.mean += kMeanSmoothing * sample.trust * (sample.log_tail - load.mean);
  while (sample.at - load.samples.front().at > kFitWindow) {
    load.samples.pop_front();
  }
}

void RecordTargetResult(JobLoad& load, bool missed) {
  load.missed += kMissedSmoothing * ((missed ? 1.0 : 0.0) - load.missed);
}

double PredictLogTail(const JobLoad& load, MonotonicTime when) {
  if (load.samples.empty()) return JobLoad::kFirst;
  const MonotonicTime last = load.samples.back().at;
  if (when - last > kMaxSampleAge) return load.mean;
  double weight_sum = 0;
  double mean_time = 0;
  double mean = 0;
  for (const LoadSample& it : load.samples) {
    weight_sum += it.trust;
    mean_time += it.trust * Seconds(it.at - last);
    mean += it.trust * it.log_tail;
  }
  mean_time /= weight_sum;
  mean /= weight_sum;
  double time_spread = 0;
  double covariance = 0;
  for (const LoadSample& it : load.samples) {
    const double time = Seconds(it.at - last) - mean_time;
    time_spread += it.trust * time * time;
    covariance += it.trust * time * (it.log_tail - mean);
  }
  if (time_spread / weight_sum < kMinSpread * kMinSpread) return mean;
  const double slope = kSlopeDamping * std::clamp(covariance / time_spread,
                                                  -kMaxSlope, kMaxSlope);
  return mean + slope * (Seconds(when - last) - mean_time);
}

}  // namespace almondtally::sched
