#include <doctest/doctest.h>

#include "sched/shard_state.h"
#include "sched/shard_state_builder.h"

namespace almondtally::sched {
namespace {

StepSpec LastingStep(uint32_t count, int64_t cpu) {
  StepSpec step = Step(count, cpu);
  step.lasting = true;
  return step;
}

TEST_CASE("the log names the fillers beside a task that misses its target") {
  ShardState shard = NewBoard();
  VmEntity& vm = AddVm(shard, "a");
  StepSpec serving = LastingStep(1, 1'000);
  serving.tail_target_ms = 10;
  serving.image = "serving";
  StepSpec filler = Step(1, 1'000);
  filler.filler = true;
  filler.image = "filler";
  AcceptJob(shard, "watch", {serving});
  AcceptJob(shard, "batch", {filler});
  Place(shard);
  ReportAllRunning(shard, vm);
  vm.runs.at(Key("watch", 0, 0)).over_target_since = kNow;
  Decisions log;
  LogTargetMisses(shard, log);
  REQUIRE(log.size() == 1);
  CHECK(log.front().reason.rfind("filler=", 0) == 0);
  LogTargetMisses(shard, log);
  CHECK(log.size() == 1);
  vm.runs.at(Key("watch", 0, 0)).over_target_since = {};
  LogTargetMisses(shard, log);
  CHECK(log.back().kind == Decision::Kind::kWithinTarget);
}

TaskEntity& Task(ShardState& shard, const std::string& job, uint32_t index) {
  return *FindTask(shard, Key(job, 0, index));
}

/// Returns the state after a run was considered lost and reported again: the
/// task is idle, and the run is still on its VM.
void MarkIdleWithEarlierRun(ShardState& shard, const std::string& job,
                            uint32_t index) {
  Task(shard, job, index).phase = TaskPhase::kIdle;
}

// A lasting task did not run although a VM had room for it.
TEST_CASE("a lasting task is not held up by another job's earlier run") {
  ShardState shard = NewBoard();
  VmEntity& vm = AddVm(shard, "a");
  AcceptJob(shard, "first", {Step(1, 1'000)});
  Place(shard);
  ReportAllRunning(shard, vm);
  MarkIdleWithEarlierRun(shard, "first", 0);
  AcceptJob(shard, "watch", {LastingStep(1, 1'000)});
  Place(shard);
  CHECK(vm.runs.count(Key("watch", 0, 0)) == 1);
}

// A lasting task did not run although a VM had room for it.
TEST_CASE("a lasting task is not held up by its sibling's earlier run") {
  ShardState shard = NewBoard();
  VmEntity& vm = AddVm(shard, "a", 1'000);
  AcceptJob(shard, "watch", {LastingStep(2, 1'000)});
  Place(shard);
  ReportAllRunning(shard, vm);
  REQUIRE(vm.runs.count(Key("watch", 0, 0)) == 1);
  MarkIdleWithEarlierRun(shard, "watch", 0);
  vm.worker.capacity = Size(2'000, 100'000);
  Place(shard);
  CHECK(vm.runs.count(Key("watch", 0, 1)) == 1);
}

// A filler that may still wait held up siblings that had waited long enough.
TEST_CASE("a filler that may wait for a better VM holds up no sibling") {
  ShardState shard = NewBoard();
  VmEntity& vm = AddVm(shard, "a");
  StepSpec serving = LastingStep(1, 1'000);
  serving.tail_target_ms = 10;
  serving.image = "serving";
  AcceptJob(shard, "watch", {serving});
  Place(shard);
  ReportAllRunning(shard, vm);
  shard.loads[JobId("watch")].mean = 0;
  StepSpec filler = Step(2, 500);
  filler.filler = true;
  filler.image = "filler";
  AcceptJob(shard, "batch", {filler});
  UpdateInterference(shard.interference, "serving", 5, 0.1, {{"filler", 0.5}});
  Place(shard);
  REQUIRE(vm.runs.count(Key("batch", 0, 0)) == 0);
  const MonotonicTime now = kNow + Duration(2'500);
  Task(shard, "batch", 0).since = now;
  Place(shard, now);
  CHECK(vm.runs.count(Key("batch", 0, 0)) == 0);
  CHECK(vm.runs.count(Key("batch", 0, 1)) == 1);
}

// A VM that refused every start was chosen again each time.
TEST_CASE("a lasting task whose start was refused tries another VM") {
  ShardState shard = NewBoard();
  VmEntity& fuller = AddVm(shard, "a", 2'000);
  VmEntity& other = AddVm(shard, "b", 4'000);
  AcceptJob(shard, "watch", {LastingStep(1, 1'000)});
  Place(shard);
  REQUIRE(fuller.runs.size() == 1);
  SyncRequest request;
  CollectOrders(shard, fuller, request);
  EndRun(shard, fuller, Key("watch", 0, 0), Task(shard, "watch", 0).run,
         RunEnd::kNotStarted);
  Place(shard, kNow + Duration(200));
  CHECK(fuller.runs.empty());
  CHECK(other.runs.size() == 1);
}

// While tasks of several jobs failed on every VM, no task was placed.
TEST_CASE("VMs are not set aside if most of their service would be") {
  ShardState shard = NewBoard();
  VmEntity& first = AddVm(shard, "a");
  VmEntity& second = AddVm(shard, "b");
  first.set_aside_until = kNow + Duration(4'000);
  second.set_aside_until = kNow + Duration(4'000);
  AcceptJob(shard, "watch", {LastingStep(1, 1'000)});
  Place(shard);
  CHECK(first.runs.size() + second.runs.size() == 1);
}

TEST_CASE("a VM that is set aside gets no task while its service has others") {
  ShardState shard = NewBoard();
  VmEntity& set_aside = AddVm(shard, "a", 1'000);
  VmEntity& full = AddVm(shard, "b", 500);
  set_aside.set_aside_until = kNow + Duration(4'000);
  AcceptJob(shard, "watch", {LastingStep(1, 1'000)});
  Place(shard);
  CHECK(set_aside.runs.empty());
  CHECK(full.runs.empty());
}

// A lasting task earns as long as it runs, so it was wrongly ranked as too late
// to be of value.
TEST_CASE("a restarted lasting task is not placed behind late batch jobs") {
  ShardState shard = NewBoard();
  AcceptJob(shard, "watch", {LastingStep(1, 1'000)});
  const MonotonicTime now = kNow + Duration(60'000);
  JobEntity& batch = AcceptJob(shard, "batch", {Step(1, 1'000)});
  batch.occurrences.at(0).due_at = now - batch.objective * 2;
  VmEntity& vm = AddVm(shard, "a", 1'000);
  Place(shard, now);
  CHECK(vm.runs.count(Key("watch", 0, 0)) == 1);
}

}  // namespace
}  // namespace almondtally::sched
