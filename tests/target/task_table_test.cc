#include "target/task_table.h"

#include <doctest/doctest.h>

#include "target/pressure.h"

namespace almondtally {
namespace {

const MonotonicTime kStart{Duration(1'000'000)};
const MonotonicTime kNow = kStart + kLease + kClockDriftMargin;

StartItem Item(uint32_t index, uint64_t epoch, int64_t cpu) {
  StartItem item;
  item.task = {JobId("job"), index};
  item.epoch = Epoch(epoch);
  item.generation = Generation(1);
  item.claimed.cpu = MilliCpu(cpu);
  item.work_ms = 1'000;
  return item;
}

WorkerState Listing(std::vector<WorkerTask> tasks = {}) {
  WorkerState state;
  state.now_ms = WorkerTime(500'000);
  state.capacity = {MilliCpu(4'000), Mebibytes(8'000), Accelerators(0)};
  state.tasks = std::move(tasks);
  return state;
}

WorkerTask Listed(const StartItem& item, WorkerTaskState state) {
  WorkerTask task;
  task.task = item.task;
  task.epoch = item.epoch;
  task.generation = item.generation;
  task.claimed = item.claimed;
  task.state = state;
  return task;
}

/// A table that has the worker's task list and a proof of generation 1.
TaskTable Ready() {
  TaskTable table;
  table.incarnation = Incarnation(9);
  table.started_at = kStart;
  ApplyWorkerListing(table, kNow, kNow, Listing());
  ApplyFenceProof(table, kNow, {Generation(1), 0});
  RunMaintenance(table, kNow);
  return table;
}

StartRequest Request(MonotonicTime as_of = kNow) {
  StartRequest request;
  request.incarnation = Incarnation(9);
  request.as_of_ms = TargetTime(as_of.time_since_epoch().count());
  return request;
}

StartVerdict TryAdmit(TaskTable& table, const StartItem& item,
                      MonotonicTime now = kNow) {
  return AdmitRun(table, now, Request(now), item).verdict;
}

/// Admits a run and confirms its start as the worker would.
void Run(TaskTable& table, const StartItem& item) {
  REQUIRE(TryAdmit(table, item) == StartVerdict::kAccepted);
  REQUIRE(CollectStarts(table, kNow).size() == 1);
  ApplyStartReply(table, item.run(), kNow, true, {});
}

TEST_CASE("admitted claims never exceed the capacity of the VM") {
  TaskTable table = Ready();
  CHECK(TryAdmit(table, Item(0, 1, 3'000)) == StartVerdict::kAccepted);
  CHECK(TryAdmit(table, Item(1, 1, 1'001)) == StartVerdict::kRefused);
  CHECK(TryAdmit(table, Item(2, 1, 1'000)) == StartVerdict::kAccepted);
  CHECK(CommittedResources(table).cpu == MilliCpu(4'000));
}

TEST_CASE("a task that uses more than its claim counts with its measured use") {
  TaskTable table = Ready();
  const StartItem item = Item(0, 1, 1'000);
  Run(table, item);
  WorkerTask listed = Listed(item, WorkerTaskState::kRunning);
  listed.used.cpu = MilliCpu(3'500);
  ApplyWorkerListing(table, kNow, kNow, Listing({listed}));
  CHECK(TryAdmit(table, Item(1, 1, 1'000)) == StartVerdict::kRefused);
}

TEST_CASE("a refused run never starts under the same epoch") {
  TaskTable table = Ready();
  Run(table, Item(0, 1, 4'000));
  CHECK(TryAdmit(table, Item(1, 1, 1'000)) == StartVerdict::kRefused);
  Stop(table, Item(0, 1, 4'000).run(), RunOutcome::kEvicted, "test");
  CollectStops(table, kNow);
  ApplyStopReply(table, Item(0, 1, 4'000).run(), kNow, WorkerStopped{});
  CHECK(TryAdmit(table, Item(1, 1, 1'000)) == StartVerdict::kRefused);
  CHECK(TryAdmit(table, Item(1, 2, 1'000)) == StartVerdict::kAccepted);
}

TEST_CASE("no run is admitted before the worker's list and a proof arrive") {
  TaskTable table;
  table.incarnation = Incarnation(9);
  table.started_at = kStart;
  CHECK(TryAdmit(table, Item(0, 1, 1'000)) == StartVerdict::kRetry);
  ApplyWorkerListing(table, kNow, kNow, Listing());
  CHECK(TryAdmit(table, Item(0, 1, 1'000)) == StartVerdict::kRetry);
  ApplyFenceProof(table, kNow, {Generation(1), 0});
  RunMaintenance(table, kNow);
  CHECK(TryAdmit(table, Item(0, 1, 1'000)) == StartVerdict::kAccepted);
}

TEST_CASE(
    "a refusal is not final while a start of the previous process may arrive") {
  TaskTable table = Ready();
  table.started_at = kNow;
  CHECK(TryAdmit(table, Item(0, 1, 9'000)) == StartVerdict::kRetry);
  const MonotonicTime later = kNow + kLease + kClockDriftMargin;
  ApplyFenceProof(table, later, {Generation(1), 0});
  CHECK(TryAdmit(table, Item(0, 1, 9'000), later) == StartVerdict::kRefused);
}

TEST_CASE("old messages and messages for another process are not decided on") {
  TaskTable table = Ready();
  StartRequest request = Request(kNow - kMaxStartMessageAge - Duration(1));
  CHECK(AdmitRun(table, kNow, request, Item(0, 1, 1)).verdict ==
        StartVerdict::kRetry);
  request = Request();
  request.incarnation = Incarnation(8);
  CHECK(AdmitRun(table, kNow, request, Item(0, 1, 1)).verdict ==
        StartVerdict::kRetry);
}

TEST_CASE("an ended run does not start again, even after the acknowledgement") {
  TaskTable table = Ready();
  const StartItem item = Item(0, 1, 1'000);
  Run(table, item);
  ApplyWorkerListing(table, kNow, kNow,
                     Listing({Listed(item, WorkerTaskState::kFinished)}));
  REQUIRE(EndedRuns(table).size() == 1);
  CHECK(EndedRuns(table)[0].outcome == RunOutcome::kFinished);
  CHECK(TryAdmit(table, item) == StartVerdict::kEnded);
  CHECK(Acknowledge(table, item.run(), kNow));
  CHECK(IsEmpty(table));
  CHECK(TryAdmit(table, item) == StartVerdict::kEnded);
}

TEST_CASE("leases of exclusive runs end with the proof") {
  TaskTable table = Ready();
  Run(table, Item(0, 1, 1'000));
  const auto renewals = Renewals(table, kNow);
  REQUIRE(renewals.size() == 1);
  CHECK(renewals[0].until == WorkerTime(500'000 + kLease.count()));
  CHECK(Renewals(table, kNow + kLease).empty());
  CHECK_FALSE(MayRunExclusive(table, kNow + kLease));
}

TEST_CASE("a fenced VM stops its old runs before it admits new ones") {
  TaskTable table = Ready();
  Run(table, Item(0, 1, 1'000));
  CHECK(ApplyFenceProof(table, kNow, {Generation(2), 0}) ==
        ProofEffect::kFenced);
  CHECK(TryAdmit(table, Item(1, 1, 1'000)) == StartVerdict::kRetry);
  CHECK(Renewals(table, kNow).empty());
  const auto stops = CollectStops(table, kNow);
  REQUIRE(stops.size() == 1);
  // The task may have resumed on another VM: no newer checkpoint is allowed.
  CHECK_FALSE(stops[0].with_checkpoint);
  RunMaintenance(table, kNow);
  CHECK(table.generation == Generation(1));
  ApplyStopReply(table, stops[0].run, kNow, WorkerStopped{});
  RunMaintenance(table, kNow);
  CHECK(table.generation == Generation(2));
  CHECK(TryAdmit(table, Item(1, 1, 1'000)) == StartVerdict::kRefused);
  CHECK(ApplyFenceProof(table, kNow, {Generation(1), 0}) ==
        ProofEffect::kStale);
}

TEST_CASE(
    "after a lost start answer, a stop waits until the start's lease expires") {
  TaskTable table = Ready();
  const StartItem item = Item(0, 1, 1'000);
  TryAdmit(table, item);
  CollectStarts(table, kNow);
  ApplyStartReply(table, item.run(), kNow, false,
                  {PlatformError::kUnknown, "lost"});
  CHECK(Stop(table, item.run(), RunOutcome::kCancelled, "cancelled"));
  CHECK(CollectStops(table, kNow).empty());
  CHECK(CollectStops(table, kNow + kLease).size() == 1);
}

TEST_CASE("a restarted target process adopts the runs of its worker") {
  TaskTable table;
  table.started_at = kNow;
  const StartItem item = Item(0, 3, 1'000);
  ApplyWorkerListing(table, kNow, kNow,
                     Listing({Listed(item, WorkerTaskState::kRunning)}));
  ApplyFenceProof(table, kNow, {Generation(1), 0});
  RunMaintenance(table, kNow);
  CHECK(TryAdmit(table, item) == StartVerdict::kAccepted);
  CHECK(CollectStarts(table, kNow).empty());
  CHECK(Renewals(table, kNow).size() == 1);
}

TEST_CASE("a run that its worker no longer lists is reported as evicted") {
  TaskTable table = Ready();
  Run(table, Item(0, 1, 1'000));
  ApplyWorkerListing(table, kNow + Duration(1), kNow + Duration(2), Listing());
  REQUIRE(EndedRuns(table).size() == 1);
  CHECK(EndedRuns(table)[0].outcome == RunOutcome::kEvicted);
}

TEST_CASE(
    "CPU pressure throttles with hysteresis; only memory pressure evicts") {
  TaskTable table = Ready();
  StartItem service = Item(0, 1, 1'000);
  service.exclusive = false;
  service.service = ServiceId("s");
  Run(table, service);
  const StartItem batch = Item(1, 1, 1'000);
  Run(table, batch);
  const PressureLimits limits;
  PressureState state;
  table.used.cpu = MilliCpu(3'900);
  CHECK(RespondToPressure(state, limits, table).throttles.empty());
  CHECK(RespondToPressure(state, limits, table).throttles.empty());
  auto response = RespondToPressure(state, limits, table);
  REQUIRE(response.throttles.size() == 1);
  CHECK(response.throttles[0].run == batch.run());
  CHECK(response.throttles[0].speed == 50);
  CHECK(response.evictions.empty());
  // Between the two CPU thresholds, speeds do not change.
  table.used.cpu = MilliCpu(3'200);
  for (int i = 0; i < 10; ++i) {
    CHECK(RespondToPressure(state, limits, table).throttles.empty());
  }
  table.used.memory = Mebibytes(7'900);
  for (int i = 0; i < limits.rounds; ++i) {
    response = RespondToPressure(state, limits, table);
  }
  REQUIRE(response.evictions.size() == 1);
  CHECK(response.evictions[0] == batch.run());
}

}  // namespace
}  // namespace almondtally
