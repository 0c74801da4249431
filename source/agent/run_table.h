#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "agent/worker_leases.h"
#include "base/clock.h"
#include "sched/evacuation.h"
#include "sched/messages.h"
#include "sched/worker.h"

namespace almondtally::sched {

/// One run on this VM.
struct AgentRun {
  StartOrder order;
  /// No start call is sent, or carried out by the worker, after this time; the
  /// planner may then have given the order up. Latest time if unknown.
  MonotonicTime order_expires_at = MonotonicTime::max();
  RunPhase phase = RunPhase::kStarting;
  /// False for a run that the worker listed and whose size no planner has sent
  /// yet.
  bool size_known = true;
  bool call_in_flight = false;
  /// A start call under `call_fencing` was not answered; it may still take
  /// effect.
  bool start_unanswered = false;
  uint64_t call_fencing = 0;
  /// When the first call was sent that went unanswered; zero if none did.
  MonotonicTime first_unanswered_at{};
  /// Earliest time of the next start call.
  MonotonicTime next_start_at{};
  /// The run is kept beyond its lease, and this was logged; see LateStart.
  bool hold_logged = false;
  /// When the last start call was sent, or when the run was first listed.
  MonotonicTime start_sent_at{};
  /// When the worker confirmed the start.
  MonotonicTime confirmed_at{};
  bool stop_requested = false;
  MonotonicTime next_stop_at{};
  /// As ordered by the planner; negative before an order for a run that this
  /// process found on the worker.
  int64_t requested_pace = 100;
  /// When `requested_pace` last changed, and when it was first sent since.
  MonotonicTime pace_requested_at{};
  MonotonicTime pace_sent_at{};
  /// Speed limit in force, in percent of full speed; negative if unknown.
  int64_t pace = 100;
  MonotonicTime next_pace_at{};
  std::string checkpoint;
  int64_t percent = 0;
  int64_t measurement = -1;
  /// Since when the listed tail latency has exceeded the target; zero if it
  /// does not, or if the run has no known target.
  MonotonicTime over_target_since{};
  /// The missed target was logged when the allowed time had passed.
  bool long_miss_logged = false;
  /// Report version of the last change.
  uint64_t version = 0;
  /// When measures or the checkpoint last increased `version`.
  MonotonicTime measures_reported_at{};
};

/// An end that the planner has not recorded yet.
struct UnrecordedEnd {
  RunEndReport report;
  /// The number that the worker gave this end; 0 if the agent determined the
  /// end itself.
  uint64_t worker_number = 0;
  /// Another end of the same run was reported before.
  bool is_repeated = false;
  /// Epoch of the planner that was told of it first; 0 if none was.
  PlannerEpoch reported_in;
};

/// What a planner that takes over may count on; see agent/handover.h.
struct Handover {
  /// Since when a planner's lease has been valid without a gap.
  MonotonicTime leased_since{};
  /// Ends up to this number may be those of runs that an earlier planner had
  /// given up.
  uint64_t ends_before_lease = 0;
  /// No earlier planner had given up the runs that were here when the agent
  /// began to follow its present planner.
  bool lease_kept = false;
};

/// The highest run number of a task that has ended on this VM.
struct EndedRun {
  RunNumber run;
  /// Copies of the order that started the run may arrive until then; latest
  /// time while the planner has not recorded the end.
  MonotonicTime remembered_until = MonotonicTime::max();
};

/// A run that ended because the worker was unresponsive until the leases
/// expired. If the worker turns out to have crashed, the run is reported again
/// with the evidence.
struct LapsedRun {
  TaskKey task;
  RunNumber run;
  MonotonicTime start_sent_at{};
  std::string checkpoint;
  /// The worker had confirmed the run.
  bool confirmed = false;
};

/// A start call that went unanswered. Until it can no longer be carried out,
/// the worker's next process may begin the run: that process has seen neither
/// the fencing number nor the stop that makes the call void.
struct LateStart {
  /// No process carries the call out after this time.
  MonotonicTime arrives_by{};
};

/// A run that is kept beyond its lease because of a LateStart.
struct HeldRunNote {
  TaskKey task;
  RunNumber run;
  /// For how long at most.
  Duration left{};
};

/// Runs were ended because the worker was silent for longer than the leases
/// that it may hold. Says which leases were counted on.
struct LapseNote {
  int64_t runs = 0;
  /// Time since the end of the leases that this process has sent, and of those
  /// that the worker took from calls meant for its former process; empty if
  /// none is known.
  std::optional<Duration> since_sent;
  std::optional<Duration> since_taken;
  /// Time since this process started.
  Duration age{};
};

/// A start that went unanswered and whose outcome has become known.
struct SettledStart {
  TaskKey task;
  RunNumber run;
  /// Fencing number of the start call.
  uint64_t call_fencing = 0;
  const char* outcome = "";
  /// Time since the call was sent.
  Duration age{};
};

/// A speed limit to or from 0 that the worker has confirmed.
struct PaceNote {
  TaskKey task;
  RunNumber run;
  int64_t percent = 100;
  /// Times since the limit was requested and since the first call with it;
  /// negative if another one has been requested meanwhile.
  Duration requested_for{-1};
  Duration sent_for{-1};
  /// The longest time for which a task on the VM has missed its target.
  Duration missed_for{};
};

/// The agent has begun or ceased to keep the fillers paused.
struct HoldNote {
  bool holds = false;
  int64_t fillers = 0;
  Duration missed_for{};
};

/// A task that missed its target while fillers ran beside it.
struct LongMissNote {
  TaskKey task;
  RunNumber run;
  int64_t tail_ms = 0;
  int64_t target_ms = 0;
  Duration missed_for{};
  /// Fillers that are not known to be paused.
  int64_t fillers_at_work = 0;
};

/// The worker's announcement of itself.
struct WorkerHello {
  WorkerReport worker;
  /// Unix time of the worker's start; 0 if unknown.
  int64_t born_ms = 0;
  /// Number of the announcement, increasing within one worker process; empty if
  /// unknown.
  std::optional<uint64_t> sequence;
};

/// The runs of one VM. The functions below update this state and return the
/// calls to be made; nothing here does any I/O.
struct RunTable {
  AgentIncarnation life;
  PlannerEpoch epoch;
  std::string planner;
  std::string planner_address;
  uint64_t version = 1;
  uint64_t batch = 0;
  /// When a planner that could prove its ownership last sent a request. One
  /// that has been replaced may go on sending without a grant.
  MonotonicTime last_grant_at{};
  MonotonicTime started_at{};
  /// All runs on the VM are known: either the worker has listed its runs since
  /// this process started, or all leases granted to an earlier agent process
  /// have expired.
  bool settled = false;
  /// Version at which the worker had listed all its runs and ends at a time, so
  /// that no end from before this process started is missing; 0 before that.
  uint64_t complete_version = 0;

