#include <doctest/doctest.h>

#include <algorithm>
#include <string>

#include "sched/shard_state.h"
#include "sched/shard_state_builder.h"

namespace almondtally::sched {
namespace {

const TaskKey kTask{JobId("j"), 0, 0, 0};
constexpr const char* kNoVms =
    "vms: silent=0 unproven=0 unresponsive=0 draining=0 without_room=0 "
    "closed_to_task=0 set_aside=0 suitable=0";

StepSpec LastingStep(uint32_t count, int64_t cpu) {
  StepSpec step = Step(count, cpu);
  step.lasting = true;
  return step;
}

/// @return the line about a waiting task; with an empty reason if there is
/// none.
Decision LogWait(ShardState& shard, Duration after,
                 Duration proof_age = Duration(0)) {
  Decisions log;
  shard.ownership_proven_at = kNow + after - proof_age;
  LogWaitingTasks(shard, kNow + after, log);
  return log.empty() ? Decision{} : log.front();
}

/// Sends the orders of a VM, and reports its runs as not confirmed.
void ReportAllStarting(ShardState& shard, VmEntity& vm, MonotonicTime now) {
  SyncRequest request;
  CollectOrders(shard, vm, request);
  SyncReport report = Report(vm);
  for (const auto& [task, run] : vm.runs) {
    report.runs.push_back(Running(task, run.run));
    report.runs.back().phase = RunPhase::kStarting;
  }
  Decisions log;
  ApplyReport(shard, now, vm, report, log);
}

TEST_CASE("the log states why a lasting task waits") {
  ShardState shard = NewBoard();
  AddVm(shard, "full", 500);
  VmEntity& draining = AddVm(shard, "draining");
  draining.worker.draining = true;
  AcceptJob(shard, "watch", {LastingStep(1, 1'000)});
  Place(shard);
  CHECK(LogWait(shard, Duration(500)).reason.empty());
  CHECK(LogWait(shard, Duration(1'500)).reason ==
        "vms: silent=0 unproven=0 unresponsive=0 draining=1 without_room=1 "
        "closed_to_task=0 set_aside=0 suitable=0; without room: "
        "needed=1000m/100Mi most_free=500m/100000Mi fits_without: stopping=0 "
        "unconfirmed=0 lower_priority=0 short=0");
  // Once per interval.
  CHECK(LogWait(shard, Duration(1'600)).reason.empty());
  CHECK(LogWait(shard, Duration(2'100)).reason.empty());
  CHECK_FALSE(LogWait(shard, Duration(3'600)).reason.empty());
}

/// @return the part of a line that states what holds the room.
std::string HoldersIn(const std::string& reason) {
  const size_t at = reason.find("fits_without");
  return at == std::string::npos ? "" : reason.substr(at);
}

TEST_CASE("the log states what holds the room of a waiting task") {
  ShardState shard = NewBoard();
  VmEntity& vm = AddVm(shard, "a", 1'000);
  std::string expected;
  SUBCASE("a run that does not last, of lower priority") {
    AcceptJob(shard, "other", {Step(1, 1'000)}, 2);
    expected = "stopping=0 unconfirmed=0 lower_priority=1 short=1";
  }
  SUBCASE("a run that does not last, of the same priority") {
    AcceptJob(shard, "other", {Step(1, 1'000)});
    expected = "stopping=0 unconfirmed=0 lower_priority=0 short=1";
  }
  SUBCASE("a run that lasts") {
    AcceptJob(shard, "other", {LastingStep(1, 1'000)}, 2);
    expected = "stopping=0 unconfirmed=0 lower_priority=0 short=0";
  }
  Place(shard);
  ReportAllRunning(shard, vm);
  AcceptJob(shard, "watch", {LastingStep(1, 1'000)});
  CHECK(HoldersIn(LogWait(shard, Duration(1'500)).reason) ==
        "fits_without: " + expected);
}

TEST_CASE("the log states that runs which end or begin hold the room") {
  ShardState shard = NewBoard();
  VmEntity& vm = AddVm(shard, "a", 1'000);
  AcceptJob(shard, "other", {LastingStep(1, 1'000)});
  Place(shard);
  std::string expected;
  SUBCASE("begin") { expected = "stopping=0 unconfirmed=1"; }
  SUBCASE("end") {
    ReportAllRunning(shard, vm);
    vm.runs.begin()->second.stop_wanted = true;
    expected = "stopping=1 unconfirmed=0";
  }
  AcceptJob(shard, "watch", {LastingStep(1, 1'000)});
  Decisions log;
  LogWaitingTasks(shard, kNow + Duration(1'500), log);
  REQUIRE(!log.empty());
  CHECK(HoldersIn(log.back().reason) ==
        "fits_without: " + expected + " lower_priority=0 short=0");
}

TEST_CASE("the log states why a task waits that does not last") {
  ShardState shard = NewBoard();
  AcceptJob(shard, "j", {Step(2, 1'000)});
  CHECK(LogWait(shard, Duration(2'900)).reason.empty());
  const Decision line = LogWait(shard, Duration(3'500));
  CHECK(line.kind == Decision::Kind::kWaiting);
  CHECK(line.task == kTask);
  CHECK(line.age_ms == 3'500);
  CHECK(line.reason == kNoVms);
  CHECK(LogWait(shard, Duration(4'500)).reason.empty());
}

TEST_CASE("a task that runs is not logged as waiting") {
  ShardState shard = NewBoard();
  VmEntity& vm = AddVm(shard, "a");
  AcceptJob(shard, "j", {Step(1, 1'000)});
  Place(shard);
  ReportAllRunning(shard, vm);
  CHECK(LogWait(shard, Duration(60'000)).reason.empty());
}

TEST_CASE("a wait is counted anew after a run that began") {
  ShardState shard = NewBoard();
  VmEntity& vm = AddVm(shard, "a");
  AcceptJob(shard, "j", {Step(1, 1'000)}, 0, 5);
  Place(shard);
  SyncRequest request;
  CollectOrders(shard, vm, request);
  EndRun(shard, vm, kTask, RunNumber(1), RunEnd::kFailed,
         kNow + Duration(2'900));
  CHECK(LogWait(shard, Duration(3'500)).reason.empty());
  CHECK(LogWait(shard, Duration(6'000)).age_ms == 3'100);
}

TEST_CASE("the log tells how far the start of a waiting task has got") {
  ShardState shard = NewBoard();
  VmEntity& vm = AddVm(shard, "a");
  AcceptJob(shard, "j", {Step(1, 1'000)});
  Place(shard);
  const std::string placed = "placed 3500 ms ago: ";
  SUBCASE("not sent") {
    CHECK(LogWait(shard, Duration(3'500)).reason ==
          placed + "start not sent, vm=a silent for 3500 ms");
  }
  SUBCASE("sent") {
    SyncRequest request;
    CollectOrders(shard, vm, request);
    CHECK(LogWait(shard, Duration(3'500)).reason ==
          placed + "orders not answered yet, vm=a silent for 3500 ms");
    MarkOrdersUnsent(vm, request.batch);
    CHECK(LogWait(shard, Duration(13'500)).reason ==
          "placed 13500 ms ago: orders unanswered, vm=a silent for 13500 ms");
  }
  SUBCASE("start call unanswered") {
    ReportAllStarting(shard, vm, kNow + Duration(3'000));
    CHECK(LogWait(shard, Duration(3'500)).reason ==
          placed + "start not confirmed by the worker, vm=a silent for 500 ms");
    vm.worker.responsive = false;
    CHECK(LogWait(shard, Duration(13'500)).reason ==
          "placed 13500 ms ago: start not confirmed by the worker, vm=a "
          "silent for 10500 ms, worker unresponsive");
  }
}

TEST_CASE("the log counts the starts that were not carried out") {
  ShardState shard = NewBoard();
  VmEntity& vm = AddVm(shard, "a");
  AcceptJob(shard, "j", {Step(1, 1'000)});
  for (int i = 0; i < 9; ++i) {
    const MonotonicTime now = kNow + Duration(400) * i;
    Place(shard, now);
    SyncRequest request;
    CollectOrders(shard, vm, request);
    SyncReport report = Report(vm);
    report.ends.push_back({vm.seen_end + 1, kTask, vm.runs.at(kTask).run,
                           RunEnd::kNotStarted, "", "start unanswered"});
    Decisions log;
    ApplyReport(shard, now + Duration(300), vm, report, log);
  }
  const Decision line = LogWait(shard, Duration(3'550));
  CHECK(line.age_ms == 3'550);
  CHECK(line.reason ==
        "starts not carried out=9, last on a: start unanswered; restart "
        "delayed by 50 ms");
}

TEST_CASE("the log tells that a task waits for its earlier run") {
  ShardState shard = NewBoard();
  VmEntity& vm = AddVm(shard, "a");
  AcceptJob(shard, "j", {Step(1, 1'000)});
  Place(shard);
  ReportAllRunning(shard, vm);
  vm.runs.at(kTask).phase = RunPhase::kStopping;
  TaskEntity& task = *FindTask(shard, kTask);
  task.phase = TaskPhase::kIdle;
  task.since = kNow;
  const std::string reason = LogWait(shard, Duration(3'500)).reason;
  CHECK(reason.rfind("earlier run: run being stopped, vm=a silent for 3500 ms; "
                     "vms: ",
                     0) == 0);
}

TEST_CASE("the log tells that a task waits because of suspects") {
  ShardState shard = NewBoard();
  AcceptJob(shard, "j", {Step(2, 1'000)});
  const TaskKey second{JobId("j"), 0, 0, 1};
  SUBCASE("it is one") {
    shard.suspects.insert(kTask);
    CHECK(LogWait(shard, Duration(3'500)).reason ==
          "task suspected of crashing workers: suspects=1 tested_on=0");
  }
  SUBCASE("its step has one") {
    shard.suspects.insert(second);
    CHECK(LogWait(shard, Duration(3'500)).reason ==
          "another task of the step suspected of crashing workers: suspects=1 "
          "tested_on=0");
  }
}

TEST_CASE("the log tells that the store keeps a task from running") {
  ShardState shard = NewBoard();
  VmEntity& vm = AddVm(shard, "a");
  AcceptJob(shard, "j", {Step(2, 1'000)}, 0, 5);
  Place(shard);
  ReportAllRunning(shard, vm);
  EndRun(shard, vm, kTask, RunNumber(1), RunEnd::kFailed);
  vm.worker.responsive = false;
  const std::string vms =
      "vms: silent=0 unproven=0 unresponsive=1 draining=0 without_room=0 "
      "closed_to_task=0 set_aside=0 suitable=0";
  CHECK(LogWait(shard, Duration(3'500), Duration(5'000)).reason ==
        "no commit for 5000 ms, uncommitted_ends=1; " + vms);
  CHECK(LogWait(shard, Duration(14'000), Duration(6'000)).reason ==
        "no commit for 6000 ms, uncommitted_ends=1, no leases granted; " + vms);
}

TEST_CASE("the lines about waiting tasks are bounded") {
  ShardState shard = NewBoard();
  constexpr int kJobs = 100;
  for (int i = 0; i < kJobs; ++i) {
    AcceptJob(shard, "j" + std::to_string(i), {Step(100, 1'000)});
  }
  Decisions log;
  constexpr Duration kTickInterval{50};
  for (Duration t{3'100}; t < Duration(4'100); t += kTickInterval) {
    shard.ownership_proven_at = kNow + t;
    LogWaitingTasks(shard, kNow + t, log);
  }
  CHECK(log.size() == 16);
  // Within some seconds each job gets its turn.
  for (Duration t{4'100}; t < Duration(10'100); t += kTickInterval) {
    shard.ownership_proven_at = kNow + t;
    LogWaitingTasks(shard, kNow + t, log);
  }
  std::set<JobId> logged;
  for (const Decision& it : log) logged.insert(it.task.job);
  CHECK(logged.size() == kJobs);
}

}  // namespace
}  // namespace almondtally::sched
