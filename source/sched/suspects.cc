#include <algorithm>
#include <limits>
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
//
// Load pattern: a worker crashes by chance some time after many tasks have
// started. At most one of them is guilty, and a test takes longer than the
// crash took to come. Such suspects are started in groups on several VMs, and a
// second crash names one group only.

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
/// last one, and all came about as long after its starts.
constexpr size_t kCrashesOfOnlySuspect = 3;
/// Crashes that a task causes come after delays that differ by less than this.
/// The delays of crashes by chance are spread over kMaxCrashDelay.
constexpr Duration kMaxDelaySpread{200};
/// Crashes after which a task is given up whatever else was started, and
/// however long after its starts they came.
constexpr size_t kCrashesOfOneOfMany = 4;
/// A task is given up only after this many crashes under a run that surely had
/// begun, or very likely. A worker that crashes before it answers a start call
/// may have crashed before the call.
constexpr size_t kLikelyCrashes = 2;
/// Number of crashes that make a task a suspect although other tasks were
/// started after it.
constexpr size_t kCrashesOfSuspect = 3;
/// Time for a restarted worker to answer its agent.
constexpr Duration kSuspectRestartDelay{50};
/// How long a restarted VM waits for a suspect to be placed there.
constexpr Duration kReservation{300};
/// Suspects may hold one in this many VMs of a service, rounded up.
constexpr size_t kVmsPerSuspect = 3;
/// Suspects of a crash that came within this time of their start are tested
/// one after the other, which takes little time.
constexpr Duration kMaxQuickCrashDelay{200};
/// Suspects are started in groups if their tests one after the other would take
/// longer than this: callers are guaranteed that a lasting task is back within
/// 6 s while there is room.
constexpr Duration kMaxTestQueue{4'000};

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

size_t CountCrashes(const TaskEntity& task, RunProof at_least) {
  return std::count_if(
      task.crashed_runs.begin(), task.crashed_runs.end(),
      [&](const CrashedRun& it) { return it.proof >= at_least; });
}

/// @return true if all crashes came about as long after the starts of the task.
/// Runs that may not have begun, and delays that are not known, are left out.
bool HaveSimilarDelays(const TaskEntity& task) {
  int64_t shortest = std::numeric_limits<int64_t>::max();
  int64_t longest = 0;
  for (const CrashedRun& it : task.crashed_runs) {
    if (it.proof == RunProof::kNone || it.delay_ms < 0) continue;
    shortest = std::min(shortest, it.delay_ms);
    longest = std::max(longest, it.delay_ms);
  }
  return longest <= shortest || Duration(longest - shortest) <= kMaxDelaySpread;
}

/// @param only_suspect no other task was started before the last crash.
/// @return true if a task is to be given up.
bool IsProvenDeadly(const TaskEntity& task, bool only_suspect) {
  const size_t crashes = task.crashed_runs.size();
  if (crashes >= kMaxCrashes) return true;
  if (CountCrashes(task, RunProof::kIsolated) < kLikelyCrashes) return false;
  if (crashes >= kCrashesOfOneOfMany) return true;
  if (!only_suspect) return false;
  return (crashes >= kCrashesOfOnlySuspect && HaveSimilarDelays(task)) ||
         (CountCrashes(task, RunProof::kConfirmed) >= kLikelyCrashes &&
          task.longest_crash_delay <= kImmediateCrashDelay);
}

/// @return how long a suspect has to run until it is cleared.
Duration ProofTime(const TaskEntity& task) {
  return std::max(kMinProofTime, kDelayFactor * task.longest_crash_delay);
}

/// @return how long a suspect has to run until the next one is started.
Duration SuspectSpacing(const TaskEntity& task) {
  return std::max(kMinSuspectSpacing, kDelayFactor * task.longest_crash_delay);
}

bool IsAtWork(const VmEntity& vm, const VmRun& run) {
  return vm.worker.responsive && run.phase == RunPhase::kRunning &&
         run.running_since != MonotonicTime{};
}

/// @return true if reports show that a run was at work for `time` and for
/// longer than it takes the task to crash a worker. What has happened since the
/// latest report was made is not known, however late that report is read.
bool IsProvenAtWorkFor(const VmEntity& vm, const VmRun& run,
                       const TaskEntity& task, Duration time) {
  const Duration shown(vm.stamp.value - run.running_since_stamp.value);
  return IsAtWork(vm, run) &&
         shown >= std::max(time, kDelayFactor * task.longest_crash_delay);
}

/// @return true if a run has been at work for long enough to start the next
/// suspect.
bool AllowsNextSuspect(const VmEntity& vm, const VmRun& run,
                       const TaskEntity& task, MonotonicTime now) {
  return IsAtWork(vm, run) && now - run.running_since >= SuspectSpacing(task);
}

}  // namespace

