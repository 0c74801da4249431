#include <doctest/doctest.h>

#include <optional>
#include <utility>

#include "planner/simulated_fleet.h"

namespace almondtally::sched {
namespace {

constexpr Duration kStep{50};
constexpr Duration kCallTimeout{3'000};
constexpr Duration kMaxWait{3'000};
/// Both allowed runs fail, the second one under the next planner.
constexpr uint32_t kAttempts = 2;
constexpr Duration kFirstRun{1'000};
constexpr Duration kSecondRun{3'000};
/// Less than the lease that the first VM has.
constexpr Duration kCut{4'000};

void WaitForRuns(SimulatedFleet& fleet, size_t count) {
  for (Duration waited{0}; waited < kMaxWait; waited += kStep) {
    if (fleet.runs().size() >= count) break;
    fleet.Advance(kStep);
  }
  REQUIRE(fleet.runs().size() == count);
}

void CutOff(SimulatedFleet& fleet, const Address& process) {
  fleet.SetStoreLink(process, StoreLink::kUnreachable);
  for (size_t entry = 0; entry < 2; ++entry)
    fleet.CutBothWays(process, SimulatedFleet::EntryAddress(entry));
}

// BUDGET: the next planner takes the end of the last run for all that it lacks.
TEST_CASE("a failure that only a silent VM knows counts as an attempt" *
          doctest::should_fail()) {
  SimulatedFleet fleet(2, 3);
  fleet.SetFate([](const TaskKey&, RunNumber run) {
    std::pair<RunEnd, std::optional<Duration>> out{RunEnd::kFailed, kSecondRun};
    if (run == RunNumber(1)) out.second = kFirstRun;
    return out;
  });
  fleet.Advance(Duration(2'000));
  REQUIRE(fleet.ListPlanners().size() == 1);
  const size_t planner = fleet.ListPlanners()[0];
  const Address planner_address = SimulatedFleet::EntryAddress(planner);
  JobCall call = MakeSubmission("j", 1, MilliCpu(3'000));
  call.terms.max_attempts = kAttempts;
  fleet.Call(planner, call, kCallTimeout, [](const JobAnswer&) {});
  WaitForRuns(fleet, 1);

  // The planner hears of the first end, but can't record it.
  fleet.Advance(kFirstRun / 2);
  fleet.SetStoreLink(planner_address, StoreLink::kUnreachable);
  WaitForRuns(fleet, 2);
  const SimulatedRun& first = fleet.runs()[0];
  REQUIRE(fleet.runs()[1].vm != first.vm);
  fleet.SetFrozen(planner_address, true);
  CutOff(fleet, SimulatedFleet::AgentAddress(first.vm));
  fleet.Advance(kCut);
  fleet.HealLinks();
  fleet.HealStoreLinks();
  fleet.Advance(kMaxWait);
  REQUIRE(first.acknowledged);
  REQUIRE_FALSE(first.lapsed_after_end);
  CHECK(fleet.runs().size() == 2);
}

}  // namespace
}  // namespace almondtally::sched
