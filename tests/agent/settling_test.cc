#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "agent/run_table.h"

namespace almondtally::sched {
namespace {

constexpr Duration kTick{5};
constexpr Duration kCallTimeout{250};
constexpr Duration kRenewalTime{20};
constexpr Duration kOrderInterval{50};
constexpr Duration kFaultTime{16'000};
/// Rule LOST: no task may wait longer.
constexpr Duration kMaxWait{3'000};
const MonotonicTime kStart{Duration(1'000'000)};

/// An agent's table beside a worker that answers renewals and no start.
struct LossyWorker {
  struct PendingStart {
    StartCall call;
    MonotonicTime fails_at{};
  };
  RunTable table;
  MonotonicTime now = kStart;
  std::vector<PendingStart> starts;
  uint64_t fencing = 0;
  uint64_t ordered = 0;
  std::optional<RenewCall> renewal;
  std::map<TaskKey, MonotonicTime> ordered_at;
  Duration longest_wait{};

  LossyWorker() {
    table.life = AgentIncarnation(7);
    table.started_at = now;
    WorkerHello hello;
    hello.worker.id = WorkerId("w");
    hello.worker.capacity = {MilliCpu(1'000'000), Mebibytes(1'000'000),
                             Accelerators(0)};
    hello.born_ms = 100;
    ApplyWorkerHello(table, now, hello);
  }

  /// Orders a start, and acknowledges all ends.
  void Order(bool with_start) {
    SyncRequest request;
    request.epoch = PlannerEpoch(1);
    request.life = table.life;
    request.worker = table.worker.id;
    request.fencing_base = 1 << 24;
    request.stamp = AgentTime(now.time_since_epoch().count());
    request.grant_ms = kLeaseGrantDuration.count();
    request.ends_recorded = table.last_end;
    if (with_start && table.clock_known) {
      request.batch = table.batch + 1;
      StartOrder order;
      order.task = {JobId("j" + std::to_string(++ordered)), 0, 0, 0};
      ordered_at[order.task] = now;
      order.run = RunNumber(1);
      order.size = {MilliCpu(1), Mebibytes(1), Accelerators(0)};
      request.starts.push_back(order);
    }
    ApplySyncRequest(table, now, request);
  }

  /// The worker answers a renewal after its wait. As in Agent, an immediate
  /// renewal supersedes one that still waits.
  void Renew() {
    const bool is_waiting = renewal && now - renewal->sent_at < renewal->wait;
    if (is_waiting && table.renew_immediately) renewal.reset();
    if (!renewal) renewal = BeginRenewal(table, now);
    if (!renewal) return;
    if (now - renewal->sent_at < renewal->wait + kRenewalTime) return;
    const RenewCall call = *std::exchange(renewal, std::nullopt);
    fencing = std::max(fencing, call.call.fencing);
    WorkerListing listing;
    listing.clock_ms = now.time_since_epoch().count();
    listing.born_ms = 100;
    ApplyWorkerListing(table, now, call, listing);
  }

  void Step() {
    for (const StartCall& call : BeginStartCalls(table, now)) {
      starts.push_back({call, now + kCallTimeout});
    }
    while (!starts.empty() && starts.front().fails_at <= now) {
      const StartCall call = starts.front().call;
      starts.erase(starts.begin());
      FinishStartCall(table, now, call, {CallOutcome::kUnknown, "timeout"});
    }
    Renew();
    for (const auto& [task, run] : table.runs) {
      longest_wait = std::max(longest_wait, now - ordered_at.at(task));
    }
    now += kTick;
  }
};

TEST_CASE("a stream of unanswered starts does not delay their settling") {
  LossyWorker worker;
  worker.Order(false);
  for (Duration t{0}; t < kFaultTime; t += kTick) {
    if (t.count() % kOrderInterval.count() == 0) worker.Order(true);
    worker.Step();
  }
  CHECK(worker.ordered > 300);
  CHECK(worker.longest_wait <= kMaxWait);
  MESSAGE("longest wait " << worker.longest_wait.count() << " ms");
  REQUIRE_FALSE(worker.table.settled_starts.empty());
  for (const SettledStart& it : worker.table.settled_starts) {
    CHECK(std::string(it.outcome) == "not_started");
    CHECK(it.age >= kCallTimeout);
  }
}

}  // namespace
}  // namespace almondtally::sched
