#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

#include "planner/simulated_fleet.h"

// What the next planner believes of the last proof of ownership that its
// predecessor has.

namespace almondtally::sched {
namespace {

constexpr Duration kStep{5};
constexpr Duration kCallTimeout{3'000};
constexpr size_t kVms = 2;
/// Until the leases of a planner without the store have ended, and the next
/// planner has started the tasks again.
constexpr Duration kLongestTakeover{15'000};

std::string Join(const std::vector<std::string>& lines) {
  std::string out;
  for (const std::string& line : lines) out += line + "\n";
  return out;
}

/// Two entries, of which the first plans, and a task that runs on a VM which
/// the second entry does not reach.
struct SeparatedFleet {
  SimulatedFleet fleet{2, kVms};
  const Address first = SimulatedFleet::EntryAddress(0);
  const Address second = SimulatedFleet::EntryAddress(1);
  size_t vm = 0;

  SeparatedFleet() {
    fleet.SetFrozen(second, true);
    fleet.Advance(Duration(2'000));
    fleet.SetFrozen(second, false);
    REQUIRE(fleet.ListPlanners() == std::vector<size_t>{0});
    fleet.Call(0, MakeSubmission("j", 1, MilliCpu(3'000)), kCallTimeout,
               [](const JobAnswer&) {});
    fleet.Advance(Duration(1'000));
    REQUIRE(fleet.runs().size() == 1);
    vm = fleet.runs()[0].vm;
    fleet.CutBothWays(first, second);
    fleet.CutBothWays(second, SimulatedFleet::AgentAddress(vm));
  }

  void LoseStoreOfFirst() {
    fleet.SetStoreLink(first, StoreLink::kUnreachable);
    fleet.CutBothWays(first, SimulatedFleet::AgentAddress(1 - vm));
  }
};

// TWICE: the answer to a repeated commit proved the ownership anew, although
// the row had changed with the first attempt, from which the successor counts.
TEST_CASE("a commit found by its repetition proves nothing after its change") {
  // When the last lease is granted depends on when the agent is asked.
  for (Duration phase{0}; phase < Duration(600); phase += Duration(20)) {
    CAPTURE(phase.count());
    SeparatedFleet it;
    it.fleet.Advance(phase);
    it.fleet.SetStoreLink(it.first, StoreLink::kAnswersLost);
    const uint64_t before = it.fleet.memory().version;
    while (it.fleet.memory().version == before) it.fleet.Advance(kStep);
    it.fleet.Advance(Duration(1'000));
    it.fleet.SetStoreLink(it.first, StoreLink::kUp);
    // The repetition has been answered, and the next commit is not sent yet.
    it.fleet.Advance(Duration(110));
    it.LoseStoreOfFirst();
    it.fleet.Advance(kLongestTakeover);
    CHECK(it.fleet.runs().size() == 2);
    CAPTURE(Join(it.fleet.doubled()));
    CHECK(it.fleet.doubled().empty());
  }
}

// TWICE: as above; the successor has been frozen since it first read the row.
TEST_CASE("a frozen successor counts on no proof that changed nothing") {
  // The third repetition is answered, and the next commit is not sent yet.
  for (Duration cut{100}; cut < Duration(160); cut += kStep) {
    CAPTURE(cut.count());
    SeparatedFleet it;
    it.fleet.SetStoreLink(it.first, StoreLink::kAnswersLost);
    const uint64_t before = it.fleet.memory().version;
    while (it.fleet.memory().version == before) it.fleet.Advance(kStep);
    it.fleet.Advance(Duration(600));
    it.fleet.SetFrozen(it.second, true);
    it.fleet.Advance(Duration(2'600));
    it.fleet.SetStoreLink(it.first, StoreLink::kUp);
    it.fleet.Advance(cut);
    it.LoseStoreOfFirst();
    it.fleet.SetFrozen(it.second, false);
    it.fleet.Advance(kLongestTakeover);
    CHECK(it.fleet.runs().size() == 2);
    CAPTURE(Join(it.fleet.doubled()));
    CHECK(it.fleet.doubled().empty());
  }
}

}  // namespace
}  // namespace almondtally::sched
