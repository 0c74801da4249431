#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "sched/detail.h"
#include "sched/shard_state.h"

// Load pattern: the load of a serving job changes within seconds and in the
// same way for all its tasks, while the fillers differ from VM to VM. The tasks
// with the least interference therefore show the tail latency due to load
// alone, and comparing the other tasks with them shows what their fillers add.

namespace almondtally::sched {
namespace {

/// Typical age of a measurement on arrival: it covers half a second and takes
/// up to 0.3 s to get here.
constexpr Duration kMeasurementAge{400};
/// Measurements are ignored for this long after a task starts running, since
/// the first ones cover time before that.
constexpr Duration kWarmUp{1'000};
/// Standard deviation of the log tails of equally loaded tasks, approximately.
constexpr double kLogTailNoise = 0.2;
/// Additional noise per share of the CPU by which filler use changed during a
/// measurement, assuming the largest weight.
constexpr double kFillerChangeNoise = 3;
/// How fast the weight of a task's load sample falls with the expected rise of
/// its log tail due to fillers.
constexpr double kWeightFalloff = 4;
constexpr double kMinSampleWeight = 0.02;
/// Ratio of tail latency to target above which the tail reflects a backlog. The
/// size of a backlog says little about load or interference.
constexpr double kBacklogRatio = 3;

bool IsMeasured(const VmRun& run, MonotonicTime now) {
  return run.measurement > 0 && run.phase == RunPhase::kRunning &&
         run.running_since != MonotonicTime{} &&
         now - run.running_since >= kWarmUp;
}

/// @return the total change in filler CPU shares since the last report, which
/// is then replaced.
double UpdateFillerUses(VmEntity& vm, const std::vector<FillerUse>& fillers) {
  std::map<std::string, double> uses;
  for (const FillerUse& it : fillers) uses[it.image] += it.share;
  double change = 0;
  for (const auto& [image, share] : uses) {
    const auto it = vm.filler_cpu_shares.find(image);
    const double before = it == vm.filler_cpu_shares.end() ? 0 : it->second;
    change += std::abs(share - before);
  }
  for (const auto& [image, share] : vm.filler_cpu_shares) {
    if (!uses.contains(image)) change += share;
  }
  vm.filler_cpu_shares = std::move(uses);
  return change;
}

}  // namespace

std::vector<FillerUse> MeasuredFillerUse(const VmEntity& vm) {
  std::vector<FillerUse> out;
  const auto vm_cpu =
      static_cast<double>(std::max<int64_t>(1, vm.worker.capacity.cpu.value));
  for (const auto& [key, run] : vm.runs) {
    if (!run.filler || run.measurement <= 0) continue;
    out.push_back({run.image, static_cast<double>(run.measurement) / vm_cpu});
  }
  return out;
}

void UpdateModelsFromReport(ShardState& shard, MonotonicTime now, VmEntity& vm,
                            const SyncReport& report) {
  const auto fillers = MeasuredFillerUse(vm);
  const double change = UpdateFillerUses(vm, fillers);
  // Shares of a capacity that has shrunk below the runs are beyond the range of
  // the models, which all VMs share.
  if (IsOverCapacity(vm)) return;
  for (const RunReport& it : report.runs) {
    const auto found = vm.runs.find(it.task);
    if (found == vm.runs.end()) continue;
    VmRun& run = found->second;
    if (run.tail_target_ms == 0 || !IsMeasured(run, now)) continue;
    const double tail = static_cast<double>(run.measurement) /
                        static_cast<double>(run.tail_target_ms);
    JobLoad& load = shard.loads[it.task.job];
    RecordTargetResult(load, tail > 1);
    const bool backlog_shrinks =
        run.last_tail_ratio > kBacklogRatio && tail <= run.last_tail_ratio;
    run.last_tail_ratio = tail;
    // A shrinking backlog says nothing about the current load.
    if (backlog_shrinks) continue;
    const double log_tail = std::log(std::min(tail, kBacklogRatio));
    const double rise = ExpectedRise(shard.interference, run.image, fillers);
    const MonotonicTime at = now - kMeasurementAge;
    if (!load.samples.empty()) {
      const double excess = std::log(tail) - rise - PredictLogTail(load, at);
      RecordTailExcess(shard, vm, excess, !fillers.empty());
    }
    // What a slow VM adds is due neither to load nor to fillers.
    if (MayBeSlow(vm)) continue;
    if (!load.samples.empty()) {
      const double observed_rise = log_tail - PredictLogTail(load, at);
      const bool backlog = tail > kBacklogRatio;
      if (!(backlog && observed_rise < rise)) {
        UpdateInterference(shard.interference, run.image, observed_rise,
                           kLogTailNoise + kFillerChangeNoise * change,
                           fillers);
      }
    }
    const double trust =
        1 / (1 + kWeightFalloff * kWeightFalloff * rise * rise);
    AddSample(load, {at, log_tail - rise, std::max(kMinSampleWeight, trust)});
  }
}

}  // namespace almondtally::sched
