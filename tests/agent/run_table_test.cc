#include "agent/run_table.h"

#include <doctest/doctest.h>

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
  out.grant_ms = kLeaseGrant.count();
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

/// A table whose worker was listed and whose planner granted a lease.
RunTable Ready() {
  RunTable table;
  table.life = AgentLife(7);
  table.started_at = kNow;
  TakeHello(table, kNow, Hello());
  TakeRequest(table, kNow, Request(table));
  const auto renewal = TakeRenewal(table, kNow);
  REQUIRE(renewal);
  TakeListing(table, kNow, *renewal, Listing());
  TakeRequest(table, kNow, Request(table));
  return table;
}

void Order(RunTable& table, std::vector<StartOrder> starts) {
  SyncRequest request = Request(table, table.batch + 1);
  request.starts = std::move(starts);
  TakeRequest(table, kNow, request);
}

std::vector<EndReport> Ends(const RunTable& table) {
  std::vector<EndReport> out;
  for (const AgentEnd& end : table.ends) out.push_back(end.report);
  return out;
}

TEST_CASE("a start runs under a lease on the worker's clock") {
  RunTable table = Ready();
  Order(table, {Start(kTask, 1)});
  const auto calls = TakeStarts(table, kNow);
  REQUIRE(calls.size() == 1);
  CHECK(calls[0].call.lease_until_ms == 5'000 + kLeaseGrant.count());
  TakeStarted(table, kNow, calls[0], {});
  CHECK(table.runs.at(kTask).phase == RunPhase::kRunning);
  CHECK(TakeStarts(table, kNow).empty());
}

TEST_CASE("a grant that arrives late is no longer for it") {
  RunTable table = Ready();
  const MonotonicTime late = kNow + kLeaseGrant + Duration(1'000);
  SyncRequest request = Request(table, 1);
  request.starts = {Start(kTask, 1)};
  TakeRequest(table, late, request);
  CHECK(TakeStarts(table, late).empty());
  REQUIRE(Ends(table).size() == 1);
  CHECK(Ends(table)[0].end == RunEnd::kNotStarted);
}

TEST_CASE("admission counts what starts, runs and stops") {
  RunTable table = Ready();
  Order(table, {Start(kTask, 1, 3'000), Start(kOther, 1, 2'000)});
  CHECK(table.runs.size() == 1);
  REQUIRE(Ends(table).size() == 1);
  CHECK(Ends(table)[0].reason == "no room");
  const auto calls = TakeStarts(table, kNow);
  TakeStarted(table, kNow, calls[0], {});
  SyncRequest request = Request(table, table.batch + 1);
  request.stops = {{kTask, RunNumber(1)}};
  request.starts = {Start(kOther, 2, 2'000)};
  TakeRequest(table, kNow, request);
  CHECK(Ends(table).size() == 2);
}

TEST_CASE("fillers take no processors but memory") {
  RunTable table = Ready();
  StartOrder filler = Start(kOther, 1, 3'000);
  filler.filler = true;
  Order(table, {Start(kTask, 1, 3'000), filler});
  CHECK(table.runs.size() == 2);
}

TEST_CASE("orders of an older planner, or of an older batch, do nothing") {
  RunTable table = Ready();
  Order(table, {Start(kTask, 1)});
  SyncRequest late = Request(table, table.batch);
  late.starts = {Start(kOther, 1)};
  TakeRequest(table, kNow, late);
  CHECK(table.runs.size() == 1);
  SyncRequest newer = Request(table, 1);
  newer.epoch = PlannerEpoch(2);
  CHECK(TakeRequest(table, kNow, newer));
  SyncRequest old = Request(table, 9);
  old.starts = {Start(kOther, 1)};
  CHECK_FALSE(TakeRequest(table, kNow, old));
  CHECK(table.runs.size() == 1);
}

TEST_CASE("orders for another life of the agent or the worker do nothing") {
  RunTable table = Ready();
  SyncRequest request = Request(table, 1);
  request.life = AgentLife(6);
  request.starts = {Start(kTask, 1)};
  TakeRequest(table, kNow, request);
  CHECK(table.runs.empty());
  request = Request(table, 1);
  request.worker = WorkerId("former");
  request.starts = {Start(kTask, 1)};
  TakeRequest(table, kNow, request);
  CHECK(table.runs.empty());
  CHECK(Ends(table).size() == 1);
}

TEST_CASE("an unanswered start is settled under a higher fencing number") {
  RunTable table = Ready();
  Order(table, {Start(kTask, 1)});
  const auto calls = TakeStarts(table, kNow);
  TakeStarted(table, kNow, calls[0], {CallOutcome::kUnknown, "timeout"});
  CHECK(table.fencing > calls[0].call.fencing);
  CHECK(TakeStarts(table, kNow).empty());
  // An answer to a renewal under the old number settles nothing.
  RenewCall old;
  old.call = calls[0].call;
  TakeListing(table, kNow, old, Listing());
  CHECK(table.runs.size() == 1);
  const auto renewal = TakeRenewal(table, kNow);
  CHECK(renewal->wait == Duration(0));
  TakeListing(table, kNow, *renewal, Listing());
  CHECK(table.runs.empty());
  CHECK(Ends(table)[0].end == RunEnd::kNotStarted);
}

TEST_CASE("an unanswered start that took effect goes on") {
  RunTable table = Ready();
  Order(table, {Start(kTask, 1)});
  const auto calls = TakeStarts(table, kNow);
  TakeStarted(table, kNow, calls[0], {CallOutcome::kUnknown, "timeout"});
  WorkerListing listing = Listing();
  listing.running = {{kTask, RunNumber(1), "", 0, -1}};
  TakeListing(table, kNow, *TakeRenewal(table, kNow), listing);
  CHECK(table.runs.at(kTask).phase == RunPhase::kRunning);
  CHECK(table.runs.at(kTask).sized);
}

TEST_CASE("a start rejected for its fencing number is sent under a higher") {
  RunTable table = Ready();
  Order(table, {Start(kTask, 1)});
  const auto calls = TakeStarts(table, kNow);
  TakeStarted(table, kNow, calls[0], {CallOutcome::kFenced, "fence"});
  const auto again = TakeStarts(table, kNow);
  REQUIRE(again.size() == 1);
  CHECK(again[0].call.fencing > calls[0].call.fencing);
  // Never beyond the planner's own authority.
  CHECK((again[0].call.fencing >> 24) == (calls[0].call.fencing >> 24));
}

TEST_CASE("an end is reported once and forgotten only when recorded") {
  RunTable table = Ready();
  Order(table, {Start(kTask, 1)});
  TakeStarted(table, kNow, TakeStarts(table, kNow)[0], {});
  WorkerListing listing = Listing();
  listing.ended = {{1, kTask, RunNumber(1), RunEnd::kDone, ""}};
  TakeListing(table, kNow, *TakeRenewal(table, kNow), listing);
  TakeListing(table, kNow, *TakeRenewal(table, kNow), listing);
  CHECK(table.runs.empty());
  REQUIRE(Ends(table).size() == 1);
  CHECK(TakeRenewal(table, kNow)->recorded == 0);
  SyncRequest request = Request(table);
  request.ends_recorded = 1;
  TakeRequest(table, kNow, request);
  CHECK(Ends(table).empty());
  CHECK(TakeRenewal(table, kNow)->recorded == 1);
}

TEST_CASE("a listing made before a start was confirmed does not end the run") {
  RunTable table = Ready();
  const auto early = TakeRenewal(table, kNow);
  Order(table, {Start(kTask, 1)});
  TakeStarted(table, kNow + Duration(1), TakeStarts(table, kNow)[0], {});
  TakeListing(table, kNow + Duration(2), *early, Listing());
  CHECK(table.runs.size() == 1);
  const MonotonicTime later = kNow + Duration(3);
  TakeListing(table, later, *TakeRenewal(table, later), Listing());
  CHECK(table.runs.empty());
  CHECK(Ends(table)[0].end == RunEnd::kWorkerLost);
}

TEST_CASE("runs end with the life of their worker, also under the same id") {
  RunTable table = Ready();
  Order(table, {Start(kTask, 1)});
  TakeStarted(table, kNow, TakeStarts(table, kNow)[0], {});
  CHECK_FALSE(TakeHello(table, kNow, Hello("old", 50)));
  CHECK(table.runs.size() == 1);
  CHECK(TakeHello(table, kNow, Hello("w", 200)));
  CHECK(table.runs.empty());
  CHECK(Ends(table)[0].end == RunEnd::kWorkerLost);
  CHECK(TakeRenewal(table, kNow)->recorded == 0);
}

TEST_CASE("a silent worker's runs end when no lease can be left") {
  RunTable table = Ready();
  Order(table, {Start(kTask, 1)});
  TakeStarted(table, kNow, TakeStarts(table, kNow)[0], {});
  TakeRenewFailure(table, kNow, *TakeRenewal(table, kNow),
                   {CallOutcome::kUnknown, "timeout"});
  ExpireLeases(table, kNow + kLeaseGrant);
  CHECK(table.runs.size() == 1);
  ExpireLeases(table, kNow + kLeaseGrant + Duration(200));
  CHECK(table.runs.empty());
  CHECK(Ends(table)[0].end == RunEnd::kLapsed);
}

TEST_CASE("renewals that do not reach a dead worker extend no lease") {
  RunTable table = Ready();
  Order(table, {Start(kTask, 1)});
  TakeStarted(table, kNow, TakeStarts(table, kNow)[0], {});
  // The planner goes on granting, since it hears the agent.
  for (int i = 1; i <= 60; ++i) {
    const MonotonicTime now = kNow + Duration(100) * i;
    SyncRequest request = Request(table);
    request.stamp = AgentTime(now.time_since_epoch().count());
    TakeRequest(table, now, request);
    TakeRenewFailure(table, now, *TakeRenewal(table, now),
                     {CallOutcome::kRejected, "connect"});
    ExpireLeases(table, now);
  }
  CHECK(table.runs.empty());
}

TEST_CASE("a renewal without an answer may have extended the lease") {
  RunTable table = Ready();
  Order(table, {Start(kTask, 1)});
  TakeStarted(table, kNow, TakeStarts(table, kNow)[0], {});
  const MonotonicTime later = kNow + Duration(2'000);
  SyncRequest request = Request(table);
  request.stamp = AgentTime(later.time_since_epoch().count());
  TakeRequest(table, later, request);
  const auto renewal = TakeRenewal(table, later);
  table.worker.responsive = false;
  SUBCASE("while it is in flight") {}
  SUBCASE("after it timed out") {
    TakeRenewFailure(table, later, *renewal, {CallOutcome::kUnknown, ""});
  }
  ExpireLeases(table, kNow + kLeaseGrant + Duration(500));
  CHECK(table.runs.size() == 1);
  ExpireLeases(table, later + kLeaseGrant + Duration(500));
  CHECK(table.runs.empty());
}

TEST_CASE("an agent that restarts finds runs and asks for their sizes") {
  RunTable table;
  table.life = AgentLife(8);
  table.started_at = kNow;
  CHECK_FALSE(MakeReport(table, kNow, Request(table)).settled);
  TakeHello(table, kNow, Hello());
  // Its fencing number would be lower than the worker has seen.
  CHECK_FALSE(TakeRenewal(table, kNow));
  TakeRequest(table, kNow, Request(table));
  WorkerListing listing = Listing();
  listing.running = {{kTask, RunNumber(3), "c1", 40, -1}};
  TakeListing(table, kNow, *TakeRenewal(table, kNow), listing);
  const SyncReport report = MakeReport(table, kNow, Request(table));
  CHECK(report.settled);
  CHECK(report.complete);
  REQUIRE(report.runs.size() == 1);
  CHECK(report.runs[0].unsized);
  TakeRequest(table, kNow, Request(table));
  Order(table, {Start(kOther, 1)});
  CHECK(Ends(table).back().reason == "sizes of runs not known");
  SyncRequest request = Request(table, table.batch + 1);
  request.sizes = {{kTask, RunNumber(3), Size(3'500), false}};
  request.starts = {Start(kOther, 2)};
  TakeRequest(table, kNow, request);
  CHECK(Ends(table).back().reason == "no room");
}

TEST_CASE("a report holds only what the planner has not seen") {
  RunTable table = Ready();
  Order(table, {Start(kTask, 1)});
  SyncRequest request = Request(table);
  const SyncReport first = MakeReport(table, kNow, request);
  CHECK(first.runs.size() == 1);
  request.seen_version = first.version;
  CHECK_FALSE(HasNews(table, request));
  Order(table, {Start(kOther, 1)});
  CHECK(HasNews(table, request));
  CHECK(MakeReport(table, kNow, request).runs.size() == 1);
}

TEST_CASE("a draining worker starts nothing") {
  RunTable table = Ready();
  WorkerHello hello = Hello();
  hello.worker.draining = true;
  TakeHello(table, kNow, hello);
  Order(table, {Start(kTask, 1)});
  CHECK(TakeStarts(table, kNow).empty());
  CHECK(Ends(table)[0].reason == "draining");
}

TEST_CASE("stops and speed limits are repeated until they are confirmed") {
  RunTable table = Ready();
  Order(table, {Start(kTask, 1)});
  TakeStarted(table, kNow, TakeStarts(table, kNow)[0], {});
  SyncRequest request = Request(table, table.batch + 1);
  request.paces = {{kTask, RunNumber(1), 40}};
  TakeRequest(table, kNow, request);
  CHECK(TakePaces(table, kNow).size() == 1);
  CHECK(TakePaces(table, kNow).empty());
  const MonotonicTime later = kNow + Duration(600);
  const auto paces = TakePaces(table, later);
  REQUIRE(paces.size() == 1);
  TakePaced(table, later, paces[0], {});
  CHECK(TakePaces(table, later + Duration(600)).empty());
  request = Request(table, table.batch + 1);
  request.stops = {{kTask, RunNumber(1)}};
  TakeRequest(table, kNow, request);
  CHECK(TakeStops(table, kNow).size() == 1);
  CHECK(TakeStops(table, later).size() == 1);
}

TEST_CASE("a run that starts with a speed limit is limited at once") {
  RunTable table = Ready();
  StartOrder start = Start(kTask, 1);
  start.pace = 0;
  Order(table, {start});
  TakeStarted(table, kNow, TakeStarts(table, kNow)[0], {});
  const auto paces = TakePaces(table, kNow);
  REQUIRE(paces.size() == 1);
  CHECK(paces[0].percent == 0);
}

}  // namespace
}  // namespace almondtally::sched
