#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "sched/detail.h"
#include "sched/shard_state.h"

// Load pattern: a task crashes each worker that starts it, and all other tasks
// on the VM are lost with the worker. The tasks that were started last before a
// crash are suspected, and those that were hit by three crashes soon after
// their start. Suspects are started again where least is lost, one after the
// other, and no other task is started on that VM until they have run for a
// while. Whether the worker crashes again then tells the guilty from the
// innocent.

namespace almondtally::sched {
namespace {

/// A run that was started longer than this before its worker crashed did not
/// cause the crash.
constexpr Duration kMaxCrashDelay{2'000};
/// A suspect that has run for this long is cleared. Longer than an agent takes
/// to notice that its worker does not answer.
constexpr Duration kMinProofTime{800};
/// A suspect that has run for this long does not crash the worker at once, so
/// that a crash soon after the start of the next one is due to that one.
constexpr Duration kMinSuspectSpacing{150};
/// Both times are at least this many times the longest time between a start of
/// the suspect and a crash.
constexpr int64_t kDelayFactor = 2;
/// A worker that crashes within this time of a start, twice for the same task,
/// does not do so by chance.
constexpr Duration kImmediateCrashDelay{25};
/// Crashes after which a task is given up if it was the only suspect of the
/// last one.
constexpr size_t kCrashesOfOnlySuspect = 3;
/// Number of crashes that make a task a suspect although other tasks were
/// started after it.
constexpr size_t kCrashesOfSuspect = 3;
/// Time for a restarted worker to answer its agent.
constexpr Duration kSuspectRestartDelay{50};
/// How long a restarted VM waits for a suspect to be placed there.
constexpr Duration kReservation{300};
/// Suspects may hold one in this many VMs of a service, rounded up.
constexpr size_t kVmsPerSuspect = 3;

Decision MakeDecision(Decision::Kind kind, const TaskKey& task, const VmId& vm,
                      RunNumber run, std::string reason) {
  Decision out;
  out.kind = kind;
  out.task = task;
  out.vm = vm;
  out.run = run;
  out.reason = std::move(reason);
  return out;
}

bool MayHaveCausedCrash(const CrashEvidence& crash) {
  return crash.run_age_ms >= 0 && Duration(crash.run_age_ms) <= kMaxCrashDelay;
}

/// @return true if a run has been at work for `time`, or for longer than it
/// takes the task to crash a worker.
bool HasRunFor(const VmEntity& vm, const VmRun& run, const TaskEntity& task,
               Duration time, MonotonicTime now) {
  if (!vm.worker.responsive || run.phase != RunPhase::kRunning ||
      run.running_since == MonotonicTime{}) {
    return false;
  }
  return now - run.running_since >=
         std::max(time, kDelayFactor * task.longest_crash_delay);
}

}  // namespace

void ProcessWorkerCrash(ShardState& shard, MonotonicTime now, JobEntity& job,
                        TaskEntity& task, VmEntity& vm, const RunEndReport& end,
                        Decisions& log) {
  if (!MayHaveCausedCrash(end.crash)) return;
  auto& crashed = task.crashed_runs;
  if (std::find(crashed.begin(), crashed.end(), end.run) != crashed.end()) {
    return;
  }
  const Duration delay(end.crash.run_age_ms);
  task.longest_crash_delay = std::max(task.longest_crash_delay, delay);
  const bool was_suspect = shard.suspects.contains(end.task);
  // It ran long enough for the next suspect to start. If it is guilty all the
  // same, the longer delay makes it the last one next time.
  if (was_suspect && end.crash.suspects == 0) return;
  crashed.push_back(end.run);
  shard.crashed_tasks.insert(end.task);
  MarkDirty(shard, end.task.job);
  if (end.crash.suspects == 0 && crashed.size() < kCrashesOfSuspect) return;
  shard.suspects.insert(end.task);
  task.not_before = now + kSuspectRestartDelay;
  vm.reserved_for_suspects_until = now + kReservation;
  Decision suspected = MakeDecision(
      Decision::Kind::kSuspected, end.task, vm.id, end.run,
      "one of " + std::to_string(end.crash.suspects) +
          " suspects, crash number " + std::to_string(crashed.size()));
  suspected.age_ms = end.crash.run_age_ms;
  log.push_back(std::move(suspected));
  const bool only_suspect = was_suspect && end.crash.suspects == 1;
  const bool proven =
      only_suspect && (crashed.size() >= kCrashesOfOnlySuspect ||
                       task.longest_crash_delay <= kImmediateCrashDelay);
  if (!proven && crashed.size() < kMaxCrashes) return;
  log.push_back(MakeDecision(Decision::Kind::kGivenUp, end.task, vm.id, end.run,
                             std::to_string(crashed.size()) +
                                 " workers crashed when they started it"));
  EndJob(shard, now, job, JobState::kFailed);
}

void ClearProvenSuspects(ShardState& shard, MonotonicTime now,
                         const VmEntity& vm, Decisions& log) {
  for (auto it = shard.crashed_tasks.begin();
       it != shard.crashed_tasks.end();) {
    const TaskKey key = *it;
    const auto run = vm.runs.find(key);
    TaskEntity* const task = FindTask(shard, key);
    const bool proven = task != nullptr && run != vm.runs.end() &&
                        HasRunFor(vm, run->second, *task, kMinProofTime, now);
    if (!proven) {
      ++it;
      continue;
    }
    it = shard.crashed_tasks.erase(it);
    task->crashed_runs.clear();
    task->longest_crash_delay = {};
    MarkDirty(shard, key.job);
    if (shard.suspects.erase(key) == 0) continue;
    log.push_back(MakeDecision(Decision::Kind::kCleared, key, vm.id,
                               run->second.run, "the worker has not crashed"));
  }
}

SuspectTests ListSuspectTests(ShardState& shard, MonotonicTime now) {
  SuspectTests out;
  for (const TaskKey& key : shard.suspects) {
    const TaskEntity* const task = FindTask(shard, key);
    if (task == nullptr || task->phase != TaskPhase::kPlaced) continue;
    out.vms.insert(task->vm);
    const auto found = shard.vms.find(task->vm);
    if (found == shard.vms.end()) continue;
    const VmEntity& vm = found->second;
    const auto run = vm.runs.find(key);
    const bool busy =
        run == vm.runs.end() ||
        !HasRunFor(vm, run->second, *task, kMinSuspectSpacing, now);
    if (busy) out.busy.insert(task->vm);
  }
  return out;
}

bool HasSuspect(const ShardState& shard, const TaskKey& first_of_step) {
  const auto it = shard.suspects.lower_bound(first_of_step);
  return it != shard.suspects.end() && it->job == first_of_step.job &&
         it->occurrence == first_of_step.occurrence &&
         it->step == first_of_step.step;
}

std::map<ServiceId, size_t> CountFreeSuspectSlots(const ShardState& shard,
                                                  const SuspectTests& tests) {
  std::map<ServiceId, size_t> vms;
  std::map<ServiceId, size_t> taken;
  for (const auto& [id, vm] : shard.vms) {
    ++vms[vm.worker.service];
    if (tests.vms.contains(id)) ++taken[vm.worker.service];
  }
  std::map<ServiceId, size_t> out;
  for (const auto& [service, n] : vms) {
    const size_t allowed = (n + kVmsPerSuspect - 1) / kVmsPerSuspect;
    out[service] = allowed - std::min(allowed, taken[service]);
  }
  return out;
}

}  // namespace almondtally::sched