void ProcessWorkerCrash(ShardState& shard, MonotonicTime now, JobEntity& job,
                        TaskEntity& task, VmEntity& vm, const RunEndReport& end,
                        Decisions& log) {
  if (!MayHaveCausedCrash(end.crash)) return;
  auto& crashed = task.crashed_runs;
  const bool is_known =
      std::any_of(crashed.begin(), crashed.end(),
                  [&](const CrashedRun& it) { return it.run == end.run; });
  if (is_known) return;
  const Duration delay(end.crash.run_age_ms);
  const bool was_suspect = shard.suspects.contains(end.task);
  const bool outlived_test = was_suspect && delay > ProofTime(task);
  task.longest_crash_delay = std::max(task.longest_crash_delay, delay);
  // It ran long enough for the next suspect to start. If it is guilty all the
  // same, the longer delay makes it the last one next time.
  if (was_suspect && end.crash.suspects == 0) return;
  const bool only_suspect = was_suspect && end.crash.suspects == 1;
  RunProof proof = RunProof::kNone;
  if (end.crash.start == StartEvidence::kConfirmed) {
    proof = RunProof::kConfirmed;
  } else if (end.crash.start == StartEvidence::kCutOff && only_suspect) {
    proof = RunProof::kIsolated;
  }
  crashed.push_back({end.run, proof, delay.count()});
  shard.crashed_tasks.insert(end.task);
  MarkDirty(shard, end.task.job);
  if (end.crash.suspects == 0 && crashed.size() < kCrashesOfSuspect) return;
  shard.suspects.insert(end.task);
  task.not_before = now + kSuspectRestartDelay;
  vm.reserved_for_suspects_until = now + kReservation;
  Decision suspected = MakeDecision(
      Decision::Kind::kSuspected, end.task, vm.id, end.run,
      "one of " + std::to_string(end.crash.suspects) +
          " suspects, crash number " + std::to_string(crashed.size()) +
          (proof == RunProof::kConfirmed ? "" : ", start not confirmed"));
  suspected.age_ms = end.crash.run_age_ms;
  log.push_back(std::move(suspected));
  // The report that clears the task was still on its way.
  if (outlived_test && crashed.size() < kMaxCrashes) return;
  if (!IsProvenDeadly(task, only_suspect)) return;
  log.push_back(MakeDecision(Decision::Kind::kGivenUp, end.task, vm.id, end.run,
                             std::to_string(crashed.size()) +
                                 " workers crashed when they started it"));
  EndJob(shard, now, job, JobState::kFailed);
}

void ClearProvenSuspects(ShardState& shard, const VmEntity& vm,
                         Decisions& log) {
  for (auto it = shard.crashed_tasks.begin();
       it != shard.crashed_tasks.end();) {
    const TaskKey key = *it;
    const auto run = vm.runs.find(key);
    TaskEntity* const task = FindTask(shard, key);
    const bool proven =
        task != nullptr && run != vm.runs.end() &&
        IsProvenAtWorkFor(vm, run->second, *task, kMinProofTime);
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

bool MayShareTest(const TaskEntity& task) {
  const bool is_little_suspected =
      task.crashed_runs.size() <= 1 || !HaveSimilarDelays(task);
  return is_little_suspected && task.longest_crash_delay > kMaxQuickCrashDelay;
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
        run == vm.runs.end() || !AllowsNextSuspect(vm, run->second, *task, now);
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

std::map<ServiceId, SuspectLimits> LimitSuspects(ShardState& shard,
                                                 MonotonicTime now,
                                                 const SuspectTests& tests) {
  std::map<ServiceId, size_t> vms;
  std::map<ServiceId, size_t> taken;
  for (const auto& [id, vm] : shard.vms) {
    ++vms[vm.worker.service];
    if (tests.vms.contains(id)) ++taken[vm.worker.service];
  }
  std::map<ServiceId, size_t> waiting;
  std::map<ServiceId, Duration> test_time;
  for (const TaskKey& key : shard.suspects) {
    const TaskEntity* const task = FindTask(shard, key);
    if (task == nullptr || task->phase != TaskPhase::kIdle) continue;
    if (!MayShareTest(*task) || task->not_before > now) continue;
    const ServiceId& service = shard.jobs.at(key.job).terms.service;
    ++waiting[service];
    test_time[service] += SuspectSpacing(*task);
  }
  std::map<ServiceId, SuspectLimits> out;
  for (const auto& [service, n] : vms) {
    const size_t allowed = (n + kVmsPerSuspect - 1) / kVmsPerSuspect;
    SuspectLimits& limits = out[service];
    limits.free_vms = allowed - std::min(allowed, taken[service]);
    const auto divide_up = [](int64_t n, int64_t by) {
      return (n + by - 1) / by;
    };
    const auto in_parallel = static_cast<int64_t>(allowed);
    const int64_t in_time = divide_up(test_time[service].count(),
                                      in_parallel * kMaxTestQueue.count());
    const int64_t spread =
        divide_up(static_cast<int64_t>(waiting[service]), in_parallel);
    limits.group_size =
        static_cast<size_t>(std::max<int64_t>(1, std::min(in_time, spread)));
  }
  return out;
}

}  // namespace almondtally::sched
