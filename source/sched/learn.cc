#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "sched/board.h"
#include "sched/detail.h"

// Load pattern: the load of each serving job swings within seconds, alike for
// all its tasks, while the fillers beside them differ from VM to VM. So the
// least disturbed tasks tell what the load alone does to the tail, and the
// others, by comparison, what the fillers beside them add.

namespace almondtally::sched {
namespace {

/// Measures cover half a second and travel for up to 0.3 s.
constexpr Duration kMeasureAge{400};
/// A task's first measures cover time before it was at work.
constexpr Duration kWarmUp{1'000};
/// Log tails of equally loaded tasks differ by about this much.
constexpr double kNoise = 0.2;
/// Fillers that came or went within a measure make it unsure by the largest
/// weight times their share.
constexpr double kChangeNoise = 3;
/// How fast trust in a task's estimate of the load falls with what fillers add
/// to its tail.
constexpr double kDistrust = 4;
constexpr double kLeastTrust = 0.02;
/// Times its target above which a tail is a backlog, whose size says little.
constexpr double kBacklog = 3;

bool IsMeasured(const VmRun& run, MonotonicTime now) {
  return run.measure > 0 && run.phase == RunPhase::kRunning &&
         run.running_since != MonotonicTime{} &&
         now - run.running_since >= kWarmUp;
}

/// @return by how much the use of fillers differs from the last report's.
double ChangeOf(VmEntity& vm, const std::vector<FillerUse>& fillers) {
  std::map<std::string, double> uses;
  for (const FillerUse& it : fillers) uses[it.image] += it.share;
  double change = 0;
  for (const auto& [image, share] : uses) {
    const auto it = vm.filler_uses.find(image);
    const double before = it == vm.filler_uses.end() ? 0 : it->second;
    change += std::abs(share - before);
  }
  for (const auto& [image, share] : vm.filler_uses) {
    if (!uses.contains(image)) change += share;
  }
  vm.filler_uses = std::move(uses);
  return change;
}

}  // namespace

std::vector<FillerUse> FillersOn(const Board& board, const VmEntity& vm) {
  std::vector<FillerUse> out;
  const auto whole =
      static_cast<double>(std::max<int64_t>(1, vm.worker.capacity.cpu.value));
  for (const auto& [key, run] : vm.runs) {
    const StepSpec* step = run.filler ? FindStep(board, key) : nullptr;
    if (step == nullptr || run.measure <= 0) continue;
    out.push_back({step->image, static_cast<double>(run.measure) / whole});
  }
  return out;
}

void LearnFromReport(Board& board, MonotonicTime now, VmEntity& vm,
                     const SyncReport& report) {
  const auto fillers = FillersOn(board, vm);
  const double change = ChangeOf(vm, fillers);
  for (const RunReport& it : report.runs) {
    const StepSpec* step = FindStep(board, it.task);
    const auto found = vm.runs.find(it.task);
    if (step == nullptr || step->tail_target_ms == 0) continue;
    if (found == vm.runs.end() || !IsMeasured(found->second, now)) continue;
    VmRun& run = found->second;
    const double tail = static_cast<double>(run.measure) /
                        static_cast<double>(step->tail_target_ms);
    JobLoad& load = board.loads[it.task.job];
    NoteTarget(load, tail > 1);
    const bool draining = run.last_tail > kBacklog && tail <= run.last_tail;
    run.last_tail = tail;
    // A backlog that is being worked off says nothing about now.
    if (draining) continue;
    const double log_tail = std::log(std::min(tail, kBacklog));
    const double rise = RiseBy(board.interference, step->image, fillers);
    const MonotonicTime at = now - kMeasureAge;
    if (!load.samples.empty()) {
      const double suffered = log_tail - LogTailAt(load, at);
      const bool backlog = tail > kBacklog;
      if (!(backlog && suffered < rise)) {
        Learn(board.interference, step->image, suffered,
              kNoise + kChangeNoise * change, fillers);
      }
    }
    const double trust = 1 / (1 + kDistrust * kDistrust * rise * rise);
    TakeSample(load, {at, log_tail - rise, std::max(kLeastTrust, trust)});
  }
}

}  // namespace almondtally::sched
