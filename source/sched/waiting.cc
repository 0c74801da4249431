#include <algorithm>
#include <string>

#include "sched/detail.h"
#include "sched/ownership.h"
#include "sched/shard_state.h"

// Diagnostics only: states why ready tasks do not run, and when serving tasks
// miss their target.

namespace almondtally::sched {
namespace {

constexpr Duration kScanInterval{500};
/// A task that has not run for longer is logged.
constexpr Duration kLogTaskAfter{3'000};
constexpr Duration kLogTaskInterval{10'000};
constexpr Duration kLogLastingTaskAfter{1'000};
constexpr Duration kLogLastingTaskInterval{2'000};
/// Limits the lines of one scan. The steps that were passed over come first in
/// the next scans, while those that were logged wait for their interval.
constexpr size_t kMaxLinesPerScan = 8;
/// Commits are usually further apart than this only while the store is away.
constexpr Duration kUsualCommitAge{1'300};

/// Number of VMs of a service by the reason why they do not get a task.
struct VmCounts {
  int silent = 0;
  int unresponsive = 0;
  int draining = 0;
  int evacuated = 0;
  int unproven = 0;
  int set_aside = 0;
  int without_room = 0;
  int closed_to_task = 0;
  int suitable = 0;
  /// Of those without room: how many would have room without the runs that are
  /// being stopped, that no worker has confirmed, that may be repeated and are
  /// of lower priority, and that do not last.
  int room_after_stops = 0;
  int room_without_unconfirmed = 0;
  int room_without_lower_priority = 0;
  int room_without_short = 0;
  /// The most that one of them has free.
  Resources most_free;
};

std::string Milliseconds(Duration time) {
  return std::to_string(time.count()) + " ms";
}

bool IsClosedToTask(const VmEntity& vm, const StepSpec& step,
                    const TaskKey& key) {
  if (vm.runs.contains(key)) return true;
  if (step.max_per_vm == 0) return false;
  const auto runs_of_step =
      std::count_if(vm.runs.begin(), vm.runs.end(), [&](const auto& it) {
        return it.first.job == key.job &&
               it.first.occurrence == key.occurrence &&
               it.first.step == key.step;
      });
  return runs_of_step >= static_cast<int64_t>(step.max_per_vm);
}

/// Notes what holds the room of a VM that has too little for a task.
void CountHolders(const ShardState& shard, const VmEntity& vm, int64_t priority,
                  const StepSpec& step, VmCounts& out) {
  const Resources free = vm.worker.capacity - ReservedCapacity(vm);
  Resources stopping = free;
  Resources unconfirmed = free;
  Resources lower_priority = free;
  Resources brief = free;
  for (const auto& [key, run] : vm.runs) {
    Resources size = run.size;
    if (run.filler) size.cpu = MilliCpu(0);
    if (run.stop_wanted) stopping += size;
    if (!run.seen || run.phase != RunPhase::kRunning) unconfirmed += size;
    const StepSpec* other = FindStep(shard, key);
    if (other == nullptr || other->lasting) continue;
    brief += size;
    if (shard.jobs.at(key.job).terms.priority > priority)
      lower_priority += size;
  }
  out.room_after_stops += Fits(step.each, stopping) ? 1 : 0;
  out.room_without_unconfirmed += Fits(step.each, unconfirmed) ? 1 : 0;
  out.room_without_lower_priority += Fits(step.each, lower_priority) ? 1 : 0;
  out.room_without_short += Fits(step.each, brief) ? 1 : 0;
  if (free.cpu > out.most_free.cpu || out.without_room == 0)
    out.most_free = free;
}

VmCounts CountVms(const ShardState& shard, MonotonicTime now,
                  const QueueTerms& terms, const StepSpec& step,
                  const TaskKey& key) {
  VmCounts out;
  for (const auto& [id, vm] : shard.vms) {
    const auto& labels = vm.worker.labels;
    const bool has_label = step.required_label.empty() ||
                           std::find(labels.begin(), labels.end(),
                                     step.required_label) != labels.end();
    if (vm.synced && (vm.worker.service != terms.service || !has_label))
      continue;
    if (!vm.synced) {
      ++out.silent;
    } else if (vm.partial || vm.row_unproven || vm.unregistered ||
               IsLeaseUnproven(shard, vm, now)) {
      ++out.unproven;
    } else if (!vm.worker.responsive) {
      ++out.unresponsive;
    } else if (vm.worker.draining) {
      ++out.draining;
    } else if (vm.evacuated) {
      ++out.evacuated;
    } else if (!Fits(step.each, vm.worker.capacity - ReservedCapacity(vm))) {
      CountHolders(shard, vm, terms.priority, step, out);
      ++out.without_room;
    } else if (IsClosedToTask(vm, step, key)) {
      ++out.closed_to_task;
    } else if (vm.set_aside_until > now) {
      ++out.set_aside;
    } else {
      ++out.suitable;
    }
  }
  return out;
}

std::string DescribeSize(const Resources& size) {
  return std::to_string(size.cpu.value) + "m/" +
         std::to_string(size.memory.value) + "Mi";
}

/// @return what the VMs without room have free and what holds the rest; empty
/// if there are none.
std::string DescribeHolders(const VmCounts& n, const StepSpec& step) {
  if (n.without_room == 0) return "";
  return "; without room: needed=" + DescribeSize(step.each) +
         " most_free=" + DescribeSize(n.most_free) +
         " fits_without: stopping=" + std::to_string(n.room_after_stops) +
         " unconfirmed=" + std::to_string(n.room_without_unconfirmed) +
         " lower_priority=" + std::to_string(n.room_without_lower_priority) +
         " short=" + std::to_string(n.room_without_short);
}

std::string DescribeVms(const VmCounts& n) {
  return "vms: silent=" + std::to_string(n.silent) +
         " unproven=" + std::to_string(n.unproven) +
         " unresponsive=" + std::to_string(n.unresponsive) +
         " draining=" + std::to_string(n.draining) +
         (n.evacuated > 0 ? " evacuated=" + std::to_string(n.evacuated) : "") +
         " without_room=" + std::to_string(n.without_room) +
         " closed_to_task=" + std::to_string(n.closed_to_task) +
         " set_aside=" + std::to_string(n.set_aside) +
         " suitable=" + std::to_string(n.suitable);
}

/// @return how far the start of a run has got.
std::string DescribeRun(const ShardState& shard, MonotonicTime now,
                        const VmEntity& vm, const VmRun& run) {
  std::string out = "start not sent";
  if (run.seen) {
    out = run.phase == RunPhase::kStarting ? "start not confirmed by the worker"
                                           : "run being stopped";
  } else if (run.start_batch != 0) {
    out = "orders not answered yet";
  } else if (run.maybe_sent) {
    out = "orders unanswered";
  }
  out += ", vm=" + vm.id.value + " silent for " +
         Milliseconds(now - vm.last_report_at);
  if (IsLeaseUnproven(shard, vm, now))
    out += ", lease ended, no proof of ownership since then";
  if (!vm.worker.responsive) out += ", worker unresponsive";
  return out;
}

/// @return the reason why a task that is assigned to a VM does not run.
std::string ReasonOfPlaced(const ShardState& shard, MonotonicTime now,
                           const TaskKey& key, const TaskEntity& task) {
  const std::string placed =
      "placed " + Milliseconds(now - task.since) + " ago: ";
  const auto vm = shard.vms.find(task.vm);
  if (vm == shard.vms.end()) return placed + "vm unknown";
  const auto run = vm->second.runs.find(key);
  if (run == vm->second.runs.end()) return placed + "run unknown";
  return placed + DescribeRun(shard, now, vm->second, run->second);
}

/// @return the reason why a task that is not assigned to a VM is not placed.
std::string ReasonOfIdle(ShardState& shard, MonotonicTime now,
                         const JobEntity& job, const StepSpec& step,
                         const TaskKey& key, const TaskEntity& task) {
  if (AwaitsEarlierRun(shard, job, task)) {
    return "runs of the previous planner may still execute on VMs that have "
           "not reported";
  }
  if (AwaitsLateRun(shard, now, task)) {
    return "an unanswered start may still be carried out on " +
           task.late_run_on.value;
  }
  if (IsOutdated(shard.evacuations, now)) {
    return "not known which data centres are evacuated";
  }
  if (task.not_before > now) {
    return "restart delayed by " + Milliseconds(task.not_before - now);
  }
  const bool is_suspect = shard.suspects.contains(key);
  const TaskKey first_of_step{key.job, key.occurrence, key.step, 0};
  if (is_suspect || (!step.lasting && HasSuspect(shard, first_of_step))) {
    const SuspectTests tests = ListSuspectTests(shard, now);
    return std::string(is_suspect ? "task" : "another task of the step") +
           " suspected of crashing workers: suspects=" +
           std::to_string(shard.suspects.size()) +
           " tested_on=" + std::to_string(tests.vms.size());
  }
  std::string out;
  for (const auto& [id, vm] : shard.vms) {
    const auto run = vm.runs.find(key);
    if (run == vm.runs.end()) continue;
    out += "earlier run: " + DescribeRun(shard, now, vm, run->second) + "; ";
  }
  const VmCounts vms = CountVms(shard, now, job.terms, step, key);
  return out + DescribeVms(vms) + DescribeHolders(vms, step);
}

/// @return the state of the planner's ownership if it may keep tasks from
/// being started.
std::string DescribeOwnership(const ShardState& shard, MonotonicTime now) {
  const Duration proof_age = now - shard.ownership_proven_at;
  if (proof_age <= kUsualCommitAge) return "";
  size_t uncommitted_ends = 0;
  for (const auto& [id, vm] : shard.vms) {
    uncommitted_ends += vm.uncommitted_ends.size();
  }
  return "no commit for " + Milliseconds(proof_age) +
         ", uncommitted_ends=" + std::to_string(uncommitted_ends) +
         (proof_age >= kOwnershipProofValidity ? ", no leases granted; "
                                               : "; ");
}

std::string DescribeRefusals(const TaskEntity& task) {
  if (task.refused_starts == 0) return "";
  return "starts not carried out=" + std::to_string(task.refused_starts) +
         ", last on " + task.last_vm.value + ": " + task.last_refusal + "; ";
}

/// @return the images of the fillers that execute on a VM, with their weights
/// for a serving image.
std::string DescribeFillers(const ShardState& shard, const VmEntity& vm,
                            const std::string& serving_image) {
  std::string out;
  for (const auto& [key, run] : vm.runs) {
    if (!run.filler || run.speed_limit_wanted == 0) continue;
    const double weight =
        InterferenceWeight(shard.interference, run.image, serving_image);
    out += (out.empty() ? "" : " ") + run.image + "=" + std::to_string(weight);
  }
  return out;
}

/// @return the task of a step that has waited longest; null if none waits.
/// @param index receives its index.
TaskEntity* FindLongestWait(StepEntity& step, MonotonicTime now,
                            uint32_t& index) {
  TaskEntity* out = nullptr;
  for (uint32_t i = 0; i < step.tasks.size(); ++i) {
    TaskEntity& task = step.tasks[i];
    if (task.phase == TaskPhase::kDone) continue;
    if (task.phase == TaskPhase::kIdle &&
        task.waiting_since == MonotonicTime{}) {
      task.waiting_since = task.since;
    }
    if (task.waiting_since == MonotonicTime{} || task.waiting_since >= now)
      continue;
    if (out != nullptr && out->waiting_since <= task.waiting_since) continue;
    out = &task;
    index = i;
  }
  return out;
}

void LogWaitingStep(ShardState& shard, MonotonicTime now, const JobEntity& job,
                    uint32_t occurrence, uint32_t step_index, StepEntity& step,
                    Decisions& log) {
  const StepSpec& spec = job.record.spec.steps[step_index];
  if (!step.ready || step.done == step.tasks.size()) return;
  if (now < step.next_wait_log_at) return;
  uint32_t index = 0;
  const TaskEntity* const task = FindLongestWait(step, now, index);
  if (task == nullptr) return;
  const Duration waited = now - task->waiting_since;
  if (waited < (spec.lasting ? kLogLastingTaskAfter : kLogTaskAfter)) return;
  step.next_wait_log_at =
      now + (spec.lasting ? kLogLastingTaskInterval : kLogTaskInterval);
  Decision decision;
  decision.kind = Decision::Kind::kWaiting;
  decision.task = {job.record.spec.id, occurrence, step_index, index};
  decision.vm = task->vm;
  decision.run = task->run;
  decision.age_ms = waited.count();
  decision.reason =
      DescribeOwnership(shard, now) + DescribeRefusals(*task) +
      (task->phase == TaskPhase::kPlaced
           ? ReasonOfPlaced(shard, now, decision.task, *task)
           : ReasonOfIdle(shard, now, job, spec, decision.task, *task));
  log.push_back(std::move(decision));
}

}  // namespace

void LogWaitingTasks(ShardState& shard, MonotonicTime now, Decisions& log) {
  if (now < shard.next_wait_scan_at) return;
  shard.next_wait_scan_at = now + kScanInterval;
  const size_t lines_before = log.size();
  for (const JobId& id : shard.open_jobs) {
    JobEntity& job = shard.jobs.at(id);
    if (!job.accepted) continue;
    for (auto& [number, occurrence] : job.occurrences) {
      for (uint32_t i = 0; i < occurrence.steps.size(); ++i) {
        LogWaitingStep(shard, now, job, number, i, occurrence.steps[i], log);
        if (log.size() - lines_before >= kMaxLinesPerScan) return;
      }
    }
  }
}

void LogTargetMisses(ShardState& shard, Decisions& log) {
  for (auto& [id, vm] : shard.vms) {
    for (auto& [key, run] : vm.runs) {
      if (run.over_target_since == run.over_target_logged) continue;
      Decision decision;
      decision.task = key;
      decision.vm = id;
      decision.run = run.run;
      decision.outcome = "tail_ms=" + std::to_string(run.measurement) +
                         " target_ms=" + std::to_string(run.tail_target_ms);
      if (run.over_target_since != MonotonicTime{}) {
        decision.kind = Decision::Kind::kOverTarget;
        decision.reason = DescribeFillers(shard, vm, run.image);
        decision.age_ms = std::max<int64_t>(0, run.over_target_ms);
      } else {
        decision.kind = Decision::Kind::kWithinTarget;
        decision.age_ms = (vm.last_report_at - run.over_target_logged).count();
      }
      run.over_target_logged = run.over_target_since;
      log.push_back(std::move(decision));
    }
  }
}

}  // namespace almondtally::sched
