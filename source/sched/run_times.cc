#include "sched/run_times.h"

#include <algorithm>
#include <cmath>
#include <vector>

// Load pattern: the tasks of a step take about as long as each other, while the
// declared time of the step is off by up to nine tenths, and a few steps of a
// queue take many times as long as its others. The tasks of a step that run
// already therefore predict the others best. Before there are any, the declared
// time is corrected by what the queue's last steps took of theirs.

namespace almondtally::sched {
namespace {

/// Tasks of a step that must be measured for its own estimate.
constexpr uint32_t kMinTasks = 2;
/// One of so many tasks does not change their median by much.
constexpr uint32_t kManyTasks = 5;
constexpr Duration kStepUpdateInterval{200};
/// Nearly all tasks of a step are within these multiples of its median.
constexpr double kLowInStep = 0.6;
constexpr double kHighInStep = 1.7;
/// Standard deviations of the logarithm of run times, approximately.
constexpr double kErrorInStep = 0.35;
constexpr double kErrorOfQueue = 0.7;
constexpr double kErrorOfDeclared = 1.2;

/// Bounds of the memory for the queues, and of the age of what is kept.
constexpr size_t kMaxSamples = 128;
constexpr size_t kMaxQueues = 256;
constexpr Duration kMaxSampleAge{60'000};
/// Steps that must have ended for an estimate.
constexpr size_t kMinSamples = 5;
constexpr double kLowQuantile = 0.1;
constexpr double kHighQuantile = 0.9;
/// Bounds of the ratio of actual to declared times.
constexpr double kMinRatio = 0.02;
constexpr double kMaxRatio = 50;
/// Smoothing factor of the errors, which are for metrics only.
constexpr double kErrorSmoothing = 0.02;

Duration Scale(Duration time, double factor) {
  return Duration(std::llround(static_cast<double>(time.count()) * factor));
}

Duration DeclaredTime(const JobEntity& job, uint32_t step) {
  return Duration(
      std::max<int64_t>(1, job.record.spec.steps[step].estimate_ms));
}

/// @return the value of which a share of the others is smaller; the lower one
/// of two candidates.
template <typename T>
T Quantile(std::vector<T>& values, double share) {
  const auto index =
      static_cast<size_t>(share * static_cast<double>(values.size() - 1));
  const auto at = values.begin() + static_cast<std::ptrdiff_t>(index);
  std::nth_element(values.begin(), at, values.end());
  return *at;
}

/// Updates the median of a step.
/// @param except task that is left out; a negative index leaves out none.
Duration MedianOf(const StepRunTimes& times, int64_t except, uint32_t& known) {
  std::vector<float> values;
  values.reserve(times.by_task.size());
  for (size_t i = 0; i < times.by_task.size(); ++i) {
    if (times.by_task[i] > 0 && static_cast<int64_t>(i) != except)
      values.push_back(times.by_task[i]);
  }
  known = static_cast<uint32_t>(values.size());
  if (values.empty()) return Duration(0);
  constexpr double kHalf = 0.5;
  return Duration(std::llround(Quantile(values, kHalf)));
}

const StepRunTimes* FindStepTimes(const JobEntity& job, uint32_t step) {
  return step < job.run_times.size() ? &job.run_times[step] : nullptr;
}

/// @return null if too little is known of the queue.
const QueueRunTimes* FindQueueTimes(const ShardState& shard, MonotonicTime now,
                                    const JobEntity& job) {
  const auto it = shard.run_times.find(job.record.spec.queue);
  if (it == shard.run_times.end()) return nullptr;
  const QueueRunTimes& times = it->second;
  if (times.samples.size() < kMinSamples) return nullptr;
  if (now - times.samples.back().at > kMaxSampleAge) return nullptr;
  return &times;
}

void UpdateQuantiles(QueueRunTimes& times) {
  std::vector<double> ratios;
  ratios.reserve(times.samples.size());
  for (const RunTimeSample& it : times.samples) ratios.push_back(it.ratio);
  constexpr double kHalf = 0.5;
  times.low = Quantile(ratios, kLowQuantile) * kLowInStep;
  times.typical = Quantile(ratios, kHalf);
  times.high = Quantile(ratios, kHighQuantile) * kHighInStep;
}

void UpdateErrors(ShardState& shard, MonotonicTime now, const JobEntity& job,
                  double ratio) {
  const QueueRunTimes* queue = FindQueueTimes(shard, now, job);
  if (queue == nullptr) return;
  const auto update = [](double& error, double of) {
    error += kErrorSmoothing * (std::abs(of) - error);
  };
  update(shard.declared_time_error, std::log(ratio));
  update(shard.run_time_error, std::log(ratio / queue->typical));
}

}  // namespace

RunTimeEstimate EstimateRunTime(const ShardState& shard, MonotonicTime now,
                                const JobEntity& job, uint32_t step) {
  const Duration declared(job.record.spec.steps[step].estimate_ms);
  // Declared times are off by up to half in either direction.
  const RunTimeEstimate unknown{declared / 2, declared, declared * 2, false};
  if (!shard.features.uneven_vms) return unknown;
  const StepRunTimes* own = FindStepTimes(job, step);
  if (own != nullptr && own->known >= kMinTasks) {
    return {Scale(own->median, kLowInStep), own->median,
            Scale(own->median, kHighInStep), true};
  }
  const QueueRunTimes* queue = FindQueueTimes(shard, now, job);
  if (queue == nullptr) return unknown;
  return {Scale(declared, queue->low), Scale(declared, queue->typical),
          Scale(declared, queue->high), true};
}

ReferenceRunTime ReferenceRunTimeOf(const ShardState& shard, MonotonicTime now,
                                    const JobEntity& job, const TaskKey& key) {
  const StepRunTimes* own = FindStepTimes(job, key.step);
  if (own != nullptr && own->known >= kManyTasks) {
    return {own->median, kErrorInStep};
  }
  if (own != nullptr && own->known >= kMinTasks) {
    uint32_t others = 0;
    const Duration median =
        MedianOf(*own, static_cast<int64_t>(key.index), others);
    if (others >= kMinTasks) return {median, kErrorInStep};
  }
  const Duration declared = DeclaredTime(job, key.step);
  const QueueRunTimes* queue = FindQueueTimes(shard, now, job);
  if (queue == nullptr) return {declared, kErrorOfDeclared};
  return {Scale(declared, queue->typical), kErrorOfQueue};
}

void RecordRunTime(MonotonicTime now, JobEntity& job, const TaskKey& key,
                   Duration time, bool ended) {
  const auto& steps = job.record.spec.steps;
  if (key.step >= steps.size() || key.index >= steps[key.step].count) return;
  job.run_times.resize(steps.size());
  StepRunTimes& times = job.run_times[key.step];
  times.by_task.resize(steps[key.step].count);
  float& at = times.by_task[key.index];
  const auto measured = std::max(1.0F, static_cast<float>(time.count()));
  at = ended || at == 0 ? measured : (at + measured) / 2;
  if (now < times.next_update && times.known >= kMinTasks) return;
  times.next_update = now + kStepUpdateInterval;
  times.median = MedianOf(times, -1, times.known);
}

void RecordEndOfStep(ShardState& shard, MonotonicTime now, const JobEntity& job,
                     uint32_t step) {
  const StepRunTimes* own = FindStepTimes(job, step);
  if (own == nullptr) return;
  uint32_t known = 0;
  const Duration median = MedianOf(*own, -1, known);
  if (known == 0) return;
  const double ratio =
      std::clamp(static_cast<double>(median.count()) /
                     static_cast<double>(DeclaredTime(job, step).count()),
                 kMinRatio, kMaxRatio);
  UpdateErrors(shard, now, job, ratio);
  if (shard.run_times.size() >= kMaxQueues) {
    std::erase_if(shard.run_times, [&](const auto& it) {
      return now - it.second.samples.back().at > kMaxSampleAge;
    });
    const auto& queue = job.record.spec.queue;
    if (shard.run_times.size() >= kMaxQueues &&
        !shard.run_times.contains(queue))
      return;
  }
  QueueRunTimes& times = shard.run_times[job.record.spec.queue];
  times.samples.push_back({now, ratio});
  while (times.samples.size() > kMaxSamples ||
         now - times.samples.front().at > kMaxSampleAge) {
    times.samples.pop_front();
  }
  UpdateQuantiles(times);
}

}  // namespace almondtally::sched