  WorkerReport worker;
  int64_t worker_born_ms = 0;
  /// When the present worker process first announced itself.
  MonotonicTime worker_announced_at{};
  /// The present worker process has answered a call, and no other one has
  /// answered since.
  bool worker_confirmed = false;
  /// A call has not reached the worker since it last answered, so that it may
  /// have started again.
  bool worker_unreachable = false;
  /// Announcement of another process than `worker`, kept until the worker has
  /// been asked, and when it came.
  std::optional<WorkerHello> unproven_hello;
  MonotonicTime unproven_hello_at{};
  /// Highest number of an announcement of this worker process.
  uint64_t worker_sequence = 0;
  /// The worker's clock showed at least `clock_ms` at `clock_at` on our clock.
  /// Used to convert lease ends to the worker's clock.
  bool clock_known = false;
  int64_t clock_ms = 0;
  MonotonicTime clock_at{};

  uint64_t fencing = 0;
  /// End of the lease that the planner granted for the runs.
  MonotonicTime lease_until{};
  Handover handover;
  WorkerLeases leases;

  /// Longest lease that a worker gives, whatever end a call asks for.
  Duration max_worker_lease = kDefaultMaxWorkerLease;
  /// Latest lease end that was sent to the present worker process, on its
  /// clock.
  int64_t lease_sent_ms = 0;
  /// Latest lease end in a call that a process of the worker has not answered,
  /// on the clock of that process, and when the last such call ended.
  int64_t unanswered_lease_ms = 0;
  MonotonicTime unanswered_lease_at{};
  /// A call names its worker by the id alone, so that a process which starts
  /// again under that id carries out calls that were meant for the former one.
  /// This is the latest lease end of those that may still arrive, on the former
  /// process's clock; 0 if none may.
  int64_t former_lease_end_ms = 0;
  /// Calls with a lower fencing number may have been meant for a former
  /// process. They are void once the worker has answered one with this number.
  uint64_t process_fencing = 0;
  /// Leases that the worker process took from such calls last for longer than a
  /// planner can grant one; until then the planner is told so.
  bool has_former_lease = false;
  /// The store tells later planners of these leases, and this process follows
  /// no planner that had been replaced before; see agent/registration.h.
  bool former_lease_recorded = false;
  /// This process does not know yet which planners have been replaced, so that
  /// it starts nothing.
  bool awaits_registration = false;
  /// The VM's row may say that the VM is drained, so that nothing is started:
  /// a planner that takes over does not wait for the VM.
  bool listed_as_drained = false;

  /// When the worker last answered a call.
  MonotonicTime worker_heard_at{};
  /// When a call first went unanswered after that; zero if none did.
  MonotonicTime worker_failed_at{};

