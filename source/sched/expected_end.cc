#include "sched/expected_end.h"

#include <algorithm>
#include <cmath>

#include "sched/run_times.h"

namespace almondtally::sched {
namespace {

/// Bounds of the speed of a VM that is held slow.
constexpr double kMinSpeed = 0.05;
constexpr double kMaxSlowSpeed = 0.8;

Duration Milliseconds(double count) { return Duration(std::llround(count)); }

}  // namespace

double SpeedOf(const ShardState& shard, const VmEntity& vm,
               MonotonicTime /*now*/) {
  if (!shard.features.uneven_vms || !vm.speed.slow) return 1;
  return std::clamp(std::exp(vm.speed.log_speed), kMinSpeed, kMaxSlowSpeed);
}

double FarFactor(const ShardState& shard, const VmEntity& vm,
                 const StepSpec& step) {
  const bool is_far =
      !step.data_rack.empty() && vm.worker.rack.value != step.data_rack;
  return is_far ? std::max(1.0, shard.features.far_factor) : 1;
}

Duration ExpectedRunTime(const ShardState& shard, MonotonicTime now,
                         const VmEntity& vm, const JobEntity& job,
                         uint32_t step) {
  const StepSpec& spec = job.record.spec.steps[step];
  const RunTimeEstimate time = EstimateRunTime(shard, now, job, step);
  const double factor = FarFactor(shard, vm, spec) / SpeedOf(shard, vm, now);
  return Milliseconds(static_cast<double>(time.typical.count()) * factor);
}

Duration ExpectedRemainingTime(const ShardState& shard, MonotonicTime now,
                               const VmEntity& vm, const JobEntity& job,
                               const TaskKey& key, const VmRun& run) {
  const Duration all = ExpectedRunTime(shard, now, vm, job, key.step);
  const bool is_running =
      run.phase == RunPhase::kRunning && run.running_since != MonotonicTime{};
  const Duration used = is_running ? now - run.running_since : Duration(0);
  if (!shard.features.uneven_vms || !is_running || run.percent <= 0)
    return std::max(Duration(0), all - used);
  constexpr double kAll = 100;
  const double left =
      std::clamp(1 - static_cast<double>(run.percent) / kAll, 0.0, 1.0);
  // The progress of the run itself includes what slows it down here.
  if (run.progress.rate > 0 && !StandsStill(vm))
    return Milliseconds(left / run.progress.rate);
  return Milliseconds(left * static_cast<double>(all.count()));
}

}  // namespace almondtally::sched
