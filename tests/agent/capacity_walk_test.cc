#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "agent/run_table.h"

namespace almondtally::sched {
namespace {

const MonotonicTime kStart{Duration(1'000'000)};
constexpr int64_t kBornMs = 100;
constexpr int64_t kMemory = 1'000;
constexpr int kWalks = 300;
constexpr int kStepsPerWalk = 300;

/// Simulates a worker that starts whatever it is told to start, whose capacity
/// changes, and whose link loses and delays calls.
struct Walk {
  explicit Walk(unsigned seed) : random(seed) {
    table.life = AgentIncarnation(7);
    table.started_at = now;
    Announce();
    Order({}, {});
    Renew();
    Order({}, {});
  }

  int64_t Pick(int64_t n) {
    return std::uniform_int_distribution<int64_t>(0, n - 1)(random);
  }

  void Announce() {
    capacity = {MilliCpu(Pick(5) * 1'000),
                Mebibytes(Pick(4) == 0 ? 200 : kMemory), Accelerators(0)};
    WorkerHello hello;
    hello.worker.id = WorkerId("w");
    hello.worker.capacity = capacity;
    hello.born_ms = kBornMs;
    hello.sequence = ++sequence;
    ApplyWorkerHello(table, now, hello);
    hellos.push_back(hello);
  }

  void Order(std::vector<StartOrder> starts, std::vector<StopOrder> stops) {
    SyncRequest request;
    request.epoch = PlannerEpoch(1);
    request.life = table.life;
    request.worker = table.worker.id;
    request.fencing_base = 1 << 24;
    request.stamp = AgentTime(now.time_since_epoch().count());
    request.grant_ms = kLeaseGrantDuration.count();
    request.batch = table.batch + 1;
    request.starts = std::move(starts);
    request.stops = std::move(stops);
    ApplySyncRequest(table, now, request);
  }

  void OrderStart() {
    StartOrder order;
    order.task = {JobId("j"), 0, 0, next_index++};
    order.run = RunNumber(1);
    order.size = {MilliCpu(500 * (1 + Pick(4))), Mebibytes(100),
                  Accelerators(0)};
    order.filler = Pick(4) == 0;
    orders[order.task] = order;
    Order({order}, {});
  }

  void OrderStop() {
    if (table.runs.empty()) return;
    const auto it = std::next(table.runs.begin(),
                              Pick(static_cast<int64_t>(table.runs.size())));
    Order({}, {{it->first, it->second.order.run}});
  }

  void Execute(const StartCall& call) {
    if (call.call.fencing < fencing) return;
    fencing = call.call.fencing;
    running[call.start.task] = call.start.run;
  }

  Resources SizeOf(const TaskKey& task) const {
    const StartOrder& order = orders.at(task);
    Resources size = order.size;
    if (order.filler) size.cpu = MilliCpu(0);
    return size;
  }

  /// @return the size of all runs that the worker has or may still start.
  Resources PossibleLoad() const {
    Resources sum;
    for (const auto& [task, run] : running) sum += SizeOf(task);
    for (const StartCall& call : delayed) {
      const bool possible = call.call.fencing >= fencing;
      if (possible && !running.contains(call.start.task))
        sum += SizeOf(call.start.task);
    }
    return sum;
  }

  void SendStarts() {
    const auto calls = BeginStartCalls(table, now);
    if (calls.empty()) return;
    Resources load = PossibleLoad();
    for (const StartCall& call : calls) load += SizeOf(call.start.task);
    CHECK(Fits(load, capacity));
    starts += calls.size();
    for (const StartCall& call : calls) {
      const int64_t fate = Pick(6);
      CallResult result;
      if (fate <= 1) Execute(call);
      if (fate == 2) result.outcome = CallOutcome::kFenced;
      if (fate >= 3) result.outcome = CallOutcome::kUnknown;
      if (fate == 3) Execute(call);
      if (fate == 4) delayed.push_back(call);
      FinishStartCall(table, now, call, result);
    }
  }

  void SendStops() {
    for (const StopCall& call : BeginStopCalls(table, now)) {
      const bool ends_at_once = Pick(2) == 0;
      if (ends_at_once) End(call.task, RunEnd::kStopped);
      FinishStopCall(table, now, call, {});
    }
  }

  void End(const TaskKey& task, RunEnd how) {
    if (!running.contains(task)) return;
    ends.push_back({ends.size() + 1, task, running.at(task), how, ""});
    running.erase(task);
  }

  void Renew() {
    const auto call = BeginRenewal(table, now);
    if (!call) return;
    fencing = std::max(fencing, call->call.fencing);
    WorkerListing listing;
    listing.clock_ms = now.time_since_epoch().count();
    listing.born_ms = kBornMs;
    for (const auto& [task, run] : running)
      listing.running.push_back({task, run, "", 100, -1});
    listing.ended = ends;
    ApplyWorkerListing(table, now, *call, listing);
  }

  void Step() {
    now += Duration(1);
    switch (Pick(9)) {
      case 0:
        return Announce();
      case 1: {
        const auto i = Pick(static_cast<int64_t>(hellos.size()));
        ApplyWorkerHello(table, now, hellos[static_cast<size_t>(i)]);
        return;
      }
      case 2:
      case 3:
        return OrderStart();
      case 4:
        return OrderStop();
      case 5:
        return SendStarts();
      case 6:
        return SendStops();
      case 7:
        if (!delayed.empty()) {
          Execute(delayed.front());
          delayed.erase(delayed.begin());
        }
        if (!running.empty() && Pick(2) == 0)
          End(running.begin()->first, RunEnd::kDone);
        return;
      default:
        return Renew();
    }
  }

  std::mt19937 random;
  MonotonicTime now = kStart;
  RunTable table;
  Resources capacity;
  uint64_t sequence = 0;
  std::vector<WorkerHello> hellos;
  uint32_t next_index = 0;
  std::map<TaskKey, StartOrder> orders;
  /// The worker's state.
  uint64_t fencing = 0;
  std::map<TaskKey, RunNumber> running;
  std::vector<WorkerRunEnd> ends;
  std::vector<StartCall> delayed;
  size_t starts = 0;
};

// Random walks over starts, stops, lost and delayed calls, and heartbeats with
// changing capacities that may arrive late.
TEST_CASE("no start call exceeds the capacity that the worker last announced") {
  size_t starts = 0;
  for (unsigned seed = 1; seed <= kWalks; ++seed) {
    CAPTURE(seed);
    Walk walk(seed);
    for (int i = 0; i < kStepsPerWalk; ++i) walk.Step();
    starts += walk.starts;
  }
  CHECK(starts > kWalks);
}

}  // namespace
}  // namespace almondtally::sched
