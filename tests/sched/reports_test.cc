#include <doctest/doctest.h>

#include "sched/shard_state_builder.h"

namespace almondtally::sched {
namespace {

constexpr uint64_t kRestartedAgent = 8;

/// Returns the first complete report of an agent process that was started after
/// the one of `Report`: it has received no orders.
SyncReport ReportOfRestartedAgent(const VmEntity& vm) {
  SyncReport report = Report(vm, vm.worker.capacity.cpu.value);
  report.life = AgentIncarnation(kRestartedAgent);
  report.version = 1;
  report.batch = 0;
  report.complete = true;
  return report;
}

// Regression test: a VM that lost power and was back before its leases expired
// kept its runs in the planner's view, and their tasks were never started again.
TEST_CASE("runs that a restarted agent does not have are started again") {
  ShardState shard = NewBoard();
  VmEntity& vm = AddVm(shard, "a");
  AcceptJob(shard, "j", {Step(2, 1'000)});
  Place(shard);
  ReportAllRunning(shard, vm);
  REQUIRE(vm.runs.size() == 2);
  SyncReport report = ReportOfRestartedAgent(vm);
  report.worker.id = WorkerId("worker-after-power-loss");
  Decisions log;
  ApplyReport(shard, kNow, vm, report, log);
  CHECK(vm.runs.empty());
  Place(shard);
  for (uint32_t i = 0; i < 2; ++i) {
    REQUIRE(vm.runs.contains(Key("j", 0, i)));
    CHECK(vm.runs.at(Key("j", 0, i)).run == RunNumber(2));
  }
}

TEST_CASE("a run that a restarted agent still has is not started again") {
  ShardState shard = NewBoard();
  VmEntity& vm = AddVm(shard, "a");
  AcceptJob(shard, "j", {Step(1, 1'000)});
  Place(shard);
  ReportAllRunning(shard, vm);
  SyncReport report = ReportOfRestartedAgent(vm);
  report.runs.push_back(Running(Key("j", 0, 0), RunNumber(1)));
  Decisions log;
  ApplyReport(shard, kNow, vm, report, log);
  Place(shard);
  REQUIRE(vm.runs.size() == 1);
  CHECK(vm.runs.at(Key("j", 0, 0)).run == RunNumber(1));
}

TEST_CASE("a start that no report has confirmed goes to the restarted agent") {
  ShardState shard = NewBoard();
  VmEntity& vm = AddVm(shard, "a");
  AcceptJob(shard, "j", {Step(1, 1'000)});
  Place(shard);
  SyncRequest lost;
  CollectOrders(shard, vm, lost);
  REQUIRE(lost.starts.size() == 1);
  Decisions log;
  ApplyReport(shard, kNow, vm, ReportOfRestartedAgent(vm), log);
  SyncRequest request;
  CollectOrders(shard, vm, request);
  REQUIRE(request.starts.size() == 1);
  CHECK(request.starts[0].run == RunNumber(1));
}

TEST_CASE("a start in a batch that the agent has not received is kept") {
  ShardState shard = NewBoard();
  VmEntity& vm = AddVm(shard, "a");
  AcceptJob(shard, "j", {Step(1, 1'000)});
  Place(shard);
  // The report is made before the batch arrives.
  SyncReport report = Report(vm);
  SyncRequest request;
  CollectOrders(shard, vm, request);
  Decisions log;
  ApplyReport(shard, kNow, vm, report, log);
  CHECK(vm.runs.size() == 1);
}

}  // namespace
}  // namespace almondtally::sched
