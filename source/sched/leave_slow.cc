#include <algorithm>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "sched/candidates.h"
#include "sched/detail.h"
#include "sched/expected_end.h"
#include "sched/run_times.h"

// Load pattern: lasting tasks take most of every VM. When a quarter of the VMs
// turns slow for 10 to 30 s, the users of the tasks there wait, and so do jobs
// of which one task is there. The VMs of usual speed have little room left,
// which the short tasks of all jobs need as well.

namespace almondtally::sched {
namespace {

/// Interval between two searches, and runs stopped in each. Bounds the runs
/// that rely on the same room.
constexpr Duration kLeaveInterval{250};
constexpr size_t kMaxLasting = 3;
constexpr size_t kMaxOthers = 16;
/// How long a task stays where it was placed after it has left a slow VM.
constexpr Duration kMinStay{10'000};
/// Time to stop a run, to place its task, which may wait for a while, and to
/// restore it from its checkpoint.
constexpr Duration kMoveTime{1'000};
constexpr Duration kMoveTimeOfFiller{2'500};
/// A run moves if it would take this many times as long here. One without
/// checkpoints loses its work, and leaves for a larger gain only.
constexpr double kMoveGain = 1.5;
constexpr double kMoveGainWithoutCheckpoint = 3;
/// Fillers are paused beside serving tasks that miss their target, which on a
/// slow VM may last for as long as it is slow.
constexpr Duration kRemainingWhilePaused{20'000};
/// A lasting task below this percentage does not do its work.
constexpr int64_t kAvailablePercent = 100;
/// Share by which the room of tasks that do not last exceeds what they use now.
constexpr double kRoomForOthers = 1.2;

/// Room for lasting tasks on the VMs of usual speed.
struct UsualVms {
  std::vector<CandidateVm> vms;
  /// CPU, in thousandths, that lasting tasks leave, less what the other tasks
  /// of the service need.
  std::map<ServiceId, int64_t> spare_cpu;
};

bool IsUsual(const ShardState& shard, MonotonicTime now, const VmEntity& vm) {
  return AcceptsTasks(shard, vm, now) && HasReportedRecently(vm, now) &&
         !MayBeSlow(vm);
}

/// Reserves room for a task on one of the VMs.
/// @return false if there is none.
bool TakeRoom(const ShardState& shard, UsualVms& usual, const VmEntity& here,
              const StepSpec& step, const TaskKey& key) {
  int64_t& spare = usual.spare_cpu[here.worker.service];
  if (step.lasting && spare < step.each.cpu.value) return false;
  QueueTerms terms;
  terms.service = here.worker.service;
  const auto it = std::find_if(
      usual.vms.begin(), usual.vms.end(), [&](const CandidateVm& vm) {
        return IsOpenToInnocent(vm) && HasRoom(vm, terms, step) &&
               IsOpenToTask(vm, step, key);
      });
  if (it == usual.vms.end()) return false;
  Reserve(shard, *it, step);
  if (step.lasting) spare -= step.each.cpu.value;
  return true;
}

UsualVms ListUsualVms(ShardState& shard, MonotonicTime now) {
  UsualVms out;
  out.vms = ListCandidateVms(shard, now, ListSuspectTests(shard, now));
  std::erase_if(out.vms, [&](const CandidateVm& it) {
    return it.unreliable || !IsUsual(shard, now, *it.vm) ||
           shard.room_holds.contains(it.vm->id);
  });
  for (const auto& [id, vm] : shard.vms) {
    const bool is_usual = IsUsual(shard, now, vm);
    int64_t& spare = out.spare_cpu[vm.worker.service];
    if (is_usual) spare += vm.worker.capacity.cpu.value;
    for (const auto& [key, run] : vm.runs) {
      if (run.filler) continue;
      const StepSpec* step = FindStep(shard, key);
      const bool lasting = step != nullptr && step->lasting;
      if (lasting && is_usual) spare -= run.size.cpu.value;
      if (!lasting) {
        spare -= static_cast<int64_t>(static_cast<double>(run.size.cpu.value) *
                                      kRoomForOthers);
      }
    }
  }
  // Room that tasks which have left already are about to take.
  std::erase_if(shard.leaving_slow, [&](const TaskKey& key) {
    const TaskEntity* task = FindTask(shard, key);
    const StepSpec* step = FindStep(shard, key);
    if (task == nullptr || step == nullptr) return true;
    if (IsFinal(shard.jobs.at(key.job).state)) return true;
    const auto from = shard.vms.find(task->last_vm);
    if (from != shard.vms.end()) TakeRoom(shard, out, from->second, *step, key);
    return false;
  });
  return out;
}

void Stop(ShardState& shard, MonotonicTime now, VmEntity& vm,
          const TaskKey& key, VmRun& run, TaskEntity& task, Duration remaining,
          Decisions& log) {
  run.stop_wanted = true;
  task.left_slow_vm_at = now;
  ++shard.runs_left_slow;
  Decision decision;
  decision.kind = Decision::Kind::kLeftSlowVm;
  decision.task = key;
  decision.vm = vm.id;
  decision.run = run.run;
  decision.outcome = "speed " + std::to_string(SpeedOf(shard, vm, now)) +
                     ", progress " + std::to_string(run.percent);
  decision.reason = StandsStill(vm) ? "its VM stands still" : "its VM is slow";
  decision.age_ms = remaining.count();
  log.push_back(std::move(decision));
}

/// @return true if a lasting task does not serve its users as it should.
bool IsImpaired(const VmRun& run) {
  return run.tail_target_ms > 0 ? run.over_target_since != MonotonicTime{}
                                : run.percent < kAvailablePercent;
}

/// @return true if a run ends so much sooner elsewhere that stopping it pays.
bool PaysToMove(const ShardState& shard, MonotonicTime now,
                const StepSpec& step, const TaskKey& key, const VmRun& run,
                Duration remaining) {
  constexpr int64_t kAll = 100;
  const Duration all =
      EstimateRunTime(shard, now, shard.jobs.at(key.job), key.step).typical;
  const int64_t saved = step.checkpoints ? run.percent : 0;
  const Duration there =
      all * std::clamp<int64_t>(kAll - saved, 0, kAll) / kAll +
      (step.filler ? kMoveTimeOfFiller : kMoveTime);
  const double gain = static_cast<double>(remaining.count()) /
                      static_cast<double>(there.count());
  return gain > (step.checkpoints ? kMoveGain : kMoveGainWithoutCheckpoint);
}

/// @return the expected time until a run ends on its slow VM.
Duration RemainingTime(const ShardState& shard, MonotonicTime now,
                       const VmEntity& vm, const TaskKey& key,
                       const VmRun& run) {
  if (run.speed_limit_wanted == 0) return kRemainingWhilePaused;
  return ExpectedRemainingTime(shard, now, vm, shard.jobs.at(key.job), key,
                               run);
}

/// A run that may leave its VM.
struct LeavingRun {
  VmEntity* vm = nullptr;
  TaskKey key;
  VmRun* run = nullptr;
  const StepSpec* step = nullptr;
  TaskEntity* task = nullptr;
  Duration remaining{};
};

/// @return the runs on slow VMs, in the order in which they leave: those that
/// suffer most first.
std::vector<LeavingRun> ListRunsOnSlowVms(ShardState& shard,
                                          MonotonicTime now) {
  std::vector<LeavingRun> out;
  for (auto& [id, vm] : shard.vms) {
    if (!vm.speed.slow || !HasReportedRecently(vm, now)) continue;
    if (!vm.worker.responsive || vm.worker.draining) continue;
    // About to be released.
    if (vm.speed.contradicted_since != MonotonicTime{}) continue;
    for (auto& [key, run] : vm.runs) {
      if (run.stop_wanted || run.phase != RunPhase::kRunning) continue;
      const StepSpec* step = FindStep(shard, key);
      TaskEntity* task = FindTask(shard, key);
      if (step == nullptr || task == nullptr || step->gang) continue;
      if (task->vm != id || task->run != run.run) continue;
      const bool stays = task->left_slow_vm_at != MonotonicTime{} &&
                         now - task->left_slow_vm_at < kMinStay;
      if (stays || shard.suspects.contains(key)) continue;
      const Duration remaining =
          step->lasting ? Duration(0) : RemainingTime(shard, now, vm, key, run);
      out.push_back({&vm, key, &run, step, task, remaining});
    }
  }
  const auto rank = [](const LeavingRun& it) {
    return std::tuple(-it.run->last_tail_ratio, -it.remaining.count(), it.key);
  };
  std::sort(out.begin(), out.end(),
            [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
  return out;
}

}  // namespace

void StopRunsOnSlowVms(ShardState& shard, MonotonicTime now, Decisions& log) {
  if (!shard.features.uneven_vms || now < shard.next_leave_slow_at) return;
  shard.next_leave_slow_at = now + kLeaveInterval;
  const auto runs = ListRunsOnSlowVms(shard, now);
  if (runs.empty()) return;
  UsualVms usual = ListUsualVms(shard, now);
  size_t lasting = 0;
  size_t others = 0;
  for (const LeavingRun& it : runs) {
    if (it.step->lasting) {
      if (lasting >= kMaxLasting || !IsImpaired(*it.run)) continue;
      if (!MayDisrupt(shard, now, it.key, *it.step)) continue;
      if (!TakeRoom(shard, usual, *it.vm, *it.step, it.key)) continue;
      ++lasting;
      shard.leaving_slow.insert(it.key);
    } else {
      if (others >= kMaxOthers) continue;
      if (!PaysToMove(shard, now, *it.step, it.key, *it.run, it.remaining))
        continue;
      if (!TakeRoom(shard, usual, *it.vm, *it.step, it.key)) continue;
      ++others;
    }
    Stop(shard, now, *it.vm, it.key, *it.run, *it.task, it.remaining, log);
  }
}

}  // namespace almondtally::sched
