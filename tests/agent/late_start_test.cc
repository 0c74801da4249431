#include "agent/late_start.h"

#include <doctest/doctest.h>

#include <vector>

#include "agent/run_table.h"

namespace almondtally::sched {
namespace {

const MonotonicTime kNow{Duration(1'000'000)};
const TaskKey kTask{JobId("j"), 0, 0, 0};
const TaskKey kOther{JobId("k"), 0, 0, 0};
constexpr int64_t kBornMs = 100;
constexpr int64_t kRestartedMs = 200;
/// After this time without an answer, all leases have expired.
constexpr Duration kExpired = kMaxLeaseDuration;
/// The longest delay of a call, and the longest lease with its drift.
constexpr Duration kLongestLateRun{15'000 + 10'300};

WorkerHello Hello(const std::string& id, int64_t born_ms) {
  WorkerHello out;
  out.worker.id = WorkerId(id);
  out.worker.capacity = {MilliCpu(4'000), Mebibytes(10'000), Accelerators(0)};
  out.born_ms = born_ms;
  return out;
}

WorkerListing Listing(int64_t born_ms) {
  WorkerListing out;
  out.clock_ms = 5'000;
  out.born_ms = born_ms;
  return out;
}

WorkerRun Listed(const TaskKey& task) {
  return {task, RunNumber(1), "", 100, -1};
}

/// An agent's table, and calls to its worker whose results a test chooses.
struct Vm {
  RunTable table;
  MonotonicTime now = kNow;

  Vm() {
    table.life = AgentIncarnation(7);
    table.started_at = now;
    ApplyWorkerHello(table, now, Hello("w", kBornMs));
    Grant({});
    Answer(Listing(kBornMs));
    Grant({});
  }

  void Grant(std::vector<StartOrder> starts) {
    SyncRequest request;
    request.epoch = PlannerEpoch(1);
    request.life = table.life;
    request.worker = table.worker.id;
    request.fencing_base = 1 << 24;
    request.stamp = AgentTime(now.time_since_epoch().count());
    request.grant_ms = kLeaseGrantDuration.count();
    request.batch = starts.empty() ? 0 : table.batch + 1;
    request.starts = std::move(starts);
    ApplySyncRequest(table, now, request);
  }

