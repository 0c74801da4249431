#include <algorithm>
#include <cstdlib>
#include <iterator>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

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
//
// Load pattern: a task crashes its worker some seconds after each start, and
// all tasks that run there meanwhile are lost. Such crashes accuse a task only
// if several came about as long after its starts.

namespace almondtally::sched {
namespace {

/// A single crash within this time of a start makes the task a suspect.
constexpr Duration kMaxEarlyCrashDelay{2'000};
/// A run that was started longer than this before its worker crashed did not
/// cause the crash.
constexpr Duration kMaxCrashDelay{10'000};
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
/// Crashes after which a task is given up whatever else was started, if
/// `kLikeCrashes` of them came about as long after its starts.
constexpr size_t kCrashesOfOneOfMany = 4;
constexpr size_t kLikeCrashes = 3;
/// Crashes that a task causes come after delays that differ by at most this, or
/// by this part of the longer one. The delays of crashes by chance are spread.
constexpr Duration kMaxDelaySpread{200};
constexpr int64_t kMaxDelaySpreadPart = 10;
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

/// @return true for delays that are not known, too.
bool IsEarly(const CrashedRun& crash) {
  return Duration(crash.delay_ms) <= kMaxEarlyCrashDelay;
}

bool AreSimilar(int64_t delay_ms, int64_t other_ms) {
  const int64_t longer = std::max(delay_ms, other_ms);
  const int64_t spread =
      std::max(kMaxDelaySpread.count(), longer / kMaxDelaySpreadPart);
  return std::abs(delay_ms - other_ms) <= spread;
}

/// @return true if two crashes may both be due to the task: all early ones, and
/// those that came about as long after its starts.
bool AccuseTogether(const CrashedRun& crash, const CrashedRun& other) {
  return (IsEarly(crash) && IsEarly(other)) ||
         AreSimilar(crash.delay_ms, other.delay_ms);
}

/// @return the crashes that accuse the task together with `last`.
std::vector<CrashedRun> ListCrashesLike(const TaskEntity& task,
                                        const CrashedRun& last) {
  std::vector<CrashedRun> out;
  std::copy_if(task.crashed_runs.begin(), task.crashed_runs.end(),
               std::back_inserter(out),
               [&](const CrashedRun& it) { return AccuseTogether(it, last); });
  return out;
}

/// @return true if a crash of the task makes it a suspect.
bool IsAccused(const TaskEntity& task, const CrashedRun& crash) {
  return (IsEarly(crash) && crash.started_last) ||
         ListCrashesLike(task, crash).size() >= kCrashesOfSuspect;
}

size_t CountCrashes(const std::vector<CrashedRun>& crashes, RunProof at_least) {
  return std::count_if(
      crashes.begin(), crashes.end(),
      [&](const CrashedRun& it) { return it.proof >= at_least; });
}

/// @return true if `count` of the crashes came about as long after the starts
/// of the task. Those of runs that may not have begun, and those after delays
/// that are not known, count as if they had.
bool HaveSimilarDelays(const std::vector<CrashedRun>& crashes, size_t count) {
  std::vector<int64_t> delays_ms;
  for (const CrashedRun& it : crashes) {
    if (it.proof == RunProof::kNone || it.delay_ms < 0) continue;
    delays_ms.push_back(it.delay_ms);
  }
  const size_t unknown = crashes.size() - delays_ms.size();
  if (count <= unknown + 1) return true;
  const size_t wanted = count - unknown;
  std::sort(delays_ms.begin(), delays_ms.end());
  for (size_t i = wanted - 1; i < delays_ms.size(); ++i) {
    if (AreSimilar(delays_ms[i + 1 - wanted], delays_ms[i])) return true;
  }
  return false;
}

bool HaveSimilarDelays(const std::vector<CrashedRun>& crashes) {
  return HaveSimilarDelays(crashes, crashes.size());
}

/// @param crashes that accuse the task together with the last one.
/// @param only_suspect no other task was started before the last crash.
/// @return true if a task is to be given up.
bool IsProvenDeadly(const TaskEntity& task,
                    const std::vector<CrashedRun>& crashes, bool only_suspect) {
  const size_t n = crashes.size();
  if (n >= kMaxCrashes) return true;
  if (CountCrashes(crashes, RunProof::kIsolated) < kLikelyCrashes) return false;
  if (n >= kCrashesOfOneOfMany && HaveSimilarDelays(crashes, kLikeCrashes)) {
    return true;
  }
  if (!only_suspect) return false;
  return (n >= kCrashesOfOnlySuspect && HaveSimilarDelays(crashes)) ||
         (CountCrashes(crashes, RunProof::kConfirmed) >= kLikelyCrashes &&
          task.longest_crash_delay <= kImmediateCrashDelay);
}

/// @param only_suspect no other task was started before the crash.
/// @return what is known of the start of a run whose worker crashed.
RunProof ProofOfStart(const CrashEvidence& crash, bool only_suspect) {
  if (crash.start == StartEvidence::kConfirmed) return RunProof::kConfirmed;
  if (crash.start == StartEvidence::kCutOff && only_suspect) {
    return RunProof::kIsolated;
  }
  return RunProof::kNone;
}

/// Adds a crash to those of the task. The oldest one that does not accuse it
/// together with the new one makes room.
void AddCrash(TaskEntity& task, const CrashedRun& crash) {
  auto& crashes = task.crashed_runs;
  if (crashes.size() >= kMaxCrashes) {
    const auto unlike = std::find_if(
        crashes.begin(), crashes.end(),
        [&](const CrashedRun& it) { return !AccuseTogether(it, crash); });
    crashes.erase(unlike == crashes.end() ? crashes.begin() : unlike);
  }
  crashes.push_back(crash);
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

/// @return for how long reports show a run at work; 0 if it is not. What has
/// happened since the latest report was made is not known, however late that
/// report is read.
Duration ShownAtWork(const VmEntity& vm, const VmRun& run) {
  if (!IsAtWork(vm, run)) return Duration(0);
  return Duration(vm.stamp.value - run.running_since_stamp.value);
}

/// Forgets the crashes that a run of the task has outlived.
/// @param shown for how long the run is known to have been at work.
/// @return true if any was forgotten.
bool ForgetOutlivedCrashes(TaskEntity& task, Duration shown) {
  const bool is_cleared = shown >= ProofTime(task);
  const auto forgotten =
      std::erase_if(task.crashed_runs, [&](const CrashedRun& it) {
        return is_cleared &&
               (IsEarly(it) || shown >= kDelayFactor * Duration(it.delay_ms));
      });
  return forgotten > 0;
}

/// Clears the task of the crashes that a run of it has outlived.
/// @param shown for how long the run is known to have been at work.
/// @return true if the task was a suspect and is none now.
bool ClearByRun(ShardState& shard, const TaskKey& key, TaskEntity& task,
                Duration shown) {
  const bool is_cleared = shown >= ProofTime(task);
  if (ForgetOutlivedCrashes(task, shown)) MarkDirty(shard, key.job);
  if (!is_cleared) return false;
  task.longest_crash_delay = {};
  return shard.suspects.erase(key) > 0;
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
  const auto& crashed = task.crashed_runs;
  const bool is_known =
      std::any_of(crashed.begin(), crashed.end(),
                  [&](const CrashedRun& it) { return it.run == end.run; });
  if (is_known) return;
  const Duration delay(end.crash.run_age_ms);
  const bool was_suspect = shard.suspects.contains(end.task);
  const bool outlived_test = was_suspect && delay > ProofTime(task);
  const bool only_suspect = was_suspect && end.crash.suspects == 1;
  // The report that clears the task may not have been read yet. Whether the
  // earlier crashes still count must not depend on that.
  if (end.crash.start == StartEvidence::kConfirmed &&
      ClearByRun(shard, end.task, task, delay)) {
    log.push_back(MakeDecision(Decision::Kind::kCleared, end.task, vm.id,
                               end.run, "the run has outlived its test"));
  }
  const CrashedRun crash{end.run, ProofOfStart(end.crash, only_suspect),
                         delay.count(), end.crash.suspects > 0};
  const bool is_early = IsEarly(crash);
  if (is_early) {
    task.longest_crash_delay = std::max(task.longest_crash_delay, delay);
  }
  // It ran long enough for the next suspect to start. If it is guilty all the
  // same, the longer delay makes it the last one next time.
  if (was_suspect && end.crash.suspects == 0) return;
  AddCrash(task, crash);
  shard.crashed_tasks.insert(end.task);
  MarkDirty(shard, end.task.job);
  const std::vector<CrashedRun> crashes = ListCrashesLike(task, crash);
  if (!IsAccused(task, crash)) return;
  task.longest_crash_delay = std::max(task.longest_crash_delay, delay);
  shard.suspects.insert(end.task);
  task.not_before = now + kSuspectRestartDelay;
  vm.reserved_for_suspects_until = now + kReservation;
  Decision suspected = MakeDecision(
      Decision::Kind::kSuspected, end.task, vm.id, end.run,
      "one of " + std::to_string(end.crash.suspects) +
          " suspects, crash number " + std::to_string(crashes.size()) +
          (crash.proof == RunProof::kConfirmed ? "" : ", start not confirmed"));
  suspected.age_ms = end.crash.run_age_ms;
  log.push_back(std::move(suspected));
  if (outlived_test && crashes.size() < kMaxCrashes) return;
  if (!IsProvenDeadly(task, crashes, only_suspect)) return;
  log.push_back(MakeDecision(Decision::Kind::kGivenUp, end.task, vm.id, end.run,
                             std::to_string(crashes.size()) +
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
    if (task == nullptr || run == vm.runs.end()) {
      ++it;
      continue;
    }
    const bool is_cleared =
        ClearByRun(shard, key, *task, ShownAtWork(vm, run->second));
    if (task->crashed_runs.empty()) {
      it = shard.crashed_tasks.erase(it);
    } else {
      ++it;
    }
    if (!is_cleared) continue;
    log.push_back(MakeDecision(Decision::Kind::kCleared, key, vm.id,
                               run->second.run, "the worker has not crashed"));
  }
}

bool MayShareTest(const TaskEntity& task) {
  if (task.longest_crash_delay > kMaxEarlyCrashDelay) return false;
  std::vector<CrashedRun> crashes = task.crashed_runs;
  std::erase_if(crashes, [](const CrashedRun& it) { return !IsEarly(it); });
  const bool is_little_suspected =
      crashes.size() <= 1 || !HaveSimilarDelays(crashes);
  return is_little_suspected && task.longest_crash_delay > kMaxQuickCrashDelay;
}

void RestoreCrashes(ShardState& shard, const TaskKey& key, TaskEntity& task,
                    const std::vector<CrashedRun>& crashes) {
  task.crashed_runs = crashes;
  if (crashes.empty()) return;
  shard.crashed_tasks.insert(key);
  for (const CrashedRun& it : crashes) {
    const bool is_accused = IsAccused(task, it);
    if (is_accused) shard.suspects.insert(key);
    if (!is_accused && !IsEarly(it)) continue;
    task.longest_crash_delay =
        std::max(task.longest_crash_delay, Duration(it.delay_ms));
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
