#pragma once

#include <string>
#include <utility>
#include <vector>

#include "sched/shard_state.h"

namespace almondtally::sched {

inline const MonotonicTime kNow{Duration(1'000'000)};
inline const ServiceId kPool{"pool"};

inline Resources Size(int64_t cpu, int64_t memory = 100) {
  return {MilliCpu(cpu), Mebibytes(memory), Accelerators(0)};
}

inline StepSpec Step(uint32_t count, int64_t cpu) {
  StepSpec step;
  step.count = count;
  step.each = Size(cpu);
  step.estimate_ms = 1'000;
  return step;
}

inline JobEntity& AcceptJob(ShardState& shard, const std::string& id,
                            std::vector<StepSpec> steps, int64_t priority = 0,
                            uint32_t max_attempts = 2) {
  JobRecord record;
  record.spec.id = JobId(id);
  record.spec.queue = QueueId("queue");
  record.spec.steps = std::move(steps);
  record.terms.service = kPool;
  record.terms.priority = priority;
  record.terms.max_attempts = max_attempts;
  record.accepted_at_ms = kNow.time_since_epoch().count();
  JobEntity& job = AddJob(shard, kNow, record);
  job.accepted = true;
  return job;
}

/// Returns a report of a VM without runs, to which tests add.
inline SyncReport Report(const VmEntity& vm, int64_t cpu = 4'000) {
  SyncReport report;
  report.life = AgentIncarnation(7);
  report.stamp = AgentTime(500);
  report.settled = true;
  report.version = vm.seen_version + 1;
  report.batch = vm.batch_sent;
  report.complete = !vm.synced;
  report.worker.id = WorkerId("worker-" + vm.id.value);
  report.worker.service = kPool;
  report.worker.capacity = Size(cpu, 100'000);
  report.worker.responsive = true;
  return report;
}

inline VmEntity& AddVm(ShardState& shard, const std::string& id,
                       int64_t cpu = 4'000) {
  VmEntity& vm = shard.vms[VmId(id)];
  vm.id = VmId(id);
  Decisions log;
  ApplyReport(shard, kNow, vm, Report(vm, cpu), log);
  return vm;
}

inline ShardState NewBoard() {
  ShardState shard;
  shard.epoch = PlannerEpoch(1);
  shard.last_earlier_proof_at = kNow;
  return shard;
}

inline RunReport Running(const TaskKey& task, RunNumber run) {
  RunReport out;
  out.task = task;
  out.run = run;
  out.phase = RunPhase::kRunning;
  return out;
}

/// Sends the VM's orders and then reports all its runs as running.
inline void ReportAllRunning(ShardState& shard, VmEntity& vm,
                             MonotonicTime now = kNow) {
  SyncRequest request;
  if (HasUnsentOrders(vm)) CollectOrders(shard, vm, request);
  SyncReport report = Report(vm, vm.worker.capacity.cpu.value);
  report.stamp = AgentTime(now.time_since_epoch().count());
  for (const auto& [task, run] : vm.runs) {
    report.runs.push_back(Running(task, run.run));
  }
  Decisions log;
  ApplyReport(shard, now, vm, report, log);
}

/// Reports the end of a run.
inline void EndRun(ShardState& shard, VmEntity& vm, const TaskKey& task,
                   RunNumber run, RunEnd end, MonotonicTime now = kNow,
                   const std::string& checkpoint = "") {
  SyncReport report = Report(vm, vm.worker.capacity.cpu.value);
  report.ends.push_back({vm.seen_end + 1, task, run, end, checkpoint, ""});
  Decisions log;
  ApplyReport(shard, now, vm, report, log);
}

/// Runs a planning pass of a planner that owns the shard.
inline void Place(ShardState& shard, MonotonicTime now = kNow) {
  shard.ownership_proven_at = now;
  Decisions log;
  PlaceTasks(shard, now, log);
}

inline TaskKey Key(const std::string& job, uint32_t step, uint32_t index) {
  return {JobId(job), 0, step, index};
}

}  // namespace almondtally::sched
