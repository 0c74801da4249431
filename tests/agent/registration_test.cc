#include "agent/registration.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <string>

#include "agent/former_lease.h"
#include "sched/shard_state.h"

namespace almondtally::sched {
namespace {

const MonotonicTime kNow{Duration(1'000'000)};
const StoreKey kRow{table::kAgents, "shard-0", "vm"};
constexpr int64_t kBornMs = 100;
constexpr Duration kMaxLease{10'000};

StoreRows RowOf(const AgentRow& row) {
  StoreRows out;
  out.rows.push_back({kRow, EncodeRow(row), RowVersion(1)});
  return out;
}

StoreRows HeadOf(uint64_t epoch) {
  ShardHead head;
  head.planner = "entry-" + std::to_string(epoch);
  head.address = "10.0.1.1:7000";
  head.epoch = PlannerEpoch(epoch);
  StoreRows out;
  out.rows.push_back(
      {{table::kHead, "shard-0", kHeadKey}, EncodeRow(head), RowVersion(2)});
  return out;
}

/// The agent of a VM as it starts, with a worker that has announced itself.
struct StartingAgent {
  RunTable table;
  Registration registration;
  uint64_t last_version = 1;

  StartingAgent() {
    table.started_at = kNow;
    table.life = AgentIncarnation(7);
    BeginRegistration(table, kNow);
    WorkerHello hello;
    hello.worker.id = WorkerId("w");
    hello.born_ms = kBornMs;
    ApplyWorkerHello(table, kNow, hello);
  }

  RegistrationStep Next(MonotonicTime now = kNow) {
    return NextRegistrationStep(registration, table, now);
  }

  void ReadRow(const std::optional<StoreRows>& rows) {
    REQUIRE(Next() == RegistrationStep::kReadRow);
    FinishRowRead(registration, table, kNow, rows, kRow);
  }

  /// @return what the row says of leases.
  int64_t WriteRow(bool committed = true) {
    REQUIRE(Next() == RegistrationStep::kWriteRow);
    const RowContent content = BeginRowWrite(registration, table);
    StoreCommitResult result;
    result.version = RowVersion(++last_version);
    if (!committed) result.error = PlatformError::kUnknown;
    FinishRowWrite(registration, kNow, content, result);
    return content.former_lease_ms;
  }

  void ReadHead(uint64_t epoch) {
    REQUIRE(Next() == RegistrationStep::kReadHead);
    FinishHeadRead(registration, table, kNow, HeadOf(epoch));
  }

  /// The worker answers, `clock_ms` after its start, under the number of a
  /// planner.
  void HearWorker(int64_t clock_ms, uint64_t epoch = 2) {
    FollowPlanner(table, kNow, PlannerEpoch(epoch), "entry", "10.0.1.1:7000");
    table.fencing =
        std::max<uint64_t>(table.fencing, FirstFencing(table.epoch) + 1);
    WorkerListing listing;
    listing.clock_ms = clock_ms;
    listing.born_ms = kBornMs;
    ApplyWorkerListing(table, kNow, *BeginRenewal(table, kNow), listing);
  }
};

TEST_CASE("an agent starts tasks once it is listed") {
  StartingAgent it;
  it.ReadRow(StoreRows());
  CHECK(it.WriteRow() == 0);
  it.HearWorker(60'000);
  CHECK(MakeReport(it.table, kNow, {}).awaits_registration);
  it.ReadHead(3);
  CHECK_FALSE(MakeReport(it.table, kNow, {}).awaits_registration);
  CHECK(it.table.epoch == PlannerEpoch(3));
  it.table.last_grant_at = kNow;
  CHECK(it.Next() == RegistrationStep::kNone);
}

// Issue 42, TWICE: the restarted agent followed a planner that had been
// replaced.
TEST_CASE("an agent follows no planner that was replaced before it started") {
  StartingAgent it;
  it.ReadRow(RowOf({"10.0.2.1:7000", DataCentreId("dc"), 0}));
  it.WriteRow();
  it.HearWorker(60'000, 1);
  it.ReadHead(2);
  SyncRequest request;
  request.epoch = PlannerEpoch(1);
  CHECK_FALSE(ApplySyncRequest(it.table, kNow, request));
  CHECK(MakeReport(it.table, kNow, request).epoch == PlannerEpoch(2));
}

/// A listed agent whose worker has just announced that it will leave, and whose
/// planner has not recorded the end of the last run.
struct LeavingAgent : StartingAgent {
  LeavingAgent() {
    // At work for long.
    table.earlier_starts_arrive_by.reset();
    ReadRow(StoreRows());
    WriteRow();
    HearWorker(60'000);
    ReadHead(2);
    table.last_grant_at = kNow;
    Announce("w", true);
    WorkerListing listing;
    listing.clock_ms = 60'000;
    listing.born_ms = kBornMs;
    listing.ended = {
        {1, {JobId("j"), 0, 0, 0}, RunNumber(1), RunEnd::kStopped, ""}};
    ApplyWorkerListing(table, kNow, *BeginRenewal(table, kNow), listing);
  }

  void Announce(const std::string& id, bool draining) {
    WorkerHello hello;
    hello.worker.id = WorkerId(id);
    hello.worker.draining = draining;
    hello.born_ms = kBornMs;
    ApplyWorkerHello(table, kNow, hello);
  }

  void RecordEnds() {
    SyncRequest request;
    request.epoch = table.epoch;
    request.life = table.life;
    request.ends_recorded = table.last_end;
    ApplySyncRequest(table, kNow, request);
  }

  /// @return whether the row says that the VM is drained.
  bool WriteDrained() {
    REQUIRE(Next() == RegistrationStep::kWriteRow);
    const RowContent content = BeginRowWrite(registration, table);
    StoreCommitResult result;
    result.version = RowVersion(++last_version);
    FinishRowWrite(registration, kNow, content, result);
    return content.drained;
  }
};

// LOST, review/13: a planner that took over waited for a VM that had been
// emptied and was gone.
TEST_CASE("a VM says in its row that it is drained once all ends are stored") {
  LeavingAgent it;
  CHECK(it.Next() == RegistrationStep::kNone);
  it.RecordEnds();
  CHECK(it.WriteDrained());
  CHECK(it.Next() == RegistrationStep::kNone);
}

TEST_CASE("a VM that may run a late start does not say that it is drained") {
  LeavingAgent it;
  it.RecordEnds();
  it.table.late_starts[{JobId("k"), 0, 0, 0}] = {kNow + Duration(1)};
  CHECK(it.Next() == RegistrationStep::kNone);
}

// TWICE: a restarted agent does not know of starts that its earlier process
// left unanswered, which the worker's next process may carry out.
TEST_CASE(
    "a VM does not say that it is drained while earlier starts may arrive") {
  LeavingAgent it;
  it.RecordEnds();
  it.table.earlier_starts_arrive_by = kNow + kMaxCallDelay;
  const auto list = [&](MonotonicTime now) {
    it.table.last_grant_at = now;
    WorkerListing listing;
    listing.clock_ms = 60'000;
    listing.born_ms = kBornMs;
    ApplyWorkerListing(it.table, now, *BeginRenewal(it.table, now), listing);
  };
  list(kNow + kMaxCallDelay);
  CHECK(it.Next(kNow + kMaxCallDelay) == RegistrationStep::kNone);
  list(kNow + kMaxCallDelay + Duration(1));
  CHECK(it.Next(kNow + kMaxCallDelay + Duration(1)) ==
        RegistrationStep::kWriteRow);
}

// TWICE: the next planner would not wait for a VM that runs tasks again.
TEST_CASE("a drained VM is listed anew before it starts tasks") {
  LeavingAgent it;
  it.RecordEnds();
  it.WriteDrained();
  it.Announce("next", false);
  it.HearWorker(60'000);
  CHECK(MakeReport(it.table, kNow, {}).awaits_registration);
  SUBCASE("by the same process of the agent") {}
  SUBCASE("by one that learns so from the row") {
    it.table.listed_as_drained = false;
    it.registration = {};
    it.ReadRow(RowOf({"10.0.2.1:7000", DataCentreId("dc"), 0, true}));
    CHECK(it.table.listed_as_drained);
  }
  CHECK_FALSE(it.WriteDrained());
  CHECK(it.table.listed_as_drained);
  it.ReadHead(3);
  CHECK_FALSE(it.table.listed_as_drained);
  CHECK_FALSE(MakeReport(it.table, kNow, {}).awaits_registration);
  CHECK(it.table.epoch == PlannerEpoch(3));
}

TEST_CASE("an agent that cannot read the head row keeps trying") {
  StartingAgent it;
  it.ReadRow(StoreRows());
  it.WriteRow();
  it.HearWorker(60'000);
  REQUIRE(it.Next() == RegistrationStep::kReadHead);
  std::optional<StoreRows> rows;
  SUBCASE("the store does not answer") {}
  SUBCASE("the row is unreadable") {
    rows = HeadOf(1);
    rows->rows[0].value = "{";
  }
  FinishHeadRead(it.registration, it.table, kNow, rows);
  CHECK(it.table.awaits_registration);
  CHECK(it.Next() == RegistrationStep::kNone);
  CHECK(it.Next(kNow + Duration(1'000)) == RegistrationStep::kReadHead);
}

// A planner that was replaced grants no lease to a worker that cannot have seen
// its successor's fencing numbers.
TEST_CASE("leases are taken before the registration for old workers only") {
  StartingAgent it;
  SyncRequest request;
  request.epoch = PlannerEpoch(2);
  request.life = it.table.life;
  request.stamp = AgentTime(kNow.time_since_epoch().count());
  request.grant_ms = kLeaseGrantDuration.count();
  bool granted = false;
  SUBCASE("the worker has not been heard") {}
  SUBCASE("the worker is younger") { it.HearWorker(0); }
  SUBCASE("the worker is older") {
    it.HearWorker(60'000);
    granted = true;
  }
  ApplySyncRequest(it.table, kNow, request);
  CHECK((it.table.lease_until > kNow) == granted);
}

// TWICE: a restarted agent did not know of calls that its former process had
// sent to a former process of the worker.
TEST_CASE("a restarted agent records the lease of a young worker") {
  StartingAgent it;
  int64_t row_says = 0;
  SUBCASE("its row told of no longer lease") {}
  SUBCASE("its row told of a longer lease") { row_says = 9'000; }
  it.ReadRow(RowOf({"10.0.2.1:7000", DataCentreId("dc"), row_says}));
  CHECK(it.WriteRow() == row_says);
  CHECK(it.Next() == RegistrationStep::kNone);
  CHECK(it.table.awaits_registration);
  SUBCASE("the worker is young") {
    it.HearWorker(1'000);
    CHECK(it.table.has_former_lease);
    CHECK(it.WriteRow() >= kMaxLease.count());
    CHECK_FALSE(it.table.former_lease_recorded);
    it.ReadHead(2);
    CHECK(it.table.former_lease_recorded);
    CHECK_FALSE(it.table.awaits_registration);
  }
  SUBCASE("the worker is old") {
    it.HearWorker(60'000);
    CHECK_FALSE(it.table.has_former_lease);
    if (row_says > 0) CHECK(it.WriteRow() == 0);
    it.ReadHead(2);
    CHECK_FALSE(it.table.awaits_registration);
  }
}

TEST_CASE("a lease is recorded anew for each process of the worker") {
  StartingAgent it;
  it.ReadRow(RowOf({"10.0.2.1:7000", DataCentreId("dc"), 0}));
  it.WriteRow();
  it.HearWorker(1'000);
  it.WriteRow();
  it.ReadHead(2);
  REQUIRE(it.table.former_lease_recorded);
  WorkerHello hello;
  hello.worker.id = WorkerId("w");
  hello.born_ms = kBornMs + 5'000;
  ApplyWorkerHello(it.table, kNow, hello);
  CHECK_FALSE(it.table.former_lease_recorded);
  WorkerListing listing;
  listing.clock_ms = 500;
  listing.born_ms = hello.born_ms;
  ApplyWorkerListing(it.table, kNow, *BeginRenewal(it.table, kNow), listing);
  REQUIRE(it.table.has_former_lease);
  SUBCASE("the write fails") {
    it.WriteRow(false);
    CHECK(it.Next() == RegistrationStep::kNone);
    // It may take effect yet, or have done so.
    CHECK(it.Next(kNow + Duration(1'000)) == RegistrationStep::kReadRow);
    CHECK_FALSE(it.table.former_lease_recorded);
  }
  SUBCASE("the write succeeds") {
    it.WriteRow();
    it.ReadHead(2);
    CHECK(it.table.former_lease_recorded);
  }
}

TEST_CASE("a lease that has ended is taken out of the row") {
  StartingAgent it;
  it.ReadRow(RowOf({"10.0.2.1:7000", DataCentreId("dc"), 0}));
  it.WriteRow();
  it.HearWorker(1'000);
  CHECK(it.WriteRow() > 0);
  it.ReadHead(2);
  ExpireLeases(it.table, kNow + kMaxLease);
  REQUIRE_FALSE(it.table.has_former_lease);
  CHECK(it.WriteRow() == 0);
}

TEST_CASE("a row that has been removed is written again") {
  StartingAgent it;
  it.ReadRow(StoreRows());
  it.WriteRow();
  it.HearWorker(60'000);
  it.ReadHead(1);
  const MonotonicTime later = kNow + Duration(4'000);
  REQUIRE(it.Next(later) == RegistrationStep::kReadRow);
  FinishRowRead(it.registration, it.table, later, StoreRows(), kRow);
  CHECK(it.Next(later) == RegistrationStep::kWriteRow);
}

TEST_CASE("a row that another write has changed is written again") {
  StartingAgent it;
  it.ReadRow(StoreRows());
  it.WriteRow();
  it.HearWorker(60'000);
  it.ReadHead(1);
  const MonotonicTime later = kNow + Duration(4'000);
  REQUIRE(it.Next(later) == RegistrationStep::kReadRow);
  const AgentRow changed{"10.0.2.1:7000", DataCentreId("dc"), 9'000};
  FinishRowRead(it.registration, it.table, later, RowOf(changed), kRow);
  CHECK(it.Next(later) == RegistrationStep::kWriteRow);
}

// A planner that was replaced before the agent started can grant no leases any
// more.
TEST_CASE("an agent without the store starts tasks after some seconds") {
  StartingAgent it;
  it.HearWorker(60'000);
  FinishRowRead(it.registration, it.table, kNow, std::nullopt, kRow);
  ExpireLeases(it.table, kNow + Duration(6'000));
  CHECK(it.table.awaits_registration);
  ExpireLeases(it.table, kNow + Duration(8'000));
  CHECK_FALSE(it.table.awaits_registration);
}

// TWICE: an answer under a replaced planner's number says nothing of calls
// under its successor's.
TEST_CASE(
    "leases are not known before the worker has seen the owner's number") {
  StartingAgent it;
  it.ReadRow(StoreRows());
  it.WriteRow();
  it.HearWorker(1'000, 1);
  it.WriteRow();
  it.ReadHead(2);
  CHECK_FALSE(it.table.former_lease_recorded);
  CHECK(it.Next() == RegistrationStep::kNone);
  it.HearWorker(1'000, 2);
  it.WriteRow();
  it.ReadHead(2);
  CHECK(it.table.former_lease_recorded);
}

}  // namespace
}  // namespace almondtally::sched
