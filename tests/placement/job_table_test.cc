#include "placement/job_table.h"

#include <doctest/doctest.h>

namespace almondtally {
namespace {

const MonotonicTime kNow{Duration(9'000'000)};
const VmId kVm{"a"};

/// Placement state with one VM, one team and the jobs that a test adds.
struct Fixture {
  JobTable job_table;
  VmTable vms;
  Config config;
  MonotonicTime now = kNow;
  uint64_t version = 0;

  Fixture() {
    VmRecord& vm = vms[kVm];
    vm.vm = kVm;
    vm.ready = true;
    vm.incarnation = Incarnation(3);
    vm.generation = Generation(1);
    vm.capacity = {MilliCpu(8'000), Mebibytes(8'000), Accelerators(0)};
    vm.last_heard = now;
    config.objects[{ConfigKind::kTeam, "t"}] = {
        ConfigVersion(1), R"({"quota":{"cpu":100000,"memory":100000}})"};
  }

  PlacementContext View() { return {vms, config, now}; }

  void Add(const std::string& id, uint32_t count, int64_t cpu,
           bool urgent = false) {
    JobRow row;
    row.spec.id = JobId(id);
    row.spec.team = TeamId("t");
    row.spec.count = count;
    row.spec.each.cpu = MilliCpu(cpu);
    row.spec.urgent = urgent;
    ApplyJobRow(job_table, row, RowVersion(++version));
    for (const Chunk& chunk : MakeChunks(row.spec)) {
      ApplyChunkRow(job_table, chunk, RowVersion(++version), now);
    }
  }

