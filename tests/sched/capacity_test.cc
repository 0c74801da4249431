#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

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

/// @return a capacity with that many thousandths of a processor and ample
/// memory.
Resources Cpu(int64_t cpu) { return Size(cpu, 100'000); }

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
  SUBCASE("to fewer processors") { SetCapacity(shard, vm, Cpu(2'000)); }
  SUBCASE("to no processors") { SetCapacity(shard, vm, Cpu(0)); }
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

TEST_CASE("a task that was refused on a shrunk VM is placed on another one") {
  ShardState shard = NewBoard();
  VmEntity& vm = AddVm(shard, "a", 4'000);
  AcceptJob(shard, "j", {Step(1, 1'000)});
  Place(shard);
  REQUIRE(vm.runs.size() == 1);
  SyncRequest request;
  CollectOrders(shard, vm, request);
  VmEntity& other = AddVm(shard, "b", 4'000);
  SyncReport report = Report(vm);
  report.worker.capacity = Cpu(0);
  report.ends.push_back({vm.seen_end + 1, Key("j", 0, 0), RunNumber(1),
                         RunEnd::kNotStarted, "", "no room"});
  Decisions log;
  ApplyReport(shard, kNow, vm, report, log);
  Place(shard, kNow + Duration(1'000));
  CHECK(vm.runs.empty());
  CHECK(other.runs.count(Key("j", 0, 0)) == 1);
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

/// Long enough for a capacity that has shrunk to count as lasting.
constexpr Duration kSettled{10'000};

/// Decides the stops at a time at which all VMs have just reported their runs
/// and capacities unchanged.
void StopReported(ShardState& shard, MonotonicTime now, Decisions& log) {
  for (auto& [id, vm] : shard.vms) {
    SetCapacity(shard, vm, vm.worker.capacity, now);
  }
  StopRunsToMove(shard, now, log);
}

/// Runs a planning pass's stops at a time and again when the capacity has been
/// short for a while.
void StopWhatNoLongerFits(ShardState& shard, MonotonicTime from = kNow) {
  Decisions log;
  StopReported(shard, from, log);
  StopReported(shard, from + kSettled, log);
}

bool IsStopped(const VmEntity& vm, const std::string& job, uint32_t index = 0) {
  return vm.runs.at(Key(job, 0, index)).stop_wanted;
}

StepSpec CheckpointStep(uint32_t count, int64_t cpu) {
  StepSpec step = Step(count, cpu);
  step.checkpoints = true;
  step.estimate_ms = 60'000;
  return step;
}

/// Reports all runs of a VM as running at full speed.
void ReportAtWork(ShardState& shard, VmEntity& vm) {
  ReportAllRunning(shard, vm);
  for (auto& [key, run] : vm.runs) run.percent = 100;
}

// Regression test: a VM whose capacity had shrunk kept all its runs for good.
TEST_CASE("runs stop when the capacity has shrunk below them for a while") {
  ShardState shard = NewBoard();
  VmEntity& vm = AddVm(shard, "a", 4'000);
  AcceptJob(shard, "j", {CheckpointStep(4, 1'000)});
  Place(shard);
  ReportAllRunning(shard, vm);
  SetCapacity(shard, vm, Cpu(2'000));
  StopWhatNoLongerFits(shard);
  const auto stopped =
      std::count_if(vm.runs.begin(), vm.runs.end(),
                    [](const auto& it) { return it.second.stop_wanted; });
  CHECK(stopped == 2);
  // Runs that are being stopped count as gone for further stops.
  Decisions log;
  StopReported(shard, kNow + 2 * kSettled, log);
  CHECK(log.empty());
}

TEST_CASE("nothing is stopped for a capacity that is back within seconds") {
  ShardState shard = NewBoard();
  VmEntity& vm = AddVm(shard, "a", 4'000);
  AcceptJob(shard, "j", {CheckpointStep(4, 1'000)});
  Place(shard);
  ReportAllRunning(shard, vm);
  Decisions log;
  for (int i = 0; i < 20; ++i) {
    const MonotonicTime now = kNow + Duration(1'000 * i);
    SetCapacity(shard, vm, Cpu(i % 2 == 0 ? 0 : 4'000), now);
    StopRunsToMove(shard, now, log);
  }
  CHECK(log.empty());
}

TEST_CASE("only runs that use the scarce resource are stopped") {
  ShardState shard = NewBoard();
  VmEntity& vm = AddVm(shard, "a", 4'000);
  StepSpec filler = FillerStep(1, 1'000);
  filler.checkpoints = true;
  filler.estimate_ms = 60'000;
  AcceptJob(shard, "filler", {filler});
  AcceptJob(shard, "j", {CheckpointStep(2, 1'000)});
  Place(shard);
  ReportAllRunning(shard, vm);
  REQUIRE(vm.runs.size() == 3);
  SUBCASE("processors") {
    SetCapacity(shard, vm, Cpu(1'000));
    StopWhatNoLongerFits(shard);
    CHECK_FALSE(IsStopped(vm, "filler"));
    CHECK(IsStopped(vm, "j", 0) != IsStopped(vm, "j", 1));
  }
  SUBCASE("memory, of fillers first") {
    SetCapacity(shard, vm, Size(4'000, 250));
    StopWhatNoLongerFits(shard);
    CHECK(IsStopped(vm, "filler"));
    CHECK_FALSE(IsStopped(vm, "j", 0));
    CHECK_FALSE(IsStopped(vm, "j", 1));
  }
}

TEST_CASE("a shrunk VM first stops the runs that matter and lose least") {
  ShardState shard = NewBoard();
  VmEntity& vm = AddVm(shard, "a", 4'000);
  StepSpec without_checkpoints = CheckpointStep(1, 1'000);
  without_checkpoints.checkpoints = false;
  AcceptJob(shard, "first", {CheckpointStep(1, 1'000)}, 2);
  AcceptJob(shard, "second", {without_checkpoints}, 2);
  AcceptJob(shard, "third", {CheckpointStep(2, 1'000)}, 1);
  Place(shard);
  ReportAllRunning(shard, vm);
  REQUIRE(vm.runs.size() == 4);
  vm.runs.at(Key("third", 0, 0)).percent = 60;
  vm.runs.at(Key("third", 0, 1)).percent = 30;
  MonotonicTime now = kNow;
  const auto stopped_at = [&](int64_t cpu) {
    now += kSettled;
    for (auto& [key, run] : vm.runs) run.stop_wanted = false;
    SetCapacity(shard, vm, Cpu(cpu));
    StopWhatNoLongerFits(shard, now);
    std::vector<std::string> out;
    for (const auto& [key, run] : vm.runs) {
      if (run.stop_wanted)
        out.push_back(key.job.value + std::to_string(key.index));
    }
    return out;
  };
  using Names = std::vector<std::string>;
  CHECK(stopped_at(3'000) == Names{"first0"});
  CHECK(stopped_at(2'000) == Names{"first0", "second0"});
  CHECK(stopped_at(1'000) == Names{"first0", "second0", "third1"});
}

TEST_CASE("runs that end soon are left to end on a shrunk VM") {
  ShardState shard = NewBoard();
  VmEntity& vm = AddVm(shard, "a", 4'000);
  AcceptJob(shard, "brief", {Step(1, 1'000)});
  AcceptJob(shard, "nearly", {CheckpointStep(1, 1'000)});
  StepSpec gang = CheckpointStep(2, 1'000);
  gang.gang = true;
  AcceptJob(shard, "gang", {gang});
  Place(shard);
  ReportAllRunning(shard, vm);
  REQUIRE(vm.runs.size() == 4);
  vm.runs.at(Key("nearly", 0, 0)).percent = 80;
  SetCapacity(shard, vm, Cpu(0));
  StopWhatNoLongerFits(shard);
  for (const auto& [key, run] : vm.runs) CHECK_FALSE(run.stop_wanted);
}

TEST_CASE("a shrunk VM stops lasting tasks last, those of users at the end") {
  ShardState shard = NewBoard();
  VmEntity& vm = AddVm(shard, "a", 3'000);
  StepSpec lasting = Step(1, 1'000);
  lasting.lasting = true;
  AcceptJob(shard, "serving", {ServingStep(1, 1'000)}, 2);
  AcceptJob(shard, "lasting", {lasting}, 1);
  AcceptJob(shard, "batch", {CheckpointStep(1, 1'000)}, 0);
  Place(shard);
  ReportAtWork(shard, vm);
  vm.runs.at(Key("batch", 0, 0)).percent = 10;
  AddVm(shard, "b", 9'000);
  SUBCASE("one run too many") {
    SetCapacity(shard, vm, Cpu(2'000));
    StopWhatNoLongerFits(shard);
    CHECK(IsStopped(vm, "batch"));
    CHECK_FALSE(IsStopped(vm, "lasting"));
  }
  SUBCASE("two runs too many") {
    SetCapacity(shard, vm, Cpu(1'000));
    StopWhatNoLongerFits(shard);
    CHECK(IsStopped(vm, "batch"));
    CHECK(IsStopped(vm, "lasting"));
  }
  CHECK_FALSE(IsStopped(vm, "serving"));
}

// Regression test: fillers stayed on a VM that had lost all its processors, and
// never ended.
TEST_CASE("fillers leave a VM without processors for one that has some") {
  ShardState shard = NewBoard();
  VmEntity& vm = AddVm(shard, "a", 4'000);
  AcceptJob(shard, "filler", {FillerStep(1, 1'000)});
  Place(shard);
  ReportAllRunning(shard, vm);
  SetCapacity(shard, vm, Cpu(0));
  VmEntity& other = AddVm(shard, "b", 500);
  StopWhatNoLongerFits(shard);
  CHECK_FALSE(IsStopped(vm, "filler"));
  SetCapacity(shard, other, Cpu(1'000));
  SUBCASE("while there are none") {
    Decisions log;
    StopReported(shard, kNow + 2 * kSettled, log);
    CHECK(IsStopped(vm, "filler"));
  }
  SUBCASE("unless they are back") {
    SetCapacity(shard, vm, Cpu(1'000));
    Decisions log;
    StopReported(shard, kNow + 2 * kSettled, log);
    CHECK_FALSE(IsStopped(vm, "filler"));
  }
}

TEST_CASE("a lasting task without another place stays on its shrunk VM") {
  ShardState shard = NewBoard();
  VmEntity& vm = AddVm(shard, "a", 4'000);
  AcceptJob(shard, "serving", {ServingStep(1, 2'000)});
  Place(shard);
  ReportAtWork(shard, vm);
  VmEntity& other = AddVm(shard, "b", 1'000);
  SetCapacity(shard, vm, Cpu(0));
  StopWhatNoLongerFits(shard);
  CHECK_FALSE(IsStopped(vm, "serving"));
  SetCapacity(shard, other, Cpu(2'000));
  Decisions log;
  StopReported(shard, kNow + 2 * kSettled, log);
  CHECK(IsStopped(vm, "serving"));
}

TEST_CASE("stops on shrunk VMs respect the disruption limit of a step") {
  ShardState shard = NewBoard();
  VmEntity& a = AddVm(shard, "a", 1'000);
  VmEntity& b = AddVm(shard, "b", 1'000);
  VmEntity& c = AddVm(shard, "c", 1'000);
  StepSpec step = ServingStep(3, 1'000);
  SUBCASE("of one") { step.disruption_limit = 1; }
  SUBCASE("of none") { step.disruption_limit = 0; }
  AcceptJob(shard, "j", {step});
  Place(shard);
  for (VmEntity* vm : {&a, &b, &c}) {
    REQUIRE(vm->runs.size() == 1);
    ReportAtWork(shard, *vm);
    SetCapacity(shard, *vm, Cpu(0));
  }
  AddVm(shard, "d", 9'000);
  Decisions log;
  // The first task that is stopped stays away all the while.
  for (int i = 0; i < 20; ++i) {
    StopReported(shard, kNow + Duration(1'000 * i), log);
  }
  CHECK(static_cast<int64_t>(log.size()) == step.disruption_limit);
}

// Issue 42, the same class: for 5 s after a VM had fallen silent its tasks
// counted as available, and the next one was stopped elsewhere.
TEST_CASE("a task on a silent VM is not available to the disruption limit") {
  ShardState shard = NewBoard();
  VmEntity& a = AddVm(shard, "a", 1'000);
  VmEntity& b = AddVm(shard, "b", 1'000);
  StepSpec step = ServingStep(2, 1'000);
  step.disruption_limit = 1;
  AcceptJob(shard, "j", {step});
  Place(shard);
  for (VmEntity* vm : {&a, &b}) {
    REQUIRE(vm->runs.size() == 1);
    ReportAtWork(shard, *vm);
  }
  VmEntity& spare = AddVm(shard, "spare", 9'000);
  SetCapacity(shard, a, Cpu(0));
  Decisions log;
  StopRunsToMove(shard, kNow, log);
  const MonotonicTime later = kNow + Duration(4'000);
  SetCapacity(shard, a, Cpu(0), later);
  SetCapacity(shard, spare, Cpu(9'000), later);
  StopRunsToMove(shard, later, log);
  CHECK(log.empty());
  SetCapacity(shard, b, Cpu(1'000), later);
  StopRunsToMove(shard, later + Duration(500), log);
  CHECK(log.size() == 1);
}

TEST_CASE("a lasting task is not stopped for room on a silent VM") {
  ShardState shard = NewBoard();
  VmEntity& vm = AddVm(shard, "a", 4'000);
  AcceptJob(shard, "serving", {ServingStep(1, 2'000)});
  Place(shard);
  ReportAtWork(shard, vm);
  VmEntity& silent = AddVm(shard, "b", 4'000);
  SetCapacity(shard, vm, Cpu(0));
  Decisions log;
  StopRunsToMove(shard, kNow, log);
  const MonotonicTime later = kNow + Duration(4'000);
  SetCapacity(shard, vm, Cpu(0), later);
  StopRunsToMove(shard, later, log);
  CHECK_FALSE(IsStopped(vm, "serving"));
  SetCapacity(shard, silent, Cpu(4'000), later);
  StopRunsToMove(shard, later + Duration(500), log);
  CHECK(IsStopped(vm, "serving"));
}

// The stop would be carried out once the VM is back, with the capacity that it
// has then.
TEST_CASE("nothing is stopped on a VM that is silent with a shrunk capacity") {
  ShardState shard = NewBoard();
  VmEntity& vm = AddVm(shard, "a", 4'000);
  AcceptJob(shard, "j", {CheckpointStep(4, 1'000)});
  Place(shard);
  ReportAllRunning(shard, vm);
  SetCapacity(shard, vm, Cpu(2'000));
  Decisions log;
  StopRunsToMove(shard, kNow, log);
  StopRunsToMove(shard, kNow + Duration(4'000), log);
  CHECK(log.empty());
}

TEST_CASE("lasting tasks of shrunk VMs are stopped one after the other") {
  ShardState shard = NewBoard();
  VmEntity& vm = AddVm(shard, "a", 3'000);
  AcceptJob(shard, "j", {ServingStep(3, 1'000)});
  Place(shard);
  ReportAtWork(shard, vm);
  AddVm(shard, "b", 9'000);
  SetCapacity(shard, vm, Cpu(0));
  Decisions log;
  StopReported(shard, kNow, log);
  StopReported(shard, kNow + kSettled, log);
  StopReported(shard, kNow + kSettled + Duration(100), log);
  CHECK(log.size() == 1);
  StopReported(shard, kNow + kSettled + Duration(1'500), log);
  CHECK(log.size() == 2);
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
    report.worker.capacity = Cpu(0);
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
