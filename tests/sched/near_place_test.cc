#include "sched/near_place.h"

#include <doctest/doctest.h>

#include <string>

#include "sched/shard_state_builder.h"

namespace almondtally::sched {
namespace {

VmEntity& AddVmOn(ShardState& shard, const std::string& rack,
                  const std::string& id, int64_t cpu = 4'000) {
  VmEntity& vm = AddVm(shard, id, cpu);
  vm.worker.rack = RackId(rack);
  return vm;
}

StepSpec NearStep(uint32_t count, int64_t cpu, const std::string& rack) {
  StepSpec step = Step(count, cpu);
  step.data_rack = rack;
  return step;
}

size_t CountRuns(const VmEntity& vm, const std::string& job) {
  size_t n = 0;
  for (const auto& [key, run] : vm.runs) n += key.job.value == job ? 1 : 0;
  return n;
}

/// A rack whose VM is full with runs that end `kNow + left`, and another rack
/// with room.
struct TwoRacks {
  ShardState shard = NewBoard();
  VmEntity* near = nullptr;
  VmEntity* far = nullptr;

  explicit TwoRacks(Duration left, double far_factor = 3) {
    shard.features.far_factor = far_factor;
    near = &AddVmOn(shard, "r1", "near");
    StepSpec busy = Step(4, 1'000);
    busy.estimate_ms = left.count();
    AcceptJob(shard, "busy", {busy});
    Place(shard);
    ReportAllRunning(shard, *near);
    near->worker.rack = RackId("r1");
    far = &AddVmOn(shard, "r2", "far", 32'000);
  }
};

TEST_CASE("a wait pays if the task ends earlier, and within its bound") {
  using D = Duration;
  CHECK(PaysToWait(D(500), D(1'000), D(3'000), D(0)));
  CHECK_FALSE(PaysToWait(D(500), D(1'000), D(1'500), D(0)));
  CHECK_FALSE(PaysToWait(kMaxNearWait + D(1), D(10'000), D(30'000), D(0)));
  CHECK_FALSE(PaysToWait(D(500), D(10'000), D(30'000), kMaxNearWait));
}

TEST_CASE("room that is promised to another task is not counted") {
  const Resources need = Size(1'000);
  std::vector<RoomChange> changes{{Duration(300), Size(1'000)}};
  CHECK(TimeUntilFits(Size(1'000, 500), changes, need) == Duration(0));
  CHECK(TimeUntilFits(Size(0, 500), changes, need) == Duration(300));
  changes.push_back({Duration(300), Resources{} - need});
  changes.push_back({Duration(1'300), need});
  CHECK(TimeUntilFits(Size(0, 500), changes, need) == Duration(1'300));
  changes.pop_back();
  CHECK_FALSE(TimeUntilFits(Size(0, 500), changes, need));
}

TEST_CASE("a task waits for its rack only as long as that pays") {
  const auto place = [](TwoRacks& it) {
    AcceptJob(it.shard, "j", {NearStep(1, 1'000, "r1")});
    Place(it.shard);
  };
  SUBCASE("the rack is free soon") {
    TwoRacks it{Duration(500)};
    place(it);
    CHECK(CountRuns(*it.far, "j") == 0);
    CHECK(it.shard.near_waits.begun == 1);
    EndRun(it.shard, *it.near, Key("busy", 0, 0), RunNumber(1), RunEnd::kDone);
    it.near->worker.rack = RackId("r1");
    Place(it.shard, kNow + Duration(500));
    CHECK(CountRuns(*it.near, "j") == 1);
    CHECK(it.shard.near_waits.won == 1);
    CHECK(it.shard.near_waits.gained == Duration(1'500));
  }
  SUBCASE("the rack stays full for longer than expected") {
    TwoRacks it{Duration(500)};
    place(it);
    it.near->last_report_at = kNow + Duration(1'000);
    Place(it.shard, kNow + Duration(1'000));
    CHECK(CountRuns(*it.far, "j") == 0);
    Place(it.shard, kNow + kMaxNearWait + Duration(1));
    CHECK(CountRuns(*it.far, "j") == 1);
    CHECK(it.shard.near_waits.won == 0);
  }
  SUBCASE("the rack is free too late") {
    TwoRacks it{Duration(2'100)};
    place(it);
    CHECK(CountRuns(*it.far, "j") == 1);
  }
  SUBCASE("the place makes no difference") {
    TwoRacks it{Duration(500), 1};
    place(it);
    CHECK(CountRuns(*it.far, "j") == 1);
    CHECK(it.shard.near_waits.begun == 0);
  }
}

// Replays the load: many jobs want one rack. The first four places are worth
// the wait; the others would be free after another run, too late to pay.
TEST_CASE("of many jobs that want one rack, only those wait that gain by it") {
  TwoRacks it{Duration(1'200), 2};
  for (int i = 0; i < 20; ++i) {
    AcceptJob(it.shard, "j" + std::to_string(i), {NearStep(1, 1'000, "r1")});
  }
  // A wait of 1.2 s and 1 s of work against 2 s elsewhere does not pay.
  Place(it.shard);
  CHECK(it.far->runs.size() == 20);
  CHECK(it.shard.near_waits.begun == 0);

  TwoRacks soon{Duration(500), 2};
  for (int i = 0; i < 20; ++i) {
    AcceptJob(soon.shard, "j" + std::to_string(i), {NearStep(1, 1'000, "r1")});
  }
  Place(soon.shard);
  CHECK(soon.far->runs.size() == 16);
  CHECK(soon.shard.near_waits.begun == 4);
}

TEST_CASE("a gang waits for one rack, or is spread, whichever ends first") {
  StepSpec gang = Step(6, 1'000);
  gang.gang = true;
  gang.one_rack = true;
  ShardState shard = NewBoard();
  shard.features.far_factor = 3;
  VmEntity& a = AddVmOn(shard, "r1", "a");
  StepSpec busy = Step(2, 1'000);
  Duration busy_ms{500};
  bool waits = true;
  bool spreads = true;
  SUBCASE("a rack is free soon") {}
  SUBCASE("a rack is free too late") {
    busy_ms = Duration(5'000);
    waits = false;
  }
  SUBCASE("the place makes no difference, or is not known") {
    shard.features.far_factor = 1;
    waits = spreads = false;
  }
  busy.estimate_ms = busy_ms.count();
  AcceptJob(shard, "busy", {busy});
  Place(shard);
  ReportAllRunning(shard, a);
  a.worker.rack = RackId("r1");
  VmEntity& b = AddVmOn(shard, "r1", "b", 2'000);
  VmEntity& c = AddVmOn(shard, "r2", "c", 5'000);
  AcceptJob(shard, "g", {gang});
  Place(shard);
  const size_t placed =
      CountRuns(a, "g") + CountRuns(b, "g") + CountRuns(c, "g");
  CHECK(placed == (spreads && !waits ? 6 : 0));
  CHECK(shard.near_waits.begun == (waits ? 1 : 0));
  Place(shard, kNow + kMaxNearWait + Duration(1));
  CHECK((CountRuns(c, "g") > 0) == spreads);
  CHECK(shard.near_waits.spread_gangs == (spreads ? 1 : 0));
}

}  // namespace
}  // namespace almondtally::sched
