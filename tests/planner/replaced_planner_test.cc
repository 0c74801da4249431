#include <doctest/doctest.h>

#include "planner/simulated_fleet.h"

namespace almondtally::sched {
namespace {

constexpr Duration kCallTimeout{3'000};

/// Two entries and two VMs, one of which runs two tasks. The first entry plans;
/// it is then cut off from everything but the idle VM, and the second entry
/// takes over with the other VM.
struct SplitFleet {
  SimulatedFleet fleet{2, 2};
  size_t near = 0;
  size_t far = 0;

  SplitFleet() {
    fleet.SetFrozen(SimulatedFleet::EntryAddress(1), true);
    fleet.Advance(Duration(2'000));
    fleet.SetFrozen(SimulatedFleet::EntryAddress(1), false);
    REQUIRE(fleet.ListPlanners() == std::vector<size_t>{0});
  }

  void RunTasks() {
    bool accepted = false;
    fleet.Call(0, MakeSubmission("j", 2, MilliCpu(3'000)), kCallTimeout,
               [&](const JobAnswer& answer) {
                 accepted = answer.verdict == JobVerdict::kOk;
               });
    fleet.Advance(Duration(1'000));
    REQUIRE(accepted);
    far = fleet.CountRunning(0) > 0 ? 0 : 1;
    near = 1 - far;
    REQUIRE(fleet.CountRunning(far) == 2);
  }

  void Split() {
    const Address old_owner = SimulatedFleet::EntryAddress(0);
    const Address new_owner = SimulatedFleet::EntryAddress(1);
    fleet.SetStoreLink(old_owner, StoreLink::kUnreachable);
    fleet.CutBothWays(old_owner, new_owner);
    fleet.CutBothWays(old_owner, SimulatedFleet::AgentAddress(far));
    fleet.CutBothWays(new_owner, SimulatedFleet::AgentAddress(near));
  }
};

std::string Join(const std::vector<std::string>& lines) {
  std::string out;
  for (const std::string& line : lines) out += line + "\n";
  return out;
}

// Issue 42, TWICE: the replaced planner took the far VM for lost, although its
// successor had renewed the leases there.
TEST_CASE("a planner cut off with one VM starts no run of the others again") {
  SplitFleet split;
  SUBCASE("the runs last") {}
  SUBCASE("the runs end as done after the takeover") {
    split.fleet.SetFate([](const TaskKey&, RunNumber) {
      return std::pair(RunEnd::kDone, std::optional(Duration(5'000)));
    });
  }
  split.RunTasks();
  split.Split();
  // Later than the end of the leases that the replaced planner knows of.
  split.fleet.Advance(kMaxLeaseDuration + Duration(500));
  REQUIRE(split.fleet.ListPlanners() == std::vector<size_t>{0, 1});
  split.fleet.Advance(Duration(10'000));
  CAPTURE(Join(split.fleet.doubled()));
  CHECK(split.fleet.doubled().empty());
}

}  // namespace
}  // namespace almondtally::sched
