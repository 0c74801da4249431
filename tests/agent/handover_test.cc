#include "agent/handover.h"

#include <doctest/doctest.h>

#include <vector>

#include "agent/run_table.h"

namespace almondtally::sched {
namespace {

const MonotonicTime kNow{Duration(1'000'000)};
const TaskKey kTask{JobId("j"), 0, 0, 0};
constexpr uint64_t kFirstEpoch = 1;
constexpr Duration kSecond{1'000};

/// An agent whose worker runs one task.
struct Vm {
  RunTable table;
  MonotonicTime now = kNow;
  uint64_t epoch = kFirstEpoch;
  uint64_t ends = 0;

  Vm() {
    table.life = AgentIncarnation(7);
    table.started_at = now;
    WorkerHello hello;
    hello.worker.id = WorkerId("w");
    hello.worker.capacity = {MilliCpu(4'000), Mebibytes(10'000),
                             Accelerators(0)};
    hello.born_ms = 100;
    ApplyWorkerHello(table, now, hello);
    Sync({});
    List({}, {});
    StartOrder order;
    order.task = kTask;
    order.run = RunNumber(1);
    Sync({order});
    for (const StartCall& call : BeginStartCalls(table, now))
      FinishStartCall(table, now, call, {});
    for (int i = 0; i < 4; ++i) {
      now += kSecond;
      Sync({});
    }
  }

  /// The planner grants a lease, and reads a report.
  SyncReport Sync(std::vector<StartOrder> starts) {
    SyncRequest request;
    request.epoch = PlannerEpoch(epoch);
    request.life = table.life;
    request.worker = table.worker.id;
    request.fencing_base = epoch << 24;
    request.stamp = AgentTime(now.time_since_epoch().count());
    request.grant_ms = kLeaseGrantDuration.count();
    request.batch = starts.empty() ? 0 : table.batch + 1;
    request.starts = std::move(starts);
    ApplySyncRequest(table, now, request);
    ExpireLeases(table, now);
    return MakeReport(table, now, request);
  }

  void List(std::vector<WorkerRun> running, std::vector<WorkerRunEnd> ended) {
    WorkerListing listing;
    listing.clock_ms = (now - kNow).count() + 5'000;
    listing.born_ms = 100;
    listing.running = std::move(running);
    listing.ended = std::move(ended);
    ApplyWorkerListing(table, now, *BeginRenewal(table, now), listing);
  }

  void EndRun(RunEnd how = RunEnd::kFailed) {
    List({}, {{++ends, kTask, RunNumber(1), how, ""}});
  }
};

TEST_CASE("a planner learns that no earlier one has given up a VM's runs") {
  Vm vm;
  CHECK_FALSE(vm.Sync({}).lease_kept);
  ++vm.epoch;
  SUBCASE("the lease of the earlier one was still valid") {
    vm.now += kLeaseGrantDuration;
    CHECK(vm.Sync({}).lease_kept);
  }
  SUBCASE("the lease had ended") {
    vm.now += kLeaseGrantDuration + Duration(1);
    CHECK_FALSE(vm.Sync({}).lease_kept);
  }
}

TEST_CASE("a lease that began again just before a takeover shows nothing") {
  Vm vm;
  vm.now += kLeaseGrantDuration + Duration(1);
  vm.Sync({});
  ++vm.epoch;
  SUBCASE("what the worker listed may be older") {
    vm.now += Duration(999);
    CHECK_FALSE(vm.Sync({}).lease_kept);
  }
  SUBCASE("it has listed its runs since") {
    vm.now += kSecond;
    CHECK(vm.Sync({}).lease_kept);
  }
}

TEST_CASE("an end that no earlier planner has heard is the only run's") {
  Vm vm;
  SUBCASE("unheard") {
    vm.EndRun();
    ++vm.epoch;
    const SyncReport report = vm.Sync({});
    REQUIRE(report.ends.size() == 1);
    CHECK(report.ends[0].is_sole_run);
    // The report may be lost.
    CHECK(vm.Sync({}).ends[0].is_sole_run);
    const nlohmann::json bytes = report.ends[0];
    CHECK(bytes.get<RunEndReport>().is_sole_run);
  }
  SUBCASE("reported, perhaps without being heard") {
    vm.EndRun();
    vm.Sync({});
    ++vm.epoch;
    CHECK_FALSE(vm.Sync({}).ends[0].is_sole_run);
  }
  SUBCASE("lapsed") {
    vm.EndRun(RunEnd::kLapsed);
    ++vm.epoch;
    CHECK_FALSE(vm.Sync({}).ends[0].is_sole_run);
  }
  SUBCASE("of a run whose lapse was reported before") {
    HandleRenewalFailure(vm.table, vm.now, *BeginRenewal(vm.table, vm.now),
                         {CallOutcome::kRejected, "not connected"});
    for (int i = 0; i < 10; ++i) {
      vm.now += kSecond;
      vm.Sync({});
    }
    REQUIRE(vm.table.ends.size() == 1);
    CHECK(vm.table.ends[0].report.end == RunEnd::kLapsed);
    ++vm.epoch;
    SUBCASE("the worker has crashed") {
      WorkerHello hello;
      hello.worker = vm.table.worker;
      hello.born_ms = 200;
      ApplyWorkerHello(vm.table, vm.now, hello);
    }
    SUBCASE("the worker lists its end") { vm.EndRun(); }
    const SyncReport report = vm.Sync({});
    CHECK(report.lease_kept);
    REQUIRE(report.ends.size() == 2);
    CHECK_FALSE(report.ends[1].is_sole_run);
  }
  SUBCASE("while no lease was valid, so that the run may have been given up") {
    vm.now += kLeaseGrantDuration + Duration(1);
    ExpireLeases(vm.table, vm.now);
    vm.EndRun();
    ExpireLeases(vm.table, vm.now);
    // The agent is heard by the earlier planner's requests, not by its report.
    SyncRequest request;
    request.epoch = PlannerEpoch(vm.epoch);
    request.life = vm.table.life;
    request.stamp = AgentTime(vm.now.time_since_epoch().count());
    request.grant_ms = kLeaseGrantDuration.count();
    ApplySyncRequest(vm.table, vm.now, request);
    vm.now += kSecond;
    ++vm.epoch;
    const SyncReport report = vm.Sync({});
    CHECK(report.lease_kept);
    CHECK_FALSE(report.ends[0].is_sole_run);
  }
}

}  // namespace
}  // namespace almondtally::sched
