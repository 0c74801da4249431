#include <algorithm>
#include <cmath>
#include <vector>

#include "sched/board.h"

// Load pattern: lasting tasks owe their users a tail latency; fillers beside
// them disturb them by amounts that depend on the pair of images and change
// within seconds, and measures arrive half a second late. Harmless fillers run
// at full speed; what the tail still bears goes to the others, the least
// harmful first.

namespace almondtally::sched {
namespace {

/// Measures cover half a second, so an earlier change would answer to the
/// state before the last one.
constexpr Duration kPaceEvery{450};
/// Share of a latency target that is planned for; the rest is for load that
/// rises before the next measure.
constexpr double kPlannedShare = 0.7;
/// A serving task that stays over its target for this long stops every filler
/// beside it, whatever the model says. Users bear 4 s; a measure is up to 1 s
/// old and a limit takes 0.1 s.
constexpr Duration kOverPatience{1'500};
/// A limit within this many percent of the present one is not sent.
constexpr int64_t kLeastChange = 12;
/// A limit below this is set to 0.
constexpr int64_t kLeastPace = 8;
constexpr int64_t kFullSpeed = 100;
/// A slope below this is noise.
constexpr double kHarmless = 0.004;
/// A run that was held below this limit for this long is moved if another VM
/// lets it run faster.
constexpr int64_t kSlowPace = 35;
constexpr Duration kSlowFor{1'000};
/// Runs nearer to their end than this are left alone.
constexpr int64_t kNearlyDone = 75;
constexpr double kMilli = 1'000;

/// A filler on a VM and how much it disturbs the worst-off serving task.
struct Filler {
  VmRun* run = nullptr;
  double harm_at_full_speed = 0;
};

/// A serving task's image and the log share of its target that it has left.
struct Serving {
  std::string image;
  double room = 0;
};

std::vector<Serving> ServingOn(const Board& board, const VmEntity& vm) {
  std::vector<Serving> out;
  const double above = std::max(0.0, vm.residual);
  for (const auto& [key, run] : vm.runs) {
    const StepSpec* step = FindStep(board, key);
    if (step == nullptr || step->tail_target_ms == 0) continue;
    const double room = std::log(kPlannedShare) -
                        BaseOf(board.interference, step->image) - above;
    out.push_back({step->image, room});
  }
  return out;
}

double HarmOf(const Board& board, const std::vector<Serving>& serving,
              const StepSpec& filler) {
  double worst = 0;
  for (const Serving& it : serving) {
    const double slope = SlopeOf(board.interference, filler.image, it.image);
    if (slope < kHarmless) continue;
    worst = std::max(
        worst, slope * static_cast<double>(filler.each.cpu.value) / kMilli);
  }
  return worst;
}

double RoomOf(const std::vector<Serving>& serving) {
  double least = 1e9;
  for (const Serving& it : serving) least = std::min(least, it.room);
  return std::max(0.0, least);
}

int64_t PaceFor(double harm, double room) {
  if (harm <= room) return kFullSpeed;
  const auto pace =
      static_cast<int64_t>(room / harm * static_cast<double>(kFullSpeed));
  return pace < kLeastPace ? 0 : pace;
}

bool IsOverForLong(const VmEntity& vm, MonotonicTime now) {
  return std::any_of(vm.runs.begin(), vm.runs.end(), [&](const auto& it) {
    const MonotonicTime since = it.second.over_since;
    return since != MonotonicTime{} && now - since >= kOverPatience;
  });
}

void SetPace(VmRun& run, int64_t pace, MonotonicTime now) {
  const bool edge = pace == 0 || pace == kFullSpeed;
  const int64_t change = std::abs(pace - run.pace_wanted);
  if (change != 0 && (edge || change >= kLeastChange)) run.pace_wanted = pace;
  if (run.pace_wanted >= kSlowPace) {
    run.slowed_since = {};
  } else if (run.slowed_since == MonotonicTime{}) {
    run.slowed_since = now;
  }
}

}  // namespace

double AllowedShare(const Board& board, const VmEntity& vm,
                    const StepSpec& filler, const TaskKey& key) {
  const auto serving = ServingOn(board, vm);
  if (serving.empty()) return 1;
  const double harm = HarmOf(board, serving, filler);
  if (harm <= 0) return 1;
  double room = RoomOf(serving);
  for (const auto& [other, run] : vm.runs) {
    const StepSpec* step =
        run.filler && other != key ? FindStep(board, other) : nullptr;
    if (step != nullptr) room -= HarmOf(board, serving, *step);
  }
  return std::clamp(room / harm, 0.0, 1.0);
}

void PaceFillers(Board& board, MonotonicTime now, Decisions& log) {
  for (auto& [id, vm] : board.vms) {
    if (!vm.synced || now < vm.next_pace_at) continue;
    std::vector<Filler> fillers;
    const auto serving = ServingOn(board, vm);
    for (auto& [key, run] : vm.runs) {
      const StepSpec* step = run.filler ? FindStep(board, key) : nullptr;
      if (step == nullptr) continue;
      fillers.push_back({&run, HarmOf(board, serving, *step)});
    }
    if (fillers.empty()) continue;
    vm.next_pace_at = now + kPaceEvery;
    std::sort(fillers.begin(), fillers.end(), [](const auto& a, const auto& b) {
      return a.harm_at_full_speed < b.harm_at_full_speed;
    });
    const bool stop_all = IsOverForLong(vm, now);
    double room = RoomOf(serving);
    int64_t sum = 0;
    int64_t before = 0;
    for (const Filler& it : fillers) {
      before += it.run->pace_wanted;
      const int64_t pace = stop_all ? 0 : PaceFor(it.harm_at_full_speed, room);
      SetPace(*it.run, pace, now);
      sum += it.run->pace_wanted;
      room = std::max(0.0, room - it.harm_at_full_speed *
                                      static_cast<double>(it.run->pace_wanted) /
                                      static_cast<double>(kFullSpeed));
    }
    if (sum == before) continue;
    Decision line;
    line.kind = Decision::Kind::kPaced;
    line.vm = id;
    line.outcome = std::to_string(sum / static_cast<int64_t>(fillers.size())) +
                   "% on average";
    line.reason = std::to_string(fillers.size()) + " fillers, room " +
                  std::to_string(RoomOf(serving)) + ", residual " +
                  std::to_string(vm.residual);
    log.push_back(std::move(line));
  }
}

/// @return true if a filler that is held down here would run faster elsewhere.
bool WouldRunFaster(const Board& board, const VmEntity& here,
                    const TaskKey& key, const StepSpec& step) {
  return std::any_of(board.vms.begin(), board.vms.end(), [&](const auto& it) {
    const VmEntity& vm = it.second;
    constexpr double kGoodShare = 0.9;
    if (vm.id == here.id || !vm.synced || vm.worker.draining) return false;
    if (vm.worker.service != here.worker.service) return false;
    int64_t idle = vm.worker.capacity.cpu.value;
    Resources left = vm.worker.capacity;
    for (const auto& [other, run] : vm.runs) {
      idle -= run.size.cpu.value;
      left.memory -= run.size.memory;
    }
    return idle >= step.each.cpu.value && left.memory >= step.each.memory &&
           AllowedShare(board, vm, step, key) >= kGoodShare;
  });
}

void TakeBack(Board& board, MonotonicTime now, Decisions& log) {
  for (auto& [id, vm] : board.vms) {
    std::erase_if(vm.runs, [](const auto& it) {
      const VmRun& run = it.second;
      return run.stop_wanted && !run.seen && run.start_batch == 0;
    });
    if (!vm.synced) continue;
    for (auto& [key, run] : vm.runs) {
      if (run.stop_wanted || run.phase != RunPhase::kRunning) continue;
      const StepSpec* step = FindStep(board, key);
      if (step == nullptr || step->gang) continue;
      if (!vm.worker.draining) {
        const bool slow = run.filler && run.slowed_since != MonotonicTime{} &&
                          now - run.slowed_since >= kSlowFor &&
                          run.percent < kNearlyDone;
        if (!slow || !WouldRunFaster(board, vm, key, *step)) continue;
        run.stop_wanted = true;
        Decision line;
        line.kind = Decision::Kind::kTakenBack;
        line.task = key;
        line.vm = id;
        line.run = run.run;
        line.reason = "held down here, free elsewhere";
        log.push_back(std::move(line));
        continue;
      }
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
