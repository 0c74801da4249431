#include "agent/run_table.h"

#include <algorithm>
#include <set>
#include <utility>

namespace almondtally::sched {
namespace {

/// Longest wait of a renewal for a new end. Ends stay unseen for this long if
/// its answer is lost; calls within a VM cost next to nothing.
constexpr Duration kRenewWait{300};
/// Starts with less lease left than this would end as soon as they began.
constexpr Duration kLeastLease{500};
/// Pause before a stop or a pace that was not confirmed is sent again.
constexpr Duration kRepeatAfter{500};
/// How often changed measures of a run are reported.
constexpr Duration kMeasureEvery{250};
/// The worker's clock may be up to 2% slow; rounded up.
constexpr int64_t kClockDriftPercent = 3;
/// Any lease that a former life of this process was granted has ended by then.
constexpr Duration kLongestLease =
    kLeaseGrant + kLeaseGrant * kClockDriftPercent / 100 + kLeaseMargin;
/// Low bits of a fencing number count within one planner's authority.
constexpr int kFencingBitsPerEpoch = 24;

uint64_t EpochOfFencing(uint64_t fencing) {
  return fencing >> kFencingBitsPerEpoch;
}

void Touch(RunTable& table, AgentRun& run) { run.version = ++table.version; }

void AddEnd(RunTable& table, const TaskKey& task, RunNumber run, RunEnd end,
            std::string checkpoint, std::string reason,
            uint64_t worker_number = 0) {
  ++table.version;
  AgentEnd entry;
  entry.report = {++table.last_end, task, run, end, std::move(checkpoint),
                  std::move(reason)};
  entry.worker_number = worker_number;
  table.ends.push_back(std::move(entry));
}

/// Ends a run without the worker's word for it.
void Conclude(RunTable& table, std::map<TaskKey, AgentRun>::iterator it,
              RunEnd end, std::string reason) {
  const AgentRun& run = it->second;
  AddEnd(table, it->first, run.order.run, end, run.checkpoint,
         std::move(reason));
  table.runs.erase(it);
}

void ConcludeAll(RunTable& table, RunEnd end, const std::string& reason) {
  while (!table.runs.empty()) {
    const RunEnd how = table.runs.begin()->second.phase == RunPhase::kStarting
                           ? RunEnd::kNotStarted
                           : end;
    Conclude(table, table.runs.begin(), how, reason);
  }
}

Resources Counted(const Resources& size, bool filler) {
  Resources out = size;
  if (filler) out.cpu = MilliCpu(0);
  return out;
}

Resources Committed(const RunTable& table) {
  Resources sum;
  for (const auto& [task, run] : table.runs) {
    sum += Counted(run.order.size, run.order.filler);
  }
  return sum;
}

/// @return why the order is refused; empty if it is admitted.
std::string Admit(const RunTable& table, MonotonicTime now,
                  const StartOrder& order, const WorkerId& meant) {
  if (table.worker.id.empty()) return "no worker";
  if (meant != table.worker.id) return "another worker";
  if (table.worker.draining) return "draining";
  if (!table.clock_known) return "worker not heard yet";
  if (table.lease_until - now < kLeastLease) return "lease too short";
  const bool all_sized =
      std::all_of(table.runs.begin(), table.runs.end(),
                  [](const auto& it) { return it.second.sized; });
  if (!all_sized) return "sizes of runs not known";
  const Resources after = Committed(table) + Counted(order.size, order.filler);
  if (!Fits(after, table.worker.capacity)) return "no room";
  return "";
}

void TakeStartOrder(RunTable& table, MonotonicTime now, const StartOrder& order,
                    const WorkerId& meant) {
  const auto it = table.runs.find(order.task);
  if (it != table.runs.end() && it->second.order.run >= order.run) return;
  std::string refusal = it != table.runs.end()
                            ? "an older run is still here"
                            : Admit(table, now, order, meant);
  if (!refusal.empty()) {
    AddEnd(table, order.task, order.run, RunEnd::kNotStarted, order.checkpoint,
           std::move(refusal));
    return;
  }
  AgentRun run;
  run.order = order;
  run.checkpoint = order.checkpoint;
  run.pace_wanted = order.pace;
  Touch(table, table.runs[order.task] = std::move(run));
}

void TakeStopOrder(RunTable& table, const StopOrder& order) {
  const auto it = table.runs.find(order.task);
  if (it == table.runs.end() || it->second.order.run != order.run) return;
  AgentRun& run = it->second;
  if (run.phase == RunPhase::kStarting && !run.call_in_flight && !run.unsure) {
    return Conclude(table, it, RunEnd::kNotStarted, "stopped before start");
  }
  run.stop_wanted = true;
}

void TakeRecorded(RunTable& table, uint64_t recorded) {
  while (!table.ends.empty() && table.ends.front().report.number <= recorded) {
    table.worker_end_recorded =
        std::max(table.worker_end_recorded, table.ends.front().worker_number);
    table.ends.pop_front();
  }
}

void TakeOrders(RunTable& table, MonotonicTime now,
                const SyncRequest& request) {
  if (request.batch <= table.batch) return;
  table.batch = request.batch;
  ++table.version;
  for (const RunSize& size : request.sizes) {
    const auto it = table.runs.find(size.task);
    if (it == table.runs.end() || it->second.order.run != size.run) continue;
    it->second.order.size = size.size;
    it->second.order.filler = size.filler;
    it->second.sized = true;
    Touch(table, it->second);
  }
  for (const StopOrder& order : request.stops) TakeStopOrder(table, order);
  for (const PaceOrder& order : request.paces) {
    const auto it = table.runs.find(order.task);
    if (it == table.runs.end() || it->second.order.run != order.run) continue;
    it->second.pace_wanted = order.percent;
  }
  for (const StartOrder& order : request.starts) {
    TakeStartOrder(table, now, order, request.worker);
  }
}

WorkerCall MakeCall(const RunTable& table) {
  WorkerCall call;
  call.worker = table.worker.id;
  call.fencing = table.fencing;
  if (!table.clock_known) return call;
  const int64_t ahead = (table.lease_until - table.clock_at).count();
  call.lease_until_ms = table.clock_ms + ahead;
  return call;
}

/// Takes over what became of a call that carried a lease.
void TakeLeaseResult(RunTable& table, MonotonicTime lease_until,
                     CallOutcome outcome) {
  const auto it = table.leases_in_flight.find(lease_until);
  if (it != table.leases_in_flight.end()) table.leases_in_flight.erase(it);
  // A worker that refuses a start still takes the lease; one that was not
  // reached does not, but the two are not told apart for starts.
  if (outcome == CallOutcome::kWrongWorker) return;
  table.lease_told_until = std::max(table.lease_told_until, lease_until);
}

/// Voids every unanswered call under the present fencing number once the
/// worker answers a renewal under the new one.
void RaiseFencing(RunTable& table) {
  ++table.fencing;
  table.renew_now = true;
}

/// The worker has seen a higher number: one of a former life of this agent
/// under the same planner, or one of a newer planner.
void TakeFenced(RunTable& table, uint64_t fencing) {
  if (fencing != table.fencing) return;
  const uint64_t top = (EpochOfFencing(fencing) + 1) << kFencingBitsPerEpoch;
  constexpr uint64_t kReserve = 1 << 16;
  table.fencing = std::max(fencing + 1, top - kReserve);
  table.renew_now = true;
}

void TakeRunning(RunTable& table, MonotonicTime now, const WorkerRun& listed) {
  auto [it, is_new] = table.runs.try_emplace(listed.task);
  AgentRun& run = it->second;
  if (is_new) {
    run.order.task = listed.task;
    run.order.run = listed.run;
    run.sized = false;
  }
  if (run.order.run != listed.run) return;
  const bool started = is_new || run.phase == RunPhase::kStarting;
  if (started) {
    run.phase = RunPhase::kRunning;
    run.unsure = false;
    run.confirmed_at = now;
  }
  const bool saved = run.checkpoint != listed.checkpoint;
  const bool measured =
      run.percent != listed.percent || run.measure != listed.measure;
  run.checkpoint = listed.checkpoint;
  run.percent = listed.percent;
  run.measure = listed.measure;
  const bool due = now - run.measured_at >= kMeasureEvery;
  if (!started && !(due && (saved || measured))) return;
  run.measured_at = now;
  Touch(table, run);
}

void TakeEnd(RunTable& table, const WorkerEnd& end) {
  if (end.number <= table.worker_end_seen) return;
  table.worker_end_seen = end.number;
  AddEnd(table, end.task, end.run, end.end, end.checkpoint, "", end.number);
  const auto it = table.runs.find(end.task);
  if (it == table.runs.end() || it->second.order.run > end.run) return;
  table.runs.erase(it);
}

/// Settles runs that the worker ought to have listed.
void SettleUnlisted(RunTable& table, const RenewCall& call,
                    const std::set<TaskKey>& listed) {
  for (auto it = table.runs.begin(); it != table.runs.end();) {
    const auto next = std::next(it);
    const AgentRun& run = it->second;
    if (!listed.contains(it->first)) {
      if (run.unsure && run.call_fencing < call.call.fencing) {
        Conclude(table, it, RunEnd::kNotStarted, "start unanswered");
      } else if (run.phase != RunPhase::kStarting &&
                 run.confirmed_at < call.sent_at) {
        Conclude(table, it, RunEnd::kWorkerLost, "not listed by the worker");
      }
    }
    it = next;
  }
}

void SetResponsive(RunTable& table, bool responsive) {
  if (table.worker.responsive == responsive) return;
  table.worker.responsive = responsive;
  ++table.version;
}

void ReplaceWorker(RunTable& table) {
  ConcludeAll(table, RunEnd::kWorkerLost, "the worker was replaced");
  for (AgentEnd& end : table.ends) end.worker_number = 0;
  table.worker_end_seen = 0;
  table.worker_end_recorded = 0;
  table.clock_known = false;
  table.worker.responsive = false;
  table.lease_told_until = {};
  table.leases_in_flight.clear();
  table.renew_now = true;
}

}  // namespace

bool TakeHello(RunTable& table, MonotonicTime now, const WorkerHello& hello) {
  (void)now;
  if (hello.born_ms != 0 && hello.born_ms < table.worker_born_ms) return false;
  const bool other =
      hello.worker.id != table.worker.id ||
      (hello.born_ms != 0 && hello.born_ms != table.worker_born_ms);
  if (other) {
    ReplaceWorker(table);
    table.worker_born_ms = hello.born_ms;
  }
  const bool responsive = table.worker.responsive;
  const bool same = !other && table.worker.draining == hello.worker.draining &&
                    table.worker.capacity == hello.worker.capacity &&
                    table.worker.labels == hello.worker.labels;
  table.worker = hello.worker;
  table.worker.responsive = responsive;
  if (!same) ++table.version;
  return other;
}

bool TakeRequest(RunTable& table, MonotonicTime now,
                 const SyncRequest& request) {
  if (request.epoch < table.epoch) return false;
  if (request.epoch > table.epoch) {
    table.epoch = request.epoch;
    table.batch = 0;
    ++table.version;
  }
  table.planner = request.planner;
  table.planner_address = request.planner_address;
  table.contacted_at = now;
  if (request.life != table.life) return true;
  table.fencing = std::max(table.fencing, request.fencing_base);
  TakeRecorded(table, request.ends_recorded);
  if (request.stamp.value != 0) {
    const MonotonicTime granted{Duration(request.stamp.value) +
                                Duration(request.grant_ms)};
    table.lease_until = std::max(table.lease_until, granted);
  }
  if (request.batch != 0) TakeOrders(table, now, request);
  return true;
}

bool HasNews(const RunTable& table, const SyncRequest& request) {
  return request.life != table.life || request.seen_version < table.version;
}

SyncReport MakeReport(const RunTable& table, MonotonicTime now,
                      const SyncRequest& request) {
  SyncReport out;
  out.epoch = table.epoch;
  out.planner_address = table.planner_address;
  out.life = table.life;
  out.stamp = AgentTime(now.time_since_epoch().count());
  out.version = table.version;
  out.batch = table.batch;
  out.settled = table.settled;
  out.worker = table.worker;
  const bool known = request.life == table.life;
  out.complete = !known || request.seen_version == 0;
  for (const auto& [task, run] : table.runs) {
    if (!out.complete && run.version <= request.seen_version) continue;
    out.runs.push_back({task, run.order.run, run.phase, run.checkpoint,
                        run.percent, run.measure, run.pace, !run.sized});
  }
  const uint64_t seen_end = known ? request.seen_end : 0;
  for (const AgentEnd& end : table.ends) {
    if (end.report.number > seen_end) out.ends.push_back(end.report);
  }
  return out;
}

std::vector<StartCall> TakeStarts(RunTable& table, MonotonicTime now) {
  std::vector<StartCall> out;
  for (auto it = table.runs.begin(); it != table.runs.end();) {
    const auto next = std::next(it);
    AgentRun& run = it->second;
    if (run.phase == RunPhase::kStarting && !run.call_in_flight &&
        !run.unsure) {
      if (table.lease_until - now < kLeastLease) {
        Conclude(table, it, RunEnd::kNotStarted, "lease too short");
      } else {
        run.call_in_flight = true;
        run.call_fencing = table.fencing;
        out.push_back({MakeCall(table),
                       {run.order.task, run.order.run, run.order.payload,
                        run.order.checkpoint, run.order.permit},
                       table.lease_until});
        table.leases_in_flight.insert(table.lease_until);
      }
    }
    it = next;
  }
  return out;
}

void TakeStarted(RunTable& table, MonotonicTime now, const StartCall& call,
                 const CallResult& result) {
  TakeLeaseResult(table, call.lease_until, result.outcome);
  if (result.outcome == CallOutcome::kUnknown &&
      call.call.fencing >= table.fencing) {
    RaiseFencing(table);
  }
  if (result.outcome == CallOutcome::kFenced) {
    TakeFenced(table, call.call.fencing);
  }
  const auto it = table.runs.find(call.start.task);
  if (it == table.runs.end() || it->second.order.run != call.start.run) return;
  AgentRun& run = it->second;
  if (!run.call_in_flight) return;
  run.call_in_flight = false;
  if (run.phase != RunPhase::kStarting) return;
  switch (result.outcome) {
    case CallOutcome::kOk:
      run.phase = RunPhase::kRunning;
      run.confirmed_at = now;
      Touch(table, run);
      break;
    case CallOutcome::kFenced:
      // Sent again under the raised number, unless it is to be stopped.
      if (run.stop_wanted) {
        Conclude(table, it, RunEnd::kNotStarted, "stopped before start");
      }
      break;
    case CallOutcome::kUnknown:
      run.unsure = true;
      break;
    case CallOutcome::kRejected:
    case CallOutcome::kWrongWorker:
      Conclude(table, it, RunEnd::kNotStarted, result.text);
      break;
  }
}

std::vector<StopCall> TakeStops(RunTable& table, MonotonicTime now) {
  std::vector<StopCall> out;
  for (auto& [task, run] : table.runs) {
    const bool due = run.stop_wanted && !run.call_in_flight && !run.unsure &&
                     run.phase != RunPhase::kStarting &&
                     now >= run.next_stop_at;
    if (!due) continue;
    run.next_stop_at = now + kRepeatAfter;
    out.push_back({MakeCall(table), task, run.order.run});
  }
  return out;
}

void TakeStopped(RunTable& table, MonotonicTime now, const StopCall& call,
                 const CallResult& result) {
  (void)now;
  if (result.outcome == CallOutcome::kFenced) {
    TakeFenced(table, call.call.fencing);
  }
  const auto it = table.runs.find(call.task);
  if (it == table.runs.end() || it->second.order.run != call.run) return;
  if (result.outcome != CallOutcome::kOk) return;
  if (it->second.phase == RunPhase::kStopping) return;
  it->second.phase = RunPhase::kStopping;
  Touch(table, it->second);
}

std::vector<PaceCall> TakePaces(RunTable& table, MonotonicTime now) {
  std::vector<PaceCall> out;
  for (auto& [task, run] : table.runs) {
    const bool due = run.pace != run.pace_wanted &&
                     run.phase == RunPhase::kRunning && now >= run.next_pace_at;
    if (!due) continue;
    run.next_pace_at = now + kRepeatAfter;
    out.push_back({MakeCall(table), task, run.order.run, run.pace_wanted});
  }
  return out;
}

void TakePaced(RunTable& table, MonotonicTime now, const PaceCall& call,
               const CallResult& result) {
  (void)now;
  if (result.outcome == CallOutcome::kFenced) {
    TakeFenced(table, call.call.fencing);
  }
  const auto it = table.runs.find(call.task);
  if (it == table.runs.end() || it->second.order.run != call.run) return;
  if (result.outcome != CallOutcome::kOk) return;
  it->second.pace = call.percent;
  // A newer wish need not wait for the repeat of this one.
  it->second.next_pace_at = {};
  Touch(table, it->second);
}

std::optional<RenewCall> TakeRenewal(RunTable& table, MonotonicTime now) {
  // Without a planner's fencing number the worker would reject it.
  if (table.worker.id.empty() || table.fencing == 0) return std::nullopt;
  RenewCall out;
  out.call = MakeCall(table);
  out.recorded = table.worker_end_recorded;
  out.sent_at = now;
  const bool at_once =
      table.renew_now || !table.clock_known || !table.worker.responsive;
  out.wait = at_once ? Duration(0) : kRenewWait;
  table.renew_now = false;
  if (table.clock_known) {
    out.lease_until = table.lease_until;
    table.leases_in_flight.insert(out.lease_until);
  }
  return out;
}

void TakeListing(RunTable& table, MonotonicTime now, const RenewCall& call,
                 const WorkerListing& listing) {
  TakeLeaseResult(table, call.lease_until, CallOutcome::kOk);
  if (call.call.worker != table.worker.id) return;
  if (listing.born_ms != 0 && table.worker_born_ms != 0 &&
      listing.born_ms != table.worker_born_ms) {
    if (listing.born_ms < table.worker_born_ms) return;
    ReplaceWorker(table);
    table.worker_born_ms = listing.born_ms;
    ++table.version;
  }
  table.clock_known = true;
  table.clock_ms = listing.clock_ms;
  table.clock_at = now;
  SetResponsive(table, true);
  if (!table.settled) ++table.version;
  table.settled = true;
  std::set<TaskKey> listed;
  for (const WorkerRun& run : listing.running) {
    listed.insert(run.task);
    TakeRunning(table, now, run);
  }
  for (const WorkerEnd& end : listing.ended) TakeEnd(table, end);
  SettleUnlisted(table, call, listed);
}

void TakeRenewFailure(RunTable& table, MonotonicTime now, const RenewCall& call,
                      const CallResult& result) {
  (void)now;
  // A renewal is rejected only if it did not reach the worker.
  const bool reached = result.outcome != CallOutcome::kRejected;
  TakeLeaseResult(table, call.lease_until,
                  reached ? result.outcome : CallOutcome::kWrongWorker);
  if (call.call.worker != table.worker.id) return;
  if (result.outcome == CallOutcome::kFenced) {
    return TakeFenced(table, call.call.fencing);
  }
  SetResponsive(table, false);
}

void ExpireLeases(RunTable& table, MonotonicTime now) {
  if (!table.settled && now - table.started_at > kLongestLease) {
    table.settled = true;
    ++table.version;
  }
  if (table.runs.empty() || table.worker.responsive) return;
  if (table.lease_told_until == MonotonicTime{}) return;
  MonotonicTime told = table.lease_told_until;
  if (!table.leases_in_flight.empty()) {
    told = std::max(told, *table.leases_in_flight.rbegin());
  }
  const Duration drift = (told - table.clock_at) * kClockDriftPercent / 100;
  if (now <= told + drift) return;
  ConcludeAll(table, RunEnd::kLapsed, "the worker is silent");
}

}  // namespace almondtally::sched
