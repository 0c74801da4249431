#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "peer/messages.h"
#include "sched/job.h"
#include "sched/worker.h"

namespace almondtally::sched {

/// How long runs go on without contact between planner and agent. Longer than
/// a failover and the restart of an agent, short enough to replace a lost VM
/// while its jobs are still worth finishing.
inline constexpr Duration kLeaseGrant{5'000};
/// Added to a lease before its runs are taken for ended: the worker's clock
/// may be 2% slow, and timers fire late.
inline constexpr Duration kLeaseMargin{200};

namespace path {
/// Planner to agent: orders and reports.
inline constexpr const char* kSync = "/sched/sync";
/// Entry to planner: a caller's request about a job or queue.
inline constexpr const char* kJobCall = "/sched/job";
/// Planner to another entry: take over now, this process stops.
inline constexpr const char* kTakeOver = "/sched/take-over";
}  // namespace path

/// A reading of an agent's clock, returned to it unchanged.
using AgentTime = StrongNumber<struct AgentTimeTag, int64_t>;
/// One life of an agent process.
using AgentLife = StrongNumber<struct AgentLifeTag, uint64_t>;

/// A run that the agent is to start.
struct StartOrder {
  TaskKey task;
  RunNumber run;
  Resources size;
  bool filler = false;
  std::string payload;
  std::string checkpoint;
  std::string permit;
  /// Speed limit from the start on.
  int64_t pace = 100;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StartOrder, task, run, size,
                                                filler, payload, checkpoint,
                                                permit, pace)

struct StopOrder {
  TaskKey task;
  RunNumber run;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StopOrder, task, run)

struct PaceOrder {
  TaskKey task;
  RunNumber run;
  int64_t percent = 100;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PaceOrder, task, run, percent)

/// Tells an agent that restarted the size of a run that it found.
struct RunSize {
  TaskKey task;
  RunNumber run;
  Resources size;
  bool filler = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RunSize, task, run, size,
                                                filler)

struct SyncRequest {
  uint32_t message_version = kMessageVersion;
  PlannerEpoch epoch;
  std::string planner;
  std::string planner_address;
  /// The agent's life that the orders are for; 0 before the first answer.
  AgentLife life;
  /// Worker that the orders are for; starts for another are dropped.
  WorkerId worker;
  /// Least fencing number for calls to the worker.
  uint64_t fencing_base = 0;
  /// Newest `stamp` of the agent: leases may last until `stamp + grant_ms`.
  AgentTime stamp;
  int64_t grant_ms = 0;
  /// Number of this batch of orders; 0 if it holds none.
  uint64_t batch = 0;
  std::vector<StartOrder> starts;
  std::vector<StopOrder> stops;
  std::vector<PaceOrder> paces;
  std::vector<RunSize> sizes;
  /// Ends up to this number are recorded and may be forgotten.
  uint64_t ends_recorded = 0;
  /// What the planner has seen; the report holds what is newer.
  uint64_t seen_version = 0;
  uint64_t seen_end = 0;
  /// How long to wait for something new; 0 answers at once.
  int64_t wait_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    SyncRequest, message_version, epoch, planner, planner_address, life, worker,
    fencing_base, stamp, grant_ms, batch, starts, stops, paces, sizes,
    ends_recorded, seen_version, seen_end, wait_ms)

enum class RunPhase : uint8_t { kStarting, kRunning, kStopping };
NLOHMANN_JSON_SERIALIZE_ENUM(RunPhase, {{RunPhase::kStarting, "starting"},
                                        {RunPhase::kRunning, "running"},
                                        {RunPhase::kStopping, "stopping"}})

/// A run on a VM, as its agent reports it.
struct RunReport {
  TaskKey task;
  RunNumber run;
  RunPhase phase = RunPhase::kStarting;
  std::string checkpoint;
  int64_t percent = 0;
  int64_t measure = -1;
  /// Speed limit in force.
  int64_t pace = 100;
  /// The agent does not know the run's size.
  bool unsized = false;
};
inline void to_json(nlohmann::json& out, const RunReport& it) {
  out = {it.task,    it.run,     it.phase, it.checkpoint,
         it.percent, it.measure, it.pace,  it.unsized};
}
inline void from_json(const nlohmann::json& in, RunReport& it) {
  in.at(0).get_to(it.task);
  in.at(1).get_to(it.run);
  in.at(2).get_to(it.phase);
  in.at(3).get_to(it.checkpoint);
  in.at(4).get_to(it.percent);
  in.at(5).get_to(it.measure);
  in.at(6).get_to(it.pace);
  in.at(7).get_to(it.unsized);
}

/// The end of a run on a VM.
struct EndReport {
  /// Counts the ends of one life of the agent, from 1.
  uint64_t number = 0;
  TaskKey task;
  RunNumber run;
  RunEnd end = RunEnd::kDone;
  std::string checkpoint;
  std::string reason;
};
inline void to_json(nlohmann::json& out, const EndReport& it) {
  out = {it.number, it.task, it.run, it.end, it.checkpoint, it.reason};
}
inline void from_json(const nlohmann::json& in, EndReport& it) {
  in.at(0).get_to(it.number);
  in.at(1).get_to(it.task);
  in.at(2).get_to(it.run);
  in.at(3).get_to(it.end);
  in.at(4).get_to(it.checkpoint);
  in.at(5).get_to(it.reason);
}

/// The worker of a VM, as its agent knows it.
struct WorkerReport {
  WorkerId id;
  ServiceId service;
  Resources capacity;
  std::vector<std::string> labels;
  RackId rack;
  bool draining = false;
  /// Least time before a draining worker leaves.
  int64_t remaining_ms = 0;
  /// It answered its last call.
  bool responsive = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WorkerReport, id, service,
                                                capacity, labels, rack,
                                                draining, remaining_ms,
                                                responsive)

struct SyncReport {
  uint32_t message_version = kMessageVersion;
  /// Highest epoch that the agent has seen; a higher one than asked with
  /// means that the asking planner was replaced.
  PlannerEpoch epoch;
  /// Where the planner of that epoch is reached.
  std::string planner_address;
  AgentLife life;
  AgentTime stamp;
  uint64_t version = 0;
  /// Last batch of orders that was taken over.
  uint64_t batch = 0;
  /// The agent knows what runs on its VM. Before that, the rest says nothing.
  bool settled = false;
  /// The runs below are all there are, not only the changed ones.
  bool complete = false;
  WorkerReport worker;
  std::vector<RunReport> runs;
  std::vector<EndReport> ends;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SyncReport, message_version,
                                                epoch, planner_address, life,
                                                stamp, version, batch, settled,
                                                complete, worker, runs, ends)

enum class JobVerb : uint8_t { kSubmit, kRead, kCancel, kCount };
NLOHMANN_JSON_SERIALIZE_ENUM(JobVerb, {{JobVerb::kSubmit, "submit"},
                                       {JobVerb::kRead, "read"},
                                       {JobVerb::kCancel, "cancel"},
                                       {JobVerb::kCount, "count"}})

/// A caller's request, passed from an entry to the planner.
struct JobCall {
  uint32_t message_version = kMessageVersion;
  JobVerb verb = JobVerb::kRead;
  /// Names the request in logs.
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
  /// Surely not accepted; come back after `retry_after_ms`.
  kRejected,
  /// The request cannot be served here now and had no effect.
  kUnavailable,
  /// It may have taken effect.
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
  /// For kCount: accepted jobs of the queue of which no task has started.
  int64_t pending_jobs = 0;
  int64_t retry_after_ms = 0;
  std::string reason;
  /// The planner cannot reach the store; another entry may.
  bool store_away = false;
  /// With kUnknown from a process that does not plan: who does, as far as it
  /// knows.
  std::string owner_address;
  PlannerEpoch owner_epoch;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(JobAnswer, message_version,
                                                verdict, state, pending_jobs,
                                                retry_after_ms, reason,
                                                store_away, owner_address,
                                                owner_epoch)

struct TakeOverCall {
  uint32_t message_version = kMessageVersion;
  PlannerEpoch epoch;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TakeOverCall, message_version,
                                                epoch)

}  // namespace almondtally::sched
