#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

#include "planner/simulated_fleet.h"

namespace almondtally::sched {
namespace {

constexpr Duration kCallTimeout{3'000};
constexpr Duration kMaxAge{4'000};
constexpr Duration kReadInterval{500};
/// From the store's answer to the operator until nothing starts any more.
constexpr Duration kBound{5'000};

/// Two entries and two VMs, each VM in a data centre of its own, with lasting
/// tasks of which every second one ends again and again.
struct EvacuatedFleet {
  SimulatedFleet fleet{2, 2, PlanningFeatures{}, kMaxAge};
  uint64_t version = 1'000;
  std::set<DataCentreId> requests;
  /// Entries that can read the requests.
  std::set<size_t> readers{0, 1};

  EvacuatedFleet() {
    fleet.SetFate([](const TaskKey& task, RunNumber) {
      const bool ends = task.index % 2 == 1;
      return std::pair(RunEnd::kFailed,
                       ends ? std::optional(Duration(500)) : std::nullopt);
    });
  }

  void Evacuate(std::set<DataCentreId> data_centres) {
    requests = std::move(data_centres);
    ++version;
  }

  void Advance(Duration by) {
    for (Duration gone{0}; gone < by; gone += kReadInterval) {
      for (const size_t entry : readers) {
        const MonotonicTime sent{fleet.now().time_since_epoch() +
                                 Duration(1'000'000)};
        fleet.planner(entry).SetEvacuations(
            {RowVersion(version), sent, requests});
      }
      fleet.Advance(kReadInterval);
    }
  }

  void Submit(uint32_t tasks) {
    JobCall call = MakeSubmission("j", tasks, MilliCpu(3'000));
    call.spec.steps[0].lasting = true;
    bool accepted = false;
    fleet.Call(0, call, kCallTimeout, [&](const JobAnswer& answer) {
      accepted = answer.verdict == JobVerdict::kOk;
    });
    fleet.Advance(Duration(1'000));
    REQUIRE(accepted);
  }

  size_t CountStarts(size_t vm, MonotonicTime after) const {
    const auto& runs = fleet.runs();
    return static_cast<size_t>(
        std::count_if(runs.begin(), runs.end(), [&](const SimulatedRun& it) {
          return it.vm == vm && it.started_at > after;
        }));
  }

  /// @return the runs of a VM that were stopped.
  size_t CountStopped(size_t vm) const {
    const auto& runs = fleet.runs();
    return static_cast<size_t>(
        std::count_if(runs.begin(), runs.end(), [&](const SimulatedRun& it) {
          return it.vm == vm && it.ended_at && it.end != RunEnd::kFailed;
        }));
  }
};

TEST_CASE("a planner starts nothing before it knows the evacuation requests") {
  EvacuatedFleet it;
  it.fleet.Advance(Duration(2'000));
  it.Submit(2);
  it.fleet.Advance(Duration(2'000));
  CHECK(it.fleet.runs().empty());
  it.Advance(Duration(500));
  CHECK(it.fleet.runs().size() >= 2);
}

TEST_CASE("nothing starts by requests that were last read long ago") {
  EvacuatedFleet it;
  it.Advance(Duration(2'000));
  it.Submit(2);
  // The store is away for all.
  it.readers.clear();
  it.Advance(kMaxAge);
  const MonotonicTime outdated = it.fleet.now();
  it.Advance(Duration(3'000));
  const size_t before = it.fleet.runs().size();
  CHECK(it.CountStarts(0, outdated) + it.CountStarts(1, outdated) == 0);
  it.readers = {0, 1};
  it.Advance(Duration(1'000));
  CHECK(it.fleet.runs().size() > before);
}

TEST_CASE("the next planner keeps to the requests from its first start on") {
  EvacuatedFleet it;
  it.Advance(Duration(2'000));
  it.Submit(4);
  REQUIRE(it.fleet.ListPlanners().size() == 1);
  const size_t planner = it.fleet.ListPlanners()[0];
  it.Evacuate({SimulatedFleet::DataCentreOf(0)});
  const MonotonicTime told = it.fleet.now();
  SUBCASE("the planner has read the request") { it.Advance(Duration(500)); }
  SUBCASE("the planner dies before it reads the request") {}
  it.fleet.RestartEntry(planner);
  SUBCASE("an agent restarts meanwhile") { it.fleet.RestartAgent(0); }
  it.Advance(Duration(8'000));
  CHECK(it.fleet.ListPlanners().size() == 1);
  CHECK(it.CountStarts(0, told + Duration(600)) == 0);
  CHECK(it.CountStarts(1, told + Duration(4'000)) > 0);
  // What ran there runs on.
  CHECK(it.fleet.CountRunning(0) == 1);
  CHECK(it.CountStopped(0) == 0);
  it.Evacuate({});
  const MonotonicTime taken_back = it.fleet.now();
  it.Advance(Duration(6'000));
  CHECK(it.CountStarts(0, taken_back) > 0);
  CHECK(it.fleet.doubled().empty());
}

// The planner keeps one VM and does not hear of the request; its successor does
// not reach that VM.
TEST_CASE("a planner without the store soon starts nothing more") {
  EvacuatedFleet it;
  it.fleet.SetFrozen(SimulatedFleet::EntryAddress(1), true);
  it.Advance(Duration(2'000));
  it.fleet.SetFrozen(SimulatedFleet::EntryAddress(1), false);
  it.Submit(4);
  REQUIRE(it.fleet.ListPlanners() == std::vector<size_t>{0});
  REQUIRE(it.fleet.CountRunning(0) > 0);
  const Address old_owner = SimulatedFleet::EntryAddress(0);
  const Address new_owner = SimulatedFleet::EntryAddress(1);
  it.fleet.SetStoreLink(old_owner, StoreLink::kUnreachable);
  it.fleet.CutBothWays(old_owner, new_owner);
  it.fleet.CutBothWays(old_owner, SimulatedFleet::AgentAddress(1));
  it.fleet.CutBothWays(new_owner, SimulatedFleet::AgentAddress(0));
  it.readers = {1};
  it.Evacuate({SimulatedFleet::DataCentreOf(0)});
  const MonotonicTime told = it.fleet.now();
  it.Advance(kBound);
  CHECK(it.CountStarts(0, told + Duration(1'000)) > 0);
  CHECK(it.fleet.ListPlanners() == std::vector<size_t>{0, 1});
  it.Advance(Duration(3'000));
  CHECK(it.CountStarts(0, told + kBound) == 0);
  it.fleet.HealLinks();
  it.fleet.HealStoreLinks();
  it.Advance(Duration(10'000));
  CHECK(it.CountStarts(0, told + kBound) == 0);
  CHECK(it.fleet.doubled().empty());
}

}  // namespace
}  // namespace almondtally::sched
