#include <doctest/doctest.h>

#include <cmath>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "sched/expected_end.h"
#include "sched/run_times.h"
#include "sched/shard_state_builder.h"

namespace almondtally::sched {
namespace {

constexpr int64_t kReportMs = 250;
constexpr int64_t kTailTarget = 18;

/// VMs of given speeds that run what the planner places on them.
struct Fleet {
  ShardState shard = NewBoard();
  MonotonicTime now = kNow;
  /// Share of the usual speed; 1 if not listed.
  std::map<VmId, double> speeds;
  /// Share of their CPU that fillers get.
  double filler_cpu = 1;
  /// Factor on the tails of serving tasks, by VM.
  std::map<VmId, double> tails;
  /// Run time of all tasks, in ms.
  double task_ms = 1'000;
  std::map<std::pair<TaskKey, RunNumber>, double> done;
  Decisions log;

  Fleet() { shard.features.uneven_vms = true; }
};

double FactorOf(const std::map<VmId, double>& factors, const VmId& vm) {
  const auto it = factors.find(vm);
  return it == factors.end() ? 1 : it->second;
}

/// Carries out the VM's orders and lets its runs work until the next report.
void Work(Fleet& fleet, VmEntity& vm) {
  SyncRequest orders;
  if (HasUnsentOrders(vm)) CollectOrders(fleet.shard, vm, orders);
  SyncReport report = Report(vm, vm.worker.capacity.cpu.value);
  report.stamp = AgentTime(fleet.now.time_since_epoch().count());
  uint64_t end = vm.seen_end;
  for (const auto& [key, run] : vm.runs) {
    RunReport it = Running(key, run.run);
    double& done = fleet.done[{key, run.run}];
    const double use = run.filler ? fleet.filler_cpu : 1;
    const double speed = FactorOf(fleet.speeds, vm.id);
    if (run.seen) done += kReportMs * speed * use / fleet.task_ms;
    it.percent = static_cast<int64_t>(100 * done);
    it.measurement =
        static_cast<int64_t>(use * static_cast<double>(run.size.cpu.value));
    if (FindStep(fleet.shard, key)->lasting) {
      it.percent = 100;
      it.measurement = std::llround(kTailTarget * 0.5 *
                                    FactorOf(fleet.tails, vm.id) / speed);
    }
    if (run.stop_wanted) {
      report.ends.push_back({++end, key, run.run, RunEnd::kStopped, "saved"});
    } else if (!FindStep(fleet.shard, key)->lasting && done >= 1) {
      report.ends.push_back({++end, key, run.run, RunEnd::kDone, ""});
    } else {
      report.runs.push_back(std::move(it));
    }
  }
  ApplyReport(fleet.shard, fleet.now, vm, report, fleet.log);
}

void Advance(Fleet& fleet, int64_t ms) {
  for (const auto until = fleet.now + Duration(ms); fleet.now < until;) {
    fleet.now += Duration(kReportMs);
    for (auto& [id, vm] : fleet.shard.vms) Work(fleet, vm);
    fleet.shard.ownership_proven_at = fleet.now;
    StopRunsToMove(fleet.shard, fleet.now, fleet.log);
    PlaceTasks(fleet.shard, fleet.now, fleet.log);
  }
}

void AddVms(Fleet& fleet, int count, int64_t cpu = 8'000) {
  for (int i = 0; i < count; ++i) {
    AddVm(fleet.shard, "vm-" + std::to_string(i), cpu);
  }
}

std::vector<std::string> SlowVms(const Fleet& fleet) {
  std::vector<std::string> out;
  for (const auto& [id, vm] : fleet.shard.vms) {
    if (vm.speed.slow) out.push_back(id.value);
  }
  return out;
}

JobEntity& Submit(Fleet& fleet, const std::string& id, StepSpec step) {
  JobEntity& job = AcceptJob(fleet.shard, id, {std::move(step)});
  job.terms.stretch = 10;
  for (TaskEntity& it : job.occurrences.at(0).steps[0].tasks) {
    it.since = fleet.now;
  }
  return job;
}

StepSpec Spread(uint32_t count, int64_t cpu, uint32_t max_per_vm) {
  StepSpec step = Step(count, cpu);
  step.max_per_vm = max_per_vm;
  return step;
}

StepSpec Serving(uint32_t count, int64_t cpu) {
  StepSpec step = Step(count, cpu);
  step.lasting = true;
  step.tail_target_ms = kTailTarget;
  step.image = "web";
  return step;
}

StepSpec Filler(uint32_t count, int64_t cpu) {
  StepSpec step = Step(count, cpu);
  step.filler = true;
  step.image = "batch";
  step.checkpoints = true;
  return step;
}

void Measure(Fleet& fleet, JobEntity& job, std::vector<int64_t> times_ms) {
  for (uint32_t i = 0; i < times_ms.size(); ++i) {
    RecordRunTime(fleet.now, job, Key(job.record.spec.id.value, 0, i),
                  Duration(times_ms[i]), true);
    fleet.now += Duration(500);
  }
}

TEST_CASE("the tasks of a step tell how long its others take") {
  Fleet fleet;
  JobEntity& job = Submit(fleet, "job", Step(6, 1'000));
  CHECK(EstimateRunTime(fleet.shard, fleet.now, job, 0).typical ==
        Duration(1'000));
  // One of them hung for a while.
  Measure(fleet, job, {3'000, 2'900, 60'000, 3'100});
  const RunTimeEstimate time = EstimateRunTime(fleet.shard, fleet.now, job, 0);
  CHECK(time.learnt);
  CHECK(time.typical == Duration(3'000));
  CHECK(time.low < time.typical);
  CHECK(time.high > time.typical);
  fleet.shard.features.uneven_vms = false;
  CHECK(EstimateRunTime(fleet.shard, fleet.now, job, 0).low == Duration(500));
}

TEST_CASE("the declared time is corrected by what the queue's steps took") {
  Fleet fleet;
  for (int i = 0; i < 9; ++i) {
    JobEntity& job = Submit(fleet, "ended-" + std::to_string(i), Step(2, 500));
    const int64_t took = i == 4 ? 60'000 : 1'900 + 25 * i;
    Measure(fleet, job, {took, took});
    RecordEndOfStep(fleet.shard, fleet.now, job, 0);
  }
  StepSpec step = Step(2, 500);
  step.estimate_ms = 4'000;
  const JobEntity& job = Submit(fleet, "next", step);
  const RunTimeEstimate time = EstimateRunTime(fleet.shard, fleet.now, job, 0);
  CHECK(time.learnt);
  CHECK(time.typical > Duration(7'500));
  CHECK(time.typical < Duration(8'500));
  const MonotonicTime much_later = fleet.now + Duration(120'000);
  CHECK_FALSE(EstimateRunTime(fleet.shard, much_later, job, 0).learnt);
}

// A quarter of the VMs turned six times slower.
TEST_CASE("slow VMs are found within two seconds and get no tasks") {
  Fleet fleet;
  fleet.task_ms = 4'000;
  AddVms(fleet, 8);
  Submit(fleet, "first", Spread(32, 1'000, 4));
  Advance(fleet, 1'000);
  fleet.speeds = {{VmId("vm-2"), 1.0 / 6}, {VmId("vm-5"), 1.0 / 6}};
  Advance(fleet, 2'000);
  CHECK(SlowVms(fleet) == std::vector<std::string>{"vm-2", "vm-5"});
  const VmEntity& slow = fleet.shard.vms.at(VmId("vm-2"));
  CHECK(SpeedOf(fleet.shard, slow, fleet.now) < 0.3);
  const size_t runs_before = slow.runs.size();
  Submit(fleet, "second", Step(16, 1'000));
  Advance(fleet, 500);
  CHECK(slow.runs.size() <= runs_before);
  fleet.speeds.clear();
  Advance(fleet, 2'500);
  CHECK(SlowVms(fleet).empty());
}

TEST_CASE("a task waits for a usual VM as long as a slow one would cost it") {
  Fleet fleet;
  AddVms(fleet, 1, 1'000);
  VmSpeed& speed = fleet.shard.vms.at(VmId("vm-0")).speed;
  speed.slow = true;
  speed.log_speed = std::log(0.25);
  speed.evidence_at = fleet.now;
  const JobEntity& job = Submit(fleet, "job", Step(1, 1'000));
  const TaskEntity& task = job.occurrences.at(0).steps[0].tasks[0];
  Place(fleet.shard, fleet.now + Duration(2'900));
  CHECK(task.phase == TaskPhase::kIdle);
  Place(fleet.shard, fleet.now + Duration(3'100));
  CHECK(task.phase == TaskPhase::kPlaced);
}

TEST_CASE("a lasting task does not wait for a usual VM") {
  Fleet fleet;
  AddVms(fleet, 1, 1'000);
  VmEntity& vm = fleet.shard.vms.at(VmId("vm-0"));
  vm.speed.slow = true;
  vm.speed.log_speed = std::log(0.25);
  Submit(fleet, "job", Serving(1, 1'000));
  Place(fleet.shard, fleet.now);
  CHECK(vm.runs.size() == 1);
}

TEST_CASE("fillers that get little CPU do not make a VM slow") {
  Fleet fleet;
  fleet.task_ms = 3'000;
  AddVms(fleet, 4);
  Submit(fleet, "batch", Filler(16, 2'000));
  Advance(fleet, 1'000);
  fleet.filler_cpu = 0.3;
  Advance(fleet, 3'000);
  CHECK(SlowVms(fleet).empty());
}

TEST_CASE("tails that fillers raise do not make a VM slow") {
  Fleet fleet;
  fleet.task_ms = 2'000;
  AddVms(fleet, 4);
  Submit(fleet, "web", Serving(12, 2'000));
  Submit(fleet, "batch", Filler(40, 2'000));
  Advance(fleet, 2'000);
  fleet.tails = {{VmId("vm-1"), 8}};
  Advance(fleet, 2'000);
  CHECK(SlowVms(fleet).empty());
}

TEST_CASE("a VM on which all tails rise and nothing else runs is slow") {
  Fleet fleet;
  AddVms(fleet, 4);
  StepSpec step = Serving(12, 2'000);
  step.disruption_limit = 0;
  Submit(fleet, "web", step);
  Advance(fleet, 3'000);
  fleet.speeds = {{VmId("vm-1"), 1.0 / 6}};
  Advance(fleet, 2'000);
  CHECK(SlowVms(fleet) == std::vector<std::string>{"vm-1"});
}

TEST_CASE("a VM on which the tasks stand still is found within two seconds") {
  Fleet fleet;
  fleet.task_ms = 4'000;
  AddVms(fleet, 4);
  Submit(fleet, "first", Spread(12, 1'000, 3));
  Advance(fleet, 1'000);
  fleet.speeds = {{VmId("vm-3"), 0}};
  Advance(fleet, 2'000);
  VmEntity& still = fleet.shard.vms.at(VmId("vm-3"));
  CHECK(StandsStill(still));
  const size_t runs_before = still.runs.size();
  Submit(fleet, "second", Step(40, 1'000));
  Advance(fleet, 2'000);
  CHECK(still.runs.size() <= runs_before);
}

// Reports wait while a planner is frozen; the agents' clocks do not.
TEST_CASE("a planner that was frozen takes no VM for slow") {
  Fleet fleet;
  fleet.task_ms = 6'000;
  AddVms(fleet, 4);
  Submit(fleet, "first", Spread(12, 1'000, 3));
  Advance(fleet, 1'500);
  const MonotonicTime frozen_at = fleet.now;
  VmEntity& vm = fleet.shard.vms.at(VmId("vm-0"));
  SyncReport report = Report(vm, 8'000);
  report.stamp = AgentTime(frozen_at.time_since_epoch().count() + kReportMs);
  for (const auto& [key, run] : vm.runs) {
    report.runs.push_back(Running(key, run.run));
    report.runs.back().percent = run.percent + 4;
  }
  fleet.now += Duration(5'000);
  ApplyReport(fleet.shard, fleet.now, vm, report, fleet.log);
  StopRunsToMove(fleet.shard, fleet.now, fleet.log);
  CHECK(SlowVms(fleet).empty());
}

TEST_CASE("no VM is slow if all of them are") {
  Fleet fleet;
  fleet.task_ms = 8'000;
  AddVms(fleet, 4);
  Submit(fleet, "first", Spread(16, 1'000, 4));
  Advance(fleet, 1'500);
  for (const auto& [id, vm] : fleet.shard.vms) fleet.speeds[id] = 0.25;
  Advance(fleet, 3'000);
  CHECK(SlowVms(fleet).empty());
}

size_t CountMoves(const Fleet& fleet) {
  size_t n = 0;
  for (const Decision& it : fleet.log) {
    n += it.kind == Decision::Kind::kLeftSlowVm ? 1 : 0;
  }
  return n;
}

TEST_CASE("lasting tasks leave a slow VM, as many as their step allows") {
  Fleet fleet;
  AddVms(fleet, 4);
  StepSpec step = Serving(12, 2'000);
  step.disruption_limit = 1;
  Submit(fleet, "web", step);
  Advance(fleet, 3'000);
  fleet.speeds = {{VmId("vm-1"), 1.0 / 6}};
  // The largest number of tasks that are away at the same time.
  size_t away = 0;
  for (int i = 0; i < 40; ++i) {
    Advance(fleet, kReportMs);
    size_t running = 0;
    for (const auto& [id, vm] : fleet.shard.vms) {
      for (const auto& [key, run] : vm.runs) {
        running += run.phase == RunPhase::kRunning && !run.stop_wanted ? 1 : 0;
      }
    }
    away = std::max(away, 12 - running);
  }
  CHECK(away == 1);
  CHECK(CountMoves(fleet) == 4);
  CHECK(fleet.shard.vms.at(VmId("vm-1")).runs.empty());
  fleet.speeds.clear();
  Advance(fleet, 10'000);
  CHECK(SlowVms(fleet).empty());
  CHECK(CountMoves(fleet) == 4);
}

TEST_CASE("lasting tasks stay on a slow VM if short tasks need the room") {
  Fleet fleet;
  fleet.task_ms = 6'000;
  AddVms(fleet, 3, 9'000);
  StepSpec step = Serving(9, 2'000);
  step.max_per_vm = 3;
  Submit(fleet, "web", step);
  Submit(fleet, "short", Spread(9, 900, 3));
  Advance(fleet, 2'000);
  fleet.speeds = {{VmId("vm-1"), 1.0 / 6}};
  Advance(fleet, 3'000);
  CHECK(SlowVms(fleet) == std::vector<std::string>{"vm-1"});
  CHECK(CountMoves(fleet) == 0);
}

TEST_CASE("runs leave a slow VM if they resume elsewhere and end sooner") {
  for (const bool checkpoints : {true, false}) {
    Fleet fleet;
    fleet.task_ms = 5'000;
    AddVms(fleet, 4, 4'000);
    StepSpec step = Filler(12, 1'000);
    step.checkpoints = checkpoints;
    Submit(fleet, "batch", step);
    Advance(fleet, 1'000);
    fleet.speeds = {{VmId("vm-1"), 1.0 / 8}};
    Advance(fleet, 4'000);
    CHECK((CountMoves(fleet) > 0) == checkpoints);
  }
}

}  // namespace
}  // namespace almondtally::sched