  void Order(const TaskKey& task) {
    StartOrder order;
    order.task = task;
    order.run = RunNumber(1);
    order.size = {MilliCpu(1'000), Mebibytes(100), Accelerators(0)};
    Grant({order});
  }

  void FinishStarts(const CallResult& result) {
    for (const StartCall& call : BeginStartCalls(table, now))
      FinishStartCall(table, now, call, result);
  }

  void StartUnanswered(const TaskKey& task) {
    Order(task);
    FinishStarts({CallOutcome::kUnknown, "timeout"});
  }

  void Answer(const WorkerListing& listing) {
    ApplyWorkerListing(table, now, *BeginRenewal(table, now), listing);
  }

  /// The worker is silent for this long.
  void StaySilent(Duration duration) {
    HandleRenewalFailure(table, now, *BeginRenewal(table, now),
                         {CallOutcome::kRejected, "not connected"});
    now += duration;
    ExpireLeases(table, now);
  }

  std::vector<RunEndReport> Ends() const {
    std::vector<RunEndReport> out;
    for (const UnrecordedEnd& end : table.ends) out.push_back(end.report);
    return out;
  }
};

// TWICE, review/12: the run was given up with the leases of a silent worker,
// whose next process carried the start out under a lease of its own.
TEST_CASE("an unanswered start to a silent worker is waited for") {
  Vm vm;
  vm.StartUnanswered(kTask);
  vm.StaySilent(kExpired);
  CHECK(vm.Ends().empty());
  REQUIRE(vm.table.held_run_notes.size() == 1);
  CHECK(vm.table.held_run_notes[0].left == kLongestLateRun - kExpired);
  SUBCASE("until it can no longer be carried out") {
    vm.now = kNow + kLongestLateRun;
    ExpireLeases(vm.table, vm.now);
    REQUIRE(vm.Ends().size() == 1);
    CHECK(vm.Ends()[0].end == RunEnd::kNotStarted);
  }
  SUBCASE("until the next process is heard, which runs it") {
    WorkerListing listing = Listing(kRestartedMs);
    listing.running = {Listed(kTask)};
    vm.Answer(listing);
    CHECK(vm.Ends().empty());
    CHECK(vm.table.runs.at(kTask).phase == RunPhase::kRunning);
  }
  SUBCASE("until the next process is heard, which does not run it") {
    vm.Answer(Listing(kRestartedMs));
    REQUIRE(vm.Ends().size() == 1);
    CHECK(vm.Ends()[0].end == RunEnd::kWorkerLost);
    CHECK(vm.Ends()[0].crash.suspects == 1);
  }
  SUBCASE("until a worker with another id is there") {
    ApplyWorkerHello(vm.table, vm.now, Hello("next", kRestartedMs));
    REQUIRE(vm.Ends().size() == 1);
    CHECK(vm.table.late_starts.empty());
  }
}

// TWICE, review/11: the start was void for the process that had answered under
// a higher fencing number, and its task was placed elsewhere; the next process,
// which had not seen that number, carried it out.
TEST_CASE("a start that was void is sent to the same worker again") {
  Vm vm;
  vm.StartUnanswered(kTask);
  vm.Answer(Listing(kBornMs));
  CHECK(vm.Ends().empty());
  SUBCASE("and runs there") {
    vm.FinishStarts({});
    CHECK(vm.table.runs.at(kTask).phase == RunPhase::kRunning);
    vm.StaySilent(kExpired);
    CHECK(vm.Ends().empty());
  }
  SUBCASE("and waits if the worker is no longer there") {
    vm.FinishStarts({CallOutcome::kRejected, "not connected"});
    CHECK(vm.Ends().empty());
    vm.StaySilent(kExpired);
    vm.FinishStarts({});
    CHECK(vm.Ends().empty());
    CHECK(vm.table.runs.contains(kTask));
  }
  SUBCASE("and is left to another one if the worker goes on refusing it") {
    for (int i = 0; i < 10; ++i) {
      vm.FinishStarts({CallOutcome::kRejected, "busy"});
      vm.now += Duration(100);
    }
    CHECK(vm.Ends().empty());
    vm.now += Duration(1);
    vm.FinishStarts({CallOutcome::kRejected, "busy"});
    REQUIRE(vm.Ends().size() == 1);
    CHECK(vm.Ends()[0].end == RunEnd::kNotStarted);
  }
  SUBCASE("but not after its job was cancelled") {
    SyncRequest request;
    request.epoch = PlannerEpoch(1);
    request.life = vm.table.life;
    request.batch = vm.table.batch + 1;
    request.stops = {{kTask, RunNumber(1)}};
    ApplySyncRequest(vm.table, vm.now, request);
    CHECK(BeginStartCalls(vm.table, vm.now).empty());
    CHECK(vm.Ends().size() == 1);
  }
}

TEST_CASE("a run that was confirmed after an unanswered start is waited for") {
  Vm vm;
  vm.StartUnanswered(kTask);
  vm.Order(kOther);
  vm.FinishStarts({});
  WorkerListing listing = Listing(kBornMs);
  listing.running = {Listed(kTask), Listed(kOther)};
  vm.Answer(listing);
  vm.StaySilent(kExpired);
  REQUIRE(vm.Ends().size() == 1);
  CHECK(vm.Ends()[0].task == kOther);
  CHECK(vm.Ends()[0].end == RunEnd::kLapsed);
  CHECK(vm.table.runs.contains(kTask));
}

TEST_CASE("a start that can no longer be carried out is not waited for") {
  Vm vm;
  vm.StartUnanswered(kTask);
  vm.now += Duration(15'001);
  vm.Grant({});
  WorkerListing listing = Listing(kBornMs);
  listing.running = {Listed(kTask)};
  vm.Answer(listing);
  CHECK(vm.table.late_starts.empty());
  vm.StaySilent(kExpired);
  REQUIRE(vm.Ends().size() == 1);
  CHECK(vm.Ends()[0].end == RunEnd::kLapsed);
}

TEST_CASE("a late renewal may extend the lease of a run that begins late") {
  Vm vm;
  vm.StartUnanswered(kTask);
  vm.now += Duration(2'000);
  HandleRenewalFailure(vm.table, vm.now, *BeginRenewal(vm.table, vm.now),
                       {CallOutcome::kUnknown, "timeout"});
  CHECK(detail::LateRunLeft(vm.table, vm.now, kTask) == kLongestLateRun);
}

TEST_CASE("a report says for how long a run may begin late") {
  Vm vm;
  vm.StartUnanswered(kTask);
  SyncRequest request;
  request.life = vm.table.life;
  const SyncReport report = MakeReport(vm.table, vm.now, request);
  REQUIRE(report.runs.size() == 1);
  CHECK(report.runs[0].late_run_ms == kLongestLateRun.count());
  const nlohmann::json bytes = report.runs[0];
  CHECK(bytes.get<RunReport>().late_run_ms == kLongestLateRun.count());
}

}  // namespace
}  // namespace almondtally::sched
