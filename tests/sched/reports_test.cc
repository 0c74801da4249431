#include <doctest/doctest.h>

#include "sched/ownership.h"
#include "sched/shard_state_builder.h"

namespace almondtally::sched {
namespace {

constexpr uint64_t kRestartedAgent = 8;

/// Returns the first complete report of an agent process that was started after
/// the one of `Report`: it has received no orders.
SyncReport ReportOfRestartedAgent(const VmEntity& vm) {
  SyncReport report = Report(vm, vm.worker.capacity.cpu.value);
  report.life = AgentIncarnation(kRestartedAgent);
  report.version = 1;
  report.batch = 0;
  report.complete = true;
  return report;
}

// Regression test: a VM that lost power and was back before its leases expired
// kept its runs in the planner's view, and their tasks were never started
// again.
TEST_CASE("runs that a restarted agent does not have are started again") {
  ShardState shard = NewBoard();
  VmEntity& vm = AddVm(shard, "a");
  AcceptJob(shard, "j", {Step(2, 1'000)});
  Place(shard);
  ReportAllRunning(shard, vm);
  REQUIRE(vm.runs.size() == 2);
  SyncReport report = ReportOfRestartedAgent(vm);
  report.worker.id = WorkerId("worker-after-power-loss");
  Decisions log;
  ApplyReport(shard, kNow, vm, report, log);
  CHECK(vm.runs.empty());
  Place(shard);
  for (uint32_t i = 0; i < 2; ++i) {
    REQUIRE(vm.runs.contains(Key("j", 0, i)));
    CHECK(vm.runs.at(Key("j", 0, i)).run == RunNumber(2));
  }
}

TEST_CASE("a run that a restarted agent still has is not started again") {
  ShardState shard = NewBoard();
  VmEntity& vm = AddVm(shard, "a");
  AcceptJob(shard, "j", {Step(1, 1'000)});
  Place(shard);
  ReportAllRunning(shard, vm);
  SyncReport report = ReportOfRestartedAgent(vm);
  report.runs.push_back(Running(Key("j", 0, 0), RunNumber(1)));
  Decisions log;
  ApplyReport(shard, kNow, vm, report, log);
  Place(shard);
  REQUIRE(vm.runs.size() == 1);
  CHECK(vm.runs.at(Key("j", 0, 0)).run == RunNumber(1));
}

// TWICE, issue 66: the numbers of later runs were used again.
TEST_CASE("a run after an adopted one has a higher number than all before") {
  ShardState shard = NewBoard();
  VmEntity& vm = AddVm(shard, "a");
  AcceptJob(shard, "j", {Step(1, 1'000)});
  const TaskKey task = Key("j", 0, 0);
  MonotonicTime now = kNow;
  for (uint64_t run = 1; run <= 3; ++run) {
    now += Duration(5'000);
    Place(shard, now);
    REQUIRE(vm.runs.contains(task));
    CHECK(vm.runs.at(task).run == RunNumber(run));
    EndRun(shard, vm, task, RunNumber(run), RunEnd::kNotStarted, now);
  }
  SyncReport report = Report(vm);
  report.runs.push_back(Running(task, RunNumber(1)));
  Decisions log;
  ApplyReport(shard, now, vm, report, log);
  CHECK(FindTask(shard, task)->phase == TaskPhase::kPlaced);
  EndRun(shard, vm, task, RunNumber(1), RunEnd::kLapsed, now);
  Place(shard, now + Duration(5'000));
  REQUIRE(vm.runs.contains(task));
  CHECK(vm.runs.at(task).run == RunNumber(4));
}

TEST_CASE("a start that no report has confirmed goes to the restarted agent") {
  ShardState shard = NewBoard();
  VmEntity& vm = AddVm(shard, "a");
  AcceptJob(shard, "j", {Step(1, 1'000)});
  Place(shard);
  SyncRequest lost;
  CollectOrders(shard, vm, lost);
  REQUIRE(lost.starts.size() == 1);
  Decisions log;
  ApplyReport(shard, kNow, vm, ReportOfRestartedAgent(vm), log);
  SyncRequest request;
  CollectOrders(shard, vm, request);
  REQUIRE(request.starts.size() == 1);
  CHECK(request.starts[0].run == RunNumber(1));
}

// Regression test: a restarted agent whose batch of sizes was lost refused all
// starts until the next change of its run.
TEST_CASE("sizes of a possibly lost batch are sent again") {
  ShardState shard = NewBoard();
  VmEntity& vm = AddVm(shard, "a");
  AcceptJob(shard, "j", {Step(1, 1'000)});
  Place(shard);
  ReportAllRunning(shard, vm);
  SyncReport report = ReportOfRestartedAgent(vm);
  RunReport found = Running(Key("j", 0, 0), RunNumber(1));
  found.unsized = true;
  report.runs.push_back(found);
  Decisions log;
  ApplyReport(shard, kNow, vm, report, log);
  SyncRequest lost;
  CollectOrders(shard, vm, lost);
  REQUIRE(lost.sizes.size() == 1);
  CHECK_FALSE(HasUnsentOrders(vm));
  MarkOrdersUnsent(vm, lost.batch);
  SyncRequest next;
  CollectOrders(shard, vm, next);
  REQUIRE(next.sizes.size() == 1);
  MarkOrdersUnsent(vm, lost.batch);
  CHECK(vm.runs.at(Key("j", 0, 0)).size_batch == next.batch);
}

// Regression test: a cancelled run whose start may still arrive was forgotten,
// and the agent carried the start out.
TEST_CASE("a cancelled start in a possibly lost batch is stopped") {
  ShardState shard = NewBoard();
  VmEntity& vm = AddVm(shard, "a");
  JobEntity& job = AcceptJob(shard, "j", {Step(1, 1'000)});
  Place(shard);
  SyncRequest lost;
  CollectOrders(shard, vm, lost);
  MarkOrdersUnsent(vm, lost.batch);
  CancelJob(shard, kNow, job);
  Decisions log;
  StopRunsToMove(shard, kNow, log);
  REQUIRE(vm.runs.size() == 1);
  REQUIRE(HasUnsentOrders(vm));
  SyncRequest request;
  CollectOrders(shard, vm, request);
  // A later batch makes the earlier one void.
  CHECK(request.batch > lost.batch);
  CHECK(request.starts.empty());
  REQUIRE(request.stops.size() == 1);
  SyncReport report = Report(vm);
  SUBCASE("the agent never received the start") {
    ApplyReport(shard, kNow, vm, report, log);
  }
  SUBCASE("the agent had received the start") {
    report.ends.push_back(
        {1, Key("j", 0, 0), RunNumber(1), RunEnd::kNotStarted, "", ""});
    ApplyReport(shard, kNow, vm, report, log);
  }
  CHECK(vm.runs.empty());
}

TEST_CASE("no run counts as missing while ends may be missing") {
  ShardState shard = NewBoard();
  VmEntity& vm = AddVm(shard, "a");
  AcceptJob(shard, "j", {Step(1, 1'000)});
  AcceptJob(shard, "k", {Step(1, 1'000)});
  Place(shard);
  ReportAllRunning(shard, vm);
  REQUIRE(vm.runs.size() == 2);
  SyncReport report = ReportOfRestartedAgent(vm);
  report.partial = true;
  Decisions log;
  ApplyReport(shard, kNow, vm, report, log);
  CHECK(vm.runs.size() == 2);
  // The end of one run is listed later; the other run was lost.
  SyncReport next = ReportOfRestartedAgent(vm);
  next.version = vm.seen_version + 1;
  next.ends.push_back({1, Key("j", 0, 0), RunNumber(1), RunEnd::kDone, "", ""});
  ApplyReport(shard, kNow, vm, next, log);
  Place(shard);
  CHECK(shard.jobs.at(JobId("j")).state == JobState::kCompleted);
  REQUIRE(vm.runs.size() == 1);
  CHECK(vm.runs.at(Key("k", 0, 0)).run == RunNumber(2));
}

TEST_CASE("a VM is given no starts while ends may be missing") {
  ShardState shard = NewBoard();
  VmEntity& vm = AddVm(shard, "a");
  AcceptJob(shard, "j", {Step(1, 1'000)});
  Place(shard);
  SyncRequest lost;
  CollectOrders(shard, vm, lost);
  REQUIRE(lost.starts.size() == 1);
  SyncReport report = ReportOfRestartedAgent(vm);
  report.partial = true;
  Decisions log;
  ApplyReport(shard, kNow, vm, report, log);
  AcceptJob(shard, "k", {Step(1, 1'000)});
  Place(shard);
  CHECK(vm.runs.size() == 1);
  CHECK_FALSE(HasUnsentOrders(vm));
  // The former agent process had carried the start out.
  SyncReport next = ReportOfRestartedAgent(vm);
  next.version = vm.seen_version + 1;
  next.ends.push_back({1, Key("j", 0, 0), RunNumber(1), RunEnd::kDone, "", ""});
  ApplyReport(shard, kNow, vm, next, log);
  CHECK(shard.jobs.at(JobId("j")).state == JobState::kCompleted);
  Place(shard);
  CHECK(HasUnsentOrders(vm));
}

TEST_CASE("a planner that took over waits for ends that may be missing") {
  ShardState shard = NewBoard();
  VmEntity& vm = shard.vms[VmId("a")];
  vm.id = VmId("a");
  vm.awaiting_first_sync = true;
  SyncReport report = Report(vm);
  report.partial = true;
  Decisions log;
  ApplyReport(shard, kNow, vm, report, log);
  CHECK(IsRecovering(shard));
  SyncReport next = Report(vm);
  next.complete = true;
  ApplyReport(shard, kNow, vm, next, log);
  CHECK_FALSE(IsRecovering(shard));
}

TEST_CASE("a start in a batch that the agent has not received is kept") {
  ShardState shard = NewBoard();
  VmEntity& vm = AddVm(shard, "a");
  AcceptJob(shard, "j", {Step(1, 1'000)});
  Place(shard);
  // The report is made before the batch arrives.
  SyncReport report = Report(vm);
  SyncRequest request;
  CollectOrders(shard, vm, request);
  Decisions log;
  ApplyReport(shard, kNow, vm, report, log);
  CHECK(vm.runs.size() == 1);
}

/// Returns a planner that took over at kNow and has read a job with one
/// occurrence from the store. The occurrence is due after `due_in`, by the
/// planner's clock.
ShardState PlannerWithTimedJob(Duration due_in) {
  ShardState shard = NewBoard();
  shard.epoch = PlannerEpoch(2);
  JobRecord record;
  record.spec.id = JobId("j");
  record.spec.steps = {Step(2, 1'000)};
  record.spec.occurrences = 1;
  record.spec.first_due_ms = (kNow + due_in).time_since_epoch().count();
  record.terms.service = kPool;
  JobEntity& job = AddJob(shard, kNow, record);
  job.accepted = true;
  job.loaded_from_store = true;
  return shard;
}

// Regression test: ends of tasks whose occurrence the new planner had not
// started yet were acknowledged without effect, and the tasks ran twice.
TEST_CASE("the first report after a takeover may end tasks of a timed job") {
  ShardState shard = PlannerWithTimedJob(Duration(-500));
  VmEntity& vm = shard.vms[VmId("a")];
  vm.id = VmId("a");
  SyncReport report = Report(vm);
  report.ends.push_back(
      {1, Key("j", 0, 0), RunNumber(1), RunEnd::kDone, "", ""});
  report.ends.push_back(
      {2, Key("j", 0, 1), RunNumber(1), RunEnd::kDone, "", ""});
  Decisions log;
  ApplyReport(shard, kNow, vm, report, log);
  StartDueOccurrences(shard, kNow);
  Place(shard);
  CHECK(vm.runs.empty());
  CHECK(shard.jobs.at(JobId("j")).state == JobState::kCompleted);
  // The ends are acknowledged once the store has their effect.
  CHECK(vm.ends_recorded == 0);
  MarkChangesRecorded(shard, shard.change);
  CHECK(vm.ends_recorded == 2);
}

// Regression test: such runs were stopped.
TEST_CASE("the first report after a takeover may list runs of a timed job") {
  ShardState shard = PlannerWithTimedJob(Duration(-500));
  VmEntity& vm = shard.vms[VmId("a")];
  vm.id = VmId("a");
  SyncReport report = Report(vm);
  report.runs.push_back(Running(Key("j", 0, 0), RunNumber(1)));
  Decisions log;
  ApplyReport(shard, kNow, vm, report, log);
  CHECK_FALSE(vm.runs.at(Key("j", 0, 0)).stop_wanted);
  StartDueOccurrences(shard, kNow);
  Place(shard);
  CHECK(vm.runs.at(Key("j", 0, 0)).run == RunNumber(1));
  CHECK(vm.runs.contains(Key("j", 0, 1)));
}

// Review case 6, TWICE: the end was acknowledged and ignored, and the task was
// started again.
TEST_CASE("a done run counts although it was reported as not started before") {
  ShardState shard = NewBoard();
  VmEntity& vm = AddVm(shard, "a");
  VmEntity& other = AddVm(shard, "b");
  JobEntity& job = AcceptJob(shard, "j", {Step(1, 1'000)});
  const TaskKey task = Key("j", 0, 0);
  EndRun(shard, vm, task, RunNumber(1), RunEnd::kNotStarted);
  SUBCASE("the task waits") {}
  SUBCASE("the task is placed elsewhere") {
    Place(shard, kNow + Duration(200));
    REQUIRE(other.runs.contains(task));
    ReportAllRunning(shard, other);
  }
  EndRun(shard, vm, task, RunNumber(1), RunEnd::kDone);
  CHECK(job.state == JobState::kCompleted);
  Place(shard, kNow + Duration(10'000));
  CHECK_FALSE(vm.runs.contains(task));
  for (const auto& [key, run] : other.runs) CHECK(run.stop_wanted);
}

TEST_CASE("a done run counts although a later run is at work") {
  ShardState shard = NewBoard();
  VmEntity& vm = AddVm(shard, "a");
  VmEntity& other = AddVm(shard, "b");
  StepSpec step = Step(1, 1'000);
  SUBCASE("a task on its own") {}
  SUBCASE("a task of a gang") { step.gang = true; }
  JobEntity& job = AcceptJob(shard, "j", {step});
  const TaskKey task = Key("j", 0, 0);
  EndRun(shard, vm, task, RunNumber(1), RunEnd::kLapsed);
  vm.worker.draining = true;
  Place(shard, kNow + Duration(200));
  REQUIRE(other.runs.contains(task));
  ReportAllRunning(shard, other);
  EndRun(shard, vm, task, RunNumber(1), RunEnd::kDone);
  CHECK(job.state == JobState::kCompleted);
  CHECK(other.runs.at(task).stop_wanted);
}

TEST_CASE("a done run counts although it was reported as failed before") {
  ShardState shard = NewBoard();
  VmEntity& vm = AddVm(shard, "a");
  JobEntity& job = AcceptJob(shard, "j", {Step(1, 1'000)});
  EndRun(shard, vm, Key("j", 0, 0), RunNumber(1), RunEnd::kFailed);
  EndRun(shard, vm, Key("j", 0, 0), RunNumber(1), RunEnd::kDone);
  CHECK(job.state == JobState::kCompleted);
}

// BUDGET: each acknowledged failure is an attempt.
TEST_CASE("a failed run counts once whatever was reported of it before") {
  ShardState shard = NewBoard();
  VmEntity& vm = AddVm(shard, "a");
  JobEntity& job = AcceptJob(shard, "j", {Step(1, 1'000)});
  const TaskKey task = Key("j", 0, 0);
  EndRun(shard, vm, task, RunNumber(1), RunEnd::kNotStarted);
  EndRun(shard, vm, task, RunNumber(1), RunEnd::kFailed);
  EndRun(shard, vm, task, RunNumber(1), RunEnd::kFailed);
  CHECK(FindTask(shard, task)->failed_runs.size() == 1);
  CHECK(job.state != JobState::kFailed);
}

TEST_CASE("an end of an earlier run without a result changes nothing") {
  ShardState shard = NewBoard();
  VmEntity& vm = AddVm(shard, "a");
  VmEntity& other = AddVm(shard, "b");
  JobEntity& job = AcceptJob(shard, "j", {Step(1, 1'000)});
  const TaskKey task = Key("j", 0, 0);
  EndRun(shard, vm, task, RunNumber(1), RunEnd::kNotStarted);
  vm.worker.draining = true;
  Place(shard, kNow + Duration(200));
  REQUIRE(other.runs.contains(task));
  for (const RunEnd end :
       {RunEnd::kNotStarted, RunEnd::kStopped, RunEnd::kLapsed,
        RunEnd::kGangBroken, RunEnd::kGangIncomplete, RunEnd::kWorkerLost}) {
    EndRun(shard, vm, task, RunNumber(1), end);
    CHECK(FindTask(shard, task)->phase == TaskPhase::kPlaced);
    CHECK(FindTask(shard, task)->vm == other.id);
    CHECK_FALSE(other.runs.at(task).stop_wanted);
  }
  CHECK(job.state == JobState::kPending);
}

// Issue 48, TWICE: the worker had taken a lease that was meant for its former
// process, and its runs went on after the planner had given them up.
TEST_CASE("a VM is lost only when the leases of a former process have ended") {
  ShardState shard = NewBoard();
  VmEntity& vm = AddVm(shard, "a");
  AcceptJob(shard, "j", {Step(1, 1'000)});
  Place(shard);
  ReportAllRunning(shard, vm);
  constexpr Duration kFormerLease{9'900};
  SyncReport report = Report(vm);
  report.stamp = AgentTime(2'000'000);
  report.former_lease_ms = kFormerLease.count();
  Decisions log;
  ApplyReport(shard, kNow, vm, report, log);
  const MonotonicTime before = kNow + kFormerLease;
  shard.ownership_proven_at = before;
  ExpireVmLeases(shard, before, log);
  CHECK(vm.runs.size() == 1);
  const MonotonicTime after = before + kLeaseExpiryMargin;
  shard.ownership_proven_at = after;
  ExpireVmLeases(shard, after, log);
  CHECK(vm.runs.empty());
}

// TWICE: an agent that is cut off knows of a start that its worker's next
// process may carry out, but cannot say so.
TEST_CASE("a task of a lost VM waits while its start may come late") {
  constexpr Duration kLateRun{25'000};
  ShardState shard = NewBoard();
  VmEntity& vm = AddVm(shard, "a");
  AcceptJob(shard, "late", {Step(1, 1'000)});
  AcceptJob(shard, "other", {Step(1, 1'000)});
  Place(shard);
  SyncReport report = Report(vm);
  for (const char* job : {"late", "other"})
    report.runs.push_back(Running(Key(job, 0, 0), RunNumber(1)));
  report.runs[0].late_run_ms = kLateRun.count();
  Decisions log;
  ApplyReport(shard, kNow, vm, report, log);
  const MonotonicTime lost = kNow + kMaxLeaseDuration;
  shard.ownership_proven_at = lost;
  ExpireVmLeases(shard, lost, log);
  REQUIRE_FALSE(vm.synced);
  VmEntity& next = AddVm(shard, "b");
  Place(shard, lost);
  CHECK(next.runs.contains(Key("other", 0, 0)));
  CHECK_FALSE(next.runs.contains(Key("late", 0, 0)));
  SUBCASE("until it can no longer come") { Place(shard, kNow + kLateRun); }
  SUBCASE("until the VM reports the end of the run") {
    EndRun(shard, vm, Key("late", 0, 0), RunNumber(1), RunEnd::kLapsed, lost);
    Place(shard, lost + Duration(10));
  }
  CHECK(FindTask(shard, Key("late", 0, 0))->phase == TaskPhase::kPlaced);
}

TEST_CASE("a VM whose agent does not know who plans is given no tasks") {
  ShardState shard = NewBoard();
  VmEntity& vm = AddVm(shard, "a");
  SyncReport report = Report(vm);
  report.awaits_registration = true;
  Decisions log;
  ApplyReport(shard, kNow, vm, report, log);
  AcceptJob(shard, "j", {Step(1, 1'000)});
  Place(shard);
  CHECK(vm.runs.empty());
  ApplyReport(shard, kNow, vm, Report(vm), log);
  Place(shard);
  CHECK(vm.runs.size() == 1);
}

// Issue 56, TWICE: suspects were placed, and the next planner did not know of
// the longer lease.
TEST_CASE("a VM is given tasks once its longer lease is recorded") {
  ShardState shard = NewBoard();
  VmEntity& vm = AddVm(shard, "a");
  SyncReport report = Report(vm);
  report.former_lease_ms = 9'900;
  Decisions log;
  ApplyReport(shard, kNow, vm, report, log);
  AcceptJob(shard, "j", {Step(1, 1'000)});
  Place(shard);
  CHECK(vm.runs.empty());
  size_t placed = 1;
  SUBCASE("the leases have ended") {
    ApplyReport(shard, kNow, vm, Report(vm), log);
  }
  SUBCASE("the task is a suspect") {
    shard.suspects.insert(Key("j", 0, 0));
    placed = 0;
  }
  SUBCASE("the store tells later planners") {
    report.former_lease_recorded = true;
    ApplyReport(shard, kNow, vm, report, log);
  }
  Place(shard);
  CHECK(vm.runs.size() == placed);
}

TEST_CASE("a planner whose clock is behind continues a started occurrence") {
  constexpr Duration kClockDifference{2'000};
  ShardState shard = PlannerWithTimedJob(kClockDifference);
  VmEntity& vm = shard.vms[VmId("a")];
  vm.id = VmId("a");
  SyncReport report = Report(vm);
  report.ends.push_back(
      {1, Key("j", 0, 0), RunNumber(1), RunEnd::kDone, "", ""});
  Decisions log;
  ApplyReport(shard, kNow, vm, report, log);
  StartDueOccurrences(shard, kNow);
  Place(shard);
  // The other task waits until it is due by the planner's own clock.
  CHECK(vm.runs.empty());
  const MonotonicTime due = kNow + kClockDifference;
  StartDueOccurrences(shard, due);
  Place(shard, due);
  CHECK(vm.runs.size() == 1);
  CHECK(vm.runs.contains(Key("j", 0, 1)));
}

TEST_CASE("a failed run delays no task to a time before it is due") {
  constexpr Duration kClockDifference{2'000};
  ShardState shard = PlannerWithTimedJob(kClockDifference);
  shard.jobs.at(JobId("j")).terms.max_attempts = 2;
  VmEntity& vm = shard.vms[VmId("a")];
  vm.id = VmId("a");
  SyncReport report = Report(vm);
  report.ends.push_back(
      {1, Key("j", 0, 0), RunNumber(1), RunEnd::kFailed, "", ""});
  Decisions log;
  ApplyReport(shard, kNow, vm, report, log);
  Place(shard, kNow + kClockDifference - Duration(1));
  CHECK(vm.runs.empty());
  Place(shard, kNow + kClockDifference);
  CHECK(vm.runs.size() == 2);
}

TEST_CASE("a reported occurrence that the job does not have is ignored") {
  ShardState shard = PlannerWithTimedJob(Duration(-500));
  VmEntity& vm = shard.vms[VmId("a")];
  vm.id = VmId("a");
  SyncReport report = Report(vm);
  report.runs.push_back(Running({JobId("j"), 1, 0, 0}, RunNumber(1)));
  Decisions log;
  ApplyReport(shard, kNow, vm, report, log);
  CHECK(vm.runs.at({JobId("j"), 1, 0, 0}).stop_wanted);
  CHECK(shard.jobs.at(JobId("j")).occurrences.empty());
}

TEST_CASE("a restored occurrence keeps its due time") {
  ShardState former = PlannerWithTimedJob(Duration(-500));
  JobEntity& job = former.jobs.at(JobId("j"));
  StartDueOccurrences(former, kNow);
  VmEntity& vm = AddVm(former, "a");
  Place(former);
  ReportAllRunning(former, vm);
  EndRun(former, vm, Key("j", 0, 0), vm.runs.begin()->second.run,
         RunEnd::kDone);
  const MonotonicTime due = job.occurrences.at(0).due_at;
  ShardState shard = PlannerWithTimedJob(Duration(-500));
  JobEntity& restored = shard.jobs.at(JobId("j"));
  ApplyProgress(shard, kNow + Duration(3'000), restored, MakeProgressRow(job));
  CHECK(restored.occurrences.at(0).due_at == due);
}

}  // namespace
}  // namespace almondtally::sched
