#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "planner/simulated_fleet.h"

// What the next planner believes of a VM whose row says that it is drained.

namespace almondtally::sched {
namespace {

constexpr Duration kStep{5};
constexpr Duration kCallTimeout{3'000};
/// A lease on the clock of so old a process is longer than any on a new one.
constexpr Duration kVeryOldWorker{30'000};
/// Until the leases of a planner without the store have ended, and the next
/// planner has started the tasks again.
constexpr Duration kLongestTakeover{15'000};

std::string Join(const std::vector<std::string>& lines) {
  std::string out;
  for (const std::string& line : lines) out += line + "\n";
  return out;
}

void CheckNothingDoubled(const SimulatedFleet& fleet) {
  CAPTURE(Join(fleet.doubled()));
  CHECK(fleet.doubled().empty());
}

/// Two VMs and two entries, the first of which plans.
struct Fleet : SimulatedFleet {
  Fleet() : SimulatedFleet(2, 2) {
    SetFrozen(EntryAddress(1), true);
    Advance(Duration(2'000));
    SetFrozen(EntryAddress(1), false);
    REQUIRE(ListPlanners() == std::vector<size_t>{0});
    Advance(kVeryOldWorker);
  }

  void Submit() {
    Call(0, MakeSubmission("j", 1, MilliCpu(3'000)), kCallTimeout,
         [](const JobAnswer&) {});
  }

  void CutOffFromEntries(size_t vm) {
    for (size_t entry = 0; entry < 2; ++entry)
      CutBothWays(EntryAddress(entry), AgentAddress(vm));
  }

  /// The machine of the first entry is gone for good.
  void LosePlanner() {
    for (size_t vm = 0; vm < 2; ++vm)
      CutBothWays(EntryAddress(0), AgentAddress(vm));
    CutBothWays(EntryAddress(0), EntryAddress(1));
    SetStoreLink(EntryAddress(0), StoreLink::kUnreachable);
    SetFrozen(EntryAddress(0), true);
  }
};

// TWICE: the agent had restarted, and did not know of a start that its earlier
// process had left unanswered.
TEST_CASE("the next planner waits for a start of an agent's earlier process") {
  Fleet fleet;
  fleet.DrainWorker(1);
  fleet.Advance(Duration(500));
  fleet.SetLateCallDelay(Duration(2'500));
  fleet.SetWorkerLink(0, WorkerLink::kCarriedOutLate);
  fleet.Submit();
  while (!fleet.HasLateStart(0)) fleet.Advance(kStep);
  fleet.DrainWorker(0);
  fleet.RestartAgent(0, RenewalOnItsWay::kLost);
  fleet.SetWorkerLink(0, WorkerLink::kUp);
  fleet.Advance(Duration(1'800));
  fleet.CutOffFromEntries(0);
  fleet.LosePlanner();
  fleet.SetWorkerLink(0, WorkerLink::kUnreachable);
  fleet.RestartWorker(0);
  fleet.RestartWorker(1);
  fleet.Advance(kLongestTakeover);
  CHECK(fleet.runs().size() == 2);
  CheckNothingDoubled(fleet);
}

}  // namespace
}  // namespace almondtally::sched
