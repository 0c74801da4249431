#include <algorithm>
#include <string>

#include "sched/detail.h"
#include "sched/shard_state.h"

// Diagnostics only: states why lasting tasks are not placed, and when serving
// tasks miss their target.

namespace almondtally::sched {
namespace {

/// A lasting task that is idle for longer is logged.
constexpr Duration kLogWaitAfter{1'000};
constexpr Duration kLogWaitInterval{2'000};

/// Number of VMs of a service by the reason why they do not get a task.
struct VmCounts {
  int unavailable = 0;
  int set_aside = 0;
  int without_room = 0;
  int closed_to_task = 0;
  int suitable = 0;
};

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

VmCounts CountVms(const ShardState& shard, MonotonicTime now,
                  const ServiceId& service, const StepSpec& step,
                  const TaskKey& key) {
  VmCounts out;
  for (const auto& [id, vm] : shard.vms) {
    const auto& labels = vm.worker.labels;
    const bool has_label = step.required_label.empty() ||
                           std::find(labels.begin(), labels.end(),
                                     step.required_label) != labels.end();
    if (vm.synced && (vm.worker.service != service || !has_label)) continue;
    if (!vm.synced || vm.partial || !vm.worker.responsive ||
        vm.worker.draining) {
      ++out.unavailable;
    } else if (!Fits(step.each, vm.worker.capacity - ReservedCapacity(vm))) {
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

std::string ReasonToWait(const ShardState& shard, MonotonicTime now,
                         const JobEntity& job, const StepSpec& step,
                         const TaskKey& key, const TaskEntity& task) {
  if (job.loaded_from_store && IsRecovering(shard, now)) {
    return "runs of the previous planner may still execute on VMs that have "
           "not reported";
  }
  if (task.not_before > now) return "restart delayed";
  const VmCounts n = CountVms(shard, now, job.terms.service, step, key);
  return "vms: unavailable=" + std::to_string(n.unavailable) +
         " without_room=" + std::to_string(n.without_room) +
         " closed_to_task=" + std::to_string(n.closed_to_task) +
         " set_aside=" + std::to_string(n.set_aside) +
         " suitable=" + std::to_string(n.suitable);
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

void LogWaitingStep(ShardState& shard, MonotonicTime now, const JobEntity& job,
                    uint32_t occurrence, uint32_t step_index, StepEntity& step,
                    Decisions& log) {
  const StepSpec& spec = job.record.spec.steps[step_index];
  if (!spec.lasting || !step.ready || now < step.next_wait_log_at) return;
  for (uint32_t i = 0; i < step.tasks.size(); ++i) {
    const TaskEntity& task = step.tasks[i];
    if (task.phase != TaskPhase::kIdle || now - task.since < kLogWaitAfter)
      continue;
    step.next_wait_log_at = now + kLogWaitInterval;
    Decision decision;
    decision.kind = Decision::Kind::kWaiting;
    decision.task = {job.record.spec.id, occurrence, step_index, i};
    decision.run = task.run;
    decision.age_ms = (now - task.since).count();
    decision.reason = ReasonToWait(shard, now, job, spec, decision.task, task);
    log.push_back(std::move(decision));
    return;
  }
}

}  // namespace

void LogWaitingTasks(ShardState& shard, MonotonicTime now, Decisions& log) {
  for (const JobId& id : shard.open_jobs) {
    JobEntity& job = shard.jobs.at(id);
    if (!job.accepted) continue;
    for (auto& [number, occurrence] : job.occurrences) {
      for (uint32_t i = 0; i < occurrence.steps.size(); ++i) {
        LogWaitingStep(shard, now, job, number, i, occurrence.steps[i], log);
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
      if (run.over_target_since != MonotonicTime{}) {
        decision.kind = Decision::Kind::kOverTarget;
        decision.reason = DescribeFillers(shard, vm, run.image);
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