  void Place() { PlacePending(job_table, View(), 1'000); }

  void Commit() {
    const auto batch = TakeCommit(job_table, now);
    if (batch)
      TakeCommitted(job_table, *batch, Committed{RowVersion(++version)});
  }

  const TaskRecord& Task(const std::string& job, uint32_t index) {
    return job_table.jobs.at(JobId(job)).chunks.at(0).committed.tasks[index];
  }

  std::vector<StartBatch> Starts() {
    return CollectStartMessages(job_table, View(), EntryId("e"));
  }
};

TEST_CASE("a start is sent only for a committed assignment") {
  Fixture it;
  it.Add("j", 2, 1'000);
  it.Place();
  CHECK(it.Starts().empty());
  it.Commit();
  const auto starts = it.Starts();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].request.starts.size() == 2);
  CHECK(starts[0].request.starts[0].epoch == Epoch(1));
}

TEST_CASE(
    "a commit without an answer starts nothing until the row is read again") {
  Fixture it;
  it.Add("j", 1, 1'000);
  it.Place();
  const auto batch = TakeCommit(it.job_table, it.now);
  REQUIRE(batch);
  TakeCommitted(it.job_table, *batch, std::nullopt);
  CHECK(it.Starts().empty());
  CHECK(StaleKeys(it.job_table).size() == 1);
  JobReason why;
  const auto chunk = DecodeChunk(batch->transaction.puts[0].value, why);
  ApplyChunkRow(it.job_table, *chunk, RowVersion(99), it.now);
  CHECK(it.Starts().size() == 1);
}

TEST_CASE("assignments of many tasks of one job are committed as one row") {
  Fixture it;
  it.Add("j", 64, 100);
  it.Place();
  const auto batch = TakeCommit(it.job_table, it.now);
  REQUIRE(batch);
  CHECK(batch->transaction.puts.size() == 1);
}

TEST_CASE("a job that fits on no VM is parked and does not block other jobs") {
  Fixture it;
  it.Add("a-giant", 1, 9'000);
  it.Add("small", 1, 1'000);
  it.Place();
  CHECK(it.job_table.jobs.at(JobId("a-giant")).parked ==
        "no VM is large enough for one task");
  it.Commit();
  CHECK(it.Task("small", 0).state == TaskState::kAssigned);
}

TEST_CASE("urgent jobs are placed first") {
  Fixture it;
  it.Add("a-batch", 8, 1'000);
  it.Add("z-urgent", 1, 1'000, true);
  it.Place();
  it.Commit();
  CHECK(it.Task("z-urgent", 0).state == TaskState::kAssigned);
  CHECK(it.Task("a-batch", 7).state == TaskState::kPending);
}

TEST_CASE("a team gets no more than its quota") {
  Fixture it;
  it.config.objects[{ConfigKind::kTeam, "t"}].value =
      R"({"quota":{"cpu":2000,"memory":100000}})";
  it.Add("j", 4, 1'000);
  it.Place();
  it.Commit();
  CHECK(it.Task("j", 1).state == TaskState::kAssigned);
  CHECK(it.Task("j", 2).state == TaskState::kPending);
  CHECK(it.job_table.jobs.at(JobId("j")).parked == "the team's quota is used");
}

TEST_CASE("the end of a run is acknowledged only once it is committed") {
  Fixture it;
  it.Add("j", 1, 1'000);
  it.Place();
  it.Commit();
  EndedRun ended;
  ended.run = {{JobId("j"), 0}, Epoch(1)};
  CHECK(ApplyEndedRun(it.job_table, it.View(), kVm, ended) ==
        EndedEffect::kWait);
  CHECK(ApplyEndedRun(it.job_table, it.View(), kVm, ended) ==
        EndedEffect::kWait);
  it.Commit();
  CHECK(ApplyEndedRun(it.job_table, it.View(), kVm, ended) ==
        EndedEffect::kAcknowledge);
  CHECK(it.Task("j", 0).state == TaskState::kDone);
  REQUIRE(CollectFinishedJobs(it.job_table).size() == 1);
  CHECK(CollectFinishedJobs(it.job_table).empty());
}

TEST_CASE("an evicted task resumes from its checkpoint under a new epoch") {
  Fixture it;
  it.Add("j", 1, 1'000);
  it.Place();
  it.Commit();
  EndedRun ended;
  ended.run = {{JobId("j"), 0}, Epoch(1)};
  ended.outcome = RunOutcome::kEvicted;
  ended.checkpoint = "ckpt/1";
  ApplyEndedRun(it.job_table, it.View(), kVm, ended);
  it.Place();
  it.Commit();
  CHECK(it.Task("j", 0).epoch == Epoch(2));
  CHECK(it.Task("j", 0).checkpoint == "ckpt/1");
  CHECK(it.Task("j", 0).evictions == 1);
}

TEST_CASE("a silent VM's tasks wait for the fence and a full lease") {
  Fixture it;
  it.Add("j", 1, 1'000);
  it.Place();
  it.Commit();
  it.now += kVmSilenceTimeout + Duration(1);
  REQUIRE(VmsToFence(it.job_table, it.View()).size() == 1);
  RequeueLostTasks(it.job_table, it.View());
  CHECK_FALSE(TakeCommit(it.job_table, it.now));
  it.config.objects[{ConfigKind::kFence, "a"}] = {ConfigVersion(2),
                                                  R"({"generation":1})"};
  CHECK(VmsToFence(it.job_table, it.View()).empty());
  RequeueLostTasks(it.job_table, it.View());
  it.now += kFenceWait - Duration(1);
  RequeueLostTasks(it.job_table, it.View());
  CHECK_FALSE(TakeCommit(it.job_table, it.now));
  it.now += Duration(1);
  RequeueLostTasks(it.job_table, it.View());
  it.Commit();
  CHECK(it.Task("j", 0).state == TaskState::kPending);
}

TEST_CASE("a task of a lost VM resumes from the newest reported checkpoint") {
  Fixture it;
  it.Add("j", 1, 1'000);
  it.Place();
  it.Commit();
  const WorkerRun run{{JobId("j"), 0}, Epoch(1)};
  RecordCheckpoint(it.job_table, kVm, {run, "ckpt/7"});
  it.config.objects[{ConfigKind::kFence, "a"}] = {ConfigVersion(2),
                                                  R"({"generation":1})"};
  RequeueLostTasks(it.job_table, it.View());
  it.now += kFenceWait;
  RequeueLostTasks(it.job_table, it.View());
  it.Commit();
  CHECK(it.Task("j", 0).state == TaskState::kPending);
  CHECK(it.Task("j", 0).checkpoint == "ckpt/7");
}

TEST_CASE("a restarted target process is sent the start again") {
  Fixture it;
  it.Add("j", 1, 1'000);
  it.Place();
  it.Commit();
  it.Starts();
  const StartResult result{
      {{JobId("j"), 0}, Epoch(1)}, StartVerdict::kAccepted, ""};
  ApplyStartResult(it.job_table, it.View(), kVm, Incarnation(3), result);
  it.now += Duration(2'000);
  it.vms.at(kVm).last_heard = it.now;
  CHECK(it.Starts().empty());
  it.vms.at(kVm).incarnation = Incarnation(4);
  CHECK(it.Starts().size() == 1);
}

TEST_CASE("a row validated too long ago is read again before a start is sent") {
  Fixture it;
  it.Add("j", 1, 1'000);
  it.Place();
  it.Commit();
  it.now += kMaxTableReadAge + Duration(1);
  it.vms.at(kVm).last_heard = it.now;
  CHECK(it.Starts().empty());
  CHECK(StaleKeys(it.job_table).size() == 1);
}

TEST_CASE("cancelling a job ends its tasks and stops its runs") {
  Fixture it;
  it.Add("j", 12, 1'000);
  it.Place();
  it.Commit();
  JobRow row = it.job_table.jobs.at(JobId("j")).row;
  row.cancelled = true;
  ApplyJobRow(it.job_table, row, RowVersion(1'000));
  CHECK(RunsToStop(it.job_table, it.config).at(kVm).size() == 8);
  it.Commit();
  CHECK(it.Task("j", 11).state == TaskState::kCancelled);
  EndedRun ended;
  ended.run = {{JobId("j"), 0}, Epoch(1)};
  ended.outcome = RunOutcome::kCancelled;
  ApplyEndedRun(it.job_table, it.View(), kVm, ended);
  it.Commit();
  CHECK(it.Task("j", 0).state == TaskState::kCancelled);
}

TEST_CASE("a task that keeps failing ends as failed") {
  Fixture it;
  it.Add("j", 1, 1'000);
  for (uint64_t epoch = 1; epoch <= 5; ++epoch) {
    it.Place();
    it.Commit();
    EndedRun ended;
    ended.run = {{JobId("j"), 0}, Epoch(epoch)};
    ended.outcome = RunOutcome::kFailed;
    ApplyEndedRun(it.job_table, it.View(), kVm, ended);
    it.Commit();
  }
  CHECK(it.Task("j", 0).state == TaskState::kFailed);
}

TEST_CASE("a service is scaled to its configured number of executors") {
  Fixture it;
  const std::set<TeamId> teams = {TeamId("t")};
  const auto set = [&](int executors) {
    it.config.objects[{ConfigKind::kService, "s"}] = {
        ConfigVersion(2), R"({"team":"t","each":{"cpu":1000},"executors":)" +
                              std::to_string(executors) + "}"};
  };
  set(2);
  auto missing = SyncServices(it.job_table, it.config, teams);
  REQUIRE(missing.size() == 1);
  ApplyJobRow(it.job_table, missing[0], RowVersion(1));
  for (const Chunk& chunk : MakeChunks(missing[0].spec)) {
    ApplyChunkRow(it.job_table, chunk, RowVersion(1), it.now);
  }
  set(3);
  CHECK(SyncServices(it.job_table, it.config, teams).empty());
  it.Place();
  it.Commit();
  CHECK(it.Task("service:s", 2).state == TaskState::kAssigned);
  set(1);
  SyncServices(it.job_table, it.config, teams);
  CHECK(RunsToStop(it.job_table, it.config).at(kVm).size() == 2);
}

}  // namespace
}  // namespace almondtally
