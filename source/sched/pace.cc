#include <algorithm>

#include "sched/board.h"

// Load pattern: lasting tasks owe their users a tail latency; fillers beside
// them disturb them by amounts that depend on the pair and change within
// seconds, and measures arrive half a second late. The limit falls fast before
// the target is missed and rises slowly.

namespace almondtally::sched {
namespace {

/// Measures cover half a second and a limit works after 0.1 s, so an earlier
/// change would answer to the state before the last one.
constexpr Duration kPaceEvery{700};
/// Shares of the latency target above which the limit falls, below which it
/// rises.
constexpr double kFallAbove = 0.85;
constexpr double kRiseBelow = 0.6;
/// Factor by which it falls, and percent by which it rises.
constexpr double kFall = 0.5;
constexpr int64_t kRise = 15;
/// A limit below this is set to 0.
constexpr int64_t kLeastPace = 10;
constexpr int64_t kFullSpeed = 100;

/// @return the worst tail latency as a share of its target; 0 if none is
/// known.
double WorstShare(const Board& board, const VmEntity& vm) {
  double worst = 0;
  for (const auto& [key, run] : vm.runs) {
    const StepSpec* step = FindStep(board, key);
    if (step == nullptr || step->tail_target_ms == 0) continue;
    if (run.measure < 0 || run.percent == 0) continue;
    worst = std::max(worst, static_cast<double>(run.measure) /
                                static_cast<double>(step->tail_target_ms));
  }
  return worst;
}

int64_t NextPace(int64_t pace, double share) {
  if (share > kFallAbove) {
    const auto next = static_cast<int64_t>(static_cast<double>(pace) * kFall);
    return next < kLeastPace ? 0 : next;
  }
  if (share < kRiseBelow) return std::min(kFullSpeed, pace + kRise);
  return pace;
}

}  // namespace

void PaceFillers(Board& board, MonotonicTime now, Decisions& log) {
  for (auto& [id, vm] : board.vms) {
    if (!vm.synced || now < vm.next_pace_at) continue;
    const bool any =
        std::any_of(vm.runs.begin(), vm.runs.end(),
                    [](const auto& it) { return it.second.filler; });
    if (!any && vm.filler_pace == kFullSpeed) continue;
    const double share = WorstShare(board, vm);
    const int64_t pace = NextPace(vm.filler_pace, share);
    if (pace == vm.filler_pace) continue;
    vm.next_pace_at = now + kPaceEvery;
    vm.filler_pace = pace;
    for (auto& [key, run] : vm.runs) {
      if (run.filler) run.pace_wanted = pace;
    }
    Decision line;
    line.kind = Decision::Kind::kPaced;
    line.vm = id;
    line.outcome = std::to_string(pace);
    line.reason = "tail at " + std::to_string(static_cast<int>(share * 100)) +
                  "% of its target";
    log.push_back(std::move(line));
  }
}

void TakeBack(Board& board, MonotonicTime now, Decisions& log) {
  for (auto& [id, vm] : board.vms) {
    std::erase_if(vm.runs, [](const auto& it) {
      const VmRun& run = it.second;
      return run.stop_wanted && !run.seen && run.start_batch == 0;
    });
    if (!vm.synced || !vm.worker.draining) continue;
    for (auto& [key, run] : vm.runs) {
      if (run.stop_wanted || run.phase != RunPhase::kRunning) continue;
      const StepSpec* step = FindStep(board, key);
      if (step == nullptr || step->gang) continue;
      // Work that cannot be saved may still finish before the worker leaves.
      if (!step->lasting && !step->checkpoints) continue;
      run.stop_wanted = true;
      Decision line;
      line.kind = Decision::Kind::kTakenBack;
      line.task = key;
      line.vm = id;
      line.run = run.run;
      line.reason = "the worker leaves";
      line.age_ms = (vm.leaves_at - now).count();
      log.push_back(std::move(line));
    }
  }
}

}  // namespace almondtally::sched
