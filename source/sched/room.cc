#include <algorithm>
#include <cmath>
#include <string>
#include <utility>
#include <vector>

#include "sched/detail.h"
#include "sched/shard_state.h"

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

/// A serving task on a VM.
struct ServingTask {
  std::string image;
  /// How much its log tail may still rise.
  double headroom = 0;
  /// Weight from which a filler counts as interfering.
  double min_harmful_weight = kHarmlessWeight;
};

std::vector<ServingTask> ListServingTasks(const ShardState& shard,
                                          const VmEntity& vm) {
  std::vector<ServingTask> out;
  for (const auto& [key, run] : vm.runs) {
    const StepSpec* step = FindStep(shard, key);
    if (step == nullptr || step->tail_target_ms == 0) continue;
    const auto load = shard.loads.find(key.job);
    ServingTask serving_task;
    serving_task.image = step->image;
    serving_task.headroom = std::log(kPlannedTargetShare) - JobLoad::kFirst;
    if (load != shard.loads.end()) {
      const double missed = load->second.missed;
      serving_task.headroom = std::log(kPlannedTargetShare) -
                              load->second.mean - kMissedTargetPenalty * missed;
      serving_task.min_harmful_weight = kHarmlessWeight * (1 - missed);
    }
    out.push_back(std::move(serving_task));
  }
  return out;
}

double CpuShareOf(const VmEntity& vm, const StepSpec& step) {
  return static_cast<double>(step.each.cpu.value) /
         static_cast<double>(
             std::max<int64_t>(1, vm.worker.capacity.cpu.value));
}

}  // namespace

double AllowedFillerSpeed(const ShardState& shard, const VmEntity& vm,
                          const StepSpec& filler, const TaskKey& key) {
  auto serving = ListServingTasks(shard, vm);
  for (const auto& [other, run] : vm.runs) {
    const StepSpec* step =
        run.filler && other != key ? FindStep(shard, other) : nullptr;
    if (step == nullptr || run.speed_limit_wanted == 0) continue;
    for (ServingTask& serving_task : serving) {
      serving_task.headroom -=
          InterferenceWeight(shard.interference, step->image,
                             serving_task.image) *
          CpuShareOf(vm, *step);
    }
  }
  double allowed = 1;
  for (const ServingTask& serving_task : serving) {
    const double weight = InterferenceWeight(shard.interference, filler.image,
                                             serving_task.image);
    if (weight < serving_task.min_harmful_weight) continue;
    const double rise = weight * CpuShareOf(vm, filler);
    allowed = std::min(allowed, serving_task.headroom / rise);
  }
  return std::max(allowed, kMinAllowedShare);
}

bool MayInterfere(const ShardState& shard, const VmEntity& vm,
                  const StepSpec& filler) {
  const auto serving = ListServingTasks(shard, vm);
  return std::any_of(
      serving.begin(), serving.end(), [&](const auto& serving_task) {
        return InterferenceWeight(shard.interference, filler.image,
                                  serving_task.image) >=
               serving_task.min_harmful_weight;
      });
}

}  // namespace almondtally::sched
