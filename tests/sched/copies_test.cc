#include "sched/copies.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "sched/shard_state_builder.h"

namespace almondtally::sched {
namespace {

constexpr Duration kEstimate{1'000};
/// The first run is looked at again this long after its start.
constexpr Duration kLater{600};
const TaskKey kTask = Key("j", 0, 0);

StepSpec StepWithCopies(uint32_t count = 1, int64_t cpu = 1'000) {
  StepSpec out = Step(count, cpu);
  out.estimate_ms = kEstimate.count();
  out.copies_allowed = true;
  return out;
}

ShardState BoardWithCopies() {
  ShardState out = NewBoard();
  out.features.uneven_vms = true;
  return out;
}

void ReportAt(ShardState& shard, MonotonicTime now, const VmId& id,
              bool responsive = true) {
  VmEntity& vm = shard.vms.at(id);
  SyncRequest request;
  if (HasUnsentOrders(vm)) CollectOrders(shard, vm, request);
  SyncReport report = Report(vm, vm.worker.capacity.cpu.value);
  report.stamp = AgentTime(now.time_since_epoch().count());
  report.worker.responsive = responsive;
  for (const auto& [key, run] : vm.runs) {
    if (responsive) report.runs.push_back(Running(key, run.run));
  }
  Decisions log;
  ApplyReport(shard, now, vm, report, log);
}

void ReportAll(ShardState& shard, MonotonicTime now) {
  for (const auto& [id, vm] : shard.vms) ReportAt(shard, now, id);
}

Decisions PlaceAt(ShardState& shard, MonotonicTime now) {
  shard.ownership_proven_at = now;
  Decisions log;
  PlaceTasks(shard, now, log);
  return log;
}

size_t CountKind(const Decisions& log, Decision::Kind kind) {
  return std::count_if(log.begin(), log.end(),
                       [&](const Decision& it) { return it.kind == kind; });
}

/// Reports the end of the run of a task on a VM.
Decisions End(ShardState& shard, MonotonicTime now, const VmId& id, RunEnd end,
              const TaskKey& key = kTask) {
  VmEntity& vm = shard.vms.at(id);
  SyncReport report = Report(vm, vm.worker.capacity.cpu.value);
  report.ends.push_back(
      {vm.seen_end + 1, key, vm.runs.at(key).run, end, "", ""});
  Decisions log;
  ApplyReport(shard, now, vm, report, log);
  return log;
}

TaskEntity& Task(ShardState& shard, const TaskKey& key = kTask) {
  return *FindTask(shard, key);
}

size_t CountRuns(const ShardState& shard, const TaskKey& key = kTask) {
  return std::count_if(shard.vms.begin(), shard.vms.end(), [&](const auto& it) {
    const auto run = it.second.runs.find(key);
    return run != it.second.runs.end() && !run->second.stop_wanted;
  });
}

/// The worker of the first run has hung, and the task has a copy, which runs.
struct CopiedRun {
  ShardState shard = BoardWithCopies();
  JobEntity* job = nullptr;
  MonotonicTime now = kNow;
  VmId first;
  VmId copy;

  explicit CopiedRun(uint32_t max_attempts = 3) {
    for (const char* id : {"a", "b", "c"}) AddVm(shard, id);
    job = &AcceptJob(shard, "j", {StepWithCopies()}, 0, max_attempts);
    PlaceAt(shard, now);
    ReportAll(shard, now);
    first = Task(shard).vm;
    now += Duration(3'000);
    HangFirst();
    PlaceAt(shard, now);
    REQUIRE(Task(shard).copy);
    copy = Task(shard).copy->vm;
    REQUIRE(copy != first);
    ReportAt(shard, now, copy);
  }

  void HangFirst() {
    for (const auto& [id, vm] : shard.vms) {
      ReportAt(shard, now, id, id != first);
    }
  }
};

TEST_CASE("a run that is stuck gets one copy, with a higher number") {
  CopiedRun it;
  CHECK(it.shard.vms.at(it.copy).runs.at(kTask).run > Task(it.shard).run);
  it.now += Duration(1'000);
  it.HangFirst();
  CHECK(CountKind(PlaceAt(it.shard, it.now), Decision::Kind::kCopyStarted) ==
        0);
  CHECK(CountRuns(it.shard) == 2);
}

TEST_CASE("the first end as done counts, and the other run is stopped") {
  for (const bool copy_first : {true, false}) {
    CopiedRun it;
    const VmId winner = copy_first ? it.copy : it.first;
    const VmId loser = copy_first ? it.first : it.copy;
    const Decisions log = End(it.shard, it.now, winner, RunEnd::kDone);
    CHECK(CountKind(log, copy_first ? Decision::Kind::kCopyWon
                                    : Decision::Kind::kCopyWasted) == 1);
    CHECK(it.job->state == JobState::kCompleted);
    CHECK(it.shard.vms.at(loser).runs.at(kTask).stop_wanted);
    // The other end is of no account, and neither is a late report.
    ReportAt(it.shard, it.now, loser);
    CHECK(it.shard.vms.at(loser).runs.at(kTask).stop_wanted);
    End(it.shard, it.now, loser, RunEnd::kDone);
    CHECK(it.job->state == JobState::kCompleted);
    CHECK(CountRuns(it.shard) == 0);
  }
}

TEST_CASE("when the first run ends without a result, the copy goes on alone") {
  for (const RunEnd end : {RunEnd::kFailed, RunEnd::kWorkerLost,
                           RunEnd::kLapsed, RunEnd::kNotStarted}) {
    CopiedRun it;
    const Decisions log = End(it.shard, it.now, it.first, end);
    CHECK(CountKind(log, Decision::Kind::kCopyPromoted) == 1);
    CHECK(Task(it.shard).vm == it.copy);
    CHECK_FALSE(Task(it.shard).copy);
    CHECK(CountKind(PlaceAt(it.shard, it.now + Duration(200)),
                    Decision::Kind::kPlaced) == 0);
    CHECK(CountRuns(it.shard) == 1);
    End(it.shard, it.now, it.copy, RunEnd::kDone);
    CHECK(it.job->state == JobState::kCompleted);
  }
}

TEST_CASE("when the copy ends without a result, the first run goes on") {
  for (const RunEnd end : {RunEnd::kFailed, RunEnd::kWorkerLost,
                           RunEnd::kLapsed, RunEnd::kNotStarted}) {
    CopiedRun it;
    const RunNumber wasted = it.shard.vms.at(it.copy).runs.at(kTask).run;
    const Decisions log = End(it.shard, it.now, it.copy, end);
    CHECK(CountKind(log, Decision::Kind::kCopyWasted) == 1);
    CHECK(Task(it.shard).vm == it.first);
    CHECK(Task(it.shard).phase == TaskPhase::kPlaced);
    CHECK_FALSE(Task(it.shard).copy);
    // The next run, of whatever kind, has a number of its own.
    End(it.shard, it.now, it.first, RunEnd::kLapsed);
    PlaceAt(it.shard, it.now + Duration(1'000));
    CHECK(Task(it.shard).run > wasted);
  }
}

TEST_CASE("failures of both runs count as attempts, once each") {
  CopiedRun it(2);
  const VmId copy = it.copy;
  End(it.shard, it.now, it.first, RunEnd::kFailed);
  CHECK(Task(it.shard).failed_runs.size() == 1);
  CHECK(it.job->state != JobState::kFailed);
  End(it.shard, it.now, copy, RunEnd::kFailed);
  CHECK(it.job->state == JobState::kFailed);
  CHECK(PlaceAt(it.shard, it.now + Duration(2'000)).empty());
}

TEST_CASE("a task whose next failure ends its job gets no copy") {
  ShardState shard = BoardWithCopies();
  for (const char* id : {"a", "b"}) AddVm(shard, id);
  AcceptJob(shard, "j", {StepWithCopies()}, 0, 1);
  PlaceAt(shard, kNow);
  ReportAll(shard, kNow);
  const MonotonicTime later = kNow + Duration(3'000);
  const VmId first = Task(shard).vm;
  for (const auto& [id, vm] : shard.vms)
    ReportAt(shard, later, id, id != first);
  PlaceAt(shard, later);
  CHECK(CountRuns(shard) == 1);
}

TEST_CASE("a VM that is lost takes only its own run of a task along") {
  for (const bool lose_copy : {true, false}) {
    CopiedRun it;
    const VmId lost = lose_copy ? it.copy : it.first;
    const VmId kept = lose_copy ? it.first : it.copy;
    const RunNumber lost_run = it.shard.vms.at(lost).runs.at(kTask).run;
    it.shard.vms.at(kept).lease_ends_at = kNow + Duration(60'000);
    it.shard.vms.at(lost).lease_ends_at = it.now + Duration(100);
    it.shard.ownership_proven_at = it.now + Duration(100);
    Decisions log;
    ExpireVmLeases(it.shard, it.now + Duration(100), log);
    CHECK(CountKind(log, lose_copy ? Decision::Kind::kCopyWasted
                                   : Decision::Kind::kCopyPromoted) == 1);
    CHECK(Task(it.shard).vm == kept);
    CHECK(Task(it.shard).phase == TaskPhase::kPlaced);
    CHECK_FALSE(Task(it.shard).copy);
    // An end as done that was heard after the lease is void.
    SyncReport report = Report(it.shard.vms.at(lost));
    report.complete = true;
    report.ends.push_back({1, kTask, lost_run, RunEnd::kDone, "", ""});
    ApplyReport(it.shard, it.now, it.shard.vms.at(lost), report, log);
    CHECK(Task(it.shard).phase == TaskPhase::kPlaced);
  }
}

TEST_CASE("a run that an agent no longer knows leaves the other one") {
  for (const bool lose_copy : {true, false}) {
    CopiedRun it;
    VmEntity& vm = it.shard.vms.at(lose_copy ? it.copy : it.first);
    const VmId kept = lose_copy ? it.first : it.copy;
    SyncReport report = Report(vm);
    report.life = AgentIncarnation(8);
    report.complete = true;
    Decisions log;
    ApplyReport(it.shard, it.now, vm, report, log);
    CHECK(Task(it.shard).vm == kept);
    CHECK(Task(it.shard).phase == TaskPhase::kPlaced);
    CHECK_FALSE(Task(it.shard).copy);
  }
}

/// Reports runs of one task on several VMs to a planner that started none.
std::vector<VmId> HearRuns(ShardState& shard,
                           const std::vector<std::pair<std::string, int>>& runs,
                           Decisions& log) {
  std::vector<VmId> out;
  for (const auto& [id, number] : runs) {
    VmEntity& vm = shard.vms[VmId(id)];
    vm.id = VmId(id);
    SyncReport report = Report(vm);
    report.runs.push_back(Running(kTask, RunNumber(number)));
    ApplyReport(shard, kNow, vm, report, log);
    out.push_back(vm.id);
  }
  return out;
}

TEST_CASE("a planner that takes over keeps two runs, and stops a third") {
  ShardState shard = BoardWithCopies();
  JobEntity& job = AcceptJob(shard, "j", {StepWithCopies()});
  Decisions log;
  HearRuns(shard, {{"a", 5}, {"b", 2}, {"c", 4}}, log);
  CHECK(CountKind(log, Decision::Kind::kCopyAdopted) == 1);
  CHECK_FALSE(shard.vms.at(VmId("a")).runs.at(kTask).stop_wanted);
  CHECK_FALSE(shard.vms.at(VmId("b")).runs.at(kTask).stop_wanted);
  CHECK(shard.vms.at(VmId("c")).runs.at(kTask).stop_wanted);
  // The run that is left has the lower number; the next one has not.
  End(shard, kNow, VmId("a"), RunEnd::kLapsed);
  CHECK(Task(shard).run == RunNumber(2));
  End(shard, kNow, VmId("b"), RunEnd::kLapsed);
  PlaceAt(shard, kNow + Duration(1'000));
  CHECK(Task(shard).run == RunNumber(6));
  End(shard, kNow, Task(shard).vm, RunEnd::kDone);
  CHECK(job.state == JobState::kCompleted);
}

TEST_CASE("a second run is stopped without the flag, or the setting") {
  for (const bool has_flag : {true, false}) {
    ShardState shard = BoardWithCopies();
    shard.features.uneven_vms = !has_flag;
    StepSpec step = StepWithCopies();
    step.copies_allowed = has_flag;
    AcceptJob(shard, "j", {step});
    Decisions log;
    HearRuns(shard, {{"a", 1}, {"b", 2}}, log);
    CHECK(shard.vms.at(VmId("b")).runs.at(kTask).stop_wanted);
    CHECK_FALSE(Task(shard).copy);
  }
}

TEST_CASE("all runs of a cancelled job are stopped") {
  CopiedRun it;
  CancelJob(it.shard, it.now, *it.job);
  CHECK(CountRuns(it.shard) == 0);
  // An order that is carried out late.
  ReportAt(it.shard, it.now, it.copy);
  CHECK(it.shard.vms.at(it.copy).runs.at(kTask).stop_wanted);
  CHECK(PlaceAt(it.shard, it.now + Duration(2'000)).empty());
}

TEST_CASE("a start of a copy that was not sent is dropped with its task") {
  CopiedRun it;
  End(it.shard, it.now, it.copy, RunEnd::kLapsed);
  it.now += Duration(1'100);
  it.HangFirst();
  PlaceAt(it.shard, it.now);
  REQUIRE(Task(it.shard).copy);
  const VmId copy = Task(it.shard).copy->vm;
  End(it.shard, it.now, it.first, RunEnd::kDone);
  Decisions log;
  StopRunsToMove(it.shard, it.now, log);
  CHECK_FALSE(it.shard.vms.at(copy).runs.contains(kTask));
  CHECK_FALSE(HasUnsentOrders(it.shard.vms.at(copy)));
}

TEST_CASE("a crash under either run leaves a suspect with the other one") {
  for (const bool crash_copy : {true, false}) {
    CopiedRun it;
    VmEntity& vm = it.shard.vms.at(crash_copy ? it.copy : it.first);
    const VmId kept = crash_copy ? it.first : it.copy;
    SyncReport report = Report(vm);
    RunEndReport end{vm.seen_end + 1,     kTask, vm.runs.at(kTask).run,
                     RunEnd::kWorkerLost, "",    ""};
    end.crash = {100, 1, StartEvidence::kConfirmed};
    report.ends.push_back(end);
    Decisions log;
    ApplyReport(it.shard, it.now, vm, report, log);
    CHECK(it.shard.suspects.contains(kTask));
    CHECK(Task(it.shard).vm == kept);
    CHECK(ListSuspectTests(it.shard, it.now).vms.contains(kept));
    it.now += Duration(1'100);
    it.HangFirst();
    PlaceAt(it.shard, it.now);
    CHECK_FALSE(Task(it.shard).copy);
  }
}

/// A task whose worker hangs, with the other VMs as `prepare` leaves them.
template <typename Fn>
bool GetsCopy(const StepSpec& step, const Fn& prepare) {
  ShardState shard = BoardWithCopies();
  for (const char* id : {"a", "b"}) AddVm(shard, id);
  AcceptJob(shard, "j", {step}, 0, 3);
  PlaceAt(shard, kNow);
  ReportAll(shard, kNow);
  const VmId first = Task(shard).vm;
  const VmId other(first == VmId("a") ? "b" : "a");
  const MonotonicTime now = kNow + Duration(3'000);
  for (const auto& [id, vm] : shard.vms) ReportAt(shard, now, id, id != first);
  shard.ownership_proven_at = now;
  prepare(shard, now, shard.vms.at(other));
  Decisions log;
  PlaceTasks(shard, now, log);
  return CountKind(log, Decision::Kind::kCopyStarted) > 0;
}

TEST_CASE("copies are for steps that allow them, and for sound VMs") {
  const auto nothing = [](ShardState&, MonotonicTime, VmEntity&) {};
  CHECK(GetsCopy(StepWithCopies(), nothing));
  StepSpec step = StepWithCopies();
  step.copies_allowed = false;
  CHECK_FALSE(GetsCopy(step, nothing));
  step = StepWithCopies();
  step.filler = true;
  CHECK_FALSE(GetsCopy(step, nothing));
  step = StepWithCopies();
  step.lasting = true;
  CHECK_FALSE(GetsCopy(step, nothing));
  step = StepWithCopies(2);
  step.gang = true;
  CHECK_FALSE(GetsCopy(step, nothing));

  step = StepWithCopies();
  CHECK_FALSE(GetsCopy(step, [](ShardState& shard, MonotonicTime, VmEntity&) {
    shard.features.uneven_vms = false;
  }));
  CHECK_FALSE(
      GetsCopy(step, [](ShardState& shard, MonotonicTime now, VmEntity&) {
        shard.ownership_proven_at = now - Duration(2'500);
      }));
  CHECK_FALSE(GetsCopy(step, [](ShardState&, MonotonicTime now, VmEntity& vm) {
    vm.set_aside_until = now + Duration(1'000);
  }));
  CHECK_FALSE(GetsCopy(step, [](ShardState&, MonotonicTime now, VmEntity& vm) {
    vm.avoided_until = now + Duration(1'000);
  }));
  CHECK_FALSE(GetsCopy(step, [](ShardState&, MonotonicTime, VmEntity& vm) {
    vm.worker.draining = true;
  }));
}

TEST_CASE("no copies where a ready task waits for room") {
  StepSpec large = Step(1, 3'500);
  const auto add = [&](ShardState& shard, MonotonicTime, VmEntity& vm) {
    // Both VMs have room for a copy, and none for the large task.
    AcceptJob(shard, "other", {Step(1, 1'000)});
    Decisions log;
    shard.features.uneven_vms = false;
    PlaceTasks(shard, kNow + Duration(3'000), log);
    shard.features.uneven_vms = true;
    REQUIRE(vm.runs.size() == 1);
    AcceptJob(shard, "large", {large});
  };
  CHECK_FALSE(GetsCopy(StepWithCopies(), add));
  // No VM has the label, so that the task does not wait for this room.
  large.required_label = "rare";
  CHECK(GetsCopy(StepWithCopies(), add));
  // Replays the load: a lasting task waits all day for room that others of its
  // kind hold.
  large.required_label = "";
  large.lasting = true;
  CHECK(GetsCopy(StepWithCopies(), add));
}

TEST_CASE("a full cluster gives no copies") {
  CHECK_FALSE(
      GetsCopy(StepWithCopies(), [](ShardState&, MonotonicTime, VmEntity& vm) {
        vm.worker.capacity.cpu = MilliCpu(500);
      }));
}

TEST_CASE("copies hold a tenth of the CPU of their service") {
  constexpr uint32_t kTasks = 40;
  ShardState shard = BoardWithCopies();
  for (int i = 0; i < 10; ++i) AddVm(shard, "slow" + std::to_string(i), 4'000);
  AcceptJob(shard, "j", {StepWithCopies(kTasks)}, 0, 3);
  PlaceAt(shard, kNow);
  ReportAll(shard, kNow);
  for (int i = 0; i < 10; ++i) AddVm(shard, "sound" + std::to_string(i), 4'000);
  MonotonicTime now = kNow + Duration(3'000);
  size_t copies = 0;
  for (int pass = 0; pass < 20; ++pass, now += Duration(100)) {
    for (const auto& [id, vm] : shard.vms) {
      ReportAt(shard, now, id, id.value.starts_with("sound"));
    }
    copies += CountKind(PlaceAt(shard, now), Decision::Kind::kCopyStarted);
  }
  // The workers that hang do not count as capacity.
  CHECK(copies == 4);
}

TEST_CASE("a copy goes to another data centre and rack, if VMs are alike") {
  ShardState shard = BoardWithCopies();
  for (const char* id : {"a", "b", "c", "d"}) AddVm(shard, id);
  AcceptJob(shard, "j", {StepWithCopies()}, 0, 3);
  PlaceAt(shard, kNow);
  ReportAll(shard, kNow);
  const VmId first = Task(shard).vm;
  const MonotonicTime now = kNow + Duration(3'000);
  VmId far;
  for (auto& [id, vm] : shard.vms) {
    ReportAt(shard, now, id, id != first);
    if (id != first) far = id;
  }
  shard.vms.at(far).data_centre = DataCentreId("other");
  PlaceAt(shard, now);
  REQUIRE(Task(shard).copy);
  CHECK(Task(shard).copy->vm == far);
}

/// Replays the load pattern of copies.cc: short jobs that arrive evenly, a
/// quarter of the VMs six times slower, and one whose worker hangs for a while.
struct Replay {
  static constexpr Duration kStep{50};
  static constexpr int kVms = 12;
  static constexpr int kSlowVms = 3;
  static constexpr double kSlowFactor = 6;
  static constexpr Duration kArrivals{20'000};
  static constexpr Duration kArrivalInterval{200};
  static constexpr Duration kEnd{60'000};
  static constexpr Duration kHangFrom{5'000};
  static constexpr Duration kHangUntil{15'000};

  struct Run {
    RunNumber number;
    double done_ms = 0;
  };

  ShardState shard = BoardWithCopies();
  bool copies_allowed = false;
  std::map<VmId, std::map<TaskKey, Run>> workers;
  std::map<JobId, MonotonicTime> submitted;
  std::vector<Duration> times;
  size_t copies = 0;
  size_t won = 0;

  explicit Replay(bool allow) : copies_allowed(allow) {
    for (int i = 0; i < kVms; ++i) AddVm(shard, Name(i));
    for (Duration t{0}; t < kEnd; t += kStep) {
      if (t < kArrivals && t % kArrivalInterval == Duration(0)) Submit(t);
      for (auto& [id, vm] : shard.vms) StepVm(vm, t);
      copies +=
          CountKind(PlaceAt(shard, kNow + t), Decision::Kind::kCopyStarted);
    }
    std::sort(times.begin(), times.end());
  }

  static std::string Name(int i) { return "vm" + std::to_string(10 + i); }
  static int IndexOf(const VmId& id) {
    return std::stoi(id.value.substr(2)) - 10;
  }

  void Submit(Duration t) {
    StepSpec step = StepWithCopies();
    step.copies_allowed = copies_allowed;
    const std::string id = "j" + std::to_string(t.count());
    AcceptJob(shard, id, {step}, 0, 3).accepted_at = kNow + t;
    submitted[JobId(id)] = kNow + t;
  }

  void StepVm(VmEntity& vm, Duration t) {
    auto& runs = workers[vm.id];
    const int index = IndexOf(vm.id);
    const bool hangs = index == kSlowVms && t >= kHangFrom && t < kHangUntil;
    SyncRequest request;
    if (HasUnsentOrders(vm)) CollectOrders(shard, vm, request);
    for (const StartOrder& it : request.starts) runs[it.task] = {it.run, 0};
    SyncReport report = Report(vm);
    report.stamp = AgentTime((kNow + t).time_since_epoch().count());
    report.worker.responsive = !hangs;
    const auto end = [&](const TaskKey& key, RunEnd how) {
      report.ends.push_back({vm.seen_end + 1 + report.ends.size(), key,
                             runs.at(key).number, how, "", ""});
      runs.erase(key);
    };
    for (const StopOrder& it : request.stops) {
      if (runs.contains(it.task)) end(it.task, RunEnd::kStopped);
    }
    for (auto& [key, run] : std::map(runs)) {
      if (hangs) continue;
      double& done = runs.at(key).done_ms;
      done += static_cast<double>(kStep.count()) /
              (index < kSlowVms ? kSlowFactor : 1);
      if (done >= static_cast<double>(kEstimate.count())) {
        const auto it = submitted.find(key.job);
        if (it != submitted.end()) times.push_back(kNow + t - it->second);
        if (it != submitted.end()) submitted.erase(it);
        end(key, RunEnd::kDone);
      }
    }
    for (const auto& [key, run] : runs) {
      report.runs.push_back(Running(key, run.number));
      report.runs.back().percent = static_cast<int64_t>(
          100 * run.done_ms / static_cast<double>(kEstimate.count()));
    }
    Decisions log;
    ApplyReport(shard, kNow + t, vm, report, log);
    won += CountKind(log, Decision::Kind::kCopyWon);
  }
};

TEST_CASE("copies shorten the longest times where VMs are slow or hang") {
  const Replay without(false);
  const Replay with(true);
  CHECK(without.copies == 0);
  CHECK(with.submitted.empty());
  const auto p99 = [](const Replay& it) {
    return it.times[it.times.size() * 99 / 100].count();
  };
  MESSAGE(with.copies, " copies, ", with.won, " won, p99 ", p99(with),
          " ms; without ", p99(without), " ms");
  CHECK(p99(with) * 3 < p99(without) * 2);
  // Nearly all copies are worth their work.
  CHECK(with.won * 5 > with.copies * 4);
}

}  // namespace
}  // namespace almondtally::sched
