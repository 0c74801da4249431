#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "peer/messages.h"
#include "sched/job.h"
#include "sched/worker.h"

namespace almondtally::sched {

/// How long runs continue without contact between planner and agent: longer
/// than a planner failover or an agent restart, yet short enough to replace a
/// lost VM while its jobs are still of value.
inline constexpr Duration kLeaseGrantDuration{5'000};
/// Allowance for drift: a worker's clock may be up to 2% slow. Rounded up.
inline constexpr int64_t kClockDriftPercent = 3;
/// Extra time after a lease ends before its runs are assumed to have stopped:
/// timers fire late.
inline constexpr Duration kLeaseExpiryMargin{200};
/// Time after which a lease has surely expired.
inline constexpr Duration kMaxLeaseDuration =
    kLeaseGrantDuration + kLeaseGrantDuration * kClockDriftPercent / 100 +
    kLeaseExpiryMargin;

namespace path {
/// Planner to agent: sends orders, returns a report.
inline constexpr const char* kSync = "/sched/sync";
/// Entry to planner: forwards a caller's request about a job or queue.
inline constexpr const char* kJobCall = "/sched/job";
/// Planner to another entry: take over the shard now, because this process is
/// shutting down.
inline constexpr const char* kTakeOver = "/sched/take-over";
}  // namespace path

/// Reading of an agent's clock, returned to the agent unchanged.
using AgentTime = StrongNumber<struct AgentTimeTag, int64_t>;
/// Identifies one agent process; a restarted agent has a new value.
using AgentIncarnation = StrongNumber<struct AgentLifeTag, uint64_t>;

/// Tells an agent to start a run.
struct StartOrder {
  TaskKey task;
  RunNumber run;
  Resources size;
  bool filler = false;
  std::string payload;
  std::string checkpoint;
  std::string permit;
  /// Initial speed limit, in percent of full speed.
  int64_t pace = 100;
  /// Target for the tail latency of a serving task; 0 if it has none.
  int64_t tail_target_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StartOrder, task, run, size,
                                                filler, payload, checkpoint,
                                                permit, pace, tail_target_ms)

/// Tells an agent to stop a run.
struct StopOrder {
  TaskKey task;
  RunNumber run;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StopOrder, task, run)

/// Sets the speed limit of a run.
struct SpeedLimitOrder {
  TaskKey task;
  RunNumber run;
  int64_t percent = 100;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SpeedLimitOrder, task, run,
                                                percent)

/// Tells a restarted agent the size of a run that it found on its worker.
struct RunSize {
  TaskKey task;
  RunNumber run;
  Resources size;
  bool filler = false;
  /// As in StartOrder.
  int64_t tail_target_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RunSize, task, run, size,
                                                filler, tail_target_ms)

/// Sent by the planner to an agent: lease, orders and acknowledgements.
struct SyncRequest {
  uint32_t message_version = kMessageVersion;
  PlannerEpoch epoch;
  std::string planner;
  std::string planner_address;
  /// Agent process that the orders are for; 0 before the first report.
  AgentIncarnation life;
  /// Worker that the orders are for. The agent ignores starts for another one.
  WorkerId worker;
  /// Lowest fencing number for calls to the worker.
  uint64_t fencing_base = 0;
  /// Latest `stamp` received from the agent: leases may last until
  /// `stamp + grant_ms`, and the starts in this request are void after
  /// `stamp + kLeaseGrantDuration`.
  AgentTime stamp;
  int64_t grant_ms = 0;
  /// How long a serving task may miss its target beside fillers; 0 if the
  /// planner does not say.
  int64_t tail_limit_ms = 0;
  /// Number of this batch of orders; 0 if there are none.
  uint64_t batch = 0;
  std::vector<StartOrder> starts;
  std::vector<StopOrder> stops;
  std::vector<SpeedLimitOrder> paces;
  std::vector<RunSize> sizes;
  /// Run ends up to this number are in the store; the agent may discard them.
  uint64_t ends_recorded = 0;
  /// The data centre of the VM is evacuated: the agent starts nothing more. The
  /// version of the store that shows it; 0 if the planner does not know.
  bool evacuated = false;
  uint64_t evacuated_as_of = 0;
  /// Latest version and run end that the planner has processed; the report
  /// contains only newer ones.
  uint64_t seen_version = 0;
  uint64_t seen_end = 0;
  /// How long the agent waits for something new to report; 0 to answer at once.
  int64_t wait_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    SyncRequest, message_version, epoch, planner, planner_address, life, worker,
    fencing_base, stamp, grant_ms, tail_limit_ms, batch, starts, stops, paces,
    sizes, ends_recorded, evacuated, evacuated_as_of, seen_version, seen_end,
    wait_ms)

enum class RunPhase : uint8_t { kStarting, kRunning, kStopping };
NLOHMANN_JSON_SERIALIZE_ENUM(RunPhase, {{RunPhase::kStarting, "starting"},
                                        {RunPhase::kRunning, "running"},
                                        {RunPhase::kStopping, "stopping"}})

/// State of a run on a VM, reported by its agent.
struct RunReport {
  TaskKey task;
  RunNumber run;
  RunPhase phase = RunPhase::kStarting;
  std::string checkpoint;
  /// As in WorkerRun.
  int64_t percent = 0;
  int64_t measurement = -1;
  /// Speed limit in force, in percent of full speed; negative if unknown.
  int64_t pace = 100;
  /// The agent does not know the size of the run.
  bool unsized = false;
  /// How long the run has missed its target, by the agent's clock; 0 if it
  /// meets it or has none, negative if the agent does not say.
  int64_t over_target_ms = -1;
  /// The agent itself keeps this filler paused, whatever it was ordered.
  bool held = false;
  /// A start call went unanswered, so that the worker's next process may run
  /// the task for this long after the report, whatever leases were granted.
  int64_t late_run_ms = 0;
};
inline void to_json(nlohmann::json& out, const RunReport& it) {
  out = {it.task,           it.run,         it.phase,      it.checkpoint,
         it.percent,        it.measurement, it.pace,       it.unsized,
         it.over_target_ms, it.held,        it.late_run_ms};
}
inline void from_json(const nlohmann::json& in, RunReport& it) {
  in.at(0).get_to(it.task);
  in.at(1).get_to(it.run);
  in.at(2).get_to(it.phase);
  in.at(3).get_to(it.checkpoint);
  in.at(4).get_to(it.percent);
  in.at(5).get_to(it.measurement);
  in.at(6).get_to(it.pace);
  in.at(7).get_to(it.unsized);
  // Agents of earlier versions do not know targets.
  constexpr size_t kFieldsBeforeTargets = 8;
  if (in.size() <= kFieldsBeforeTargets + 1) return;
  in.at(kFieldsBeforeTargets).get_to(it.over_target_ms);
  in.at(kFieldsBeforeTargets + 1).get_to(it.held);
  if (in.size() <= kFieldsBeforeTargets + 2) return;
  in.at(kFieldsBeforeTargets + 2).get_to(it.late_run_ms);
}

/// What is known of the start of a run whose worker crashed.
enum class StartEvidence : uint8_t {
  /// The start call may not have reached the worker, or the agent did not say.
  kNone,
  /// The worker was alive until the start call failed, but did not answer it.
  kCutOff,
  /// The worker had confirmed the run.
  kConfirmed,
};
NLOHMANN_JSON_SERIALIZE_ENUM(StartEvidence,
                             {{StartEvidence::kNone, "none"},
                              {StartEvidence::kCutOff, "cut_off"},
                              {StartEvidence::kConfirmed, "confirmed"}})

/// Evidence whether a run crashed its worker.
struct CrashEvidence {
  /// How long the run had been on the worker when it crashed, as far as the
  /// agent knows, in ms; negative if the worker did not crash.
  int64_t run_age_ms = -1;
  /// Number of runs, including this one, that were started last before the
  /// crash; 0 if this run was started earlier.
  uint32_t suspects = 0;
  StartEvidence start = StartEvidence::kNone;

  bool operator==(const CrashEvidence&) const = default;
};

/// Runs that were started within this time before the last one, or before the
/// worker's last sign of life, are equally suspected.
inline constexpr Duration kCrashSuspectWindow{100};

/// End of a run on a VM, reported by its agent.
struct RunEndReport {
  /// Sequence number of the end within one agent process, from 1.
  uint64_t number = 0;
  TaskKey task;
  RunNumber run;
  RunEnd end = RunEnd::kDone;
  std::string checkpoint;
  std::string reason{};
  CrashEvidence crash{};
  /// No earlier planner can have started the task again since this run began.
  bool is_sole_run = false;
};
inline void to_json(nlohmann::json& out, const RunEndReport& it) {
  out = {it.number,
         it.task,
         it.run,
         it.end,
         it.checkpoint,
         it.reason,
         it.crash.run_age_ms,
         it.crash.suspects,
         it.crash.start,
         it.is_sole_run};
}
inline void from_json(const nlohmann::json& in, RunEndReport& it) {
  in.at(0).get_to(it.number);
  in.at(1).get_to(it.task);
  in.at(2).get_to(it.run);
  in.at(3).get_to(it.end);
  in.at(4).get_to(it.checkpoint);
  in.at(5).get_to(it.reason);
  // Agents of earlier versions send no evidence.
  constexpr size_t kFieldsWithEvidence = 8;
  if (in.size() < kFieldsWithEvidence) return;
  in.at(6).get_to(it.crash.run_age_ms);
  in.at(7).get_to(it.crash.suspects);
  if (in.size() == kFieldsWithEvidence) return;
  in.at(kFieldsWithEvidence).get_to(it.crash.start);
  if (in.size() == kFieldsWithEvidence + 1) return;
  in.at(kFieldsWithEvidence + 1).get_to(it.is_sole_run);
}

/// State of a VM's worker, reported by its agent.
struct WorkerReport {
  WorkerId id;
  ServiceId service;
  Resources capacity;
  std::vector<std::string> labels;
  RackId rack;
  bool draining = false;
  /// Minimum time until a draining worker shuts down.
  int64_t remaining_ms = 0;
  /// The worker answered the last call.
  bool responsive = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WorkerReport, id, service,
                                                capacity, labels, rack,
                                                draining, remaining_ms,
                                                responsive)

/// An agent's response to a SyncRequest.
struct SyncReport {
  uint32_t message_version = kMessageVersion;
  /// Highest epoch that the agent has seen. If it is higher than the one in the
  /// request, the planner that sent the request has been replaced.
  PlannerEpoch epoch;
  /// Address of the planner of that epoch.
  std::string planner_address;
  AgentIncarnation life;
  AgentTime stamp;
  uint64_t version = 0;
  /// Last batch of orders that the agent accepted.
  uint64_t batch = 0;
  /// The agent knows which runs are on its VM. The fields below have no meaning
  /// before that.
  bool settled = false;
  /// `runs` lists all runs on the VM, not only the changed ones.
  bool complete = false;
  /// The worker may have had further runs whose ends it has not listed yet, so
  /// that a run which is not reported may have ended in any way.
  bool partial = false;
  /// Runs may go on for this long after `stamp`, whatever leases the planner
  /// has granted: their worker process was sent leases that were meant for a
  /// former one. 0 if no lease lasts for longer than a planner can grant one.
  int64_t former_lease_ms = 0;
  /// The VM's row says so, and the agent has since learnt from the store which
  /// planner owned the shard then, and follows no earlier one.
  bool former_lease_recorded = false;
  /// The agent starts nothing, since the store has not shown it who plans.
  bool awaits_registration = false;
  /// No earlier planner had given up the runs that were here when the agent
  /// began to follow the present one.
  bool lease_kept = false;
  WorkerReport worker;
  std::vector<RunReport> runs;
  std::vector<RunEndReport> ends;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    SyncReport, message_version, epoch, planner_address, life, stamp, version,
    batch, settled, complete, partial, former_lease_ms, former_lease_recorded,
    awaits_registration, lease_kept, worker, runs, ends)

enum class JobVerb : uint8_t { kSubmit, kRead, kCancel, kCount };
NLOHMANN_JSON_SERIALIZE_ENUM(JobVerb, {{JobVerb::kSubmit, "submit"},
                                       {JobVerb::kRead, "read"},
                                       {JobVerb::kCancel, "cancel"},
                                       {JobVerb::kCount, "count"}})

/// A caller's request, forwarded by an entry to the planner.
struct JobCall {
  uint32_t message_version = kMessageVersion;
  JobVerb verb = JobVerb::kRead;
  /// Identifies the request in logs.
  RequestId request;
  QueueId queue;
  JobId job;
  /// For kSubmit.
  JobSpec spec;
  QueueTerms terms;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(JobCall, message_version, verb,
                                                request, queue, job, spec,
                                                terms)

enum class JobVerdict : uint8_t {
  kOk,
  /// No such job.
  kUnknownJob,
  /// Definitely not accepted; the caller may retry after `retry_after_ms`.
  kRejected,
  /// This process cannot serve the request now; it had no effect.
  kUnavailable,
  /// The request may have taken effect.
  kUnknown,
};
NLOHMANN_JSON_SERIALIZE_ENUM(JobVerdict,
                             {{JobVerdict::kOk, "ok"},
                              {JobVerdict::kUnknownJob, "unknown_job"},
                              {JobVerdict::kRejected, "rejected"},
                              {JobVerdict::kUnavailable, "unavailable"},
                              {JobVerdict::kUnknown, "unknown"}})

/// @return the name used in logs and metrics.
std::string_view ToString(JobVerdict verdict);

struct JobAnswer {
  uint32_t message_version = kMessageVersion;
  JobVerdict verdict = JobVerdict::kUnknown;
  JobState state = JobState::kPending;
  /// For kCount: number of accepted jobs of the queue with no started task.
  int64_t pending_jobs = 0;
  int64_t retry_after_ms = 0;
  std::string reason;
  /// The planner cannot reach the store, but another entry may be able to.
  bool store_away = false;
  /// Set with kUnknown by a process that is not the planner: the owner of the
  /// shard, as far as it knows.
  std::string owner_address;
  PlannerEpoch owner_epoch;
  /// Set with kUnknown by a process that has not acted on the request.
  bool no_effect = false;
  /// The process neither plans the shard nor has claimed it, and grants no
  /// leases.
  bool stopped = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(JobAnswer, message_version,
                                                verdict, state, pending_jobs,
                                                retry_after_ms, reason,
                                                store_away, owner_address,
                                                owner_epoch, no_effect, stopped)

/// Asks another entry to take over the shard.
struct TakeOverCall {
  uint32_t message_version = kMessageVersion;
  PlannerEpoch epoch;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TakeOverCall, message_version,
                                                epoch)

}  // namespace almondtally::sched
