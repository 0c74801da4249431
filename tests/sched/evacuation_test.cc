#include "sched/evacuation.h"

#include <doctest/doctest.h>

#include <string>

#include "sched/shard_state_builder.h"

namespace almondtally::sched {
namespace {

const DataCentreId kNorth{"north"};
const DataCentreId kSouth{"south"};

EvacuationReading Reading(uint64_t version, std::set<DataCentreId> data_centres,
                          MonotonicTime read_at = kNow) {
  return {RowVersion(version), read_at, std::move(data_centres)};
}

VmEntity& AddVmIn(ShardState& shard, const DataCentreId& data_centre,
                  const std::string& id, int64_t cpu = 4'000) {
  VmEntity& vm = AddVm(shard, id, cpu);
  vm.data_centre = data_centre;
  return vm;
}

/// One planning pass; the orders are not sent.
Decisions Pass(ShardState& shard, MonotonicTime now = kNow) {
  shard.ownership_proven_at = now;
  Decisions log;
  ApplyEvacuations(shard, now, log);
  StopRunsToMove(shard, now, log);
  PlaceTasks(shard, now, log);
  return log;
}

size_t CountStops(const VmEntity& vm) {
  size_t n = 0;
  for (const auto& [key, run] : vm.runs) n += run.stop_wanted ? 1 : 0;
  return n;
}

TEST_CASE("the newest reading of the evacuation requests wins") {
  EvacuationReading known;
  CHECK(AdoptReading(known, Reading(5, {kNorth})));
  CHECK_FALSE(AdoptReading(known, Reading(4, {})));
  CHECK(known.data_centres.contains(kNorth));
  CHECK(AdoptReading(known, Reading(7, {})));
  // The request was taken back and made again.
  CHECK(AdoptReading(known, Reading(9, {kNorth})));
  const MonotonicTime later = kNow + Duration(500);
  CHECK_FALSE(AdoptReading(known, Reading(9, {kNorth}, later)));
  CHECK(known.read_at == later);
}

TEST_CASE("the newest notice about a data centre wins") {
  EvacuationNotice known;
  CHECK_FALSE(AdoptNotice(known, {true, RowVersion(0)}));
  CHECK(AdoptNotice(known, {true, RowVersion(5)}));
  CHECK_FALSE(AdoptNotice(known, {false, RowVersion(4)}));
  CHECK(known.evacuated);
  CHECK(AdoptNotice(known, {false, RowVersion(6)}));
}

// Replays the load: data centres are evacuated one after the other, then all of
// them, and the last one is taken back, while jobs of every kind arrive.
TEST_CASE("nothing starts in an evacuated data centre, and runs go on there") {
  ShardState shard = NewBoard();
  VmEntity& north = AddVmIn(shard, kNorth, "n", 8'000);
  StepSpec lasting = Step(1, 1'000);
  lasting.lasting = true;
  StepSpec gang = Step(2, 500);
  gang.gang = true;
  AcceptJob(shard, "lasting0", {lasting});
  AcceptJob(shard, "gang0", {gang});
  AcceptJob(shard, "batch0", {Step(1, 1'000)});
  Pass(shard);
  REQUIRE(north.runs.size() == 4);
  ReportAllRunning(shard, north);
  VmEntity& south = AddVmIn(shard, kSouth, "s", 8'000);
  AdoptReading(shard.evacuations.reading, Reading(2, {kNorth}));
  AcceptJob(shard, "lasting1", {lasting});
  AcceptJob(shard, "gang1", {gang});
  AcceptJob(shard, "batch1", {Step(1, 1'000)});
  Pass(shard);
  CHECK(north.runs.size() == 4);
  CHECK(CountStops(north) == 0);
  CHECK(south.runs.size() == 4);
  // A lasting task that ends there continues elsewhere.
  EndRun(shard, north, Key("lasting0", 0, 0), RunNumber(1),
         RunEnd::kWorkerLost);
  Pass(shard);
  CHECK(south.runs.contains(Key("lasting0", 0, 0)));
  ReportAllRunning(shard, south);

  AdoptReading(shard.evacuations.reading, Reading(3, {kNorth, kSouth}));
  AcceptJob(shard, "batch2", {Step(1, 1'000)});
  Pass(shard);
  CHECK(north.runs.size() == 3);
  CHECK(south.runs.size() == 5);
  CHECK(CountStops(south) == 0);
  AdoptReading(shard.evacuations.reading, Reading(4, {kNorth}));
  Pass(shard);
  CHECK(north.runs.size() == 3);
  CHECK(south.runs.contains(Key("batch2", 0, 0)));
}

TEST_CASE("a run whose start was not sent is placed elsewhere") {
  ShardState shard = NewBoard();
  VmEntity& north = AddVmIn(shard, kNorth, "n");
  AcceptJob(shard, "j", {Step(1, 1'000)});
  Pass(shard);
  REQUIRE(north.runs.size() == 1);
  VmEntity& south = AddVmIn(shard, kSouth, "s");
  AdoptReading(shard.evacuations.reading, Reading(2, {kNorth}));
  SUBCASE("not sent") {
    Pass(shard);
    CHECK(north.runs.empty());
    REQUIRE(south.runs.contains(Key("j", 0, 0)));
    CHECK(south.runs.at(Key("j", 0, 0)).run == RunNumber(2));
  }
  SUBCASE("sent: the agent refuses it, unless its worker has it") {
    SyncRequest request;
    CollectOrders(shard, north, request);
    SUBCASE("answered") {}
    SUBCASE("unanswered") { MarkOrdersUnsent(north, request.batch); }
    Pass(shard);
    CHECK(north.runs.size() == 1);
    CHECK(CountStops(north) == 0);
    CHECK(south.runs.empty());
  }
}

TEST_CASE("the members of a gang are left to the agents") {
  ShardState shard = NewBoard();
  VmEntity& north = AddVmIn(shard, kNorth, "n");
  StepSpec gang = Step(2, 1'000);
  gang.gang = true;
  AcceptJob(shard, "g", {gang});
  Pass(shard);
  AdoptReading(shard.evacuations.reading, Reading(2, {kNorth}));
  Pass(shard);
  CHECK(north.runs.size() == 2);
  CHECK(HasUnsentOrders(north));
}

TEST_CASE("an unknown data centre has no effect") {
  ShardState shard = NewBoard();
  VmEntity& north = AddVmIn(shard, kNorth, "n");
  AdoptReading(shard.evacuations.reading,
               Reading(2, {DataCentreId("nowhere"), DataCentreId("")}));
  AcceptJob(shard, "j", {Step(1, 1'000)});
  Pass(shard);
  CHECK(north.runs.size() == 1);
}

TEST_CASE("nothing starts by an outdated reading, or before the first one") {
  ShardState shard = NewBoard();
  VmEntity& north = AddVmIn(shard, kNorth, "n");
  constexpr Duration kMaxAge{4'000};
  shard.evacuations.max_age = kMaxAge;
  AcceptJob(shard, "j", {Step(1, 1'000)});
  Pass(shard);
  CHECK(north.runs.empty());
  AdoptReading(shard.evacuations.reading, Reading(2, {}));
  Pass(shard, kNow + kMaxAge - Duration(1));
  REQUIRE(north.runs.size() == 1);
  CHECK(HasUnsentOrders(north));
  // Placed, but not sent in time: held until the requests are read again.
  Pass(shard, kNow + kMaxAge);
  CHECK(north.runs.size() == 1);
  CHECK_FALSE(HasUnsentOrders(north));
  Decisions log;
  AcceptJob(shard, "k", {Step(1, 1'000)});
  LogWaitingTasks(shard, kNow + kMaxAge, log);
  REQUIRE_FALSE(log.empty());
  CHECK(log.back().reason == "not known which data centres are evacuated");
  AdoptReading(shard.evacuations.reading,
               Reading(2, {}, kNow + kMaxAge - Duration(10)));
  Pass(shard, kNow + kMaxAge);
  CHECK(HasUnsentOrders(north));
}

TEST_CASE("the log counts the VMs of evacuated data centres") {
  ShardState shard = NewBoard();
  AddVmIn(shard, kNorth, "n");
  AdoptReading(shard.evacuations.reading, Reading(2, {kNorth}));
  AcceptJob(shard, "j", {Step(1, 1'000)});
  Pass(shard);
  Decisions log;
  LogWaitingTasks(shard, kNow + Duration(4'000), log);
  REQUIRE(log.size() == 1);
  CHECK(log[0].reason.find(" evacuated=1 ") != std::string::npos);
}

TEST_CASE("no run is moved to an evacuated data centre") {
  ShardState shard = NewBoard();
  VmEntity& south = AddVmIn(shard, kSouth, "s", 2'000);
  StepSpec lasting = Step(2, 1'000);
  lasting.lasting = true;
  AcceptJob(shard, "j", {lasting});
  Pass(shard);
  ReportAllRunning(shard, south);
  for (auto& [key, run] : south.runs) run.percent = 100;
  AddVmIn(shard, kNorth, "n", 8'000);
  bool evacuated = false;
  SUBCASE("evacuated") { evacuated = true; }
  SUBCASE("not evacuated") {}
  if (evacuated) AdoptReading(shard.evacuations.reading, Reading(2, {kNorth}));
  for (const Duration after : {Duration(0), Duration(10'000)}) {
    for (auto& [id, vm] : shard.vms) {
      SyncReport report = Report(vm, vm.data_centre == kSouth ? 1'000 : 8'000);
      Decisions log;
      ApplyReport(shard, kNow + after, vm, report, log);
    }
    Decisions log;
    ApplyEvacuations(shard, kNow + after, log);
    StopRunsToMove(shard, kNow + after, log);
  }
  CHECK(CountStops(south) == (evacuated ? 0 : 1));
}

TEST_CASE("a run that is taken back leaves the task to its copy") {
  ShardState shard = NewBoard();
  VmEntity& north = AddVmIn(shard, kNorth, "n");
  StepSpec step = Step(1, 1'000);
  step.copies_allowed = true;
  AcceptJob(shard, "job0", {step});
  Pass(shard);
  const TaskKey key{JobId("job0"), 0, 0, 0};
  REQUIRE(north.runs.contains(key));
  // Another run of the task was reported and kept.
  VmEntity& south = AddVmIn(shard, kSouth, "s");
  TaskEntity& task = *FindTask(shard, key);
  const RunNumber copy(task.run.value + 1);
  south.runs[key].run = copy;
  south.runs[key].seen = true;
  task.copy = TaskCopy{south.id, copy, kNow};
  AdoptReading(shard.evacuations.reading, Reading(5, {kNorth}));
  Pass(shard);
  CHECK_FALSE(north.runs.contains(key));
  CHECK(task.phase == TaskPhase::kPlaced);
  CHECK(task.vm == south.id);
  CHECK(task.run == copy);
  CHECK_FALSE(task.copy);
}

}  // namespace
}  // namespace almondtally::sched
