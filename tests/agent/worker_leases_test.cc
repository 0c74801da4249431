#include "agent/worker_leases.h"

#include <doctest/doctest.h>

#include "agent/run_table.h"

namespace almondtally::sched {
namespace {

using detail::EndOfLeases;
using detail::ForgetSentLeases;
using detail::RecordSentLease;

const MonotonicTime kEarly{Duration(1'000)};
const MonotonicTime kLate{Duration(2'000)};

TEST_CASE("a lease that has ended does not hide one that was inherited") {
  WorkerLeases leases;
  leases.inherited_until = kLate;
  SUBCASE("sent") { RecordSentLease(leases, kEarly); }
  SUBCASE("taken") { leases.taken_until = kEarly; }
  SUBCASE("in flight") { leases.in_flight = {kEarly}; }
  CHECK(EndOfLeases(leases) == kLate);
}

TEST_CASE("the last lease counts, whoever gave it") {
  WorkerLeases leases;
  leases.inherited_until = kEarly;
  leases.taken_until = kEarly;
  RecordSentLease(leases, kEarly);
  SUBCASE("sent") {
    RecordSentLease(leases, kLate);
    RecordSentLease(leases, kEarly);
  }
  SUBCASE("taken") { leases.taken_until = kLate; }
  SUBCASE("in flight") { leases.in_flight = {kEarly, kLate}; }
  SUBCASE("inherited") { leases.inherited_until = kLate; }
  CHECK(EndOfLeases(leases) == kLate);
}

TEST_CASE("no end is known of a worker process that was sent nothing") {
  WorkerLeases leases;
  leases.inherited_until = kEarly;
  CHECK_FALSE(EndOfLeases(leases));
  RecordSentLease(leases, kLate);
  leases.in_flight = {kLate};
  ForgetSentLeases(leases);
  CHECK_FALSE(EndOfLeases(leases));
}

TEST_CASE("a renewal without a grant gives no lease") {
  RunTable table;
  table.life = AgentIncarnation(8);
  WorkerHello hello;
  hello.worker.id = WorkerId("w");
  hello.born_ms = 100;
  ApplyWorkerHello(table, kEarly, hello);
  SyncRequest request;
  request.epoch = PlannerEpoch(1);
  request.life = table.life;
  request.fencing_base = 1 << 24;
  ApplySyncRequest(table, kEarly, request);
  WorkerListing listing;
  listing.clock_ms = 60'000;
  listing.born_ms = 100;
  ApplyWorkerListing(table, kEarly, *BeginRenewal(table, kEarly), listing);
  const auto renewal = BeginRenewal(table, kLate);
  REQUIRE(renewal);
  CHECK(renewal->call.lease_until_ms == 0);
  HandleRenewalFailure(table, kLate, *renewal,
                       {CallOutcome::kUnknown, "timeout"});
  CHECK_FALSE(EndOfLeases(table.leases));
}

}  // namespace
}  // namespace almondtally::sched
