#include "sched/expected_end.h"

#include <algorithm>

#include "sched/run_times.h"

namespace almondtally::sched {

double SpeedOf(const ShardState& /*shard*/, const VmEntity& /*vm*/,
               MonotonicTime /*now*/) {
  return 1;
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
  const double factor =
      FarFactor(shard, vm, spec) / std::max(0.01, SpeedOf(shard, vm, now));
  return Duration(
      static_cast<int64_t>(static_cast<double>(time.typical.count()) * factor));
}

Duration ExpectedRemainingTime(const ShardState& shard, MonotonicTime now,
                               const VmEntity& vm, const JobEntity& job,
                               const TaskKey& key, const VmRun& run) {
  const Duration all = ExpectedRunTime(shard, now, vm, job, key.step);
  const bool is_running =
      run.phase == RunPhase::kRunning && run.running_since != MonotonicTime{};
  const Duration used = is_running ? now - run.running_since : Duration(0);
  return std::max(Duration(0), all - used);
}

}  // namespace almondtally::sched