  std::map<TaskKey, AgentRun> runs;
  /// Runs of the present worker process that lapsed since it last answered.
  std::vector<LapsedRun> lapsed;
  std::deque<UnrecordedEnd> ends;
  /// A run that has ended is not started again: the planner repeats orders that
  /// go unanswered, and the copies may be read after the end was reported.
  std::map<TaskKey, EndedRun> ended_runs;
  /// Tasks of ended runs whose ends the planner has recorded, oldest first.
  std::deque<TaskKey> ended_runs_recorded;
  /// The latest unanswered start of each task.
  std::map<TaskKey, LateStart> late_starts;
  /// Starts that an earlier process of the agent sent may arrive until then;
  /// empty once the worker has listed its runs after that.
  std::optional<MonotonicTime> earlier_starts_arrive_by;
  /// For the log; the caller removes them.
  std::vector<SettledStart> settled_starts;
  std::vector<HeldRunNote> held_run_notes;
  std::vector<LapseNote> lapse_notes;
  std::vector<PaceNote> pace_notes;
  std::vector<LongMissNote> long_misses;
  /// How long a task may miss its target beside fillers; 0 if unknown.
  Duration tail_limit{};
  /// The agent keeps all fillers paused, whatever the planner orders; see
  /// agent/tail_guard.h.
  bool holds_fillers = false;
  std::vector<HoldNote> hold_notes;
  EvacuationNotice evacuation;
  /// Starts refused because the data centre is evacuated.
  uint64_t evacuation_refusals = 0;
  uint64_t last_end = 0;
  uint64_t worker_end_seen = 0;
  uint64_t worker_end_recorded = 0;
  /// The next renewal must not wait for a new end, since a call went unanswered
  /// or was fenced, or the worker was replaced.
  bool renew_immediately = false;
};

/// Applies an announcement of the worker. Ends all runs if the worker was
/// replaced or restarted. Ignores an announcement that arrives after a later
/// one of the same worker process.
/// @return true if the worker was replaced or restarted.
bool ApplyWorkerHello(RunTable& table, MonotonicTime now,
                      const WorkerHello& hello);

/// Handles an announcement whose sender is not known. One that names another
/// process than the worker that has answered so far is kept until that worker
/// has been asked: anyone can send an announcement, but only the worker answers
/// calls.
/// @return true if the worker was replaced or restarted.
bool ReceiveWorkerHello(RunTable& table, MonotonicTime now,
                        const WorkerHello& hello);

/// @return the lowest fencing number of a planner's epoch.
uint64_t FirstFencing(PlannerEpoch epoch);

/// Follows a planner from now on, unless a later one is known.
void FollowPlanner(RunTable& table, MonotonicTime now, PlannerEpoch epoch,
                   const std::string& planner, const std::string& address);

/// Applies a planner's request: leases, orders and recorded ends.
/// @return false if the request came from a planner that has been replaced.
bool ApplySyncRequest(RunTable& table, MonotonicTime now,
                      const SyncRequest& request);

/// @return true if a report would contain anything the planner has not seen.
bool HasUnreportedChanges(const RunTable& table, const SyncRequest& request);

/// @return a report of the changes since the request's `seen_version` and
/// `seen_end`. Notes which ends it contains.
SyncReport MakeReport(RunTable& table, MonotonicTime now,
                      const SyncRequest& request);

/// A start call that must be sent to the worker now.
struct StartCall {
  WorkerCall call;
  WorkerStart start;
  /// End of the lease carried by the call, on our clock.
  MonotonicTime lease_until{};
};
struct StopCall {
  WorkerCall call;
  TaskKey task;
  RunNumber run;
};
struct PaceCall {
  WorkerCall call;
  TaskKey task;
  RunNumber run;
  int64_t percent = 100;
};

/// @return the start calls that are due, marked as in flight.
std::vector<StartCall> BeginStartCalls(RunTable& table, MonotonicTime now);
void FinishStartCall(RunTable& table, MonotonicTime now, const StartCall& call,
                     const CallResult& result);

std::vector<StopCall> BeginStopCalls(RunTable& table, MonotonicTime now);
void FinishStopCall(RunTable& table, MonotonicTime now, const StopCall& call,
                    const CallResult& result);

std::vector<PaceCall> BeginPaceCalls(RunTable& table, MonotonicTime now);
void FinishPaceCall(RunTable& table, MonotonicTime now, const PaceCall& call,
                    const CallResult& result);

/// A call that renews all leases.
struct RenewCall {
  WorkerCall call;
  uint64_t recorded = 0;
  Duration wait{};
  MonotonicTime sent_at{};
  /// End of the lease carried by the call, on our clock.
  MonotonicTime lease_until{};
};

/// @return the next renewal; empty if no worker or no fencing number is known.
std::optional<RenewCall> BeginRenewal(RunTable& table, MonotonicTime now);
/// Applies the worker's answer to a renewal: its lists of runs and ends.
void ApplyWorkerListing(RunTable& table, MonotonicTime now,
                        const RenewCall& call, const WorkerListing& listing);
/// Follows an announced worker if the result shows that the present one is
/// gone.
void HandleRenewalFailure(RunTable& table, MonotonicTime now,
                          const RenewCall& call, const CallResult& result);

/// Ends runs once the worker is unresponsive and every lease that it may have
/// received has expired. Keeps those that a LateStart may begin again.
void ExpireLeases(RunTable& table, MonotonicTime now);

}  // namespace almondtally::sched
