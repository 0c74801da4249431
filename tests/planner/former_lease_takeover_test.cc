#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "planner/simulated_fleet.h"

namespace almondtally::sched {
namespace {

constexpr Duration kStep{50};
constexpr Duration kCallTimeout{3'000};
/// A worker shortens longer leases to this.
constexpr Duration kMaxHold{10'000};
/// Until a task that has lost its worker runs again.
constexpr Duration kMaxWait{3'000};
/// After this time without an answer, a planner counts a VM as lost.
constexpr Duration kGivenUp{7'000};
constexpr size_t kEntries = 2;
constexpr size_t kVms = 2;
/// A lease on the clock of so old a process is longer than any on a new one.
constexpr Duration kOldWorker{15'000};
/// Calls that were meant for a former process of this worker have ended.
constexpr Duration kVeryOldWorker{30'000};
constexpr Duration kRunTime{100};
/// A call without an answer may be carried out as late as this.
constexpr Duration kMaxDelay{12'000};
constexpr Duration kDelayStep{1'000};

std::string Join(const std::vector<std::string>& lines) {
  std::string out;
  for (const std::string& line : lines) out += line + "\n";
  return out;
}

/// Submits a job with one task, which runs until it is stopped unless the fleet
/// has a fate for it.
void Submit(SimulatedFleet& fleet, size_t planner, const std::string& job) {
  fleet.Call(planner, MakeSubmission(job, 1, MilliCpu(3'000)), kCallTimeout,
             [](const JobAnswer&) {});
}

std::optional<size_t> FindRunningVm(const SimulatedFleet& fleet) {
  for (size_t vm = 0; vm < kVms; ++vm) {
    if (fleet.CountRunning(vm) > 0) return vm;
  }
  return std::nullopt;
}

/// @return the VM whose worker has left a start call unanswered.
std::optional<size_t> FindCalledVm(const SimulatedFleet& fleet) {
  for (size_t vm = 0; vm < kVms; ++vm) {
    if (fleet.HasLateStart(vm)) return vm;
  }
  return std::nullopt;
}

/// Makes the first entry plan.
void StartPlanning(SimulatedFleet& fleet) {
  fleet.SetFrozen(SimulatedFleet::EntryAddress(1), true);
  fleet.Advance(Duration(2'000));
  fleet.SetFrozen(SimulatedFleet::EntryAddress(1), false);
  REQUIRE(fleet.ListPlanners() == std::vector<size_t>{0});
}

/// @return the VM on which the task runs, once it runs.
std::optional<size_t> WaitForRun(SimulatedFleet& fleet) {
  for (Duration waited{0}; waited < kMaxWait; waited += kStep) {
    if (const auto vm = FindRunningVm(fleet)) return vm;
    fleet.Advance(kStep);
  }
  return std::nullopt;
}

void CutOffFromEntries(SimulatedFleet& fleet, size_t vm) {
  for (size_t entry = 0; entry < kEntries; ++entry) {
    fleet.CutBothWays(SimulatedFleet::EntryAddress(entry),
                      SimulatedFleet::AgentAddress(vm));
  }
}

// TWICE: the earlier planner knew of the longer lease; the next one counts on
// leases of the usual length.
TEST_CASE("the next planner waits for leases that a restarted worker took") {
  SimulatedFleet fleet(kEntries, kVms);
  fleet.Advance(kOldWorker);
  REQUIRE(fleet.ListPlanners().size() == 1);
  const size_t planner = fleet.ListPlanners()[0];
  Submit(fleet, planner, "j");
  fleet.Advance(Duration(1'000));
  REQUIRE(FindRunningVm(fleet));
  for (size_t vm = 0; vm < kVms; ++vm) fleet.RestartWorker(vm);
  const auto vm = WaitForRun(fleet);
  REQUIRE(vm);
  CutOffFromEntries(fleet, *vm);
  fleet.RestartEntry(planner);
  fleet.Advance(kMaxHold);
  CAPTURE(Join(fleet.doubled()));
  CHECK(fleet.doubled().empty());
}

// TWICE: the restarted agent knows no epoch, and follows a replaced planner.
TEST_CASE("a replaced planner renews no leases of a restarted agent") {
  SimulatedFleet fleet(kEntries, kVms);
  StartPlanning(fleet);
  Submit(fleet, 0, "j");
  fleet.Advance(Duration(1'000));
  const auto vm = FindRunningVm(fleet);
  REQUIRE(vm);
  const Address replaced = SimulatedFleet::EntryAddress(0);
  const Address owner = SimulatedFleet::EntryAddress(1);
  const Address agent = SimulatedFleet::AgentAddress(*vm);
  const Address other_agent = SimulatedFleet::AgentAddress(1 - *vm);
  fleet.SetStoreLink(replaced, StoreLink::kUnreachable);
  fleet.CutBothWays(replaced, owner);
  fleet.CutBothWays(replaced, agent);
  fleet.CutBothWays(replaced, other_agent);
  fleet.Advance(Duration(2'500));
  REQUIRE(fleet.ListPlanners() == std::vector<size_t>{0, 1});
  fleet.HealLinks();
  fleet.CutBothWays(replaced, owner);
  fleet.CutBothWays(replaced, other_agent);
  fleet.CutBothWays(owner, agent);
  // The new process of the worker sees no number of the owner.
  fleet.RestartAgent(*vm, RenewalOnItsWay::kLost);
  fleet.RestartWorker(*vm, RenewalOnItsWay::kLost);
  fleet.Advance(kMaxHold);
  CAPTURE(Join(fleet.doubled()));
  CHECK(fleet.doubled().empty());
}

// TWICE: the agent hears nothing of the new process, and gives the run up with
// the leases that it has sent to the former one.
TEST_CASE(
    "an agent waits for a start that a silent worker may carry out late") {
  SimulatedFleet fleet(kEntries, kVms);
  fleet.Advance(kOldWorker);
  REQUIRE(fleet.ListPlanners().size() == 1);
  fleet.SetLateCallDelay(Duration(400));
  for (size_t vm = 0; vm < kVms; ++vm)
    fleet.SetWorkerLink(vm, WorkerLink::kCarriedOutLate);
  Submit(fleet, fleet.ListPlanners()[0], "j");
  fleet.Advance(Duration(200));
  for (size_t vm = 0; vm < kVms; ++vm) {
    fleet.SetWorkerLink(vm, WorkerLink::kUnreachable);
    fleet.RestartWorker(vm);
  }
  const auto vm = WaitForRun(fleet);
  REQUIRE(vm);
  fleet.SetWorkerLink(1 - *vm, WorkerLink::kUp);
  fleet.Advance(kMaxHold);
  CAPTURE(Join(fleet.doubled()));
  CHECK(fleet.doubled().empty());
}

// TWICE: the former process has seen the fencing number that makes the start
// void; the next process, which carries it out, has not.
TEST_CASE("a start that was void stays so for the worker's next process") {
  SimulatedFleet fleet(kEntries, kVms);
  fleet.Advance(kOldWorker);
  REQUIRE(fleet.ListPlanners().size() == 1);
  fleet.SetLateCallDelay(Duration(1'500));
  for (size_t vm = 0; vm < kVms; ++vm)
    fleet.SetWorkerLink(vm, WorkerLink::kCarriedOutLate);
  Submit(fleet, fleet.ListPlanners()[0], "j");
  fleet.Advance(Duration(300));
  const auto called = FindCalledVm(fleet);
  REQUIRE(called);
  for (size_t vm = 0; vm < kVms; ++vm) fleet.SetWorkerLink(vm, WorkerLink::kUp);
  REQUIRE(WaitForRun(fleet));
  fleet.SetWorkerLink(*called, WorkerLink::kLost);
  fleet.RestartWorker(*called);
  fleet.Advance(kMaxHold);
  const auto& runs = fleet.runs();
  const auto is_late = [&](const SimulatedRun& it) {
    return it.vm == *called && it.run == RunNumber(1);
  };
  REQUIRE(std::any_of(runs.begin() + 1, runs.end(), is_late));
  CAPTURE(Join(fleet.doubled()));
  CHECK(fleet.doubled().empty());
}

// TWICE: the worker answered no call for longer than starts are sent again, and
// the task was left to another VM as soon as it answered.
TEST_CASE("a start outlasts a short silence of the worker at the same VM") {
  SimulatedFleet fleet(kEntries, kVms);
  fleet.Advance(kOldWorker);
  REQUIRE(fleet.ListPlanners().size() == 1);
  fleet.SetLateCallDelay(Duration(4'000));
  for (size_t vm = 0; vm < kVms; ++vm)
    fleet.SetWorkerLink(vm, WorkerLink::kCarriedOutLate);
  Submit(fleet, fleet.ListPlanners()[0], "j");
  fleet.Advance(Duration(1'500));
  const auto called = FindCalledVm(fleet);
  REQUIRE(called);
  for (size_t vm = 0; vm < kVms; ++vm) fleet.SetWorkerLink(vm, WorkerLink::kUp);
  REQUIRE(WaitForRun(fleet));
  fleet.SetWorkerLink(*called, WorkerLink::kLost);
  fleet.RestartWorker(*called);
  fleet.Advance(kMaxHold);
  const auto& runs = fleet.runs();
  const auto is_late = [&](const SimulatedRun& it) {
    return it.vm == *called && it.run == RunNumber(1);
  };
  REQUIRE(std::any_of(runs.begin() + 1, runs.end(), is_late));
  CAPTURE(Join(fleet.doubled()));
  CHECK(fleet.doubled().empty());
}

// TWICE: the new process of the worker takes a lease of the longest length from
// a call of the former process of the agent, of which the new one knows
// nothing.
TEST_CASE("a restarted agent waits for leases sent by its former process") {
  SimulatedFleet fleet(kEntries, kVms);
  fleet.Advance(kOldWorker);
  REQUIRE(fleet.ListPlanners().size() == 1);
  Submit(fleet, fleet.ListPlanners()[0], "j");
  fleet.Advance(Duration(1'000));
  const auto vm = FindRunningVm(fleet);
  REQUIRE(vm);
  // The planner gives the other VM up, so that the task starts again on this
  // one.
  CutOffFromEntries(fleet, 1 - *vm);
  fleet.Advance(kGivenUp);
  fleet.SetLateCallDelay(Duration(600));
  fleet.SetWorkerLink(*vm, WorkerLink::kCarriedOutLate);
  fleet.Advance(Duration(700));
  fleet.RestartAgent(*vm);
  fleet.RestartWorker(*vm);
  fleet.SetWorkerLink(*vm, WorkerLink::kUp);
  fleet.Advance(Duration(600));
  REQUIRE(WaitForRun(fleet) == vm);
  fleet.HealLinks();
  CutOffFromEntries(fleet, *vm);
  fleet.Advance(kMaxHold);
  CAPTURE(Join(fleet.doubled()));
  CHECK(fleet.doubled().empty());
}

// TWICE: the former process of the agent had sent the start and not reported it
// before the VM fell silent.
TEST_CASE("a start of a former agent process is waited for on a silent VM") {
  SimulatedFleet fleet(kEntries, kVms);
  fleet.Advance(kOldWorker);
  REQUIRE(fleet.ListPlanners().size() == 1);
  fleet.SetLateCallDelay(Duration(3'000));
  for (size_t vm = 0; vm < kVms; ++vm)
    fleet.SetWorkerLink(vm, WorkerLink::kCarriedOutLate);
  Submit(fleet, fleet.ListPlanners()[0], "j");
  std::optional<size_t> called;
  for (Duration waited{0}; !called && waited < kMaxWait; waited += kStep) {
    fleet.Advance(kStep);
    called = FindCalledVm(fleet);
  }
  REQUIRE(called);
  fleet.RestartAgent(*called, RenewalOnItsWay::kLost);
  fleet.Advance(Duration(2'000));
  CutOffFromEntries(fleet, *called);
  fleet.RestartWorker(*called);
  fleet.SetWorkerLink(1 - *called, WorkerLink::kUp);
  fleet.Advance(kMaxHold);
  REQUIRE_FALSE(fleet.runs().empty());
  CAPTURE(Join(fleet.doubled()));
  CHECK(fleet.doubled().empty());
}

// TWICE, issue 66: an agent that had heard its worker, and not yet sent it a
// lease, counted on no lease of its former process.
TEST_CASE("runs outlast a restart of the agent beside a silent worker") {
  // The planner calls the new process within this time.
  constexpr Duration kFirstCalls{1'500};
  for (Duration delay{0}; delay < kFirstCalls; delay += kStep) {
    SimulatedFleet fleet(kEntries, kVms);
    fleet.Advance(kVeryOldWorker);
    REQUIRE(fleet.ListPlanners().size() == 1);
    Submit(fleet, fleet.ListPlanners()[0], "j");
    fleet.Advance(Duration(1'000));
    const auto vm = FindRunningVm(fleet);
    REQUIRE(vm);
    fleet.RestartAgent(*vm, RenewalOnItsWay::kLost);
    fleet.Advance(delay);
    fleet.SetWorkerLink(*vm, WorkerLink::kLost);
    fleet.Advance(Duration(1'500));
    fleet.SetWorkerLink(*vm, WorkerLink::kUp);
    fleet.Advance(kMaxHold);
    CAPTURE(delay.count());
    CAPTURE(Join(fleet.doubled()));
    CHECK(fleet.doubled().empty());
    CHECK(fleet.runs().size() == 1);
  }
}

// TWICE: a restarted agent knows no unanswered starts of its former process,
// and refuses the planner's copy while the worker's next process may begin it.
TEST_CASE("a restarted agent waits for starts sent by its former process") {
  for (Duration delay{1'000}; delay <= kMaxDelay; delay += kDelayStep) {
    SimulatedFleet fleet(kEntries, kVms);
    fleet.Advance(kVeryOldWorker);
    REQUIRE(fleet.ListPlanners().size() == 1);
    fleet.SetLateCallDelay(delay);
    for (size_t vm = 0; vm < kVms; ++vm)
      fleet.SetWorkerLink(vm, WorkerLink::kCarriedOutLate);
    Submit(fleet, fleet.ListPlanners()[0], "j");
    fleet.Advance(Duration(100));
    const auto called = FindCalledVm(fleet);
    REQUIRE(called);
    fleet.RestartAgent(*called, RenewalOnItsWay::kLost);
    fleet.RestartWorker(*called, RenewalOnItsWay::kLost);
    fleet.SetWorkerLink(*called, WorkerLink::kUnreachable);
    fleet.SetWorkerLink(1 - *called, WorkerLink::kUp);
    fleet.Advance(kMaxDelay + kMaxHold);
    CAPTURE(delay.count());
    CAPTURE(Join(fleet.doubled()));
    CHECK(fleet.doubled().empty());
  }
}

// TWICE: the agent that left the start unanswered is cut off before it tells of
// it, and the planner counts on leases alone.
TEST_CASE("a planner waits for starts that a VM cut off from it left open" *
          doctest::should_fail()) {
  for (Duration delay{1'000}; delay <= kMaxDelay; delay += kDelayStep) {
    SimulatedFleet fleet(kEntries, kVms);
    fleet.Advance(kVeryOldWorker);
    REQUIRE(fleet.ListPlanners().size() == 1);
    fleet.SetLateCallDelay(delay);
    for (size_t vm = 0; vm < kVms; ++vm)
      fleet.SetWorkerLink(vm, WorkerLink::kCarriedOutLate);
    Submit(fleet, fleet.ListPlanners()[0], "j");
    fleet.Advance(Duration(100));
    const auto called = FindCalledVm(fleet);
    REQUIRE(called);
    CutOffFromEntries(fleet, *called);
    fleet.RestartWorker(*called, RenewalOnItsWay::kLost);
    fleet.SetWorkerLink(*called, WorkerLink::kUnreachable);
    fleet.SetWorkerLink(1 - *called, WorkerLink::kUp);
    fleet.Advance(kMaxDelay + kMaxHold);
    CAPTURE(delay.count());
    CAPTURE(Join(fleet.doubled()));
    CHECK(fleet.doubled().empty());
  }
}

// TWICE: the next process of the worker carries out a renewal that acknowledges
// ends of the former one, and forgets its own end of that number.
TEST_CASE("a late renewal forgets no end of the worker's next process" *
          doctest::should_fail()) {
  SimulatedFleet fleet(kEntries, 1);
  fleet.SetFate([](const TaskKey&, RunNumber) {
    return std::pair(RunEnd::kDone, std::optional(kRunTime));
  });
  fleet.Advance(kOldWorker);
  REQUIRE(fleet.ListPlanners().size() == 1);
  const size_t planner = fleet.ListPlanners()[0];
  Submit(fleet, planner, "first");
  fleet.Advance(Duration(1'000));
  REQUIRE(fleet.runs().size() == 1);
  REQUIRE(fleet.runs()[0].acknowledged);
  fleet.SetLateCallDelay(Duration(1'500));
  fleet.SetWorkerLink(0, WorkerLink::kCarriedOutLate);
  Submit(fleet, planner, "j");
  fleet.Advance(Duration(700));
  fleet.SetWorkerLink(0, WorkerLink::kUnreachable);
  fleet.RestartWorker(0);
  fleet.Advance(Duration(2'000));
  REQUIRE(fleet.runs().size() == 2);
  REQUIRE(fleet.runs()[1].end == RunEnd::kDone);
  fleet.SetWorkerLink(0, WorkerLink::kUp);
  fleet.Advance(Duration(5'000));
  CAPTURE(Join(fleet.doubled()));
  CHECK(fleet.doubled().empty());
}

}  // namespace
}  // namespace almondtally::sched
