#include <algorithm>
#include <string>
#include <vector>

#include "sched/detail.h"
#include "sched/room.h"
#include "sched/shard_state.h"

// Load pattern: the tail latency of lasting tasks varies with user load, and
// fillers raise it in bursts of a few seconds. Throttling fillers at every sign
// of a burst only spreads the same work, and the same interference, over more
// time: in replays it cost batch jobs half of their value and did not improve
// the latency of the serving tasks. Fillers therefore run at full speed and are
// paused only when a target has been missed for almost the allowed time.

namespace almondtally::sched {
namespace {

/// Interval between updates of the speed limits of a VM.
constexpr Duration kSpeedLimitInterval{100};
/// How long before the end of the allowed time fillers are paused: first those
/// suspected of interference, then all. Reports show a missed target up to 0.8
/// s late, and a limit takes 0.15 s to take effect, so the suspected fillers
/// actually pause 1.3 s before the allowed time ends and the others 0.8 s
/// before.
constexpr Duration kPauseSuspectsBefore{2'200};
constexpr Duration kPauseAllBefore{1'700};
constexpr int64_t kFullSpeed = 100;
/// A filler that was paused for this long moves if it can run on another VM.
constexpr Duration kMinPauseBeforeMove{1'000};
/// Runs that have completed at least this percentage are not moved.
constexpr int64_t kNearlyDonePercent = 75;

enum class PauseScope : uint8_t { kNone, kSuspects, kAll };

/// The run on a VM that has missed its target for longest.
struct LongestMiss {
  TaskKey task;
  RunNumber run;
  Duration missed_for{};
  int64_t by_agent_ms = -1;
};

LongestMiss FindLongestMiss(const VmEntity& vm, MonotonicTime now) {
  LongestMiss out;
  for (const auto& [key, run] : vm.runs) {
    if (run.over_target_since == MonotonicTime{}) continue;
    const Duration missed_for = now - run.over_target_since;
    if (!out.task.job.empty() && missed_for <= out.missed_for) continue;
    out = {key, run.run, missed_for, run.over_target_ms};
  }
  return out;
}

bool HoldsFillers(const VmEntity& vm) {
  return std::any_of(vm.runs.begin(), vm.runs.end(),
                     [](const auto& it) { return it.second.held_by_agent; });
}

PauseScope ChoosePauseScope(const ShardState& shard, const VmEntity& vm,
                            Duration missed_for) {
  // The agent counts from the listings, so that its count may be ahead.
  if (HoldsFillers(vm)) return PauseScope::kAll;
  if (missed_for >= shard.tail_limit - kPauseAllBefore) return PauseScope::kAll;
  if (missed_for >= shard.tail_limit - kPauseSuspectsBefore) {
    return PauseScope::kSuspects;
  }
  return PauseScope::kNone;
}

void SetSpeedLimit(VmRun& run, int64_t pace, MonotonicTime now) {
  if (run.speed_limit_wanted == pace) return;
  run.speed_limit_wanted = pace;
  run.paused_since = pace == 0 ? now : MonotonicTime{};
}

}  // namespace

void UpdateFillerSpeedLimits(ShardState& shard, MonotonicTime now,
                             Decisions& log) {
  for (auto& [id, vm] : shard.vms) {
    if (!vm.synced || now < vm.next_pace_at) continue;
    vm.next_pace_at = now + kSpeedLimitInterval;
    const LongestMiss longest = FindLongestMiss(vm, now);
    const PauseScope scope = ChoosePauseScope(shard, vm, longest.missed_for);
    const auto serving = scope == PauseScope::kSuspects
                             ? ListServingTasks(shard, vm, std::nullopt)
                             : std::vector<ServingTask>();
    int64_t changed = 0;
    int64_t paused = 0;
    for (auto& [key, run] : vm.runs) {
      if (!run.filler) continue;
      const bool pause = scope == PauseScope::kAll ||
                         (scope == PauseScope::kSuspects &&
                          MayInterfere(shard, run.image, serving));
      const int64_t pace = pause ? 0 : kFullSpeed;
      if (pace != run.speed_limit_wanted) ++changed;
      if (pause) ++paused;
      SetSpeedLimit(run, pace, now);
    }
    if (changed == 0) continue;
    Decision decision;
    decision.kind = Decision::Kind::kPaced;
    decision.task = longest.task;
    decision.run = longest.run;
    decision.vm = id;
    decision.outcome = std::to_string(paused) +
                       " fillers paused, missed_by_agent_ms=" +
                       std::to_string(longest.by_agent_ms);
    decision.age_ms = longest.missed_for.count();
    decision.reason =
        scope == PauseScope::kNone ? "all tail latencies within target"
        : scope == PauseScope::kSuspects
            ? "tail latency over target; pausing suspected fillers"
            : "tail latency over target; pausing all fillers";
    log.push_back(std::move(decision));
  }
}

MissedTargets CountMissedTargets(const ShardState& shard, MonotonicTime now) {
  MissedTargets out;
  for (const auto& [id, vm] : shard.vms) {
    for (const auto& [key, run] : vm.runs) {
      if (run.filler && run.speed_limit_wanted == 0) ++out.fillers_paused;
      if (run.over_target_since == MonotonicTime{}) continue;
      ++out.runs;
      out.longest = std::max(out.longest, now - run.over_target_since);
    }
  }
  return out;
}

/// @return true if another VM could run a paused filler at nearly full speed.
bool CanRunElsewhere(const ShardState& shard, MonotonicTime now,
                     const VmEntity& here, const TaskKey& key,
                     const StepSpec& step) {
  return std::any_of(shard.vms.begin(), shard.vms.end(), [&](const auto& it) {
    const VmEntity& vm = it.second;
    constexpr double kNearlyFullSpeed = 0.9;
    if (vm.id == here.id || vm.worker.draining) return false;
    if (vm.evacuated || vm.speed.slow) return false;
    if (!HasReportedRecently(vm, now)) return false;
    if (vm.worker.service != here.worker.service) return false;
    int64_t free_cpu = vm.worker.capacity.cpu.value;
    Resources free = vm.worker.capacity;
    for (const auto& [other, run] : vm.runs) {
      free_cpu -= run.size.cpu.value;
      free.memory -= run.size.memory;
    }
    return free_cpu >= step.each.cpu.value && free.memory >= step.each.memory &&
           AllowedFillerSpeed(shard, vm, step,
                              ListServingTasks(shard, vm, key)) >=
               kNearlyFullSpeed;
  });
}

void StopRunsToMove(ShardState& shard, MonotonicTime now, Decisions& log) {
  UpdateVmSpeeds(shard, now, log);
  for (auto& [id, vm] : shard.vms) {
    std::erase_if(vm.runs, [](const auto& it) {
      const VmRun& run = it.second;
      return run.stop_wanted && !run.seen && run.start_batch == 0 &&
             !run.maybe_sent;
    });
    if (!vm.synced) {
      vm.over_capacity_since = {};
      continue;
    }
    for (auto& [key, run] : vm.runs) {
      if (run.stop_wanted || run.phase != RunPhase::kRunning) continue;
      if (!vm.worker.draining && run.paused_since == MonotonicTime{}) continue;
      const StepSpec* step = FindStep(shard, key);
      if (step == nullptr || step->gang) continue;
      if (!vm.worker.draining) {
        const bool move_paused =
            run.filler && run.paused_since != MonotonicTime{} &&
            now - run.paused_since >= kMinPauseBeforeMove &&
            run.percent < kNearlyDonePercent;
        if (!move_paused || !CanRunElsewhere(shard, now, vm, key, *step))
          continue;
        run.stop_wanted = true;
        Decision decision;
        decision.kind = Decision::Kind::kTakenBack;
        decision.task = key;
        decision.vm = id;
        decision.run = run.run;
        decision.reason = "paused on this VM; another VM can run it";
        log.push_back(std::move(decision));
        continue;
      }
      // A task without checkpoints would lose its work; it may still finish
      // before the worker shuts down.
      if (!step->lasting && !step->checkpoints) continue;
      run.stop_wanted = true;
      Decision decision;
      decision.kind = Decision::Kind::kTakenBack;
      decision.task = key;
      decision.vm = id;
      decision.run = run.run;
      decision.reason = "worker is draining";
      decision.age_ms = (vm.shutdown_at - now).count();
      log.push_back(std::move(decision));
    }
    if (!vm.worker.draining) StopRunsOverCapacity(shard, vm, now, log);
  }
  StopRunsOnSlowVms(shard, now, log);
}

}  // namespace almondtally::sched
