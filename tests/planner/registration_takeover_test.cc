#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

#include "planner/simulated_fleet.h"

// What a restarted agent, a late write of its row, or a removed row lets the
// next planner believe of leases.

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

std::string Join(const std::vector<std::string>& lines) {
  std::string out;
  for (const std::string& line : lines) out += line + "\n";
  return out;
}

void Submit(SimulatedFleet& fleet, size_t planner, const std::string& job) {
  fleet.Call(planner, MakeSubmission(job, 1, MilliCpu(3'000)), kCallTimeout,
             [](const JobAnswer&) {});
}

std::optional<size_t> FindRunningVm(const SimulatedFleet& fleet, size_t vms) {
  for (size_t vm = 0; vm < vms; ++vm) {
    if (fleet.CountRunning(vm) > 0) return vm;
  }
  return std::nullopt;
}

std::optional<size_t> WaitForRun(SimulatedFleet& fleet) {
  for (Duration waited{0}; waited < kMaxWait; waited += kStep) {
    if (const auto vm = FindRunningVm(fleet, kVms)) return vm;
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

void CheckNothingDoubled(const SimulatedFleet& fleet) {
  CAPTURE(Join(fleet.doubled()));
  CHECK(fleet.doubled().empty());
}

/// A job with one task that lasts, whose workers have been up for long.
/// @return the planner.
size_t StartJob(SimulatedFleet& fleet) {
  fleet.Advance(kOldWorker);
  REQUIRE(fleet.ListPlanners().size() == 1);
  const size_t planner = fleet.ListPlanners()[0];
  Submit(fleet, planner, "j");
  fleet.Advance(Duration(1'000));
  REQUIRE(FindRunningVm(fleet, kVms));
  return planner;
}

// TWICE: a write that says that no longer lease is left took effect after the
// one that told of the next lease.
TEST_CASE("a late write of a VM's row does not hide a later lease") {
  SimulatedFleet fleet(kEntries, kVms);
  const size_t planner = StartJob(fleet);
  for (size_t vm = 0; vm < kVms; ++vm) fleet.RestartWorker(vm);
  REQUIRE(WaitForRun(fleet));
  fleet.Advance(Duration(4'500));
  fleet.SetLateCommitDelay(Duration(1'600));
  for (size_t vm = 0; vm < kVms; ++vm) {
    fleet.SetStoreLink(SimulatedFleet::AgentAddress(vm),
                       StoreLink::kAppliedLate);
  }
  fleet.Advance(Duration(1'300));
  fleet.HealStoreLinks();
  for (size_t vm = 0; vm < kVms; ++vm) fleet.RestartWorker(vm);
  const auto vm = WaitForRun(fleet);
  REQUIRE(vm);
  fleet.Advance(Duration(700));
  CutOffFromEntries(fleet, *vm);
  fleet.RestartEntry(planner);
  fleet.Advance(kMaxHold);
  CheckNothingDoubled(fleet);
}

// TWICE: the agent reported that no longer lease is left before it could know.
TEST_CASE("a restarted agent without the store does not deny a longer lease") {
  SimulatedFleet fleet(kEntries, kVms);
  const size_t planner = StartJob(fleet);
  for (size_t vm = 0; vm < kVms; ++vm) fleet.RestartWorker(vm);
  const auto vm = WaitForRun(fleet);
  REQUIRE(vm);
  fleet.Advance(Duration(300));
  bool takeover = false;
  SUBCASE("the same planner") {}
  SUBCASE("the next planner") { takeover = true; }
  fleet.SetStoreLink(SimulatedFleet::AgentAddress(*vm),
                     StoreLink::kUnreachable);
  fleet.RestartAgent(*vm);
  fleet.Advance(Duration(300));
  if (takeover) fleet.RestartEntry(planner);
  fleet.Advance(Duration(1'000));
  CutOffFromEntries(fleet, *vm);
  fleet.Advance(kMaxHold);
  CheckNothingDoubled(fleet);
}

// TWICE: a VM without a row was taken for one without a former agent.
TEST_CASE("a VM whose row was removed may have a longer lease") {
  SimulatedFleet fleet(kEntries, kVms);
  StartJob(fleet);
  const auto other = FindRunningVm(fleet, kVms);
  REQUIRE(other);
  const size_t vm = 1 - *other;
  CutOffFromEntries(fleet, vm);
  fleet.SetStoreLink(SimulatedFleet::AgentAddress(vm), StoreLink::kUnreachable);
  fleet.Advance(Duration(12'000));
  CutOffFromEntries(fleet, *other);
  fleet.Advance(kGivenUp);
  fleet.SetLateCallDelay(Duration(900));
  fleet.SetWorkerLink(vm, WorkerLink::kCarriedOutLate);
  fleet.Advance(Duration(800));
  fleet.RestartAgent(vm, RenewalOnItsWay::kLost);
  fleet.RestartWorker(vm, RenewalOnItsWay::kLost);
  fleet.SetWorkerLink(vm, WorkerLink::kUp);
  fleet.HealStoreLinks();
  fleet.HealLinks();
  CutOffFromEntries(fleet, *other);
  fleet.Advance(Duration(800));
  fleet.HealLinks();
  CutOffFromEntries(fleet, vm);
  fleet.Advance(kMaxHold + kMaxHold);
  CheckNothingDoubled(fleet);
}

/// Two planners, the first of which has been replaced and reaches one agent
/// only.
struct ReplacedPlanner {
  SimulatedFleet fleet{kEntries, kVms};
  const Address replaced = SimulatedFleet::EntryAddress(0);
  const Address owner = SimulatedFleet::EntryAddress(1);
  size_t vm = 0;

  /// @param worker_link of the VM during the takeover.
  explicit ReplacedPlanner(Duration worker_age, WorkerLink worker_link) {
    fleet.SetFrozen(owner, true);
    fleet.Advance(Duration(2'000));
    fleet.SetFrozen(owner, false);
    REQUIRE(fleet.ListPlanners() == std::vector<size_t>{0});
    fleet.Advance(worker_age);
    Submit(fleet, 0, "j");
    fleet.Advance(Duration(1'000));
    const auto running = FindRunningVm(fleet, kVms);
    REQUIRE(running);
    vm = *running;
    fleet.SetStoreLink(replaced, StoreLink::kUnreachable);
    fleet.CutBothWays(replaced, owner);
    fleet.CutBothWays(replaced, agent());
    fleet.CutBothWays(replaced, other_agent());
    fleet.SetWorkerLink(vm, worker_link);
    fleet.Advance(Duration(2'500));
    REQUIRE(fleet.ListPlanners() == std::vector<size_t>{0, 1});
  }

  Address agent() const { return SimulatedFleet::AgentAddress(vm); }
  Address other_agent() const { return SimulatedFleet::AgentAddress(1 - vm); }
};

// TWICE: the worker had answered under the replaced planner's number, and then
// took a lease from a late call under its successor's.
TEST_CASE(
    "an answer under an old number does not end the wait for late calls") {
  ReplacedPlanner it(kOldWorker, WorkerLink::kUp);
  it.fleet.CutBothWays(it.owner, it.other_agent());
  it.fleet.SetLateCallDelay(Duration(2'500));
  it.fleet.SetWorkerLink(it.vm, WorkerLink::kCarriedOutLate);
  it.fleet.Advance(Duration(500));
  it.fleet.HealLinks();
  it.fleet.CutBothWays(it.replaced, it.owner);
  it.fleet.CutBothWays(it.replaced, it.other_agent());
  it.fleet.CutBothWays(it.owner, it.other_agent());
  it.fleet.CutBothWays(it.owner, it.agent());
  it.fleet.RestartAgent(it.vm, RenewalOnItsWay::kLost);
  it.fleet.RestartWorker(it.vm, RenewalOnItsWay::kLost);
  it.fleet.SetWorkerLink(it.vm, WorkerLink::kUp);
  it.fleet.Advance(Duration(2'700));
  it.fleet.HealLinks();
  it.fleet.CutBothWays(it.replaced, it.owner);
  it.fleet.CutBothWays(it.replaced, it.agent());
  it.fleet.CutBothWays(it.replaced, it.other_agent());
  it.fleet.CutBothWays(it.owner, it.other_agent());
  it.fleet.Advance(Duration(600));
  it.fleet.HealLinks();
  CutOffFromEntries(it.fleet, it.vm);
  it.fleet.Advance(kMaxHold + kMaxHold);
  CheckNothingDoubled(it.fleet);
}

// TWICE: the worker is older than the agent, and has not seen the owner's
// number all the same, since calls to it were lost during the takeover.
TEST_CASE("a replaced planner grants no leases to a worker cut off before" *
          doctest::should_fail()) {
  ReplacedPlanner it(Duration(0), WorkerLink::kLost);
  it.fleet.HealLinks();
  it.fleet.CutBothWays(it.replaced, it.owner);
  it.fleet.CutBothWays(it.replaced, it.other_agent());
  it.fleet.CutBothWays(it.owner, it.agent());
  it.fleet.SetStoreLink(it.agent(), StoreLink::kUnreachable);
  it.fleet.RestartAgent(it.vm, RenewalOnItsWay::kLost);
  it.fleet.SetWorkerLink(it.vm, WorkerLink::kUp);
  it.fleet.Advance(kMaxHold);
  CheckNothingDoubled(it.fleet);
}

// LOST: the agent waited for the store without bound.
TEST_CASE("a restarted agent starts tasks without the store after a while") {
  SimulatedFleet fleet(kEntries, 1);
  fleet.Advance(kOldWorker);
  REQUIRE(fleet.ListPlanners().size() == 1);
  const size_t planner = fleet.ListPlanners()[0];
  bool restarts_worker = false;
  SUBCASE("a new job") {}
  SUBCASE("the worker restarts as well") { restarts_worker = true; }
  if (restarts_worker) {
    Submit(fleet, planner, "j");
    fleet.Advance(Duration(1'000));
  }
  fleet.SetStoreLink(SimulatedFleet::AgentAddress(0), StoreLink::kUnreachable);
  fleet.RestartAgent(0);
  fleet.Advance(Duration(2'000));
  if (restarts_worker) {
    fleet.RestartWorker(0);
  } else {
    Submit(fleet, planner, "j");
  }
  fleet.Advance(Duration(12'000));
  CHECK(fleet.CountRunning(0) == 1);
}

}  // namespace
}  // namespace almondtally::sched
