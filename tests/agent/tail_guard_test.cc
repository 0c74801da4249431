#include "agent/tail_guard.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace almondtally::sched {
namespace {

const MonotonicTime kNow{Duration(1'000'000)};
const TaskKey kServing{JobId("web"), 0, 0, 0};
const TaskKey kFiller{JobId("batch"), 0, 0, 0};
constexpr int64_t kTargetMs = 18;
constexpr Duration kLimit{5'000};

/// An agent's table with a serving run and a filler.
struct Vm {
  RunTable table;
  MonotonicTime now = kNow;

  explicit Vm(Duration limit = kLimit) {
    table.life = AgentIncarnation(7);
    table.started_at = now;
    WorkerHello hello;
    hello.worker.id = WorkerId("w");
    hello.worker.capacity = {MilliCpu(8'000), Mebibytes(8'000),
                             Accelerators(0)};
    hello.born_ms = 100;
    ApplyWorkerHello(table, now, hello);
    SyncRequest request = Request();
    request.tail_limit_ms = limit.count();
    ApplySyncRequest(table, now, request);
    List(0);
    Order(kServing, false);
    Order(kFiller, true);
  }

  SyncRequest Request(uint64_t batch = 0) const {
    SyncRequest out;
    out.epoch = PlannerEpoch(1);
    out.life = table.life;
    out.worker = table.worker.id;
    out.fencing_base = 1 << 24;
    out.stamp = AgentTime(now.time_since_epoch().count());
    out.grant_ms = kLeaseGrantDuration.count();
    out.batch = batch;
    return out;
  }

  void Order(const TaskKey& task, bool filler) {
    StartOrder start;
    start.task = task;
    start.run = RunNumber(1);
    start.size = {MilliCpu(1'000), Mebibytes(100), Accelerators(0)};
    start.filler = filler;
    if (!filler) start.tail_target_ms = kTargetMs;
    SyncRequest request = Request(table.batch + 1);
    request.starts = {start};
    ApplySyncRequest(table, now, request);
    for (const StartCall& call : BeginStartCalls(table, now)) {
      FinishStartCall(table, now, call, {});
    }
  }

  void OrderPace(int64_t percent) {
    SyncRequest request = Request(table.batch + 1);
    request.paces = {{kFiller, RunNumber(1), percent}};
    ApplySyncRequest(table, now, request);
  }

  /// Lists all runs with a tail latency of the serving one.
  void List(int64_t tail_ms) {
    const auto renewal = BeginRenewal(table, now);
    REQUIRE(renewal);
    WorkerListing listing;
    listing.clock_ms = now.time_since_epoch().count();
    listing.born_ms = 100;
    for (const auto& [task, run] : table.runs) {
      if (run.phase != RunPhase::kRunning) continue;
      WorkerRun it;
      it.task = task;
      it.run = run.order.run;
      if (task == kServing) it.measurement = tail_ms;
      listing.running.push_back(it);
    }
    ApplyWorkerListing(table, now, *renewal, listing);
  }

  /// Lists the tail latency three times a second until `since` after kNow.
  void MissUntil(Duration since) {
    constexpr Duration kListingInterval{300};
    while (now + kListingInterval <= kNow + since) {
      List(kTargetMs + 1);
      now += kListingInterval;
    }
    now = kNow + since;
    List(kTargetMs + 1);
  }

  std::vector<PaceCall> Calls() { return BeginPaceCalls(table, now); }
  /// Answers the calls that are due. @return their limits.
  std::vector<int64_t> AnswerCalls() {
    std::vector<int64_t> out;
    for (const PaceCall& call : Calls()) {
      FinishPaceCall(table, now, call, {});
      out.push_back(call.percent);
    }
    return out;
  }
  RunReport ReportOf(const TaskKey& task) {
    for (const RunReport& it : MakeReport(table, now, {}).runs) {
      if (it.task == task) return it;
    }
    return {};
  }
};

TEST_CASE("the time of a missed target is reported from its first listing") {
  Vm vm;
  vm.MissUntil(Duration(2'100));
  CHECK(vm.ReportOf(kServing).over_target_ms == 2'100);
  CHECK(vm.ReportOf(kFiller).over_target_ms == 0);
  vm.List(kTargetMs);
  CHECK(vm.ReportOf(kServing).over_target_ms == 0);
}

// Issue 56: nobody paused fillers while no planner reached the VM.
TEST_CASE("an agent pauses fillers itself before the allowed time ends") {
  Vm vm;
  vm.MissUntil(Duration(3'700));
  CHECK(vm.Calls().empty());
  vm.MissUntil(Duration(3'800));
  CHECK(vm.AnswerCalls() == std::vector<int64_t>{0});
  CHECK(vm.ReportOf(kFiller).held);
  CHECK(vm.ReportOf(kFiller).pace == 0);
  CHECK_FALSE(vm.ReportOf(kServing).held);
  REQUIRE(vm.table.hold_notes.size() == 1);
  CHECK(vm.table.hold_notes[0].fillers == 1);
  REQUIRE(vm.table.pace_notes.size() == 1);
  CHECK(vm.table.pace_notes[0].missed_for == Duration(3'800));
}

TEST_CASE("an agent that held fillers lets them go on once the target is met") {
  Vm vm;
  vm.MissUntil(Duration(3'800));
  REQUIRE(vm.AnswerCalls() == std::vector<int64_t>{0});
  vm.MissUntil(Duration(4'400));
  CHECK(vm.AnswerCalls().empty());
  vm.List(kTargetMs);
  CHECK(vm.AnswerCalls() == std::vector<int64_t>{100});
  CHECK_FALSE(vm.ReportOf(kFiller).held);
}

TEST_CASE("a planner's order does not end the agent's own pause") {
  Vm vm;
  vm.MissUntil(Duration(3'800));
  REQUIRE(vm.AnswerCalls() == std::vector<int64_t>{0});
  vm.OrderPace(100);
  CHECK(vm.AnswerCalls().empty());
  vm.OrderPace(0);
  vm.List(kTargetMs);
  CHECK(vm.AnswerCalls().empty());
  vm.OrderPace(100);
  CHECK(vm.AnswerCalls() == std::vector<int64_t>{100});
}

TEST_CASE("a filler that starts while fillers are held pauses at once") {
  Vm vm;
  vm.MissUntil(Duration(3'800));
  REQUIRE(vm.AnswerCalls() == std::vector<int64_t>{0});
  vm.Order({JobId("late"), 0, 0, 0}, true);
  CHECK(vm.AnswerCalls() == std::vector<int64_t>{0});
}

// The time since an unset one was logged.
TEST_CASE("a confirmed pause that is no longer wanted has no times") {
  Vm vm;
  vm.OrderPace(0);
  const auto calls = vm.Calls();
  REQUIRE(calls.size() == 1);
  vm.OrderPace(100);
  FinishPaceCall(vm.table, vm.now, calls[0], {});
  REQUIRE(vm.table.pace_notes.size() == 1);
  CHECK(vm.table.pace_notes[0].sent_for < Duration(0));
  CHECK(vm.table.pace_notes[0].requested_for < Duration(0));
}

TEST_CASE("a pause that is not answered is repeated in the allowed time") {
  Vm vm;
  vm.MissUntil(Duration(3'800));
  const auto lost = vm.Calls();
  REQUIRE(lost.size() == 1);
  vm.now += Duration(250);
  FinishPaceCall(vm.table, vm.now, lost[0], {CallOutcome::kUnknown, "timeout"});
  vm.now += Duration(20);
  CHECK(vm.AnswerCalls() == std::vector<int64_t>{0});
}

TEST_CASE("an agent does not pause fillers when it knows no limit or target") {
  Vm vm(Duration(0));
  vm.MissUntil(Duration(9'000));
  CHECK(vm.Calls().empty());
  Vm other;
  other.table.runs.at(kServing).order.tail_target_ms = 0;
  other.MissUntil(Duration(9'000));
  CHECK(other.Calls().empty());
}

// Regression test: a filler that an earlier process of the agent had paused
// counted as being at full speed, and stayed paused for good.
TEST_CASE("the speed of a run that a new agent process finds is unknown") {
  Vm vm;
  vm.table.runs.clear();
  const auto renewal = BeginRenewal(vm.table, vm.now);
  REQUIRE(renewal);
  WorkerListing listing;
  listing.clock_ms = vm.now.time_since_epoch().count();
  listing.born_ms = 100;
  WorkerRun found;
  found.task = kFiller;
  found.run = RunNumber(1);
  listing.running = {found};
  ApplyWorkerListing(vm.table, vm.now, *renewal, listing);
  CHECK(vm.ReportOf(kFiller).pace < 0);
  CHECK(vm.AnswerCalls().empty());
  vm.OrderPace(100);
  CHECK(vm.AnswerCalls() == std::vector<int64_t>{100});
  CHECK(vm.ReportOf(kFiller).pace == 100);
}

TEST_CASE("a target missed beside fillers for the allowed time is noted once") {
  Vm vm;
  vm.MissUntil(Duration(3'800));
  // The calls that pause the filler are rejected.
  for (int64_t ms = 3'800; ms <= 7'000; ms += 300) {
    vm.MissUntil(Duration(ms));
    for (const PaceCall& call : vm.Calls()) {
      FinishPaceCall(vm.table, vm.now, call, {CallOutcome::kRejected, "no"});
    }
  }
  REQUIRE(vm.table.long_misses.size() == 1);
  CHECK(vm.table.long_misses[0].fillers_at_work == 1);
  CHECK(vm.table.long_misses[0].missed_for >= kLimit);
}

TEST_CASE("reports of agents that do not know targets are read") {
  RunReport report;
  report.task = kServing;
  report.run = RunNumber(3);
  report.over_target_ms = 700;
  report.held = true;
  nlohmann::json bytes = report;
  CHECK(bytes.get<RunReport>().over_target_ms == 700);
  CHECK(bytes.get<RunReport>().held);
  bytes.erase(9);
  bytes.erase(8);
  CHECK(bytes.get<RunReport>().run == RunNumber(3));
  CHECK(bytes.get<RunReport>().over_target_ms < 0);
  CHECK_FALSE(bytes.get<RunReport>().held);
}

}  // namespace
}  // namespace almondtally::sched
