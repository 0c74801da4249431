#include <doctest/doctest.h>

#include "sched/room.h"
#include "sched/shard_state.h"
#include "sched/shard_state_builder.h"

namespace almondtally::sched {
namespace {

StepSpec ServingStep(uint32_t count, int64_t cpu) {
  StepSpec step = Step(count, cpu);
  step.lasting = true;
  step.image = "serving";
  step.tail_target_ms = 100;
  return step;
}

StepSpec FillerStep(uint32_t count, int64_t cpu) {
  StepSpec step = Step(count, cpu);
  step.filler = true;
  step.image = "filler";
  return step;
}

/// Reports a new capacity of a VM, and its runs unchanged.
void SetCapacity(ShardState& shard, VmEntity& vm, const Resources& capacity,
                 MonotonicTime now = kNow) {
  SyncReport report = Report(vm);
  report.worker.capacity = capacity;
  Decisions log;
  ApplyReport(shard, now, vm, report, log);
}

TEST_CASE("a VM whose capacity has shrunk below its runs is given no tasks") {
  ShardState shard = NewBoard();
  VmEntity& vm = AddVm(shard, "a", 4'000);
  AcceptJob(shard, "j", {ServingStep(1, 3'000)});
  Place(shard);
  ReportAllRunning(shard, vm);
  SUBCASE("to fewer processors") { SetCapacity(shard, vm, Size(2'000)); }
  SUBCASE("to no processors") { SetCapacity(shard, vm, Size(0)); }
  SUBCASE("to less memory") { SetCapacity(shard, vm, Size(4'000, 50)); }
  SUBCASE("to nothing") { SetCapacity(shard, vm, Size(0, 0)); }
  AcceptJob(shard, "filler", {FillerStep(1, 100)});
  AcceptJob(shard, "small", {Step(1, 100)});
  StepSpec gang = Step(2, 100);
  gang.gang = true;
  AcceptJob(shard, "gang", {gang});
  // Later, fillers no longer wait for a VM without interference.
  Place(shard, kNow + Duration(60'000));
  CHECK(vm.runs.size() == 1);
}

TEST_CASE("capacity that has grown again is used in the next pass") {
  ShardState shard = NewBoard();
  VmEntity& vm = AddVm(shard, "a", 4'000);
  SetCapacity(shard, vm, Size(0, 0));
  AcceptJob(shard, "j", {Step(4, 1'000)});
  Place(shard);
  CHECK(vm.runs.empty());
  SetCapacity(shard, vm, Size(2'000, 400));
  Place(shard);
  CHECK(vm.runs.size() == 2);
}

// Regression test: with 0 processors, the share of the CPU that a filler uses
// counted as several hundred, and one VM spoiled the estimates for all.
TEST_CASE("a VM that is over its capacity does not affect the models") {
  ShardState shard = NewBoard();
  VmEntity& vm = AddVm(shard, "a", 4'000);
  AcceptJob(shard, "serving", {ServingStep(1, 1'000)});
  AcceptJob(shard, "filler", {FillerStep(1, 500)});
  Place(shard, kNow);
  ReportAllRunning(shard, vm);
  REQUIRE(vm.runs.size() == 2);
  const double weight =
      InterferenceWeight(shard.interference, "filler", "serving");
  for (int i = 0; i < 20; ++i) {
    SyncReport report = Report(vm);
    report.worker.capacity = Size(0);
    for (const auto& [key, run] : vm.runs) {
      RunReport it = Running(key, run.run);
      it.measurement = run.filler ? 400 : 50;
      report.runs.push_back(it);
    }
    Decisions log;
    ApplyReport(shard, kNow + Duration(2'000 + 250 * i), vm, report, log);
  }
  CHECK(InterferenceWeight(shard.interference, "filler", "serving") ==
        doctest::Approx(weight));
  const auto load = shard.loads.find(JobId("serving"));
  const double mean =
      load == shard.loads.end() ? JobLoad::kFirst : load->second.mean;
  CHECK(mean == doctest::Approx(JobLoad::kFirst));
}

}  // namespace
}  // namespace almondtally::sched
