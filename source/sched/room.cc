#include "sched/room.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "sched/detail.h"

// Load pattern: fillers interfere in bursts of a few seconds, which saturate
// the queues of serving tasks on the same VM before any measurement shows it;
// each burst adds a second of backlog to each queue. Interference is therefore
// avoided by placement, based on the history of the filler's image, rather than
// by throttling.

namespace almondtally::sched {
namespace {

/// Share of the latency target that placement plans for at a job's mean load.
/// Peak load adds half as much again, and weights are averages over bursts.
constexpr double kPlannedTargetShare = 0.5;
/// Weights below this cannot be distinguished from no interference.
constexpr double kHarmlessWeight = 1.5;

/// Lower bound of the allowed share. Negative values rank the VMs on which
/// fillers already interfere.
constexpr double kMinAllowedShare = -3;
/// How much log-tail headroom a job loses if all its measurements miss the
/// target, so that the worst affected jobs are spared further interference.
constexpr double kMissedTargetPenalty = 2;

double CpuShareOf(const VmEntity& vm, MilliCpu cpu) {
  return static_cast<double>(cpu.value) / static_cast<double>(std::max<int64_t>(
                                              1, vm.worker.capacity.cpu.value));
}

void ReduceHeadroom(const ShardState& shard, const VmEntity& vm,
                    const std::string& image, MilliCpu cpu,
                    std::vector<ServingTask>& serving) {
  const double share = CpuShareOf(vm, cpu);
  for (ServingTask& serving_task : serving) {
    serving_task.headroom -=
        InterferenceWeight(shard.interference, image, serving_task.image) *
        share;
  }
}

}  // namespace

std::vector<ServingTask> ListServingTasks(
    const ShardState& shard, const VmEntity& vm,
    const std::optional<TaskKey>& except) {
  std::vector<ServingTask> out;
  for (const auto& [key, run] : vm.runs) {
    if (run.tail_target_ms == 0) continue;
    const auto load = shard.loads.find(key.job);
    ServingTask serving_task;
    serving_task.image = run.image;
    serving_task.headroom = std::log(kPlannedTargetShare) - JobLoad::kFirst;
    serving_task.min_harmful_weight = kHarmlessWeight;
    if (load != shard.loads.end()) {
      const double missed = load->second.missed;
      serving_task.headroom = std::log(kPlannedTargetShare) -
                              load->second.mean - kMissedTargetPenalty * missed;
      serving_task.min_harmful_weight = kHarmlessWeight * (1 - missed);
    }
    out.push_back(std::move(serving_task));
  }
  if (out.empty()) return out;
  for (const auto& [key, run] : vm.runs) {
    if (!run.filler || run.speed_limit_wanted == 0 || key == except) continue;
    ReduceHeadroom(shard, vm, run.image, run.size.cpu, out);
  }
  return out;
}

void AddFillerLoad(const ShardState& shard, const VmEntity& vm,
                   const StepSpec& filler, std::vector<ServingTask>& serving) {
  ReduceHeadroom(shard, vm, filler.image, filler.each.cpu, serving);
}

double AllowedFillerSpeed(const ShardState& shard, const VmEntity& vm,
                          const StepSpec& filler,
                          const std::vector<ServingTask>& serving) {
  double allowed = 1;
  for (const ServingTask& serving_task : serving) {
    const double weight = InterferenceWeight(shard.interference, filler.image,
                                             serving_task.image);
    if (weight < serving_task.min_harmful_weight) continue;
    const double rise = weight * CpuShareOf(vm, filler.each.cpu);
    allowed = std::min(allowed, serving_task.headroom / rise);
  }
  return std::max(allowed, kMinAllowedShare);
}

bool MayInterfere(const ShardState& shard, const std::string& filler_image,
                  const std::vector<ServingTask>& serving) {
  return std::any_of(
      serving.begin(), serving.end(), [&](const auto& serving_task) {
        return InterferenceWeight(shard.interference, filler_image,
                                  serving_task.image) >=
               serving_task.min_harmful_weight;
      });
}

}  // namespace almondtally::sched
