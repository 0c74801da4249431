#include <doctest/doctest.h>

#include <optional>
#include <set>
#include <string>

#include "planner/simulated_fleet.h"

namespace almondtally::sched {
namespace {

constexpr Duration kCallTimeout{3'000};
constexpr int kBusyJobs = 24;

PlanningFeatures WithAdmission() {
  PlanningFeatures out;
  out.admission = true;
  return out;
}

/// @return a job that is of no value after three seconds.
JobCall Urgent(const std::string& id) {
  JobCall call = MakeSubmission(id, 1, MilliCpu(1'000));
  call.spec.steps[0].estimate_ms = 1'000;
  return call;
}

/// Two entries, of which the first plans, and two VMs that are busy for longer
/// than urgent jobs are of value.
struct BusyFleet {
  SimulatedFleet fleet{2, 2, WithAdmission()};

  BusyFleet() {
    fleet.SetFate([this](const TaskKey& task, RunNumber) {
      const bool is_urgent = task.job.value.starts_with("urgent");
      const Duration time = is_urgent ? Duration(1'000) : busy_time;
      return std::pair(RunEnd::kDone, std::optional(time));
    });
    fleet.SetFrozen(SimulatedFleet::EntryAddress(1), true);
    fleet.Advance(Duration(2'000));
    fleet.SetFrozen(SimulatedFleet::EntryAddress(1), false);
    REQUIRE(fleet.ListPlanners() == std::vector<size_t>{0});
    for (int i = 0; i < kBusyJobs; ++i) {
      JobCall call =
          MakeSubmission("busy" + std::to_string(i), 1, MilliCpu(1'000));
      call.spec.steps[0].estimate_ms = 100'000;
      REQUIRE(Ask(0, call).verdict == JobVerdict::kOk);
    }
    fleet.Advance(Duration(500));
    REQUIRE(fleet.CountRunning(0) + fleet.CountRunning(1) == 16);
  }

  JobAnswer Ask(size_t entry, const JobCall& call) {
    std::optional<JobAnswer> out;
    fleet.Call(entry, call, kCallTimeout,
               [&](const JobAnswer& answer) { out = answer; });
    const MonotonicTime give_up_at =
        fleet.now() + kCallTimeout + Duration(1'000);
    while (!out && fleet.now() < give_up_at) fleet.Advance(Duration(5));
    return out.value_or(JobAnswer{});
  }

  bool IsStored(const std::string& id) {
    return fleet.memory().rows.contains({table::kJobs, "shard-0", id});
  }

  int CountRuns(const std::string& id) const {
    int n = 0;
    for (const SimulatedRun& run : fleet.runs()) {
      if (run.task.job == JobId(id)) ++n;
    }
    return n;
  }

  Duration busy_time{60'000};
};

TEST_CASE("a job that surely ends too late is rejected and never runs") {
  BusyFleet busy;
  const MonotonicTime asked_at = busy.fleet.now();
  const JobAnswer answer = busy.Ask(1, Urgent("urgent"));
  CHECK(answer.verdict == JobVerdict::kRejected);
  CHECK(answer.retry_after_ms >= 1'000);
  CHECK(busy.fleet.now() - asked_at < Duration(60));
  CHECK_FALSE(busy.IsStored("urgent"));
  busy.fleet.Advance(Duration(70'000));
  CHECK(busy.CountRuns("urgent") == 0);
  SUBCASE("its caller comes back when there is room") {
    CHECK(busy.Ask(0, Urgent("urgent")).verdict == JobVerdict::kOk);
    busy.fleet.Advance(Duration(3'000));
    CHECK(busy.CountRuns("urgent") == 1);
  }
}

TEST_CASE("without the setting, no job is rejected for its lateness") {
  SimulatedFleet fleet(1, 1);
  fleet.Advance(Duration(2'000));
  std::set<JobVerdict> verdicts;
  for (int i = 0; i < kBusyJobs; ++i) {
    fleet.Call(0, Urgent("urgent" + std::to_string(i)), kCallTimeout,
               [&](const JobAnswer& it) { verdicts.insert(it.verdict); });
    fleet.Advance(Duration(50));
  }
  CHECK(verdicts == std::set{JobVerdict::kOk});
}

TEST_CASE("a job whose commit is unanswered is never rejected") {
  BusyFleet busy;
  const Address planner = SimulatedFleet::EntryAddress(0);
  // It is accepted because some room is free, which is then used up.
  busy.fleet.RestartWorker(0);
  busy.fleet.Advance(Duration(20));
  busy.fleet.SetStoreLink(planner, StoreLink::kAnswersLost);
  JobCall call = Urgent("urgent");
  call.spec.steps[0].estimate_ms = 50'000;
  const JobAnswer first = busy.Ask(0, call);
  CHECK(first.verdict != JobVerdict::kRejected);
  REQUIRE(busy.IsStored("urgent"));
  SUBCASE("the planner stays") {}
  SUBCASE("the planner is replaced") { busy.fleet.RestartEntry(0); }
  busy.fleet.HealStoreLinks();
  for (int i = 0; i < 10; ++i) {
    const JobAnswer again = busy.Ask(1, Urgent("urgent"));
    CHECK(again.verdict != JobVerdict::kRejected);
    CHECK(again.verdict != JobVerdict::kUnavailable);
  }
}

TEST_CASE("a planner that cannot prove its ownership rejects nothing") {
  BusyFleet busy;
  const Address planner = SimulatedFleet::EntryAddress(0);
  busy.fleet.SetStoreLink(planner, StoreLink::kUnreachable);
  SUBCASE("it is cut off, and its successor has accepted the job") {
    busy.fleet.CutBothWays(planner, SimulatedFleet::EntryAddress(1));
    busy.fleet.CutBothWays(planner, SimulatedFleet::AgentAddress(0));
    busy.fleet.CutBothWays(planner, SimulatedFleet::AgentAddress(1));
    busy.fleet.Advance(Duration(3'000));
    REQUIRE(busy.fleet.planner(1).planning());
    // The successor knows neither the sizes of the queue nor its rejections.
    CHECK(busy.Ask(1, Urgent("urgent")).verdict == JobVerdict::kOk);
  }
  SUBCASE("the store goes away just after the request") {}
  CHECK(busy.Ask(0, Urgent("urgent")).verdict != JobVerdict::kRejected);
}

TEST_CASE("the store goes away between the decision and its proof") {
  BusyFleet busy;
  const Address planner = SimulatedFleet::EntryAddress(0);
  const Address other = SimulatedFleet::EntryAddress(1);
  std::optional<JobAnswer> answer;
  busy.fleet.Call(0, Urgent("urgent"), kCallTimeout,
                  [&](const JobAnswer& it) { answer = it; });
  busy.fleet.SetStoreLink(planner, StoreLink::kAnswersLost);
  busy.fleet.SetStoreLink(other, StoreLink::kUnreachable);
  busy.fleet.Advance(kCallTimeout);
  REQUIRE(answer);
  CHECK(answer->verdict != JobVerdict::kRejected);
  CHECK(answer->verdict != JobVerdict::kOk);
  CHECK_FALSE(busy.IsStored("urgent"));
}

TEST_CASE(
    "a planner killed after a rejection leaves the job to its successor") {
  BusyFleet busy;
  REQUIRE(busy.Ask(0, Urgent("urgent")).verdict == JobVerdict::kRejected);
  busy.busy_time = Duration(100);
  busy.fleet.RestartEntry(0);
  busy.fleet.Advance(Duration(70'000));
  CHECK(busy.Ask(1, Urgent("urgent")).verdict == JobVerdict::kOk);
  busy.fleet.Advance(Duration(3'000));
  CHECK(busy.CountRuns("urgent") == 1);
}

}  // namespace
}  // namespace almondtally::sched
