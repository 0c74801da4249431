#include <algorithm>
#include <string>
#include <vector>

#include "sched/board.h"
#include "sched/detail.h"

// Load pattern: the tail latency of lasting tasks varies with user load, and
// fillers raise it in bursts of a few seconds. Throttling fillers at every sign
// of a burst only spreads the same work, and the same interference, over more
// time: in replays it cost batch jobs half of their value and did not improve
// the latency of the serving tasks. Fillers therefore run at full speed and are
// paused only when a target has been missed for almost the allowed time.

namespace almondtally::sched {
namespace {

/// Interval between updates of the speed limits of a VM.
constexpr Duration kPaceEvery{100};
/// How long before the end of the allowed time fillers are paused: first those
/// suspected of interference, then all. Reports show a missed target up to 0.8
/// s late, and a limit takes 0.15 s to take effect, so the suspected fillers
/// actually pause 1.3 s before the allowed time ends and the others 0.8 s
/// before.
constexpr Duration kSuspectsStopBefore{2'200};
constexpr Duration kAllStopBefore{1'700};
constexpr int64_t kFullSpeed = 100;
/// A filler that was paused for this long moves if it can run on another VM.
constexpr Duration kStoppedFor{1'000};
/// Runs that have completed at least this percentage are not moved.
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
    line.outcome = std::to_string(stopped) + " fillers paused";
    line.reason = stop == Stop::kNone ? "all tail latencies within target"
                  : stop == Stop::kSuspects
                      ? "tail latency over target; pausing suspected fillers"
                      : "tail latency over target; pausing all fillers";
    log.push_back(std::move(line));
  }
}

/// @return true if another VM could run a paused filler at nearly full speed.
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
        line.reason = "paused on this VM; another VM can run it";
        log.push_back(std::move(line));
        continue;
      }
      // A task without checkpoints would lose its work; it may still finish
      // before the worker shuts down.
      if (!step->lasting && !step->checkpoints) continue;
      run.stop_wanted = true;
      Decision line;
      line.kind = Decision::Kind::kTakenBack;
      line.task = key;
      line.vm = id;
      line.run = run.run;
      line.reason = "worker is draining";
      line.age_ms = (vm.leaves_at - now).count();
      log.push_back(std::move(line));
    }
  }
}

}  // namespace almondtally::sched
