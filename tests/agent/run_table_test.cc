#include "agent/run_table.h"

#include <doctest/doctest.h>

#include "agent/registration.h"

namespace almondtally::sched {
namespace {

const MonotonicTime kNow{Duration(1'000'000)};
const TaskKey kTask{JobId("j"), 0, 0, 0};
const TaskKey kOther{JobId("k"), 0, 0, 0};

Resources Size(int64_t cpu) {
  return {MilliCpu(cpu), Mebibytes(100), Accelerators(0)};
}

WorkerHello Hello(const std::string& id = "w", int64_t born_ms = 100) {
  WorkerHello hello;
  hello.worker.id = WorkerId(id);
  hello.worker.capacity = Size(4'000);
  hello.worker.capacity.memory = Mebibytes(10'000);
  hello.born_ms = born_ms;
  return hello;
}

WorkerListing Listing(int64_t clock_ms = 5'000, int64_t born_ms = 100) {
  WorkerListing out;
  out.clock_ms = clock_ms;
  out.born_ms = born_ms;
  return out;
}

SyncRequest Request(const RunTable& table, uint64_t batch = 0) {
  SyncRequest out;
  out.epoch = PlannerEpoch(1);
  out.life = table.life;
  out.worker = table.worker.id;
  out.fencing_base = 1 << 24;
  out.stamp = AgentTime(kNow.time_since_epoch().count());
  out.grant_ms = kLeaseGrantDuration.count();
  out.batch = batch;
  return out;
}

StartOrder Start(const TaskKey& task, uint64_t run, int64_t cpu = 1'000) {
  StartOrder out;
  out.task = task;
  out.run = RunNumber(run);
  out.size = Size(cpu);
  return out;
}

/// @return a table whose worker has listed its runs and whose planner has
/// granted a lease.
RunTable Ready() {
  RunTable table;
  table.life = AgentIncarnation(7);
  table.started_at = kNow;
  ApplyWorkerHello(table, kNow, Hello());
  ApplySyncRequest(table, kNow, Request(table));
  const auto renewal = BeginRenewal(table, kNow);
  REQUIRE(renewal);
  ApplyWorkerListing(table, kNow, *renewal, Listing());
  ApplySyncRequest(table, kNow, Request(table));
  return table;
}

void Order(RunTable& table, std::vector<StartOrder> starts) {
  SyncRequest request = Request(table, table.batch + 1);
  request.starts = std::move(starts);
  ApplySyncRequest(table, kNow, request);
}

std::vector<RunEndReport> Ends(const RunTable& table) {
  std::vector<RunEndReport> out;
  for (const UnrecordedEnd& end : table.ends) out.push_back(end.report);
  return out;
}

TEST_CASE("a start runs under a lease on the worker's clock") {
  RunTable table = Ready();
  Order(table, {Start(kTask, 1)});
  const auto calls = BeginStartCalls(table, kNow);
  REQUIRE(calls.size() == 1);
  CHECK(calls[0].call.lease_until_ms == 5'000 + kLeaseGrantDuration.count());
  FinishStartCall(table, kNow, calls[0], {});
  CHECK(table.runs.at(kTask).phase == RunPhase::kRunning);
  CHECK(BeginStartCalls(table, kNow).empty());
}

TEST_CASE("an expired lease grant starts nothing") {
  RunTable table = Ready();
  const MonotonicTime late = kNow + kLeaseGrantDuration + Duration(1'000);
  SyncRequest request = Request(table, 1);
  request.starts = {Start(kTask, 1)};
  ApplySyncRequest(table, late, request);
  CHECK(BeginStartCalls(table, late).empty());
  REQUIRE(Ends(table).size() == 1);
  CHECK(Ends(table)[0].end == RunEnd::kNotStarted);
}

// Issue 42, the same class: polls of a replaced planner kept the agent from
// restoring the row that the successor had removed.
TEST_CASE("requests without a grant do not show that the VM is listed") {
  RunTable table = Ready();
  const MonotonicTime before = table.last_grant_at;
  const MonotonicTime later = kNow + Duration(3'000);
  SyncRequest request = Request(table);
  request.grant_ms = 0;
  ApplySyncRequest(table, later, request);
  CHECK(table.last_grant_at == before);
  request.grant_ms = kLeaseGrantDuration.count();
  ApplySyncRequest(table, later, request);
  CHECK(table.last_grant_at == later);
}

TEST_CASE("admission counts starting, running and stopping runs") {
  RunTable table = Ready();
  Order(table, {Start(kTask, 1, 3'000), Start(kOther, 1, 2'000)});
  CHECK(table.runs.size() == 1);
  REQUIRE(Ends(table).size() == 1);
  CHECK(Ends(table)[0].reason == "no room");
  const auto calls = BeginStartCalls(table, kNow);
  FinishStartCall(table, kNow, calls[0], {});
  SyncRequest request = Request(table, table.batch + 1);
  request.stops = {{kTask, RunNumber(1)}};
  request.starts = {Start(kOther, 2, 2'000)};
  ApplySyncRequest(table, kNow, request);
  CHECK(Ends(table).size() == 2);
}

TEST_CASE("fillers count towards memory but not processors") {
  RunTable table = Ready();
  StartOrder filler = Start(kOther, 1, 3'000);
  filler.filler = true;
  Order(table, {Start(kTask, 1, 3'000), filler});
  CHECK(table.runs.size() == 2);
}

TEST_CASE("orders of an older planner or batch are ignored") {
  RunTable table = Ready();
  Order(table, {Start(kTask, 1)});
  SyncRequest late = Request(table, table.batch);
  late.starts = {Start(kOther, 1)};
  ApplySyncRequest(table, kNow, late);
  CHECK(table.runs.size() == 1);
  SyncRequest newer = Request(table, 1);
  newer.epoch = PlannerEpoch(2);
  CHECK(ApplySyncRequest(table, kNow, newer));
  SyncRequest old = Request(table, 9);
  old.starts = {Start(kOther, 1)};
  CHECK_FALSE(ApplySyncRequest(table, kNow, old));
  CHECK(table.runs.size() == 1);
}

TEST_CASE("orders for an earlier process of the agent or worker are not run") {
  RunTable table = Ready();
  SyncRequest request = Request(table, 1);
  request.life = AgentIncarnation(6);
  request.starts = {Start(kTask, 1)};
  ApplySyncRequest(table, kNow, request);
  CHECK(table.runs.empty());
  request = Request(table, 1);
  request.worker = WorkerId("former");
  request.starts = {Start(kTask, 1)};
  ApplySyncRequest(table, kNow, request);
  CHECK(table.runs.empty());
  CHECK(Ends(table).size() == 1);
}

TEST_CASE("an unanswered start is resolved under a higher fencing number") {
  RunTable table = Ready();
  Order(table, {Start(kTask, 1)});
  const auto calls = BeginStartCalls(table, kNow);
  FinishStartCall(table, kNow, calls[0], {CallOutcome::kUnknown, "timeout"});
  CHECK(table.fencing > calls[0].call.fencing);
  CHECK(BeginStartCalls(table, kNow).empty());
  // An answer to a renewal under the old number does not resolve it.
  RenewCall old;
  old.call = calls[0].call;
  ApplyWorkerListing(table, kNow, old, Listing());
  CHECK(table.runs.size() == 1);
  const auto renewal = BeginRenewal(table, kNow);
  CHECK(renewal->wait == Duration(0));
  ApplyWorkerListing(table, kNow, *renewal, Listing());
  const auto again = BeginStartCalls(table, kNow);
  REQUIRE(again.size() == 1);
  CHECK(again[0].start.run == RunNumber(1));
  CHECK(again[0].call.fencing > calls[0].call.fencing);
  CHECK(Ends(table).empty());
}

TEST_CASE("an unanswered start that took effect keeps running") {
  RunTable table = Ready();
  Order(table, {Start(kTask, 1)});
  const auto calls = BeginStartCalls(table, kNow);
  FinishStartCall(table, kNow, calls[0], {CallOutcome::kUnknown, "timeout"});
  WorkerListing listing = Listing();
  listing.running = {{kTask, RunNumber(1), "", 0, -1}};
  ApplyWorkerListing(table, kNow, *BeginRenewal(table, kNow), listing);
  CHECK(table.runs.at(kTask).phase == RunPhase::kRunning);
  CHECK(table.runs.at(kTask).size_known);
}

TEST_CASE(
    "a start rejected for its fencing number is retried with a higher one") {
  RunTable table = Ready();
  Order(table, {Start(kTask, 1)});
  const auto calls = BeginStartCalls(table, kNow);
  FinishStartCall(table, kNow, calls[0], {CallOutcome::kFenced, "fence"});
  const auto again = BeginStartCalls(table, kNow);
  REQUIRE(again.size() == 1);
  CHECK(again[0].call.fencing > calls[0].call.fencing);
  // The number stays within the planner's epoch.
  CHECK((again[0].call.fencing >> 24) == (calls[0].call.fencing >> 24));
}

TEST_CASE("an end is reported once and kept until it is recorded") {
  RunTable table = Ready();
  Order(table, {Start(kTask, 1)});
  FinishStartCall(table, kNow, BeginStartCalls(table, kNow)[0], {});
  WorkerListing listing = Listing();
  listing.ended = {{1, kTask, RunNumber(1), RunEnd::kDone, ""}};
  ApplyWorkerListing(table, kNow, *BeginRenewal(table, kNow), listing);
  ApplyWorkerListing(table, kNow, *BeginRenewal(table, kNow), listing);
  CHECK(table.runs.empty());
  REQUIRE(Ends(table).size() == 1);
  CHECK(BeginRenewal(table, kNow)->recorded == 0);
  SyncRequest request = Request(table);
  request.ends_recorded = 1;
  ApplySyncRequest(table, kNow, request);
  CHECK(Ends(table).empty());
  CHECK(BeginRenewal(table, kNow)->recorded == 1);
}

TEST_CASE("a listing made before a start was confirmed does not end the run") {
  RunTable table = Ready();
  const auto early = BeginRenewal(table, kNow);
  Order(table, {Start(kTask, 1)});
  FinishStartCall(table, kNow + Duration(1), BeginStartCalls(table, kNow)[0],
                  {});
  ApplyWorkerListing(table, kNow + Duration(2), *early, Listing());
  CHECK(table.runs.size() == 1);
  const MonotonicTime later = kNow + Duration(3);
  ApplyWorkerListing(table, later, *BeginRenewal(table, later), Listing());
  CHECK(table.runs.empty());
  CHECK(Ends(table)[0].end == RunEnd::kWorkerLost);
}

TEST_CASE("runs end when their worker restarts, even with the same id") {
  RunTable table = Ready();
  Order(table, {Start(kTask, 1)});
  FinishStartCall(table, kNow, BeginStartCalls(table, kNow)[0], {});
  CHECK_FALSE(ApplyWorkerHello(table, kNow, Hello("old", 50)));
  CHECK(table.runs.size() == 1);
  CHECK(ApplyWorkerHello(table, kNow, Hello("w", 200)));
  CHECK(table.runs.empty());
  CHECK(Ends(table)[0].end == RunEnd::kWorkerLost);
  CHECK(BeginRenewal(table, kNow)->recorded == 0);
}

WorkerHello NumberedHello(uint64_t sequence, int64_t cpu,
                          int64_t born_ms = 100) {
  WorkerHello hello = Hello("w", born_ms);
  hello.worker.capacity.cpu = MilliCpu(cpu);
  hello.sequence = sequence;
  return hello;
}

constexpr int64_t kFarFutureMs = 4'000'000'000'000;

/// Renews the leases; the worker that answers was started at `born_ms`.
void Renew(RunTable& table, MonotonicTime now, int64_t born_ms) {
  const auto renewal = BeginRenewal(table, now);
  REQUIRE(renewal);
  ApplyWorkerListing(table, now, *renewal, Listing(5'000, born_ms));
}

// Regression test: after one report with a start time that is too late, all
// later reports and lists of the worker were ignored.
TEST_CASE("a worker is followed again after a report with a wrong start time") {
  RunTable table = Ready();
  MonotonicTime now = kNow + Duration(100);
  SUBCASE("of the same id") {
    ApplyWorkerHello(table, now, Hello("w", kFarFutureMs));
    now += Duration(10);
    Renew(table, now, 100);
  }
  SUBCASE("of another id") {
    ApplyWorkerHello(table, now, Hello("stray", kFarFutureMs));
    now += Duration(10);
    HandleRenewalFailure(table, now, *BeginRenewal(table, now),
                         {CallOutcome::kWrongWorker, "421"});
  }
  ApplyWorkerHello(table, now, Hello("w", 100));
  Renew(table, now, 100);
  CHECK(table.worker.id == WorkerId("w"));
  CHECK(table.worker.responsive);
  CHECK(table.worker.capacity.cpu == MilliCpu(4'000));
  Order(table, {Start(kTask, 1)});
  CHECK(BeginStartCalls(table, now).size() == 1);
}

// Regression test: a malformed report that named another worker ended all runs
// of the present one, and they were started elsewhere while they still ran.
TEST_CASE("a report of another worker does not replace one that answers") {
  RunTable table = Ready();
  Order(table, {Start(kTask, 1)});
  FinishStartCall(table, kNow, BeginStartCalls(table, kNow)[0], {});
  MonotonicTime now = kNow + Duration(100);
  const WorkerHello other = Hello("other", 0);
  const WorkerHello reborn = Hello("w", 200);
  for (const WorkerHello& hello : {other, reborn}) {
    CHECK_FALSE(ReceiveWorkerHello(table, now, hello));
    const auto renewal = BeginRenewal(table, now);
    REQUIRE(renewal);
    CHECK(renewal->wait == Duration(0));
    CHECK(renewal->call.worker == WorkerId("w"));
    WorkerListing listing = Listing();
    listing.running = {{kTask, RunNumber(1), "", 100, -1}};
    ApplyWorkerListing(table, now, *renewal, listing);
    CHECK(table.worker.id == WorkerId("w"));
    CHECK(table.worker_born_ms == 100);
    CHECK(table.runs.contains(kTask));
    CHECK(Ends(table).empty());
    now += Duration(100);
  }
  const auto renewal = BeginRenewal(table, now);
  HandleRenewalFailure(table, now, *renewal,
                       {CallOutcome::kWrongWorker, "421"});
  CHECK(table.runs.contains(kTask));
}

// Regression test: see above; a worker that has gone must still be replaced at
// once.
TEST_CASE("a worker is replaced once another one answers in its place") {
  RunTable table = Ready();
  Order(table, {Start(kTask, 1)});
  FinishStartCall(table, kNow, BeginStartCalls(table, kNow)[0], {});
  const MonotonicTime now = kNow + Duration(100);
  SUBCASE("under another id") {
    CHECK_FALSE(ReceiveWorkerHello(table, now, Hello("new", 200)));
    HandleRenewalFailure(table, now, *BeginRenewal(table, now),
                         {CallOutcome::kWrongWorker, "421"});
    CHECK(table.worker.id == WorkerId("new"));
  }
  SUBCASE("under its id") {
    CHECK_FALSE(ReceiveWorkerHello(table, now, Hello("w", 200)));
    Renew(table, now, 200);
    CHECK(table.worker.id == WorkerId("w"));
  }
  SUBCASE("which reports only afterwards") {
    HandleRenewalFailure(table, now, *BeginRenewal(table, now),
                         {CallOutcome::kWrongWorker, "421"});
    CHECK(ReceiveWorkerHello(table, now, Hello("new", 200)));
  }
  CHECK(table.worker_born_ms == 200);
  CHECK(table.worker.capacity.cpu == MilliCpu(4'000));
  CHECK(table.runs.empty());
  REQUIRE(Ends(table).size() == 1);
  CHECK(Ends(table)[0].end == RunEnd::kWorkerLost);
  CHECK(BeginRenewal(table, now)->wait == Duration(0));
}

// Regression test: see above; no call that gets no answer is a proof.
TEST_CASE("a worker that does not answer is not replaced by a report") {
  RunTable table = Ready();
  Order(table, {Start(kTask, 1)});
  FinishStartCall(table, kNow, BeginStartCalls(table, kNow)[0], {});
  const MonotonicTime now = kNow + Duration(100);
  CHECK_FALSE(ReceiveWorkerHello(table, now, Hello("other", 200)));
  for (const CallOutcome outcome :
       {CallOutcome::kUnknown, CallOutcome::kRejected, CallOutcome::kFenced}) {
    HandleRenewalFailure(table, now, *BeginRenewal(table, now),
                         {outcome, "no lists"});
  }
  CHECK(table.worker.id == WorkerId("w"));
  CHECK(table.runs.contains(kTask));
}

// Regression test: a worker whose clock had been set back before it started
// again was ignored for good.
TEST_CASE("a worker that started again at an earlier time of day is followed") {
  RunTable table = Ready();
  Order(table, {Start(kTask, 1)});
  FinishStartCall(table, kNow, BeginStartCalls(table, kNow)[0], {});
  const MonotonicTime now = kNow + Duration(100);
  SUBCASE("under its id") {
    Renew(table, now, 50);
    ApplyWorkerHello(table, now, Hello("w", 50));
  }
  SUBCASE("under another id") {
    CHECK_FALSE(ApplyWorkerHello(table, now, Hello("new", 50)));
    HandleRenewalFailure(table, now, *BeginRenewal(table, now),
                         {CallOutcome::kWrongWorker, "421"});
    CHECK(ApplyWorkerHello(table, now, Hello("new", 50)));
    Renew(table, now, 50);
  }
  CHECK(table.runs.empty());
  REQUIRE(Ends(table).size() == 1);
  CHECK(Ends(table)[0].end == RunEnd::kWorkerLost);
  CHECK(table.worker.responsive);
  CHECK(table.worker.capacity.cpu == MilliCpu(4'000));
}

TEST_CASE("a listing from before a restart does not bring the former back") {
  RunTable table = Ready();
  const auto renewal = BeginRenewal(table, kNow);
  const MonotonicTime now = kNow + Duration(100);
  ApplyWorkerHello(table, now, Hello("w", 200));
  ApplyWorkerListing(table, now, *renewal, Listing(5'000, 100));
  CHECK(table.worker_born_ms == 200);
  CHECK_FALSE(table.clock_known);
}

// Regression test: a heartbeat that was delayed in the network gave a worker
// the capacity back that it no longer had.
TEST_CASE("a late heartbeat does not restore an earlier capacity or state") {
  RunTable table = Ready();
  WorkerHello shrunk = NumberedHello(7, 1'000);
  shrunk.worker.draining = true;
  ApplyWorkerHello(table, kNow, shrunk);
  const uint64_t version = table.version;
  CHECK_FALSE(ApplyWorkerHello(table, kNow, NumberedHello(6, 4'000)));
  CHECK(table.worker.capacity.cpu == MilliCpu(1'000));
  CHECK(table.worker.draining);
  CHECK(table.version == version);
  ApplyWorkerHello(table, kNow, NumberedHello(8, 4'000));
  CHECK(table.worker.capacity.cpu == MilliCpu(4'000));
  CHECK_FALSE(table.worker.draining);
}

TEST_CASE("a restarted worker numbers its heartbeats from the beginning") {
  RunTable table = Ready();
  ApplyWorkerHello(table, kNow, NumberedHello(50, 1'000));
  SUBCASE("when its heartbeat arrives first") {
    CHECK(ApplyWorkerHello(table, kNow, NumberedHello(1, 4'000, 200)));
  }
  SUBCASE("when its listing arrives first") {
    ApplyWorkerListing(table, kNow, *BeginRenewal(table, kNow),
                       Listing(10, 200));
    ApplyWorkerHello(table, kNow, NumberedHello(1, 4'000, 200));
  }
  CHECK(table.worker.capacity.cpu == MilliCpu(4'000));
}

TEST_CASE("heartbeats without a number are applied as they arrive") {
  RunTable table = Ready();
  ApplyWorkerHello(table, kNow, NumberedHello(50, 4'000));
  WorkerHello unnumbered = NumberedHello(0, 1'000);
  unnumbered.sequence.reset();
  ApplyWorkerHello(table, kNow, unnumbered);
  CHECK(table.worker.capacity.cpu == MilliCpu(1'000));
  // A number says nothing without the time of the worker's start.
  ApplyWorkerHello(table, kNow, NumberedHello(1, 2'000, 0));
  CHECK(table.worker.capacity.cpu == MilliCpu(2'000));
}

void SetCapacity(RunTable& table, int64_t cpu) {
  WorkerHello hello = Hello();
  hello.worker.capacity.cpu = MilliCpu(cpu);
  ApplyWorkerHello(table, kNow, hello);
}

TEST_CASE("an order that arrives after the capacity has shrunk is refused") {
  RunTable table = Ready();
  SetCapacity(table, 0);
  Order(table, {Start(kTask, 1, 1'000)});
  CHECK(table.runs.empty());
  REQUIRE(Ends(table).size() == 1);
  CHECK(Ends(table)[0].end == RunEnd::kNotStarted);
  CHECK(Ends(table)[0].reason == "no room");
}

// Regression test: a run that had been admitted was started after the capacity
// had shrunk below it.
TEST_CASE("a run is not started once the capacity has shrunk below it") {
  RunTable table = Ready();
  Order(table, {Start(kTask, 1, 2'000), Start(kOther, 1, 2'000)});
  SUBCASE("before its start call is sent") {
    SetCapacity(table, 2'000);
    CHECK(BeginStartCalls(table, kNow).size() == 1);
  }
  SUBCASE("before its start call is sent again") {
    const auto calls = BeginStartCalls(table, kNow);
    REQUIRE(calls.size() == 2);
    FinishStartCall(table, kNow, calls[0], {});
    FinishStartCall(table, kNow, calls[1], {CallOutcome::kFenced, "fence"});
    SetCapacity(table, 2'000);
    CHECK(BeginStartCalls(table, kNow).empty());
  }
  SUBCASE("while another start is unanswered") {
    const auto calls = BeginStartCalls(table, kNow);
    FinishStartCall(table, kNow, calls[0], {CallOutcome::kUnknown, ""});
    FinishStartCall(table, kNow, calls[1], {CallOutcome::kFenced, "fence"});
    SetCapacity(table, 2'000);
    CHECK(BeginStartCalls(table, kNow).empty());
  }
  SUBCASE("while another run is being stopped") {
    const auto calls = BeginStartCalls(table, kNow);
    FinishStartCall(table, kNow, calls[0], {});
    FinishStartCall(table, kNow, calls[1], {CallOutcome::kFenced, "fence"});
    SyncRequest request = Request(table, table.batch + 1);
    request.stops = {{kTask, RunNumber(1)}};
    ApplySyncRequest(table, kNow, request);
    FinishStopCall(table, kNow, BeginStopCalls(table, kNow)[0], {});
    SetCapacity(table, 2'000);
    CHECK(BeginStartCalls(table, kNow).empty());
  }
  CHECK(table.runs.size() == 1);
  REQUIRE(Ends(table).size() == 1);
  CHECK(Ends(table)[0].task == kOther);
  CHECK(Ends(table)[0].end == RunEnd::kNotStarted);
  CHECK(Ends(table)[0].reason == "no room");
}

TEST_CASE("a run that fits the capacity exactly is started again") {
  RunTable table = Ready();
  Order(table, {Start(kTask, 1, 2'000)});
  const auto calls = BeginStartCalls(table, kNow);
  FinishStartCall(table, kNow, calls[0], {CallOutcome::kFenced, "fence"});
  SetCapacity(table, 2'000);
  CHECK(BeginStartCalls(table, kNow).size() == 1);
  CHECK(Ends(table).empty());
}

TEST_CASE("runs keep running when the capacity shrinks below them") {
  RunTable table = Ready();
  Order(table, {Start(kTask, 1)});
  FinishStartCall(table, kNow, BeginStartCalls(table, kNow)[0], {});
  SetCapacity(table, 0);
  WorkerListing listing = Listing();
  listing.running = {{kTask, RunNumber(1), "", 100, -1}};
  ApplyWorkerListing(table, kNow, *BeginRenewal(table, kNow), listing);
  CHECK(table.runs.at(kTask).phase == RunPhase::kRunning);
  CHECK(Ends(table).empty());
}

TEST_CASE("a change of the capacity is reported and used at once") {
  RunTable table = Ready();
  SetCapacity(table, 0);
  SyncRequest request = Request(table);
  request.seen_version = MakeReport(table, kNow, request).version;
  CHECK_FALSE(HasUnreportedChanges(table, request));
  SetCapacity(table, 1'000);
  CHECK(HasUnreportedChanges(table, request));
  CHECK(MakeReport(table, kNow, request).worker.capacity.cpu ==
        MilliCpu(1'000));
  Order(table, {Start(kTask, 1, 1'000)});
  CHECK(BeginStartCalls(table, kNow).size() == 1);
}

// Regression test: a restarted worker that listed its runs before it announced
// itself was given starts by the capacity of the worker before it.
TEST_CASE("a restarted worker starts nothing before it gives its capacity") {
  RunTable table = Ready();
  ApplyWorkerListing(table, kNow, *BeginRenewal(table, kNow), Listing(10, 200));
  table.former_lease_recorded = true;
  Order(table, {Start(kTask, 1, 4'000)});
  CHECK(BeginStartCalls(table, kNow).empty());
  REQUIRE(Ends(table).size() == 1);
  CHECK(Ends(table)[0].reason == "no room");
  ApplyWorkerHello(table, kNow, Hello("w", 200));
  Order(table, {Start(kTask, 2, 4'000)});
  CHECK(BeginStartCalls(table, kNow).size() == 1);
}

// Regression test: the start was reported as lost with the former process,
// although the worker, which has the same id, carried it out.
TEST_CASE("a start on its way to a restarted worker is not given up") {
  RunTable table = Ready();
  Order(table, {Start(kTask, 1)});
  const auto calls = BeginStartCalls(table, kNow);
  REQUIRE(calls.size() == 1);
  const MonotonicTime now = kNow + Duration(10);
  ApplyWorkerListing(table, now, *BeginRenewal(table, now), Listing(10, 200));
  CHECK(Ends(table).empty());
  SUBCASE("it is carried out") {
    FinishStartCall(table, now, calls[0], {});
    REQUIRE(table.runs.contains(kTask));
    CHECK(table.runs.at(kTask).phase == RunPhase::kRunning);
    CHECK(Ends(table).empty());
  }
  SUBCASE("it goes unanswered and does not arrive") {
    FinishStartCall(table, now, calls[0], {CallOutcome::kUnknown, "lost"});
    const auto renewal = BeginRenewal(table, now);
    CHECK(renewal->call.fencing > calls[0].call.fencing);
    ApplyWorkerListing(table, now, *renewal, Listing(20, 200));
    ApplyWorkerHello(table, now, Hello("w", 200));
    table.former_lease_recorded = true;
    const auto again = BeginStartCalls(table, now);
    REQUIRE(again.size() == 1);
    CHECK(again[0].start.run == RunNumber(1));
    CHECK(Ends(table).empty());
  }
}

// Regression test: such a start counted as lost although its call had gone out
// under the fencing number that the list was read with.
TEST_CASE("an unanswered start to a restarted worker is not given up early") {
  RunTable table = Ready();
  Order(table, {Start(kTask, 1)});
  const auto calls = BeginStartCalls(table, kNow);
  const MonotonicTime now = kNow + Duration(10);
  const auto renewal = BeginRenewal(table, now);
  FinishStartCall(table, now, calls[0], {CallOutcome::kUnknown, "timeout"});
  ApplyWorkerListing(table, now, *renewal, Listing(10, 200));
  CHECK(Ends(table).empty());
  const auto fenced = BeginRenewal(table, now);
  CHECK(fenced->call.fencing > calls[0].call.fencing);
  ApplyWorkerListing(table, now, *fenced, Listing(20, 200));
  ApplyWorkerHello(table, now, Hello("w", 200));
  table.former_lease_recorded = true;
  CHECK(BeginStartCalls(table, now).size() == 1);
  CHECK(Ends(table).empty());
}

// Regression test: the end was preceded by a report that the run was lost, so
// that its task ran again.
TEST_CASE("a run that a restarted worker has done is not reported as lost") {
  RunTable table = Ready();
  Order(table, {Start(kTask, 1)});
  const auto calls = BeginStartCalls(table, kNow);
  FinishStartCall(table, kNow, calls[0], {});
  const MonotonicTime now = kNow + Duration(10);
  WorkerListing listing = Listing(10, 200);
  listing.ended = {{1, kTask, RunNumber(1), RunEnd::kDone, ""}};
  ApplyWorkerListing(table, now, *BeginRenewal(table, now), listing);
  CHECK(table.runs.empty());
  REQUIRE(Ends(table).size() == 1);
  CHECK(Ends(table)[0].end == RunEnd::kDone);
}

// Issue 42: the new process took a lease end on the clock of the former one for
// a later time, and runs went on after the planner had given them up.
TEST_CASE("no start is sent to a worker that may have started again") {
  RunTable table = Ready();
  const MonotonicTime now = kNow + Duration(10);
  Order(table, {Start(kTask, 1)});
  ReceiveWorkerHello(table, now, Hello("w", 200));
  CHECK(BeginStartCalls(table, now).empty());
  SUBCASE("it has") {
    Renew(table, now, 200);
    CHECK(BeginStartCalls(table, now).empty());
    REQUIRE(Ends(table).size() == 1);
    CHECK(Ends(table)[0].end == RunEnd::kNotStarted);
  }
  SUBCASE("it has not") {
    Renew(table, now, 100);
    CHECK(BeginStartCalls(table, now).size() == 1);
  }
  SUBCASE("it does not answer before the order expires") {
    const MonotonicTime late = now + kLeaseGrantDuration;
    CHECK(BeginStartCalls(table, late).empty());
    REQUIRE(Ends(table).size() == 1);
    CHECK(Ends(table)[0].reason == "lease too short");
  }
}

// Regression test: a worker that had started again under its id was given a
// lease on the clock of its former process, and told to forget ends that nobody
// had read.
TEST_CASE("a worker that may have started again gets no lease and no cursor") {
  RunTable table = Ready();
  table.worker_end_recorded = 57;
  const MonotonicTime now = kNow + Duration(10);
  SUBCASE("it was announced") {
    ReceiveWorkerHello(table, now, Hello("w", 200));
  }
  SUBCASE("a call did not reach it") {
    HandleRenewalFailure(table, now, *BeginRenewal(table, now),
                         {CallOutcome::kRejected, "connect"});
  }
  const auto renewal = BeginRenewal(table, now);
  CHECK(renewal->call.lease_until_ms == 0);
  CHECK(renewal->recorded == 0);
  ApplyWorkerListing(table, now, *renewal, Listing());
  const auto next = BeginRenewal(table, now);
  CHECK(next->call.lease_until_ms > 0);
  CHECK(next->recorded == 57);
}

constexpr Duration kWorkerMaxLease{10'000};

/// @return a table whose worker has been up for a minute when a start is sent.
/// The worker has started again by then, under its id and unannounced, and
/// carries the start out; the lease ends on the clock of the former process.
RunTable StartOnRestartedWorker(CallOutcome outcome) {
  RunTable table = Ready();
  table.clock_ms = 60'000;
  Order(table, {Start(kTask, 1)});
  const auto calls = BeginStartCalls(table, kNow);
  REQUIRE(calls.size() == 1);
  FinishStartCall(table, kNow, calls[0], {outcome, ""});
  return table;
}

/// @return a listing of the restarted worker, with the run that it has started.
WorkerListing ListingOfRestartedWorker(int64_t clock_ms) {
  WorkerListing listing = Listing(clock_ms, 200);
  listing.running.push_back({kTask, RunNumber(1)});
  return listing;
}

/// @return when the agent gives up the runs of a worker that nothing reaches.
MonotonicTime FindGiveUpTime(RunTable& table, MonotonicTime now) {
  const MonotonicTime end = now + 4 * kWorkerMaxLease;
  for (; !table.runs.empty() && now < end; now += Duration(100)) {
    if (const auto renewal = BeginRenewal(table, now)) {
      HandleRenewalFailure(table, now, *renewal,
                           {CallOutcome::kRejected, "connect"});
    }
    ExpireLeases(table, now);
  }
  return now;
}

// Issue 48, TWICE: the agent gave the run up after its own lease of 5 s, and
// the task was started elsewhere while the worker went on for 10 s.
TEST_CASE("runs that a restarted worker took for its former process outlast") {
  RunTable table = StartOnRestartedWorker(CallOutcome::kUnknown);
  const MonotonicTime heard = kNow + Duration(100);
  ApplyWorkerListing(table, heard, *BeginRenewal(table, heard),
                     ListingOfRestartedWorker(500));
  REQUIRE(table.runs.contains(kTask));
  SUBCASE("the worker is cut off at once") {}
  SUBCASE("the worker was heard again before") {
    const auto renewal = BeginRenewal(table, heard);
    ApplyWorkerListing(table, heard, *renewal, ListingOfRestartedWorker(500));
  }
  const SyncReport report = MakeReport(table, heard, Request(table));
  CHECK(heard + Duration(report.former_lease_ms) >= heard + kWorkerMaxLease);
  CHECK(FindGiveUpTime(table, heard) >= heard + kWorkerMaxLease);
}

// A start is in flight when the worker is found to have started again.
TEST_CASE("a lease in flight to a restarted worker counts") {
  RunTable table = Ready();
  table.clock_ms = 60'000;
  Order(table, {Start(kTask, 1)});
  REQUIRE(BeginStartCalls(table, kNow).size() == 1);
  ApplyWorkerListing(table, kNow, *BeginRenewal(table, kNow),
                     ListingOfRestartedWorker(500));
  CHECK(FindGiveUpTime(table, kNow) >= kNow + kWorkerMaxLease);
}

// The answer to a renewal shows that the worker has started again.
TEST_CASE("a lease that a restarted worker has answered counts") {
  RunTable table = Ready();
  table.clock_ms = 60'000;
  const auto renewal = BeginRenewal(table, kNow);
  REQUIRE(renewal->call.lease_until_ms > 60'000);
  ApplyWorkerListing(table, kNow, *renewal, Listing(500, 200));
  CHECK(table.leases.taken_until >= kNow + kWorkerMaxLease);
}

// Issue 42, TWICE: what the first process may have been sent was forgotten when
// the second one had answered.
TEST_CASE("runs that a worker took for its last but one process outlast") {
  RunTable table = StartOnRestartedWorker(CallOutcome::kUnknown);
  MonotonicTime now = kNow;
  for (int i = 0; i < 2; ++i) {
    now += Duration(100);
    ApplyWorkerListing(table, now, *BeginRenewal(table, now),
                       Listing(500, 200));
  }
  REQUIRE(table.runs.empty());
  bool may_arrive = true;
  SUBCASE("the call may still arrive") { now += Duration(3'000); }
  SUBCASE("the call can arrive no more") {
    now += Duration(20'000);
    may_arrive = false;
  }
  HandleRenewalFailure(table, now, *BeginRenewal(table, now),
                       {CallOutcome::kRejected, "connect"});
  WorkerListing listing = ListingOfRestartedWorker(500);
  listing.born_ms = 300;
  for (int i = 0; i < 2; ++i) {
    ApplyWorkerListing(table, now, *BeginRenewal(table, now), listing);
  }
  CHECK((FindGiveUpTime(table, now) >= now + kWorkerMaxLease) == may_arrive);
}

TEST_CASE("runs that a worker took for its former process are stopped") {
  RunTable table = StartOnRestartedWorker(CallOutcome::kUnknown);
  ApplyWorkerListing(table, kNow, *BeginRenewal(table, kNow),
                     ListingOfRestartedWorker(500));
  const auto stops = BeginStopCalls(table, kNow);
  REQUIRE(stops.size() == 1);
  CHECK(stops[0].run == RunNumber(1));
  CHECK(stops[0].call.fencing >= table.process_fencing);
}

TEST_CASE("a restarted worker's later runs are not stopped") {
  RunTable table = StartOnRestartedWorker(CallOutcome::kUnknown);
  ApplyWorkerListing(table, kNow, *BeginRenewal(table, kNow),
                     Listing(500, 200));
  ApplyWorkerListing(table, kNow, *BeginRenewal(table, kNow),
                     Listing(500, 200));
  REQUIRE(table.runs.empty());
  ApplyWorkerHello(table, kNow, Hello("w", 200));
  table.former_lease_recorded = true;
  Order(table, {Start(kTask, 2)});
  const auto calls = BeginStartCalls(table, kNow);
  REQUIRE(calls.size() == 1);
  FinishStartCall(table, kNow, calls[0], {});
  WorkerListing listing = Listing(500, 200);
  listing.running.push_back({kTask, RunNumber(2)});
  ApplyWorkerListing(table, kNow, *BeginRenewal(table, kNow), listing);
  CHECK(table.has_former_lease);
  CHECK(BeginStopCalls(table, kNow).empty());
}

// Issue 56, TWICE: a start was covered by a longer lease that the next planner
// did not know of.
TEST_CASE("nothing starts under a longer lease that is not recorded") {
  RunTable table = StartOnRestartedWorker(CallOutcome::kUnknown);
  for (int i = 0; i < 2; ++i) {
    ApplyWorkerListing(table, kNow, *BeginRenewal(table, kNow),
                       Listing(500, 200));
  }
  ApplyWorkerHello(table, kNow, Hello("w", 200));
  const uint64_t last = Ends(table).back().number;
  bool starts = false;
  SUBCASE("not recorded") {}
  SUBCASE("recorded") {
    table.former_lease_recorded = true;
    starts = true;
  }
  CHECK(MakeReport(table, kNow, Request(table)).former_lease_recorded ==
        starts);
  Order(table, {Start(kTask, 2)});
  CHECK(BeginStartCalls(table, kNow).size() == (starts ? 1 : 0));
  CHECK((Ends(table).back().number > last) == !starts);
}

TEST_CASE("nothing starts before the store has shown who plans") {
  RunTable table = Ready();
  table.awaits_registration = true;
  Order(table, {Start(kTask, 1)});
  CHECK(BeginStartCalls(table, kNow).empty());
  REQUIRE(Ends(table).size() == 1);
  CHECK(Ends(table)[0].end == RunEnd::kNotStarted);
}

TEST_CASE("calls meant for a former process are void after the next answer") {
  RunTable table = Ready();
  const uint64_t before = table.fencing;
  ApplyWorkerListing(table, kNow, *BeginRenewal(table, kNow),
                     Listing(500, 200));
  CHECK(table.fencing > before);
  CHECK(BeginRenewal(table, kNow)->call.fencing > before);
}

TEST_CASE("a former lease counts only while it can outlast a grant") {
  RunTable table = StartOnRestartedWorker(CallOutcome::kUnknown);
  ApplyWorkerListing(table, kNow, *BeginRenewal(table, kNow),
                     Listing(500, 200));
  ApplyWorkerListing(table, kNow, *BeginRenewal(table, kNow),
                     Listing(500, 200));
  CHECK(MakeReport(table, kNow, Request(table)).former_lease_ms > 0);
  // With the allowance for a slow clock.
  const Duration longest = kWorkerMaxLease + kWorkerMaxLease * 3 / 100;
  const MonotonicTime end = kNow + longest - kLeaseGrantDuration;
  ExpireLeases(table, end - Duration(1));
  CHECK(table.has_former_lease);
  const uint64_t version = table.version;
  ExpireLeases(table, end);
  CHECK_FALSE(table.has_former_lease);
  CHECK(table.version > version);
  CHECK(MakeReport(table, end, Request(table)).former_lease_ms == 0);
}

TEST_CASE("a worker that took no lease of its former process is used at once") {
  RunTable table;
  SUBCASE("all calls were answered") {
    table = StartOnRestartedWorker(CallOutcome::kOk);
    ApplyWorkerListing(table, kNow, *BeginRenewal(table, kNow), Listing());
    table.worker_unreachable = true;
  }
  SUBCASE("the former process had just started") {
    table = Ready();
    table.clock_ms = 100;
    Order(table, {Start(kTask, 1)});
    const auto calls = BeginStartCalls(table, kNow);
    FinishStartCall(table, kNow, calls[0], {CallOutcome::kUnknown, ""});
  }
  ApplyWorkerListing(table, kNow, *BeginRenewal(table, kNow),
                     Listing(400, 200));
  CHECK_FALSE(table.has_former_lease);
}

TEST_CASE("a worker with another id takes no lease of the former one") {
  RunTable table = StartOnRestartedWorker(CallOutcome::kUnknown);
  ApplyWorkerHello(table, kNow, Hello("w2", 200));
  ApplyWorkerListing(table, kNow, *BeginRenewal(table, kNow),
                     Listing(500, 200));
  CHECK_FALSE(table.has_former_lease);
}

// Regression test: a worker whose first announcement had no start time was
// never followed, as each later one counted as that of another process.
TEST_CASE("a worker announced without a start time is followed later") {
  RunTable table;
  table.life = AgentIncarnation(7);
  table.started_at = kNow;
  ReceiveWorkerHello(table, kNow, Hello("w", 0));
  ApplySyncRequest(table, kNow, Request(table));
  ApplyWorkerListing(table, kNow, *BeginRenewal(table, kNow), Listing());
  WorkerHello hello = Hello();
  hello.worker.draining = true;
  ReceiveWorkerHello(table, kNow, hello);
  CHECK(table.worker.draining);
}

// A task that crashes the worker at once leaves its start call unanswered; such
// runs were reported as not started and counted nowhere.
TEST_CASE("a run whose start call was cut off by a crash is a suspect") {
  RunTable table = Ready();
  Order(table, {Start(kTask, 1), Start(kOther, 1)});
  const auto calls = BeginStartCalls(table, kNow);
  REQUIRE(calls.size() == 2);
  RunEnd expected = RunEnd::kWorkerLost;
  CrashEvidence crash{0, 1, StartEvidence::kNone};
  SUBCASE("in flight") {}
  SUBCASE("unanswered") {
    FinishStartCall(table, kNow, calls[0], {CallOutcome::kUnknown, "lost"});
    crash.start = StartEvidence::kCutOff;
  }
  SUBCASE("unanswered, by a worker that had been silent for long") {
    const MonotonicTime late = kNow + Duration(1'000);
    FinishStartCall(table, late, calls[0], {CallOutcome::kUnknown, "timeout"});
  }
  SUBCASE("confirmed") {
    FinishStartCall(table, kNow, calls[0], {});
    crash.start = StartEvidence::kConfirmed;
  }
  SUBCASE("it was rejected before, so that it is due again") {
    FinishStartCall(table, kNow, calls[0], {CallOutcome::kFenced, "fence"});
    expected = RunEnd::kNotStarted;
    crash = {};
  }
  FinishStartCall(table, kNow, calls[1], {CallOutcome::kRejected, "room"});
  ApplyWorkerHello(table, kNow + Duration(3'000), Hello("w", 200));
  const auto ends = Ends(table);
  REQUIRE(ends.size() == 2);
  CHECK(ends[1].task == kTask);
  CHECK(ends[1].end == expected);
  CHECK(ends[1].crash == crash);
}

TEST_CASE("runs started well before the last one are not suspects") {
  RunTable table = Ready();
  Order(table, {Start(kTask, 1)});
  FinishStartCall(table, kNow, BeginStartCalls(table, kNow)[0], {});
  Duration between = kCrashSuspectWindow;
  uint32_t suspects = 2;
  SUBCASE("within the window") {}
  SUBCASE("earlier") {
    between += Duration(1);
    suspects = 1;
  }
  const MonotonicTime later = kNow + between;
  Order(table, {Start(kOther, 1)});
  FinishStartCall(table, later, BeginStartCalls(table, later)[0], {});
  const MonotonicTime heard = later + Duration(40);
  WorkerListing listing = Listing();
  listing.running = {{kTask, RunNumber(1), "", 100},
                     {kOther, RunNumber(1), "", 100}};
  ApplyWorkerListing(table, heard, *BeginRenewal(table, heard), listing);
  ApplyWorkerHello(table, later + Duration(3'000), Hello("w", 200));
  const auto ends = Ends(table);
  REQUIRE(ends.size() == 2);
  CHECK(ends[0].crash.suspects == (suspects == 2 ? 2 : 0));
  CHECK(ends[1].crash.suspects == suspects);
  CHECK(ends[1].crash.run_age_ms == 40);
}

// Renewals wait up to 300 ms, so that the worker was last heard at the start of
// the earlier run.
TEST_CASE("only the last run is a suspect while a renewal waits") {
  RunTable table = Ready();
  Order(table, {Start(kTask, 1)});
  FinishStartCall(table, kNow, BeginStartCalls(table, kNow)[0], {});
  const auto waiting = BeginRenewal(table, kNow);
  REQUIRE(waiting);
  const MonotonicTime later = kNow + Duration(155);
  Order(table, {Start(kOther, 1)});
  const auto calls = BeginStartCalls(table, later);
  const MonotonicTime lost = later + Duration(5);
  FinishStartCall(table, lost, calls[0], {CallOutcome::kUnknown, "link lost"});
  HandleRenewalFailure(table, lost, *waiting,
                       {CallOutcome::kUnknown, "link lost"});
  ApplyWorkerHello(table, later + Duration(3'000), Hello("w", 200));
  const auto ends = Ends(table);
  REQUIRE(ends.size() == 2);
  CHECK(ends[0].crash.suspects == 0);
  CHECK(ends[1].crash.suspects == 1);
}

// A crash by chance 250 ms after a start, before the next listing.
TEST_CASE("the age of a run is not cut short by a renewal that waits") {
  RunTable table = Ready();
  Order(table, {Start(kTask, 1)});
  FinishStartCall(table, kNow, BeginStartCalls(table, kNow)[0], {});
  const auto waiting = BeginRenewal(table, kNow);
  REQUIRE(waiting);
  HandleRenewalFailure(table, kNow + Duration(250), *waiting,
                       {CallOutcome::kUnknown, "link lost"});
  ApplyWorkerHello(table, kNow + Duration(3'000), Hello("w", 200));
  REQUIRE(Ends(table).size() == 1);
  CHECK(Ends(table)[0].crash.run_age_ms > 25);
}

TEST_CASE("a worker that announced its end did not crash") {
  RunTable table = Ready();
  Order(table, {Start(kTask, 1)});
  FinishStartCall(table, kNow, BeginStartCalls(table, kNow)[0], {});
  WorkerHello draining = Hello();
  draining.worker.draining = true;
  ApplyWorkerHello(table, kNow, draining);
  ApplyWorkerHello(table, kNow, Hello("next", 200));
  REQUIRE(Ends(table).size() == 1);
  CHECK(Ends(table)[0].end == RunEnd::kWorkerLost);
  CHECK(Ends(table)[0].crash == CrashEvidence{});
}

// A worker that is away for longer than its leases hides who crashed it.
TEST_CASE("a crash is reported also after the leases have expired") {
  RunTable table = Ready();
  Order(table, {Start(kTask, 1)});
  FinishStartCall(table, kNow, BeginStartCalls(table, kNow)[0], {});
  HandleRenewalFailure(table, kNow, *BeginRenewal(table, kNow),
                       {CallOutcome::kUnknown, "timeout"});
  const MonotonicTime expired = kNow + kLeaseGrantDuration + Duration(200);
  ExpireLeases(table, expired);
  REQUIRE(table.runs.empty());
  bool crashed = true;
  SUBCASE("the worker restarts") {}
  SUBCASE("the worker answers again") {
    ApplyWorkerListing(table, expired, *BeginRenewal(table, expired),
                       Listing());
    crashed = false;
  }
  ApplyWorkerHello(table, expired, Hello("w", 200));
  const auto ends = Ends(table);
  REQUIRE(ends.size() == (crashed ? 2 : 1));
  CHECK(ends[0].crash == CrashEvidence{});
  if (crashed) CHECK(ends[1].crash.suspects == 1);
}

TEST_CASE("runs of an unresponsive worker end when all leases have expired") {
  RunTable table = Ready();
  Order(table, {Start(kTask, 1)});
  FinishStartCall(table, kNow, BeginStartCalls(table, kNow)[0], {});
  HandleRenewalFailure(table, kNow, *BeginRenewal(table, kNow),
                       {CallOutcome::kUnknown, "timeout"});
  ExpireLeases(table, kNow + kLeaseGrantDuration);
  CHECK(table.runs.size() == 1);
  ExpireLeases(table, kNow + kLeaseGrantDuration + Duration(200));
  CHECK(table.runs.empty());
  CHECK(Ends(table)[0].end == RunEnd::kLapsed);
}

// TWICE, issue 66: the run was ended with the first renewal that went
// unanswered, under a lease that nobody counted on.
TEST_CASE("runs outlast a restart of the agent beside a silent worker") {
  constexpr int64_t kOldWorkerMs = 60'000;
  RunTable table;
  table.life = AgentIncarnation(8);
  table.started_at = kNow;
  BeginRegistration(table, kNow);
  ApplyWorkerHello(table, kNow, Hello());
  ApplySyncRequest(table, kNow, Request(table));
  WorkerListing listing = Listing(kOldWorkerMs);
  listing.running = {{kTask, RunNumber(3), "", 40, -1}};
  ApplyWorkerListing(table, kNow, *BeginRenewal(table, kNow), listing);
  HandleRenewalFailure(table, kNow, *BeginRenewal(table, kNow),
                       {CallOutcome::kUnknown, "timeout"});
  ExpireLeases(table, kNow + kLeaseGrantDuration);
  CHECK(table.runs.contains(kTask));
  ExpireLeases(table, kNow + kMaxLeaseDuration + Duration(1'000));
  REQUIRE(Ends(table).size() == 1);
  CHECK(Ends(table)[0].end == RunEnd::kLapsed);
}

// Issue 66, the same class: a renewal that carries no lease counts as one whose
// lease has ended, so that the log tells of a lease that was never sent.
TEST_CASE("a renewal without a lease is not counted as a lease that ended") {
  RunTable table;
  table.life = AgentIncarnation(8);
  table.started_at = kNow;
  BeginRegistration(table, kNow);
  ApplyWorkerHello(table, kNow, Hello());
  ApplySyncRequest(table, kNow, Request(table));
  const auto renewal = BeginRenewal(table, kNow);
  REQUIRE(renewal);
  REQUIRE(renewal->call.lease_until_ms == 0);
  ApplyWorkerListing(table, kNow, *renewal, Listing(60'000));
  CHECK_FALSE(table.leases.sent_until.has_value());
}

// TWICE: the first announcement that a restarted agent gets is a late one of a
// worker that has left, and makes it forget the leases of its former process.
TEST_CASE("a late announcement hides no leases from a restarted agent" *
          doctest::should_fail()) {
  constexpr int64_t kYoungWorkerMs = 500;
  RunTable table;
  table.life = AgentIncarnation(8);
  table.started_at = kNow;
  BeginRegistration(table, kNow);
  ApplyWorkerHello(table, kNow, Hello("left", 50));
  ApplyWorkerHello(table, kNow, Hello());
  ApplySyncRequest(table, kNow, Request(table));
  WorkerListing listing = Listing(kYoungWorkerMs);
  listing.running = {{kTask, RunNumber(3), "", 40, -1}};
  ApplyWorkerListing(table, kNow, *BeginRenewal(table, kNow), listing);
  CHECK(table.has_former_lease);
  HandleRenewalFailure(table, kNow, *BeginRenewal(table, kNow),
                       {CallOutcome::kUnknown, "timeout"});
  ExpireLeases(table, kNow + kMaxLeaseDuration + Duration(1'000));
  CHECK(table.runs.contains(kTask));
}

// TWICE: lease ends are computed from the latest reading of the worker's clock.
// The older that is, the later they come on a slow clock.
TEST_CASE("a restarted agent waits for leases on an old reading of the clock" *
          doctest::should_fail()) {
  constexpr Duration kReadingAge{30'000};
  constexpr int64_t kSlowPercent = 2;
  const auto on_slow_clock = [](int64_t ms) {
    return ms * (100 - kSlowPercent) / 100;
  };
  RunTable former = Ready();
  const int64_t read_ms = former.clock_ms;
  const MonotonicTime restart = kNow + kReadingAge;
  SyncRequest request = Request(former);
  request.stamp = AgentTime(restart.time_since_epoch().count());
  ApplySyncRequest(former, restart, request);
  const int64_t lease_end_ms =
      BeginRenewal(former, restart)->call.lease_until_ms;

  RunTable table;
  table.life = AgentIncarnation(8);
  table.started_at = restart;
  BeginRegistration(table, restart);
  ApplyWorkerHello(table, restart, Hello());
  request.life = table.life;
  request.grant_ms = 0;
  ApplySyncRequest(table, restart, request);
  WorkerListing listing = Listing(read_ms + on_slow_clock(kReadingAge.count()));
  listing.running = {{kTask, RunNumber(3), "", 40, -1}};
  ApplyWorkerListing(table, restart, *BeginRenewal(table, restart), listing);
  HandleRenewalFailure(table, restart, *BeginRenewal(table, restart),
                       {CallOutcome::kUnknown, "timeout"});
  const Duration later = kMaxLeaseDuration + Duration(200);
  REQUIRE(listing.clock_ms + on_slow_clock(later.count()) < lease_end_ms);
  ExpireLeases(table, restart + later);
  CHECK(table.runs.contains(kTask));
}

TEST_CASE("renewals that do not reach the worker extend no lease") {
  RunTable table = Ready();
  Order(table, {Start(kTask, 1)});
  FinishStartCall(table, kNow, BeginStartCalls(table, kNow)[0], {});
  // The planner keeps granting leases, since it still reaches the agent.
  for (int i = 1; i <= 60; ++i) {
    const MonotonicTime now = kNow + Duration(100) * i;
    SyncRequest request = Request(table);
    request.stamp = AgentTime(now.time_since_epoch().count());
    ApplySyncRequest(table, now, request);
    HandleRenewalFailure(table, now, *BeginRenewal(table, now),
                         {CallOutcome::kRejected, "connect"});
    ExpireLeases(table, now);
  }
  CHECK(table.runs.empty());
}

// Issue 42: the agent counted a lease as ended 63 ms before its worker did,
// since it had read the worker's clock without renewing the lease.
TEST_CASE("answers without a lease do not shorten the allowance for drift") {
  RunTable table = Ready();
  Order(table, {Start(kTask, 1)});
  FinishStartCall(table, kNow, BeginStartCalls(table, kNow)[0], {});
  const MonotonicTime late = kNow + kLeaseGrantDuration - Duration(20);
  const auto fail = [&] {
    HandleRenewalFailure(table, late, *BeginRenewal(table, late),
                         {CallOutcome::kRejected, "connect"});
  };
  fail();
  const auto renewal = BeginRenewal(table, late);
  REQUIRE(renewal->call.lease_until_ms == 0);
  WorkerListing slow_clock = Listing(9'900);
  slow_clock.running = {{kTask, RunNumber(1), "", 100, -1}};
  ApplyWorkerListing(table, late, *renewal, slow_clock);
  fail();
  ExpireLeases(table, late + Duration(100));
  CHECK(table.runs.size() == 1);
  ExpireLeases(table, kNow + kLeaseGrantDuration + Duration(200));
  CHECK(table.runs.empty());
}

TEST_CASE("an unanswered renewal may have extended the lease") {
  RunTable table = Ready();
  Order(table, {Start(kTask, 1)});
  FinishStartCall(table, kNow, BeginStartCalls(table, kNow)[0], {});
  const MonotonicTime later = kNow + Duration(2'000);
  SyncRequest request = Request(table);
  request.stamp = AgentTime(later.time_since_epoch().count());
  ApplySyncRequest(table, later, request);
  const auto renewal = BeginRenewal(table, later);
  table.worker.responsive = false;
  SUBCASE("while it is in flight") {}
  SUBCASE("after it timed out") {
    HandleRenewalFailure(table, later, *renewal, {CallOutcome::kUnknown, ""});
  }
  ExpireLeases(table, kNow + kLeaseGrantDuration + Duration(500));
  CHECK(table.runs.size() == 1);
  ExpireLeases(table, later + kLeaseGrantDuration + Duration(500));
  CHECK(table.runs.empty());
}

TEST_CASE("a restarted agent finds runs and asks for their sizes") {
  RunTable table;
  table.life = AgentIncarnation(8);
  table.started_at = kNow;
  CHECK_FALSE(MakeReport(table, kNow, Request(table)).settled);
  ApplyWorkerHello(table, kNow, Hello());
  // No renewal yet: its fencing number would be lower than one that the worker
  // has seen.
  CHECK_FALSE(BeginRenewal(table, kNow));
  ApplySyncRequest(table, kNow, Request(table));
  WorkerListing listing = Listing();
  listing.running = {{kTask, RunNumber(3), "c1", 40, -1}};
  ApplyWorkerListing(table, kNow, *BeginRenewal(table, kNow), listing);
  const SyncReport report = MakeReport(table, kNow, Request(table));
  CHECK(report.settled);
  CHECK(report.complete);
  REQUIRE(report.runs.size() == 1);
  CHECK(report.runs[0].unsized);
  ApplySyncRequest(table, kNow, Request(table));
  Order(table, {Start(kOther, 1)});
  CHECK(Ends(table).back().reason == "sizes of runs not known");
  SyncRequest request = Request(table, table.batch + 1);
  request.sizes = {{kTask, RunNumber(3), Size(3'500), false}};
  request.starts = {Start(kOther, 2)};
  ApplySyncRequest(table, kNow, request);
  CHECK(Ends(table).back().reason == "no room");
}

TEST_CASE("a report contains only what the planner has not seen") {
  RunTable table = Ready();
  Order(table, {Start(kTask, 1)});
  SyncRequest request = Request(table);
  const SyncReport first = MakeReport(table, kNow, request);
  CHECK(first.runs.size() == 1);
  request.seen_version = first.version;
  CHECK_FALSE(HasUnreportedChanges(table, request));
  Order(table, {Start(kOther, 1)});
  CHECK(HasUnreportedChanges(table, request));
  CHECK(MakeReport(table, kNow, request).runs.size() == 1);
}

TEST_CASE("a draining worker starts no runs") {
  RunTable table = Ready();
  WorkerHello hello = Hello();
  hello.worker.draining = true;
  ApplyWorkerHello(table, kNow, hello);
  Order(table, {Start(kTask, 1)});
  CHECK(BeginStartCalls(table, kNow).empty());
  CHECK(Ends(table)[0].reason == "draining");
}

TEST_CASE("stops and speed limits are repeated until confirmed") {
  RunTable table = Ready();
  Order(table, {Start(kTask, 1)});
  FinishStartCall(table, kNow, BeginStartCalls(table, kNow)[0], {});
  SyncRequest request = Request(table, table.batch + 1);
  request.paces = {{kTask, RunNumber(1), 40}};
  ApplySyncRequest(table, kNow, request);
  CHECK(BeginPaceCalls(table, kNow).size() == 1);
  CHECK(BeginPaceCalls(table, kNow).empty());
  const MonotonicTime later = kNow + Duration(600);
  const auto paces = BeginPaceCalls(table, later);
  REQUIRE(paces.size() == 1);
  FinishPaceCall(table, later, paces[0], {});
  CHECK(BeginPaceCalls(table, later + Duration(600)).empty());
  request = Request(table, table.batch + 1);
  request.stops = {{kTask, RunNumber(1)}};
  ApplySyncRequest(table, kNow, request);
  CHECK(BeginStopCalls(table, kNow).size() == 1);
  CHECK(BeginStopCalls(table, later).size() == 1);
}

// Regression test: a late call could leave a run at a speed that neither the
// agent nor the planner knew.
TEST_CASE("an unanswered speed limit cannot take effect after a later one") {
  RunTable table = Ready();
  Order(table, {Start(kTask, 1)});
  FinishStartCall(table, kNow, BeginStartCalls(table, kNow)[0], {});
  const auto set_limit = [&](int64_t percent) {
    SyncRequest request = Request(table, table.batch + 1);
    request.paces = {{kTask, RunNumber(1), percent}};
    ApplySyncRequest(table, kNow, request);
  };
  set_limit(40);
  const auto lost = BeginPaceCalls(table, kNow);
  REQUIRE(lost.size() == 1);
  FinishPaceCall(table, kNow, lost[0], {CallOutcome::kUnknown, "timeout"});
  set_limit(100);
  const MonotonicTime later = kNow + Duration(600);
  const auto paces = BeginPaceCalls(table, later);
  REQUIRE(paces.size() == 1);
  CHECK(paces[0].percent == 100);
  CHECK(paces[0].call.fencing > lost[0].call.fencing);
}

TEST_CASE("a speed limit given with a start is applied at once") {
  RunTable table = Ready();
  StartOrder start = Start(kTask, 1);
  start.pace = 0;
  Order(table, {start});
  FinishStartCall(table, kNow, BeginStartCalls(table, kNow)[0], {});
  const auto paces = BeginPaceCalls(table, kNow);
  REQUIRE(paces.size() == 1);
  CHECK(paces[0].percent == 0);
}

// Regression test: runs whose ends stood beyond the first ones of a list were
// taken for lost, and their tasks were started again.
TEST_CASE("an incomplete list of ends resolves no run") {
  RunTable table = Ready();
  Order(table, {Start(kTask, 1), Start(kOther, 1)});
  const auto calls = BeginStartCalls(table, kNow);
  FinishStartCall(table, kNow, calls[0], {});
  FinishStartCall(table, kNow, calls[1], {CallOutcome::kUnknown, "timeout"});
  const MonotonicTime now = kNow + Duration(1'000);
  WorkerListing listing = Listing();
  listing.complete = false;
  ApplyWorkerListing(table, now, *BeginRenewal(table, now), listing);
  CHECK(table.runs.size() == 2);
  CHECK(BeginStartCalls(table, now).empty());
  listing.complete = true;
  listing.ended = {{1, kTask, RunNumber(1), RunEnd::kDone, ""}};
  ApplyWorkerListing(table, now, *BeginRenewal(table, now), listing);
  REQUIRE(Ends(table).size() == 1);
  CHECK(Ends(table)[0].end == RunEnd::kDone);
  const auto again = BeginStartCalls(table, now);
  REQUIRE(again.size() == 1);
  CHECK(again[0].start.task == kOther);
}

// Regression test: such runs were missing from the first report of a restarted
// agent, which was taken for complete.
TEST_CASE("a restarted agent says whether ends may be missing") {
  RunTable table;
  table.life = AgentIncarnation(8);
  table.started_at = kNow;
  ApplyWorkerHello(table, kNow, Hello());
  ApplySyncRequest(table, kNow, Request(table));
  WorkerListing listing = Listing();
  listing.complete = false;
  listing.running = {{kTask, RunNumber(3), "", 40, -1}};
  ApplyWorkerListing(table, kNow, *BeginRenewal(table, kNow), listing);
  SyncRequest request = Request(table);
  const SyncReport first = MakeReport(table, kNow, request);
  CHECK(first.settled);
  CHECK(first.partial);
  request.seen_version = first.version;
  CHECK_FALSE(MakeReport(table, kNow, request).complete);
  SUBCASE("until the worker lists the last ones") {
    listing.complete = true;
    ApplyWorkerListing(table, kNow, *BeginRenewal(table, kNow), listing);
  }
  SUBCASE("until all its leases have expired") {
    ApplySyncRequest(table, kNow, request);
    const auto renewal = BeginRenewal(table, kNow);
    HandleRenewalFailure(table, kNow, *renewal,
                         {CallOutcome::kUnknown, "timeout"});
    ExpireLeases(table, kNow + kLeaseGrantDuration * 2);
  }
  CHECK(HasUnreportedChanges(table, request));
  const SyncReport report = MakeReport(table, kNow, request);
  CHECK(report.complete);
  CHECK_FALSE(report.partial);
}

/// Orders that were sent at `sent`, when the planner had last heard of the
/// agent.
SyncRequest OrdersSentAt(const RunTable& table, MonotonicTime sent,
                         std::vector<StartOrder> starts) {
  SyncRequest out = Request(table, table.batch + 1);
  out.stamp = AgentTime(sent.time_since_epoch().count());
  out.starts = std::move(starts);
  return out;
}

void GrantLease(RunTable& table, MonotonicTime now) {
  SyncRequest poll = Request(table);
  poll.stamp = AgentTime(now.time_since_epoch().count());
  ApplySyncRequest(table, now, poll);
}

// Regression test: orders that a cut held up were carried out after the planner
// had given the VM up and started the tasks elsewhere.
TEST_CASE("an order is void once its own lease has expired") {
  RunTable table = Ready();
  const SyncRequest late =
      OrdersSentAt(table, kNow, {Start(kTask, 1), Start(kOther, 1)});
  const MonotonicTime now = kNow + Duration(6'500);
  GrantLease(table, now);
  ApplySyncRequest(table, now, late);
  CHECK(table.runs.empty());
  CHECK(BeginStartCalls(table, now).empty());
  REQUIRE(Ends(table).size() == 2);
  CHECK(Ends(table)[0].end == RunEnd::kNotStarted);
  CHECK(Ends(table)[0].reason == "lease too short");
}

TEST_CASE("an order from a planner without a grant expires like the others") {
  RunTable table = Ready();
  SyncRequest late = OrdersSentAt(table, kNow, {Start(kTask, 1)});
  late.grant_ms = 0;
  SUBCASE("in time") {
    ApplySyncRequest(table, kNow + Duration(1'000), late);
    CHECK(BeginStartCalls(table, kNow + Duration(1'000)).size() == 1);
  }
  SUBCASE("too late") {
    const MonotonicTime now = kNow + Duration(6'500);
    GrantLease(table, now);
    ApplySyncRequest(table, now, late);
    CHECK(BeginStartCalls(table, now).empty());
  }
}

/// Sends the order again as long as its lease may last, and requires that
/// nothing is started and no end added.
void RepeatOrder(RunTable& table, SyncRequest copy) {
  ApplySyncRequest(table, kNow, copy);
  const size_t unrecorded = table.ends.size();
  for (Duration age{0}; age <= kLeaseGrantDuration; age += Duration(100)) {
    ++copy.batch;
    ApplySyncRequest(table, kNow + age, copy);
    CHECK(BeginStartCalls(table, kNow + age).empty());
    CHECK(table.ends.size() == unrecorded);
  }
}

// Review case 6, TWICE: an agent that had been frozen read several copies of an
// order, and carried out the second after the first had been refused.
TEST_CASE("a run that was refused is not started by a copy of its order") {
  RunTable table = Ready();
  SyncRequest copy = Request(table, 1);
  copy.starts = {Start(kTask, 2001)};
  ApplySyncRequest(table, kNow, copy);
  const auto calls = BeginStartCalls(table, kNow);
  REQUIRE(calls.size() == 1);
  FinishStartCall(table, kNow, calls[0],
                  {CallOutcome::kRejected, "status 503 "});
  SUBCASE("the end is not recorded") {}
  SUBCASE("the end is recorded") { copy.ends_recorded = 1; }
  RepeatOrder(table, copy);
}

// The worker itself may have forgotten the run: it has started again.
// TWICE, issue 66: a run that had begun late was reported while a later one was
// ordered here, and not again, so that its task was placed on another VM.
TEST_CASE("a run is reported again that keeps a later one from its start") {
  RunTable table = Ready();
  const auto renewal = BeginRenewal(table, kNow);
  REQUIRE(renewal);
  WorkerListing listing = Listing();
  listing.running.push_back({kTask, RunNumber(1), "", 0, -1});
  ApplyWorkerListing(table, kNow, *renewal, listing);
  SyncRequest request = Request(table);
  request.seen_version = MakeReport(table, kNow, request).version;
  CHECK(MakeReport(table, kNow, request).runs.empty());
  Order(table, {Start(kTask, 2)});
  const SyncReport report = MakeReport(table, kNow, request);
  REQUIRE(report.ends.size() == 1);
  CHECK(report.ends[0].run == RunNumber(2));
  REQUIRE(report.runs.size() == 1);
  CHECK(report.runs[0].run == RunNumber(1));
}

TEST_CASE("a run that is done is not started by a copy of its order") {
  RunTable table = Ready();
  SyncRequest copy = Request(table, 1);
  copy.starts = {Start(kTask, 1)};
  ApplySyncRequest(table, kNow, copy);
  const auto calls = BeginStartCalls(table, kNow);
  REQUIRE(calls.size() == 1);
  FinishStartCall(table, kNow, calls[0], {});
  const auto renewal = BeginRenewal(table, kNow);
  WorkerListing listing = Listing();
  listing.ended.push_back({1, kTask, RunNumber(1), RunEnd::kDone, ""});
  ApplyWorkerListing(table, kNow, *renewal, listing);
  SUBCASE("the end is not recorded") {}
  SUBCASE("the end is recorded") { copy.ends_recorded = 1; }
  RepeatOrder(table, copy);
}

TEST_CASE("a later run of a task whose run has ended is started") {
  RunTable table = Ready();
  Order(table, {Start(kTask, 1)});
  const auto calls = BeginStartCalls(table, kNow);
  FinishStartCall(table, kNow, calls[0],
                  {CallOutcome::kRejected, "status 503 "});
  Order(table, {Start(kTask, 2)});
  CHECK(BeginStartCalls(table, kNow).size() == 1);
}

TEST_CASE("ended runs are forgotten once no copy of their order can arrive") {
  RunTable table = Ready();
  Order(table, {Start(kTask, 1)});
  const auto calls = BeginStartCalls(table, kNow);
  FinishStartCall(table, kNow, calls[0],
                  {CallOutcome::kRejected, "status 503 "});
  SyncRequest request = Request(table);
  request.ends_recorded = 1;
  ApplySyncRequest(table, kNow, request);
  CHECK(table.ended_runs.size() == 1);
  ApplySyncRequest(table, kNow + kLeaseGrantDuration + Duration(1), request);
  CHECK(table.ended_runs.empty());
}

// A start call that was fenced waits for another attempt.
TEST_CASE("a start that waits is not sent under a later lease") {
  RunTable table = Ready();
  Order(table, {Start(kTask, 1)});
  const auto first = BeginStartCalls(table, kNow);
  REQUIRE(first.size() == 1);
  FinishStartCall(table, kNow, first[0], {CallOutcome::kFenced, "fence"});
  const MonotonicTime now = kNow + kLeaseGrantDuration;
  GrantLease(table, now);
  CHECK(BeginStartCalls(table, now).empty());
  REQUIRE(Ends(table).size() == 1);
  CHECK(Ends(table)[0].end == RunEnd::kNotStarted);
}

// The worker rejects a start call that it carries out after its deadline.
TEST_CASE("a start call carries no longer lease than its order") {
  RunTable table = Ready();
  const MonotonicTime now = kNow + Duration(1'000);
  const SyncRequest orders = OrdersSentAt(table, kNow, {Start(kTask, 1)});
  GrantLease(table, now);
  ApplySyncRequest(table, now, orders);
  const auto calls = BeginStartCalls(table, now);
  REQUIRE(calls.size() == 1);
  CHECK(calls[0].lease_until == kNow + kLeaseGrantDuration);
  CHECK(calls[0].call.lease_until_ms == 5'000 + kLeaseGrantDuration.count());
}

/// Tells the agent about the data centre of its VM.
void Notify(RunTable& table, bool evacuated, uint64_t as_of,
            MonotonicTime now = kNow) {
  SyncRequest request = Request(table);
  request.evacuated = evacuated;
  request.evacuated_as_of = as_of;
  ApplySyncRequest(table, now, request);
}

// Operators evacuate a data centre while starts are on their way to its VMs.
TEST_CASE("an agent in an evacuated data centre starts nothing more") {
  RunTable table = Ready();
  Order(table, {Start(kOther, 1)});
  FinishStartCall(table, kNow, BeginStartCalls(table, kNow)[0], {});
  SUBCASE("an order that arrives later") {
    Notify(table, true, 5);
    Order(table, {Start(kTask, 1)});
  }
  SUBCASE("an order that comes with the notice") {
    SyncRequest request = Request(table, table.batch + 1);
    request.evacuated = true;
    request.evacuated_as_of = 5;
    request.starts = {Start(kTask, 1)};
    ApplySyncRequest(table, kNow, request);
  }
  SUBCASE("a start that waits to be sent") {
    Order(table, {Start(kTask, 1)});
    Notify(table, true, 5);
  }
  SUBCASE("a start that waits to be sent again") {
    Order(table, {Start(kTask, 1)});
    const auto calls = BeginStartCalls(table, kNow);
    FinishStartCall(table, kNow, calls[0], {CallOutcome::kFenced, "fence"});
    Notify(table, true, 5);
  }
  CHECK(BeginStartCalls(table, kNow).empty());
  REQUIRE(Ends(table).size() == 1);
  CHECK(Ends(table)[0].task == kTask);
  CHECK(Ends(table)[0].end == RunEnd::kNotStarted);
  CHECK(table.evacuation_refusals == 1);
  // What runs there runs on.
  CHECK(table.runs.at(kOther).phase == RunPhase::kRunning);
  CHECK(BeginStopCalls(table, kNow).empty());
}

TEST_CASE("only a newer notice takes an evacuation back") {
  RunTable table = Ready();
  Notify(table, true, 5);
  SUBCASE("a planner whose reading lags behind") {
    Notify(table, false, 4);
    Order(table, {Start(kTask, 1)});
    CHECK(BeginStartCalls(table, kNow).empty());
  }
  SUBCASE("a planner that was replaced") {
    SyncRequest newer = Request(table);
    newer.epoch = PlannerEpoch(2);
    newer.evacuated = true;
    newer.evacuated_as_of = 5;
    ApplySyncRequest(table, kNow, newer);
    Notify(table, false, 9);
    CHECK(table.evacuation.evacuated);
  }
  SUBCASE("a planner that knows of no requests") {
    Notify(table, false, 0);
    CHECK(table.evacuation.evacuated);
  }
  SUBCASE("the request was removed") {
    Notify(table, false, 6);
    Order(table, {Start(kTask, 1)});
    CHECK(BeginStartCalls(table, kNow).size() == 1);
  }
}

TEST_CASE("a start whose outcome is not known is settled by the worker") {
  RunTable table = Ready();
  Order(table, {Start(kTask, 1)});
  const auto calls = BeginStartCalls(table, kNow);
  Notify(table, true, 5);
  FinishStartCall(table, kNow, calls[0], {CallOutcome::kUnknown, "timeout"});
  CHECK(BeginStartCalls(table, kNow).empty());
  CHECK(Ends(table).empty());
  WorkerListing listing = Listing();
  listing.running = {{kTask, RunNumber(1), "", 100, -1}};
  ApplyWorkerListing(table, kNow, *BeginRenewal(table, kNow), listing);
  CHECK(table.runs.at(kTask).phase == RunPhase::kRunning);
}

// Planners of earlier versions send no notice.
TEST_CASE("a request without a notice is read, and says nothing") {
  nlohmann::json fields = SyncRequest{};
  fields.erase("evacuated");
  fields.erase("evacuated_as_of");
  const auto request = fields.get<SyncRequest>();
  CHECK_FALSE(request.evacuated);
  CHECK(request.evacuated_as_of == 0);
}

}  // namespace
}  // namespace almondtally::sched
