#include "agent/run_table.h"

#include <algorithm>
#include <set>
#include <utility>

#include "agent/former_lease.h"
#include "agent/handover.h"
#include "agent/late_start.h"
#include "agent/tail_guard.h"
#include "sched/ownership.h"

namespace almondtally::sched {

using detail::EndOfLeases;
using detail::ExpireLateStarts;
using detail::ExpireLeasesOfFormerWorker;
using detail::ForgetListedStarts;
using detail::ForgetSentLeases;
using detail::HasUnrecordedLease;
using detail::LateRunLeft;
using detail::MayRunUnheard;
using detail::RecordLateStart;
using detail::RecordLeasesOfFormerWorker;
using detail::RecordSentLease;
using detail::RecordUnansweredLease;
using detail::StopRunsOfFormerCalls;
using detail::UpdateLeasesOfFormerWorker;

namespace {

/// How long a renewal waits for a new end. If its answer is lost, ends remain
/// unknown for this long. The short wait is affordable because calls within a
/// VM are cheap.
constexpr Duration kRenewalWait{300};
/// Runs with less lease left than this are not started, since they would end
/// almost immediately.
constexpr Duration kMinLeaseToStart{500};
/// Speed limit of a run after an unanswered call.
constexpr int64_t kUnknownPace = -1;
/// Delay before an unconfirmed stop or pace call is repeated.
constexpr Duration kCallRetryInterval{500};
/// How long an unanswered start is sent again to the same worker, at least
/// once, before the task is left to another one.
constexpr Duration kStartRetryTime{1'000};
/// Delay before a start is repeated that the worker has refused.
constexpr Duration kStartRetryInterval{100};
/// Minimum time between two reports of changed measures of a run.
constexpr Duration kMeasureReportInterval{250};
/// A planner that was replaced before this process started grants no leases for
/// longer than this after the start: its proof of ownership is too old then. A
/// second is for messages on their way.
constexpr Duration kReplacedPlannerTime =
    kOwnershipProofValidity + Duration(1'000);
constexpr const char* kEvacuated = "data centre evacuated";
constexpr const char* kStoppedBeforeStart = "stopped before start";
/// A fencing number holds the planner's epoch in its high bits; the low bits
/// count within that epoch.
constexpr int kFencingBitsPerEpoch = 24;

uint64_t EpochOfFencing(uint64_t fencing) {
  return fencing >> kFencingBitsPerEpoch;
}

void MarkChanged(RunTable& table, AgentRun& run) {
  run.version = ++table.version;
}

void AddEnd(RunTable& table, const TaskKey& task, RunNumber run, RunEnd end,
            std::string checkpoint, std::string reason,
            uint64_t worker_number = 0, const CrashEvidence& crash = {}) {
  ++table.version;
  EndedRun& ended = table.ended_runs[task];
  if (run >= ended.run) ended = {run};
  UnrecordedEnd entry;
  entry.report = {++table.last_end,  task, run, end, std::move(checkpoint),
                  std::move(reason), crash};
  entry.worker_number = worker_number;
  table.ends.push_back(std::move(entry));
}

/// Notes for the log that the outcome of a start is known, if the start call
/// went unanswered.
void NoteSettledStart(RunTable& table, MonotonicTime now, const AgentRun& run,
                      const char* outcome) {
  if (!run.start_unanswered) return;
  table.settled_starts.push_back({run.order.task, run.order.run,
                                  run.call_fencing, outcome,
                                  now - run.start_sent_at});
}

/// Ends a run that the worker has not reported as ended.
void EndRunLocally(RunTable& table, std::map<TaskKey, AgentRun>::iterator it,
                   RunEnd end, std::string reason) {
  const AgentRun& run = it->second;
  AddEnd(table, it->first, run.order.run, end, run.checkpoint,
         std::move(reason));
  table.runs.erase(it);
}

/// @return true if the run's start call must be sent, for the first time or
/// again.
bool AwaitsStartCall(const AgentRun& run) {
  return run.phase == RunPhase::kStarting && !run.call_in_flight &&
         !run.start_unanswered;
}

/// @return true if the worker lists the run, or has listed its end.
bool IsListed(const WorkerListing& listing, const TaskKey& task,
              RunNumber run) {
  const auto is_run = [&](const auto& it) {
    return it.task == task && it.run == run;
  };
  return std::any_of(listing.running.begin(), listing.running.end(), is_run) ||
         std::any_of(listing.ended.begin(), listing.ended.end(), is_run);
}

/// A start call names the worker by its id, so that a process that starts again
/// under that id carries out calls that are on their way.
/// @param call answered by the new process.
/// @return the runs that the new process has started or may still start.
std::set<TaskKey> ListRunsOfNewProcess(const RunTable& table,
                                       const RenewCall& call,
                                       const WorkerListing& listing) {
  std::set<TaskKey> out;
  for (const auto& [task, run] : table.runs) {
    const bool is_open =
        run.phase == RunPhase::kStarting &&
        (run.call_in_flight ||
         (run.start_unanswered && run.call_fencing >= call.call.fencing));
    if (is_open || IsListed(listing, task, run.order.run)) out.insert(task);
  }
  return out;
}

/// Ends the runs of a worker that was replaced.
/// @param kept tasks whose runs the new process may have; the answer to the
/// start or a later listing settles them.
void EndRunsOfFormerWorker(RunTable& table, const std::set<TaskKey>& kept) {
  constexpr const char* kReason = "the worker was replaced";
  std::vector<LapsedRun> on_worker = std::exchange(table.lapsed, {});
  const size_t ended_before = on_worker.size();
  for (auto& [task, run] : table.runs) {
    if (kept.contains(task)) continue;
    if (AwaitsStartCall(run)) {
      AddEnd(table, task, run.order.run, RunEnd::kNotStarted, run.checkpoint,
             kReason);
      continue;
    }
    on_worker.push_back({task, run.order.run, run.start_sent_at,
                         std::move(run.checkpoint),
                         run.phase != RunPhase::kStarting});
  }
  std::erase_if(table.runs,
                [&](const auto& it) { return !kept.contains(it.first); });
  MonotonicTime last_start{};
  for (const LapsedRun& run : on_worker) {
    last_start = std::max(last_start, run.start_sent_at);
  }
  // A worker that has answered in time until a call fails crashed just then. A
  // silent one may have crashed at any time after its last sign of life, so
  // that later starts may never have reached it.
  const Duration silence = table.worker_failed_at - table.worker_heard_at;
  const bool was_silent = table.worker_failed_at == MonotonicTime{} ||
                          silence > kRenewalWait + kCrashSuspectWindow;
  const MonotonicTime alive_at =
      was_silent ? table.worker_heard_at : table.worker_failed_at;
  const MonotonicTime suspected_from =
      std::min(last_start, alive_at) - kCrashSuspectWindow;
  const auto is_suspect = [&](const LapsedRun& run) {
    return run.start_sent_at >= suspected_from;
  };
  const auto suspects =
      std::count_if(on_worker.begin(), on_worker.end(), is_suspect);
  // A worker that announced its end did not crash.
  const bool crashed = !table.worker.draining;
  for (size_t i = 0; i < on_worker.size(); ++i) {
    LapsedRun& run = on_worker[i];
    CrashEvidence crash;
    if (crashed) {
      const Duration age = alive_at - run.start_sent_at;
      crash.run_age_ms = std::max<int64_t>(0, age.count());
      if (is_suspect(run)) crash.suspects = static_cast<uint32_t>(suspects);
      crash.start = run.confirmed ? StartEvidence::kConfirmed
                    : was_silent  ? StartEvidence::kNone
                                  : StartEvidence::kCutOff;
    }
    AddEnd(table, run.task, run.run, RunEnd::kWorkerLost,
           std::move(run.checkpoint), kReason, 0, crash);
    table.ends.back().is_repeated = i < ended_before;
  }
}

/// Notes for the log that a run is kept although its lease has expired, since
/// the worker's next process may have begun it again.
void NoteHeldRun(RunTable& table, MonotonicTime now, AgentRun& run) {
  if (std::exchange(run.hold_logged, true)) return;
  table.held_run_notes.push_back(
      {run.order.task, run.order.run, LateRunLeft(table, now, run.order.task)});
}

std::optional<Duration> TimeSince(MonotonicTime now,
                                  std::optional<MonotonicTime> time) {
  if (!time) return std::nullopt;
  return now - *time;
}

/// Notes for the log which leases were counted on when runs were ended.
void NoteLapse(RunTable& table, MonotonicTime now, size_t runs) {
  if (runs == 0) return;
  table.lapse_notes.push_back(
      {static_cast<int64_t>(runs), TimeSince(now, table.leases.sent_until),
       TimeSince(now, table.leases.taken_until), now - table.started_at});
}

void EndRunsAsLapsed(RunTable& table, MonotonicTime now) {
  const size_t runs_before = table.runs.size();
  for (auto it = table.runs.begin(); it != table.runs.end();) {
    const auto next = std::next(it);
    AgentRun& run = it->second;
    if (MayRunUnheard(table, now, it->first)) {
      NoteHeldRun(table, now, run);
      it = next;
      continue;
    }
    NoteSettledStart(table, now, run, "lease_expired");
    if (!AwaitsStartCall(run)) {
      table.lapsed.push_back({it->first, run.order.run, run.start_sent_at,
                              run.checkpoint,
                              run.phase != RunPhase::kStarting});
    }
    const RunEnd end = run.phase == RunPhase::kStarting ? RunEnd::kNotStarted
                                                        : RunEnd::kLapsed;
    EndRunLocally(table, it, end, "the worker is silent");
    it = next;
  }
  NoteLapse(table, now, runs_before - table.runs.size());
}

Resources AdmissionSize(const Resources& size, bool filler) {
  Resources out = size;
  if (filler) out.cpu = MilliCpu(0);
  return out;
}

Resources TotalAdmissionSize(const RunTable& table) {
  Resources sum;
  for (const auto& [task, run] : table.runs) {
    sum += AdmissionSize(run.order.size, run.order.filler);
  }
  return sum;
}

/// @param reserved sizes of the runs that count against the capacity.
/// @return the reason why the worker has no room for another run; empty if it
/// has.
std::string CheckRoom(const RunTable& table, const Resources& reserved,
                      const StartOrder& order) {
  const bool all_sized =
      std::all_of(table.runs.begin(), table.runs.end(),
                  [](const auto& it) { return it.second.size_known; });
  if (!all_sized) return "sizes of runs not known";
  const Resources after = reserved + AdmissionSize(order.size, order.filler);
  if (!Fits(after, table.worker.capacity)) return "no room";
  return "";
}

/// @return the total size of the runs that the worker has, or may have.
Resources SizeOfStartedRuns(const RunTable& table) {
  Resources sum;
  for (const auto& [task, run] : table.runs) {
    if (AwaitsStartCall(run)) continue;
    sum += AdmissionSize(run.order.size, run.order.filler);
  }
  return sum;
}

/// @return when the orders of a request expire: with the lease that the planner
/// could count on when it sent them, not with one that was granted since.
MonotonicTime OrderExpiry(const SyncRequest& request) {
  if (request.stamp.value == 0) return MonotonicTime::max();
  return MonotonicTime(Duration(request.stamp.value)) + kLeaseGrantDuration;
}

/// @return the reason for refusing the order; empty if it is admitted.
std::string CheckAdmission(const RunTable& table, MonotonicTime now,
                           const StartOrder& order, MonotonicTime lease_until,
                           const WorkerId& target_worker) {
  if (table.worker.id.empty()) return "no worker";
  if (target_worker != table.worker.id) return "another worker";
  if (table.worker.draining) return "draining";
  if (table.evacuation.evacuated) return kEvacuated;
  if (!table.clock_known) return "worker not heard yet";
  if (table.awaits_registration) return "planner not confirmed by the store";
  if (table.listed_as_drained) return "listed as drained";
  if (HasUnrecordedLease(table)) return "longer lease not recorded";
  if (lease_until - now < kMinLeaseToStart) return "lease too short";
  return CheckRoom(table, TotalAdmissionSize(table), order);
}

/// @param reserved see CheckRoom.
/// @return the reason why the run's start call is not sent, or not sent again;
/// empty if it may be.
std::string CheckStart(const RunTable& table, MonotonicTime now,
                       const Resources& reserved, const AgentRun& run,
                       MonotonicTime lease_until) {
  if (table.evacuation.evacuated) return kEvacuated;
  if (run.stop_requested) return kStoppedBeforeStart;
  const bool was_unanswered = run.first_unanswered_at != MonotonicTime{};
  const bool was_repeated = run.start_sent_at > run.first_unanswered_at;
  if (was_unanswered && was_repeated &&
      now - run.first_unanswered_at > kStartRetryTime) {
    return "start unanswered";
  }
  if (lease_until - now < kMinLeaseToStart) return "lease too short";
  // The capacity may have shrunk since the order was admitted.
  return CheckRoom(table, reserved, run.order);
}

/// @return true if this run of the task, or a later one, has ended here.
bool HasEnded(const RunTable& table, const TaskKey& task, RunNumber run) {
  const auto it = table.ended_runs.find(task);
  return it != table.ended_runs.end() && it->second.run >= run;
}

void ApplyStartOrder(RunTable& table, MonotonicTime now,
                     const StartOrder& order, MonotonicTime expires_at,
                     const WorkerId& target_worker) {
  const auto it = table.runs.find(order.task);
  if (it != table.runs.end() && it->second.order.run >= order.run) return;
  if (HasEnded(table, order.task, order.run)) return;
  const MonotonicTime lease_until = std::min(table.lease_until, expires_at);
  std::string refusal =
      it != table.runs.end()
          ? "an older run is still here"
          : CheckAdmission(table, now, order, lease_until, target_worker);
  if (!refusal.empty()) {
    if (refusal == kEvacuated) ++table.evacuation_refusals;
    AddEnd(table, order.task, order.run, RunEnd::kNotStarted, order.checkpoint,
           std::move(refusal));
    // A planner that ordered a later run did not know of this one, and leaves
    // reports of it aside until that order has ended.
    if (it != table.runs.end()) MarkChanged(table, it->second);
    return;
  }
  AgentRun run;
  run.order = order;
  run.order_expires_at = expires_at;
  run.checkpoint = order.checkpoint;
  run.requested_pace = order.pace;
  run.pace_requested_at = now;
  MarkChanged(table, table.runs[order.task] = std::move(run));
}

void ApplyStopOrder(RunTable& table, MonotonicTime now,
                    const StopOrder& order) {
  const auto it = table.runs.find(order.task);
  if (it == table.runs.end() || it->second.order.run != order.run) return;
  AgentRun& run = it->second;
  if (AwaitsStartCall(run) && !MayRunUnheard(table, now, order.task)) {
    return EndRunLocally(table, it, RunEnd::kNotStarted, kStoppedBeforeStart);
  }
  run.stop_requested = true;
}

void DropRecordedEnds(RunTable& table, MonotonicTime now, uint64_t recorded) {
  while (!table.ends.empty() && table.ends.front().report.number <= recorded) {
    const UnrecordedEnd& end = table.ends.front();
    table.worker_end_recorded =
        std::max(table.worker_end_recorded, end.worker_number);
    // The planner has read a report with this end, so that later orders have a
    // later run. Earlier orders expire with the lease they were sent under.
    EndedRun& ended = table.ended_runs[end.report.task];
    if (ended.run == end.report.run) {
      ended.remembered_until = now + kLeaseGrantDuration;
      table.ended_runs_recorded.push_back(end.report.task);
    }
    table.ends.pop_front();
  }
  while (!table.ended_runs_recorded.empty()) {
    const auto it = table.ended_runs.find(table.ended_runs_recorded.front());
    if (it != table.ended_runs.end()) {
      const MonotonicTime until = it->second.remembered_until;
      // Unlimited: a later run has ended, which is listed once it is recorded.
      const bool is_limited = until != MonotonicTime::max();
      if (is_limited && until >= now) break;
      if (is_limited) table.ended_runs.erase(it);
    }
    table.ended_runs_recorded.pop_front();
  }
}

void ApplyOrders(RunTable& table, MonotonicTime now,
                 const SyncRequest& request) {
  if (request.batch <= table.batch) return;
  table.batch = request.batch;
  ++table.version;
  for (const RunSize& size : request.sizes) {
    const auto it = table.runs.find(size.task);
    if (it == table.runs.end() || it->second.order.run != size.run) continue;
    it->second.order.size = size.size;
    it->second.order.filler = size.filler;
    it->second.order.tail_target_ms = size.tail_target_ms;
    it->second.size_known = true;
    MarkChanged(table, it->second);
  }
  for (const StopOrder& order : request.stops) {
    ApplyStopOrder(table, now, order);
  }
  for (const SpeedLimitOrder& order : request.paces) {
    const auto it = table.runs.find(order.task);
    if (it == table.runs.end() || it->second.order.run != order.run) continue;
    if (it->second.requested_pace == order.percent) continue;
    it->second.requested_pace = order.percent;
    it->second.pace_requested_at = now;
    it->second.pace_sent_at = {};
  }
  for (const StartOrder& order : request.starts) {
    ApplyStartOrder(table, now, order, OrderExpiry(request), request.worker);
  }
}

/// @param lease_until when the lease that the call carries ends.
WorkerCall MakeCall(const RunTable& table, MonotonicTime lease_until) {
  WorkerCall call;
  call.worker = table.worker.id;
  call.fencing = table.fencing;
  if (!table.clock_known) return call;
  const int64_t until_lease_end = (lease_until - table.clock_at).count();
  call.lease_until_ms = table.clock_ms + until_lease_end;
  return call;
}

/// Notes that a call with a lease is about to be sent.
void RecordLeaseSent(RunTable& table, const WorkerCall& call,
                     MonotonicTime lease_until) {
  table.leases.in_flight.insert(lease_until);
  table.lease_sent_ms = std::max(table.lease_sent_ms, call.lease_until_ms);
}

/// Updates the latest lease end that the worker may have received after a call
/// that carried a lease.
void RecordLeaseResult(RunTable& table, MonotonicTime now,
                       const WorkerCall& call, MonotonicTime lease_until,
                       CallOutcome outcome) {
  if (call.lease_until_ms == 0) return;
  if (outcome == CallOutcome::kUnknown && call.worker == table.worker.id) {
    RecordUnansweredLease(table, now, call.lease_until_ms);
  }
  auto& in_flight = table.leases.in_flight;
  const auto it = in_flight.find(lease_until);
  if (it != in_flight.end()) in_flight.erase(it);
  // A worker that rejects a start still applies the lease. A rejected start
  // that did not reach the worker is not distinguished from this case.
  if (outcome == CallOutcome::kWrongWorker) return;
  RecordSentLease(table.leases, lease_until);
}

/// Increments the fencing number. Once the worker answers a renewal under the
/// new number, unanswered calls under the old one can no longer take effect.
void RaiseFencing(RunTable& table) {
  ++table.fencing;
  table.renew_immediately = true;
}

/// Handles a call that was rejected because the worker has seen a higher
/// fencing number, either from an earlier agent process under the same planner
/// or from a newer planner. Moves close to the end of this epoch's range,
/// leaving room for further increments.
void HandleFencedCall(RunTable& table, uint64_t fencing) {
  if (fencing != table.fencing) return;
  const uint64_t epoch_end = (EpochOfFencing(fencing) + 1)
                             << kFencingBitsPerEpoch;
  constexpr uint64_t kFencingReserve = 1 << 16;
  table.fencing = std::max(fencing + 1, epoch_end - kFencingReserve);
  table.renew_immediately = true;
}

void ApplyListedRun(RunTable& table, MonotonicTime now,
                    const WorkerRun& listed) {
  auto [it, is_new] = table.runs.try_emplace(listed.task);
  AgentRun& run = it->second;
  if (is_new) {
    run.order.task = listed.task;
    run.order.run = listed.run;
    run.size_known = false;
    run.start_sent_at = now;
    // An earlier process of the agent may have paused it.
    run.pace = kUnknownPace;
    run.requested_pace = kUnknownPace;
  }
  if (run.order.run != listed.run) return;
  const bool started = is_new || run.phase == RunPhase::kStarting;
  if (started) {
    NoteSettledStart(table, now, run, "running");
    run.phase = RunPhase::kRunning;
    run.start_unanswered = false;
    run.confirmed_at = now;
  }
  const bool checkpoint_changed = run.checkpoint != listed.checkpoint;
  const bool measures_changed =
      run.percent != listed.percent || run.measurement != listed.measurement;
  run.checkpoint = listed.checkpoint;
  run.percent = listed.percent;
  run.measurement = listed.measurement;
  UpdateMissedTarget(run, now);
  const bool due = now - run.measures_reported_at >= kMeasureReportInterval;
  if (!started && !(due && (checkpoint_changed || measures_changed))) return;
  run.measures_reported_at = now;
  MarkChanged(table, run);
}

void ApplyListedEnd(RunTable& table, MonotonicTime now,
                    const WorkerRunEnd& end) {
  if (end.number <= table.worker_end_seen) return;
  table.worker_end_seen = end.number;
  AddEnd(table, end.task, end.run, end.end, end.checkpoint, "", end.number);
  const auto it = table.runs.find(end.task);
  if (it == table.runs.end() || it->second.order.run > end.run) {
    table.ends.back().is_repeated = true;
    return;
  }
  NoteSettledStart(table, now, it->second, "ended");
  table.runs.erase(it);
}

/// Ends runs that the worker did not list although it would have if they were
/// running. A start that is void for the worker's process is due again.
void ResolveUnlistedRuns(RunTable& table, MonotonicTime now,
                         const RenewCall& call,
                         const std::set<TaskKey>& listed) {
  for (auto it = table.runs.begin(); it != table.runs.end();) {
    const auto next = std::next(it);
    AgentRun& run = it->second;
    if (!listed.contains(it->first)) {
      if (run.start_unanswered && run.call_fencing < call.call.fencing) {
        NoteSettledStart(table, now, run, "not_started");
        run.start_unanswered = false;
      } else if (run.phase != RunPhase::kStarting &&
                 run.confirmed_at < call.sent_at) {
        EndRunLocally(table, it, RunEnd::kWorkerLost,
                      "not listed by the worker");
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

/// Records that no run or end of the worker is missing from the table.
void MarkComplete(RunTable& table) {
  if (table.complete_version == 0) table.complete_version = ++table.version;
}

/// @param kept see EndRunsOfFormerWorker.
/// @param same_id see RecordLeasesOfFormerWorker.
void ReplaceWorker(RunTable& table, MonotonicTime now,
                   const std::set<TaskKey>& kept, bool same_id) {
  EndRunsOfFormerWorker(table, kept);
  RecordLeasesOfFormerWorker(table, now, same_id);
  if (!same_id) {
    table.late_starts.clear();
    table.earlier_starts_arrive_by.reset();
  }
  // Calls that have not arrived by the next listing are void.
  if (same_id && table.fencing != 0) ++table.fencing;
  table.process_fencing = table.fencing;
  for (UnrecordedEnd& end : table.ends) end.worker_number = 0;
  table.worker_end_seen = 0;
  table.worker_end_recorded = 0;
  table.worker_sequence = 0;
  // Unknown until the new worker announces itself.
  table.worker.capacity = {};
  table.clock_known = false;
  table.worker_confirmed = false;
  table.worker.responsive = false;
  table.worker_failed_at = {};
  ForgetSentLeases(table.leases);
  table.renew_immediately = true;
}

bool IsOtherProcess(const RunTable& table, const WorkerHello& hello) {
  return hello.worker.id != table.worker.id ||
         (hello.born_ms != 0 && hello.born_ms != table.worker_born_ms);
}

/// Follows the process whose announcement was kept, since the worker is gone.
/// @return false if there is none.
bool FollowAnnouncedWorker(RunTable& table, MonotonicTime now) {
  const auto hello = std::exchange(table.unproven_hello, std::nullopt);
  return hello && ApplyWorkerHello(table, now, *hello);
}

}  // namespace

bool ApplyWorkerHello(RunTable& table, MonotonicTime now,
                      const WorkerHello& hello) {
  // An announcement may be late, but a worker that has never answered is no
  // reason to ignore another one.
  if (table.worker_confirmed && hello.born_ms != 0 &&
      hello.born_ms < table.worker_born_ms) {
    return false;
  }
  const bool is_new_worker = IsOtherProcess(table, hello);
  if (is_new_worker) {
    // A former process of the agent may have known the first worker.
    const bool same_id =
        table.worker.id.empty() || hello.worker.id == table.worker.id;
    ReplaceWorker(table, now, {}, same_id);
    table.worker_born_ms = hello.born_ms;
    table.worker_announced_at = now;
  }
  // Without the time of its start, a restarted worker, which counts from the
  // beginning, cannot be told from a late announcement.
  if (hello.sequence && hello.born_ms != 0) {
    if (*hello.sequence < table.worker_sequence) return is_new_worker;
    table.worker_sequence = *hello.sequence;
  }
  const bool responsive = table.worker.responsive;
  const bool unchanged = !is_new_worker &&
                         table.worker.draining == hello.worker.draining &&
                         table.worker.capacity == hello.worker.capacity &&
                         table.worker.labels == hello.worker.labels;
  table.worker = hello.worker;
  table.worker.responsive = responsive;
  if (!unchanged) ++table.version;
  return is_new_worker;
}

bool ReceiveWorkerHello(RunTable& table, MonotonicTime now,
                        const WorkerHello& hello) {
  const bool is_unproven =
      table.worker_confirmed && IsOtherProcess(table, hello);
  if (!is_unproven) return ApplyWorkerHello(table, now, hello);
  table.unproven_hello = hello;
  table.unproven_hello_at = now;
  table.renew_immediately = true;
  return false;
}

uint64_t FirstFencing(PlannerEpoch epoch) {
  return epoch.value << kFencingBitsPerEpoch;
}

/// @return false if the planner may have been replaced before this process
/// started, and neither the store nor the worker would show it: a worker that
/// is older than this process rejects calls under lower fencing numbers than it
/// has seen.
bool MayFollow(const RunTable& table, MonotonicTime now) {
  if (!table.awaits_registration) return true;
  if (!table.clock_known) return false;
  const Duration worker_age = Duration(table.clock_ms) + (now - table.clock_at);
  const Duration own_age = now - table.started_at;
  return worker_age > own_age + own_age * kClockDriftPercent / 100;
}

void FollowPlanner(RunTable& table, MonotonicTime now, PlannerEpoch epoch,
                   const std::string& planner, const std::string& address) {
  if (epoch < table.epoch) return;
  if (epoch > table.epoch) {
    detail::NoteNewPlanner(table, now);
    table.epoch = epoch;
    table.batch = 0;
    ++table.version;
  }
  table.planner = planner;
  table.planner_address = address;
}

bool ApplySyncRequest(RunTable& table, MonotonicTime now,
                      const SyncRequest& request) {
  if (request.epoch < table.epoch) return false;
  FollowPlanner(table, now, request.epoch, request.planner,
                request.planner_address);
  if (request.grant_ms > 0) table.last_grant_at = now;
  if (request.tail_limit_ms > 0) {
    table.tail_limit = Duration(request.tail_limit_ms);
  }
  AdoptNotice(table.evacuation,
              {request.evacuated, RowVersion(request.evacuated_as_of)});
  if (request.life != table.life) return true;
  table.fencing = std::max(table.fencing, request.fencing_base);
  DropRecordedEnds(table, now, request.ends_recorded);
  if (request.stamp.value != 0 && MayFollow(table, now)) {
    const MonotonicTime granted{Duration(request.stamp.value) +
                                Duration(request.grant_ms)};
    detail::NoteGrant(table, now, granted);
    table.lease_until = std::max(table.lease_until, granted);
  }
  if (request.batch != 0) ApplyOrders(table, now, request);
  return true;
}

bool HasUnreportedChanges(const RunTable& table, const SyncRequest& request) {
  return request.life != table.life || request.seen_version < table.version;
}

SyncReport MakeReport(RunTable& table, MonotonicTime now,
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
  out.awaits_registration =
      table.awaits_registration || table.listed_as_drained;
  out.lease_kept = table.handover.lease_kept;
  if (table.has_former_lease) {
    out.former_lease_ms = (*table.leases.taken_until - now).count();
    out.former_lease_recorded = table.former_lease_recorded;
  }
  const bool known = request.life == table.life;
  out.complete = !known || request.seen_version == 0 ||
                 request.seen_version < table.complete_version;
  out.partial = table.complete_version == 0;
  for (const auto& [task, run] : table.runs) {
    if (!out.complete && run.version <= request.seen_version) continue;
    out.runs.push_back({task, run.order.run, run.phase, run.checkpoint,
                        run.percent, run.measurement, run.pace, !run.size_known,
                        MissedFor(run, now).count(), IsHeld(table, run),
                        LateRunLeft(table, now, task).count()});
  }
  const uint64_t seen_end = known ? request.seen_end : 0;
  for (UnrecordedEnd& end : table.ends) {
    if (end.report.number <= seen_end) continue;
    out.ends.push_back(end.report);
    out.ends.back().is_sole_run = detail::ReportEnd(table, end);
  }
  return out;
}

std::vector<StartCall> BeginStartCalls(RunTable& table, MonotonicTime now) {
  std::vector<StartCall> out;
  Resources reserved = SizeOfStartedRuns(table);
  for (auto it = table.runs.begin(); it != table.runs.end();) {
    const auto next = std::next(it);
    AgentRun& run = it->second;
    if (AwaitsStartCall(run) && now >= run.next_start_at) {
      const MonotonicTime lease_until =
          std::min(table.lease_until, run.order_expires_at);
      const std::string refusal =
          CheckStart(table, now, reserved, run, lease_until);
      if (!refusal.empty()) {
        if (!MayRunUnheard(table, now, it->first)) {
          if (refusal == kEvacuated) ++table.evacuation_refusals;
          EndRunLocally(table, it, RunEnd::kNotStarted, refusal);
        }
      } else if (!table.unproven_hello && !HasUnrecordedLease(table)) {
        // The lease would be on the clock of a process that may be gone.
        reserved += AdmissionSize(run.order.size, run.order.filler);
        run.call_in_flight = true;
        run.call_fencing = table.fencing;
        run.start_sent_at = now;
        out.push_back({MakeCall(table, lease_until),
                       {run.order.task, run.order.run, run.order.payload,
                        run.order.checkpoint, run.order.permit},
                       lease_until});
        RecordLeaseSent(table, out.back().call, lease_until);
      }
    }
    it = next;
  }
  return out;
}

void FinishStartCall(RunTable& table, MonotonicTime now, const StartCall& call,
                     const CallResult& result) {
  RecordLeaseResult(table, now, call.call, call.lease_until, result.outcome);
  if (result.outcome == CallOutcome::kUnknown &&
      call.call.fencing >= table.fencing) {
    RaiseFencing(table);
  }
  if (result.outcome == CallOutcome::kUnknown) {
    RecordLateStart(table, now, call);
  }
  if (result.outcome == CallOutcome::kFenced) {
    HandleFencedCall(table, call.call.fencing);
  }
  const auto it = table.runs.find(call.start.task);
  if (it == table.runs.end() || it->second.order.run != call.start.run) return;
  AgentRun& run = it->second;
  if (!run.call_in_flight) return;
  run.call_in_flight = false;
  if (run.phase != RunPhase::kStarting) return;
  switch (result.outcome) {
    case CallOutcome::kOk:
      table.worker_heard_at = now;
      table.worker_failed_at = {};
      run.phase = RunPhase::kRunning;
      run.confirmed_at = now;
      MarkChanged(table, run);
      break;
    case CallOutcome::kFenced:
      // Retried under the higher number, unless a stop was requested.
      if (run.stop_requested) {
        EndRunLocally(table, it, RunEnd::kNotStarted, kStoppedBeforeStart);
      }
      break;
    case CallOutcome::kUnknown:
      if (table.worker_failed_at == MonotonicTime{})
        table.worker_failed_at = now;
      run.start_unanswered = true;
      if (run.first_unanswered_at == MonotonicTime{})
        run.first_unanswered_at = run.start_sent_at;
      MarkChanged(table, run);
      break;
    case CallOutcome::kRejected:
      // An earlier call may still take effect, perhaps by the worker's next
      // process if this one was not reached.
      if (run.first_unanswered_at != MonotonicTime{}) {
        run.next_start_at = now + kStartRetryInterval;
        break;
      }
      [[fallthrough]];
    case CallOutcome::kWrongWorker:
      EndRunLocally(table, it, RunEnd::kNotStarted, result.text);
      break;
  }
}

std::vector<StopCall> BeginStopCalls(RunTable& table, MonotonicTime now) {
  std::vector<StopCall> out;
  for (auto& [task, run] : table.runs) {
    const bool due =
        run.stop_requested && !run.call_in_flight && !run.start_unanswered &&
        run.phase != RunPhase::kStarting && now >= run.next_stop_at;
    if (!due) continue;
    run.next_stop_at = now + kCallRetryInterval;
    out.push_back({MakeCall(table, table.lease_until), task, run.order.run});
  }
  return out;
}

void FinishStopCall(RunTable& table, MonotonicTime now, const StopCall& call,
                    const CallResult& result) {
  (void)now;
  if (result.outcome == CallOutcome::kFenced) {
    HandleFencedCall(table, call.call.fencing);
  }
  const auto it = table.runs.find(call.task);
  if (it == table.runs.end() || it->second.order.run != call.run) return;
  if (result.outcome != CallOutcome::kOk) return;
  if (it->second.phase == RunPhase::kStopping) return;
  it->second.phase = RunPhase::kStopping;
  MarkChanged(table, it->second);
}

std::vector<PaceCall> BeginPaceCalls(RunTable& table, MonotonicTime now) {
  UpdateFillerHold(table, now);
  NoteLongMisses(table, now);
  std::vector<PaceCall> out;
  for (auto& [task, run] : table.runs) {
    const int64_t wanted = WantedPace(table, run);
    const bool due = run.pace != wanted && run.phase == RunPhase::kRunning &&
                     now >= run.next_pace_at;
    if (!due) continue;
    run.next_pace_at = now + kCallRetryInterval;
    if (run.pace_sent_at == MonotonicTime{}) run.pace_sent_at = now;
    out.push_back(
        {MakeCall(table, table.lease_until), task, run.order.run, wanted});
  }
  return out;
}

void FinishPaceCall(RunTable& table, MonotonicTime now, const PaceCall& call,
                    const CallResult& result) {
  if (result.outcome == CallOutcome::kFenced) {
    HandleFencedCall(table, call.call.fencing);
  }
  const bool unanswered = result.outcome == CallOutcome::kUnknown;
  if (unanswered && call.call.fencing >= table.fencing) RaiseFencing(table);
  const auto it = table.runs.find(call.task);
  if (it == table.runs.end() || it->second.order.run != call.run) return;
  if (unanswered) {
    it->second.pace = kUnknownPace;
    // The call has taken its time already.
    it->second.next_pace_at = now;
  }
  if (result.outcome != CallOutcome::kOk) return;
  NoteConfirmedPace(table, now, it->second, call.percent);
  it->second.pace = call.percent;
  // A newer speed limit may be sent without waiting for the retry delay.
  it->second.next_pace_at = {};
  MarkChanged(table, it->second);
}

std::optional<RenewCall> BeginRenewal(RunTable& table, MonotonicTime now) {
  // The worker would reject a renewal without a planner's fencing number.
  if (table.worker.id.empty() || table.fencing == 0) return std::nullopt;
  RenewCall out;
  // A process that has started again under the same id has another clock, and
  // counts its ends anew.
  const bool is_same_process =
      !table.worker_unreachable && !table.unproven_hello.has_value();
  const bool is_granted = table.lease_until != MonotonicTime{};
  const bool has_lease = table.clock_known && is_same_process && is_granted;
  out.call = MakeCall(table, table.lease_until);
  if (!has_lease) out.call.lease_until_ms = 0;
  out.recorded = is_same_process ? table.worker_end_recorded : 0;
  out.sent_at = now;
  const bool immediately =
      table.renew_immediately || !table.clock_known || !table.worker.responsive;
  out.wait = immediately ? Duration(0) : kRenewalWait;
  table.renew_immediately = false;
  if (has_lease) {
    out.lease_until = table.lease_until;
    RecordLeaseSent(table, out.call, out.lease_until);
  }
  return out;
}

void ApplyWorkerListing(RunTable& table, MonotonicTime now,
                        const RenewCall& call, const WorkerListing& listing) {
  RecordLeaseResult(table, now, call.call, call.lease_until, CallOutcome::kOk);
  if (call.call.worker != table.worker.id) return;
  if (table.worker_born_ms == 0) table.worker_born_ms = listing.born_ms;
  if (listing.born_ms != 0 && listing.born_ms != table.worker_born_ms) {
    const bool is_former = listing.born_ms < table.worker_born_ms &&
                           call.sent_at < table.worker_announced_at;
    if (is_former) return;
    // The process that answers is the worker, whatever was announced. It has
    // taken the lease that the call carried.
    RecordUnansweredLease(table, now, call.call.lease_until_ms);
    ReplaceWorker(table, now, ListRunsOfNewProcess(table, call, listing), true);
    table.worker_born_ms = listing.born_ms;
    table.worker_announced_at = now;
    ++table.version;
    const auto& hello = table.unproven_hello;
    const bool is_announced = hello && hello->worker.id == table.worker.id &&
                              hello->born_ms == listing.born_ms;
    if (is_announced) FollowAnnouncedWorker(table, now);
  }
  if (call.sent_at >= table.unproven_hello_at) table.unproven_hello.reset();
  table.worker_confirmed = true;
  table.worker_unreachable = false;
  table.clock_known = true;
  table.clock_ms = listing.clock_ms;
  table.clock_at = now;
  table.worker_heard_at = now;
  table.worker_failed_at = {};
  table.lapsed.clear();
  UpdateLeasesOfFormerWorker(table, now, call, listing);
  SetResponsive(table, true);
  if (!table.settled) ++table.version;
  table.settled = true;
  std::set<TaskKey> listed;
  for (const WorkerRun& run : listing.running) {
    listed.insert(run.task);
    ApplyListedRun(table, now, run);
  }
  for (const WorkerRunEnd& end : listing.ended) ApplyListedEnd(table, now, end);
  if (table.has_former_lease) StopRunsOfFormerCalls(table, listing);
  if (!listing.complete) return;
  ResolveUnlistedRuns(table, now, call, listed);
  ForgetListedStarts(table, call.sent_at);
  MarkComplete(table);
}

void HandleRenewalFailure(RunTable& table, MonotonicTime now,
                          const RenewCall& call, const CallResult& result) {
  // kRejected means that the renewal did not reach the worker, so the worker
  // has not received its lease.
  const bool reached = result.outcome != CallOutcome::kRejected;
  RecordLeaseResult(table, now, call.call, call.lease_until,
                    reached ? result.outcome : CallOutcome::kWrongWorker);
  if (call.call.worker != table.worker.id) return;
  if (!reached) table.worker_unreachable = true;
  if (result.outcome == CallOutcome::kFenced) {
    return HandleFencedCall(table, call.call.fencing);
  }
  if (result.outcome == CallOutcome::kWrongWorker) {
    table.worker_confirmed = false;
    if (FollowAnnouncedWorker(table, now)) return;
  }
  if (table.worker_failed_at == MonotonicTime{}) table.worker_failed_at = now;
  SetResponsive(table, false);
}

void ExpireLeases(RunTable& table, MonotonicTime now) {
  // All leases granted to an earlier agent process have expired.
  if (!table.settled && now - table.started_at > kMaxLeaseDuration) {
    table.settled = true;
    MarkComplete(table);
  }
  const bool may_hear_replaced = now - table.started_at <= kReplacedPlannerTime;
  if (table.awaits_registration && !may_hear_replaced) {
    table.awaits_registration = false;
    ++table.version;
  }
  detail::UpdateHandover(table, now);
  ExpireLeasesOfFormerWorker(table, now);
  ExpireLateStarts(table, now);
  if (table.worker.responsive) return;
  const auto leased_until = EndOfLeases(table.leases);
  if (!leased_until) return;
  // The lease may have been sent before the latest reading of the clock.
  const Duration lease_duration =
      std::max<Duration>(*leased_until - table.clock_at, kLeaseGrantDuration);
  const Duration drift = lease_duration * kClockDriftPercent / 100;
  if (now <= *leased_until + drift) return;
  EndRunsAsLapsed(table, now);
  MarkComplete(table);
}

}  // namespace almondtally::sched
