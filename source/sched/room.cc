#include <algorithm>
#include <cmath>
#include <string>
#include <utility>
#include <vector>

#include "sched/board.h"
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
constexpr double kPlannedShare = 0.5;
/// Weights below this cannot be distinguished from no interference.
constexpr double kHarmless = 1.5;

/// Lower bound of the allowed share. Negative values rank the VMs on which
/// fillers already interfere.
constexpr double kLeastShare = -3;
/// How much log-tail headroom a job loses if all its measurements miss the
/// target, so that the worst affected jobs are spared further interference.
constexpr double kMissedWeight = 2;

/// A serving task on a VM.
struct Serving {
  std::string image;
  /// How much its log tail may still rise.
  double room = 0;
  /// Weight from which a filler counts as interfering.
  double harmless = kHarmless;
};

std::vector<Serving> ServingOn(const Board& board, const VmEntity& vm) {
  std::vector<Serving> out;
  for (const auto& [key, run] : vm.runs) {
    const StepSpec* step = FindStep(board, key);
    if (step == nullptr || step->tail_target_ms == 0) continue;
    const auto load = board.loads.find(key.job);
    Serving it;
    it.image = step->image;
    it.room = std::log(kPlannedShare) - JobLoad::kFirst;
    if (load != board.loads.end()) {
      const double missed = load->second.missed;
      it.room =
          std::log(kPlannedShare) - load->second.mean - kMissedWeight * missed;
      it.harmless = kHarmless * (1 - missed);
    }
    out.push_back(std::move(it));
  }
  return out;
}

double ShareOf(const VmEntity& vm, const StepSpec& step) {
  return static_cast<double>(step.each.cpu.value) /
         static_cast<double>(
             std::max<int64_t>(1, vm.worker.capacity.cpu.value));
}

}  // namespace

double AllowedShare(const Board& board, const VmEntity& vm,
                    const StepSpec& filler, const TaskKey& key) {
  auto serving = ServingOn(board, vm);
  for (const auto& [other, run] : vm.runs) {
    const StepSpec* step =
        run.filler && other != key ? FindStep(board, other) : nullptr;
    if (step == nullptr || run.pace_wanted == 0) continue;
    for (Serving& it : serving) {
      it.room -= WeightOf(board.interference, step->image, it.image) *
                 ShareOf(vm, *step);
    }
  }
  double least = 1;
  for (const Serving& it : serving) {
    const double weight = WeightOf(board.interference, filler.image, it.image);
    if (weight < it.harmless) continue;
    const double rise = weight * ShareOf(vm, filler);
    least = std::min(least, it.room / rise);
  }
  return std::max(least, kLeastShare);
}

bool MayHarm(const Board& board, const VmEntity& vm, const StepSpec& filler) {
  const auto serving = ServingOn(board, vm);
  return std::any_of(serving.begin(), serving.end(), [&](const auto& it) {
    return WeightOf(board.interference, filler.image, it.image) >= it.harmless;
  });
}

}  // namespace almondtally::sched
