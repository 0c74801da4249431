#include <algorithm>
#include <string>
#include <vector>

#include "sched/board.h"
#include "sched/detail.h"

// Load pattern: the tails of lasting tasks swing with the load of their users,
// and fillers raise them in bursts of a few seconds. Fillers that are slowed
// down at every sign of a burst only spread the same work, and the same harm,
// over more time: in replays this cost batch jobs half of their value and won
// their neighbours nothing. So fillers run at full speed and are stopped where
// a target has been missed for nearly as long as it may be.

namespace almondtally::sched {
namespace {

/// How often limits are looked at.
constexpr Duration kPaceEvery{100};
/// A target counts as missed up to 0.8 s before a report says so, and a limit
/// takes 0.15 s to work: with these, fillers that may be at fault stop 1.3 s
/// before the end of what users bear, the others 0.8 s before it.
constexpr Duration kSuspectsStopBefore{2'200};
constexpr Duration kAllStopBefore{1'700};
constexpr int64_t kFullSpeed = 100;
/// A filler that was stopped for this long is moved if another VM lets it run.
constexpr Duration kStoppedFor{1'000};
/// Runs nearer to their end than this are left alone.
constexpr int64_t kNearlyDone = 75;

enum class Stop : uint8_t { kNone, kSuspects, kAll };

Stop StopFor(const Board& board, const VmEntity& vm, MonotonicTime now) {
  Duration longest{0};
  for (const auto& [key, run] : vm.runs) {
    if (run.over_since == MonotonicTime{}) continue;
    longest = std::max(longest, now - run.over_since);
  }
  if (longest >= board.tail_limit - kAllStopBefore) return Stop::kAll;
  if (longest >= board.tail_limit - kSuspectsStopBefore) {
    return Stop::kSuspects;
  }
  return Stop::kNone;
}

void SetPace(VmRun& run, int64_t pace, MonotonicTime now) {
  if (run.pace_wanted == pace) return;
  run.pace_wanted = pace;
  run.stopped_since = pace == 0 ? now : MonotonicTime{};
}

}  // namespace

void PaceFillers(Board& board, MonotonicTime now, Decisions& log) {
  for (auto& [id, vm] : board.vms) {
    if (!vm.synced || now < vm.next_pace_at) continue;
    vm.next_pace_at = now + kPaceEvery;
    const Stop stop = StopFor(board, vm, now);
    int64_t changed = 0;
    int64_t stopped = 0;
    for (auto& [key, run] : vm.runs) {
      const StepSpec* step = run.filler ? FindStep(board, key) : nullptr;
      if (step == nullptr) continue;
      const bool hold = stop == Stop::kAll ||
                        (stop == Stop::kSuspects && MayHarm(board, vm, *step));
      const int64_t pace = hold ? 0 : kFullSpeed;
      if (pace != run.pace_wanted) ++changed;
      if (hold) ++stopped;
      SetPace(run, pace, now);
    }
    if (changed == 0) continue;
    Decision line;
    line.kind = Decision::Kind::kPaced;
    line.vm = id;
    line.outcome = std::to_string(stopped) + " fillers stopped";
    line.reason = stop == Stop::kNone       ? "tails within their targets"
                  : stop == Stop::kSuspects ? "a tail over its target; suspects"
                                            : "a tail over its target; all";
    log.push_back(std::move(line));
  }
}

/// @return true if a filler that is stopped here would run faster elsewhere.
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
        const bool stuck = run.filler && run.stopped_since != MonotonicTime{} &&
                           now - run.stopped_since >= kStoppedFor &&
                           run.percent < kNearlyDone;
        if (!stuck || !WouldRunFaster(board, vm, key, *step)) continue;
        run.stop_wanted = true;
        Decision line;
        line.kind = Decision::Kind::kTakenBack;
        line.task = key;
        line.vm = id;
        line.run = run.run;
        line.reason = "stopped here, free elsewhere";
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
