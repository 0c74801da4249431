#include <doctest/doctest.h>

#include "planner/simulated_fleet.h"

// What a planner concludes from an absence while it may have been replaced.

namespace almondtally::sched {
namespace {

constexpr Duration kCallTimeout{3'000};

JobCall CallAbout(const std::string& id, JobVerb verb) {
  JobCall call;
  call.verb = verb;
  call.job = JobId(id);
  call.queue = QueueId("q");
  return call;
}

struct Answers {
  std::vector<JobAnswer> all;
  Planner::AnswerFn Fn() {
    return [this](const JobAnswer& answer) { all.push_back(answer); };
  }
};

/// Two entries and a VM. The first entry plans.
struct TwoEntries {
  SimulatedFleet fleet{2, 1};

  TwoEntries() {
    fleet.SetFrozen(SimulatedFleet::EntryAddress(1), true);
    fleet.Advance(Duration(2'000));
    fleet.SetFrozen(SimulatedFleet::EntryAddress(1), false);
    fleet.Advance(Duration(500));
    REQUIRE(fleet.ListPlanners() == std::vector<size_t>{0});
  }

  /// Cuts the planner off from the store, the other entry and the VM. The other
  /// entry takes over on request.
  void ReplacePlanner() {
    const Address owner = SimulatedFleet::EntryAddress(0);
    fleet.SetStoreLink(owner, StoreLink::kUnreachable);
    fleet.CutBothWays(owner, SimulatedFleet::EntryAddress(1));
    fleet.CutBothWays(owner, SimulatedFleet::AgentAddress(0));
    fleet.planner(1).RequestTakeOver(PlannerEpoch(1));
    fleet.Advance(Duration(100));
    REQUIRE(fleet.ListPlanners() == std::vector<size_t>{0, 1});
  }
};

// Issue 42: for 1.3 s after its last commit a planner took the jobs that it did
// not know for jobs that did not exist. A takeover on request is faster.
TEST_CASE("a planner replaced on request denies no job of its successor") {
  TwoEntries entries;
  JobCall call;
  SUBCASE("read") { call = CallAbout("j", JobVerb::kRead); }
  SUBCASE("cancel") { call = CallAbout("j", JobVerb::kCancel); }
  entries.ReplacePlanner();
  Answers accepted;
  entries.fleet.Call(1, MakeSubmission("j", 1, MilliCpu(1'000)), kCallTimeout,
                     accepted.Fn());
  entries.fleet.Advance(Duration(100));
  REQUIRE(accepted.all.size() == 1);
  REQUIRE(accepted.all[0].verdict == JobVerdict::kOk);
  Answers answers;
  entries.fleet.planner(0).Handle(call, answers.Fn());
  entries.fleet.Advance(kCallTimeout);
  REQUIRE(answers.all.size() == 1);
  CHECK(answers.all[0].verdict == JobVerdict::kUnavailable);
  CHECK(answers.all[0].store_away);
}

TEST_CASE("a request about an unknown job goes on to the planner's successor") {
  TwoEntries entries;
  JobCall call;
  SUBCASE("read") { call = CallAbout("j", JobVerb::kRead); }
  SUBCASE("cancel") { call = CallAbout("j", JobVerb::kCancel); }
  entries.ReplacePlanner();
  Answers accepted;
  entries.fleet.Call(1, MakeSubmission("j", 1, MilliCpu(1'000)), kCallTimeout,
                     accepted.Fn());
  entries.fleet.Advance(Duration(100));
  REQUIRE(accepted.all.size() == 1);
  Answers answers;
  entries.fleet.Call(0, call, kCallTimeout, answers.Fn());
  entries.fleet.HealLinks();
  entries.fleet.SetStoreLink(SimulatedFleet::EntryAddress(0), StoreLink::kUp);
  entries.fleet.Advance(kCallTimeout);
  REQUIRE(answers.all.size() == 1);
  CHECK(answers.all[0].verdict == JobVerdict::kOk);
}

// The job is looked up again when the answer is due.
TEST_CASE("a job accepted while a read waits for a proof is not denied") {
  TwoEntries entries;
  Answers accepted;
  Answers answers;
  entries.fleet.Call(0, MakeSubmission("j", 1, MilliCpu(1'000)), kCallTimeout,
                     accepted.Fn());
  entries.fleet.planner(0).Handle(CallAbout("j", JobVerb::kRead), answers.Fn());
  entries.fleet.Advance(Duration(500));
  REQUIRE(accepted.all.size() == 1);
  REQUIRE(accepted.all[0].verdict == JobVerdict::kOk);
  REQUIRE(answers.all.size() == 1);
  CHECK(answers.all[0].verdict == JobVerdict::kOk);
}

TEST_CASE("a job that does not exist is denied within a commit") {
  TwoEntries entries;
  JobCall call;
  SUBCASE("read") { call = CallAbout("nobody", JobVerb::kRead); }
  SUBCASE("cancel") { call = CallAbout("nobody", JobVerb::kCancel); }
  Answers answers;
  entries.fleet.Call(0, call, kCallTimeout, answers.Fn());
  entries.fleet.Advance(Duration(150));
  REQUIRE(answers.all.size() == 1);
  CHECK(answers.all[0].verdict == JobVerdict::kUnknownJob);
}

}  // namespace
}  // namespace almondtally::sched
