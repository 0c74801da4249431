#include <algorithm>
#include <string>
#include <utility>

#include "sched/detail.h"
#include "sched/shard_state.h"

// Load pattern: a task crashes each worker that starts it, and all other tasks
// on the VM are lost with the worker. The runs that were started last before a
// crash are suspected. Each suspect is started again where least is lost, and
// no other task is started on that VM until the suspect has run for a while.
// Whether the worker crashes again then tells the guilty from the innocent.

namespace almondtally::sched {
namespace {

/// A run that started longer than this before its worker crashed is not a
/// suspect.
constexpr Duration kMaxCrashDelay{2'000};
/// A suspect that has run for this long is cleared. Longer than an agent takes
/// to notice that its worker does not answer.
constexpr Duration kProofTime{800};
/// Crashes after which a task is given up if it was the only suspect of the
/// last one.
constexpr size_t kCrashesOfOnlySuspect = 2;
/// Time for a restarted worker to answer its agent.
constexpr Duration kSuspectRestartDelay{50};
/// How long a restarted VM waits for a suspect to be placed there.
constexpr Duration kReservation{300};
/// Suspects may hold one in this many VMs of a service, rounded up.
constexpr size_t kVmsPerSuspect = 4;

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

bool IsSuspectedIn(const CrashEvidence& crash) {
  return crash.run_age_ms >= 0 && crash.suspects > 0 &&
         Duration(crash.run_age_ms) <= kMaxCrashDelay;
}

}  // namespace

void ProcessWorkerCrash(ShardState& shard, MonotonicTime now, JobEntity& job,
                        TaskEntity& task, VmEntity& vm, const RunEndReport& end,
                        Decisions& log) {
  if (!IsSuspectedIn(end.crash)) return;
  auto& crashed = task.crashed_runs;
  if (std::find(crashed.begin(), crashed.end(), end.run) != crashed.end()) {
    return;
  }
  crashed.push_back(end.run);
  shard.suspects.insert(end.task);
  MarkDirty(shard, end.task.job);
  task.not_before = now + kSuspectRestartDelay;
  vm.reserved_for_suspects_until = now + kReservation;
  Decision suspected = MakeDecision(
      Decision::Kind::kSuspected, end.task, vm.id, end.run,
      "one of " + std::to_string(end.crash.suspects) +
          " suspects, crash number " + std::to_string(crashed.size()));
  suspected.age_ms = end.crash.run_age_ms;
  log.push_back(std::move(suspected));
  const bool proven =
      crashed.size() >= kMaxCrashes ||
      (crashed.size() >= kCrashesOfOnlySuspect && end.crash.suspects == 1);
  if (!proven) return;
  log.push_back(MakeDecision(Decision::Kind::kGivenUp, end.task, vm.id, end.run,
                             std::to_string(crashed.size()) +
                                 " workers crashed when they started it"));
  EndJob(shard, now, job, JobState::kFailed);
}

void ClearProvenSuspects(ShardState& shard, MonotonicTime now,
                         const VmEntity& vm, Decisions& log) {
  if (!vm.worker.responsive) return;
  for (auto it = shard.suspects.begin(); it != shard.suspects.end();) {
    const TaskKey key = *it;
    const auto run = vm.runs.find(key);
    const bool proven = run != vm.runs.end() &&
                        run->second.phase == RunPhase::kRunning &&
                        run->second.running_since != MonotonicTime{} &&
                        now - run->second.running_since >= kProofTime;
    if (!proven) {
      ++it;
      continue;
    }
    it = shard.suspects.erase(it);
    if (TaskEntity* task = FindTask(shard, key)) task->crashed_runs.clear();
    MarkDirty(shard, key.job);
    log.push_back(MakeDecision(Decision::Kind::kCleared, key, vm.id,
                               run->second.run, "the worker has not crashed"));
  }
}

bool IsTestingSuspect(const ShardState& shard, const VmEntity& vm) {
  return std::any_of(shard.suspects.begin(), shard.suspects.end(),
                     [&](const TaskKey& key) { return vm.runs.contains(key); });
}

bool HasSuspect(const ShardState& shard, const TaskKey& first_of_step) {
  const auto it = shard.suspects.lower_bound(first_of_step);
  return it != shard.suspects.end() && it->job == first_of_step.job &&
         it->occurrence == first_of_step.occurrence &&
         it->step == first_of_step.step;
}

size_t CountFreeSuspectSlots(const ShardState& shard,
                             const ServiceId& service) {
  size_t vms = 0;
  size_t taken = 0;
  for (const auto& [id, vm] : shard.vms) {
    if (vm.worker.service != service) continue;
    ++vms;
    if (IsTestingSuspect(shard, vm)) ++taken;
  }
  const size_t allowed = (vms + kVmsPerSuspect - 1) / kVmsPerSuspect;
  return allowed > taken ? allowed - taken : 0;
}

}  // namespace almondtally::sched
