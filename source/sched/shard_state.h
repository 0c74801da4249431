#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "sched/evacuation.h"
#include "sched/features.h"
#include "sched/interference.h"
#include "sched/job.h"
#include "sched/load.h"
#include "sched/messages.h"
#include "sched/run_time_samples.h"
#include "sched/vm_speed.h"

namespace almondtally::sched {

enum class TaskPhase : uint8_t {
  /// Not assigned to a VM; placed once its step is ready.
  kIdle,
  /// Assigned to a VM, from the placement decision until the run ends.
  kPlaced,
  kDone,
};

/// A second run of a task whose step allows copies.
struct TaskCopy {
  VmId vm;
  RunNumber run;
  /// When it was placed or adopted.
  MonotonicTime since{};
};

struct TaskEntity {
  TaskPhase phase = TaskPhase::kIdle;
  RunNumber run;
  /// Latest run whose end was processed. Agents may report that end again.
  RunNumber last_ended_run;
  /// Latest run that was on a VM when all leases of that VM had ended.
  RunNumber lost_run;
  VmId vm;
  /// Only while the task is placed. Its number may be lower than `run`.
  std::optional<TaskCopy> copy;
  /// Highest run number of the task as of its last copy.
  RunNumber highest_run;
  /// Latest copy that was on a VM when all leases of that VM had ended.
  RunNumber lost_copy;
  /// Earliest time of the next search for a copy's VM.
  MonotonicTime next_copy_at{};
  /// VM of the latest run that this planner placed; a retry prefers another.
  VmId last_vm;
  /// How the latest run ended, or why it no longer counts, and the VM it was
  /// on; empty if there was none. For the log only.
  std::string last_outcome;
  VmId last_outcome_vm;
  /// Failed runs that count as attempts, in the order they were reported.
  std::vector<RunNumber> failed_runs;
  /// Runs that may have crashed their worker.
  std::vector<CrashedRun> crashed_runs;
  /// Longest time between the start of such a run and the crash.
  Duration longest_crash_delay{};
  std::string checkpoint;
  /// No VM that has not reported to this planner can have a run of the task.
  bool is_accounted_for = false;
  /// Earliest time of the next placement.
  MonotonicTime not_before{};
  /// A process of this VM's worker that nobody hears of may run the task until
  /// then, unless the VM reports; see RunReport::late_run_ms.
  VmId late_run_on;
  MonotonicTime late_run_until{};
  /// When the task became ready to place or was last placed.
  MonotonicTime since{};
  /// Since when the task has waited for a run that its worker confirms, with
  /// the starts that were not carried out since then and the reason of the last
  /// one; zero while a run is confirmed. For the log only.
  MonotonicTime waiting_since{};
  uint32_t refused_starts = 0;
  /// Since when the task, or its gang, has waited for a place near its data or
  /// on one rack although it could start elsewhere; zero if it does not.
  MonotonicTime near_wait_since{};
  std::string last_refusal;
  /// When a run was last stopped because of its slow VM.
  MonotonicTime left_slow_vm_at{};
  /// VMs on which the task failed; placement avoids them.
  std::vector<VmId> failed_on;
};

struct StepEntity {
  std::vector<TaskEntity> tasks;
  uint32_t done = 0;
  bool ready = false;
  /// Earliest time of the next log line about a waiting task of the step.
  MonotonicTime next_wait_log_at{};
};

struct OccurrenceEntity {
  std::vector<StepEntity> steps;
  uint32_t steps_done = 0;
  MonotonicTime due_at{};
};

struct JobEntity {
  JobRecord record;
  QueueTerms terms;
  /// Time from the due time of an occurrence until it counts as late, derived
  /// from the declared run times.
  Duration objective{};
  MonotonicTime accepted_at{};
  /// Occurrences that were started, by number, including completed ones.
  std::map<uint32_t, OccurrenceEntity> occurrences;
  uint32_t next_occurrence = 0;
  uint32_t occurrences_done = 0;
  bool started = false;
  /// Current state. `recorded` is the state that the store holds; only that one
  /// is shown to callers.
  JobState state = JobState::kPending;
  JobState recorded = JobState::kPending;
  int64_t ended_at_ms = 0;
  bool accepted = false;
  /// The job was stored before this planner took over, so runs that an earlier
  /// planner started may exist.
  bool loaded_from_store = false;
  MonotonicTime ended_at{};
  /// By step; empty until a run time is measured.
  std::vector<StepRunTimes> run_times;
};

/// The planner's view of a run on a VM.
struct VmRun {
  RunNumber run;
  /// The fields up to `known` are copied from the job's spec.
  Resources size;
  bool filler = false;
  std::string image;
  /// Above 0 for a serving task.
  int64_t tail_target_ms = 0;
  bool known = false;
  /// Number of the order batch that contained the start; 0 if not sent yet.
  uint64_t start_batch = 0;
  /// A batch with the start went unanswered; the agent may receive it late.
  bool maybe_sent = false;
  /// The agent has reported this run.
  bool seen = false;
  RunPhase phase = RunPhase::kStarting;
  bool stop_wanted = false;
  uint64_t stop_batch = 0;
  /// Speed limits in percent of full speed: the desired one and the one that
  /// the agent was last sent or last reported; -1 to send the limit again.
  int64_t speed_limit_wanted = 100;
  int64_t speed_limit_sent = 100;
  /// Since when the speed limit has been 0.
  MonotonicTime paused_since{};
  /// For a serving task: since when its tail latency has exceeded its target.
  MonotonicTime over_target_since{};
  /// How long the target had been missed by the agent's clock in the latest
  /// report; negative if the agent does not say.
  int64_t over_target_ms = -1;
  /// The agent itself keeps this filler paused.
  bool held_by_agent = false;
  /// Value of `over_target_since` that was last logged.
  MonotonicTime over_target_logged{};
  /// For a serving task: last measured tail latency, divided by its target.
  double last_tail_ratio = 0;
  /// The agent asked for the size of this run.
  bool size_requested = false;
  /// Number of the order batch that contained the size; 0 if none did.
  uint64_t size_batch = 0;
  int64_t percent = 0;
  int64_t measurement = -1;
  /// A process of the worker that nobody hears of may run the task until then;
  /// see RunReport::late_run_ms.
  MonotonicTime late_run_until{};
  MonotonicTime running_since{};
  /// The agent's clock in the first report that showed the run as running.
  AgentTime running_since_stamp;
  RunProgress progress;
};

/// A run end whose effect is not durable until the store has written `change`.
struct UncommittedEnd {
  uint64_t number = 0;
  uint64_t change = 0;
};

struct VmEntity {
  VmId id;
  Address agent;
  DataCentreId data_centre;
  RowVersion row_version;

  /// This planner has processed a complete report from the current agent
  /// process.
  bool synced = false;
  /// Registered when this planner took over and not synced since. The VM may
  /// still execute runs that an earlier planner started.
  bool awaiting_first_sync = false;
  /// A planner that has claimed the shard since may not have read the row of
  /// this VM. Until that is ruled out, no lease is granted and no task placed.
  bool row_unproven = false;
  /// The latest report may lack runs that the VM has had; see SyncReport.
  bool partial = false;
  /// Runs may outlast the leases that are granted; see SyncReport. If the VM
  /// falls silent, its tasks wait for that long.
  bool has_former_lease = false;
  /// Nothing is placed here: a planner that takes over and does not hear the VM
  /// would not know of a longer lease, or the agent does not know who plans.
  bool unregistered = false;
  /// See SyncReport.
  bool lease_kept = false;
  /// See AgentRow.
  bool row_drained = false;
  /// When the leases that the VM's row tells of have expired.
  MonotonicTime recorded_lease_ends_at{};
  /// Agent process whose state was last processed.
  AgentIncarnation life;
  /// Agent process that sent the latest report; differs from `life` until it is
  /// synced.
  AgentIncarnation reporting_incarnation;
  /// Number of agent processes that reported in this epoch; part of the fencing
  /// numbers.
  uint64_t incarnations_seen = 0;
  AgentTime stamp;
  MonotonicTime last_report_at{};
  /// When all leases that this planner has granted so far have expired. Another
  /// planner may have renewed them; see sched/ownership.h.
  MonotonicTime lease_ends_at{};
  uint64_t seen_version = 0;
  uint64_t seen_end = 0;
  uint64_t ends_recorded = 0;
  std::deque<UncommittedEnd> uncommitted_ends;
  uint64_t batch_sent = 0;
  bool batch_in_flight = false;

  WorkerReport worker;
  MonotonicTime shutdown_at{};
  std::map<TaskKey, VmRun> runs;
  /// Since when the runs have reserved more than the worker's capacity.
  MonotonicTime over_capacity_since{};
  /// Earliest time at which runs may be stopped for this reason.
  MonotonicTime next_shrink_stop_at{};

  /// Jobs with a failed run on this VM since the last successful run.
  std::set<JobId> failing_jobs;
  MonotonicTime set_aside_until{};
  /// A start was not carried out; until then, tasks go to other VMs that have
  /// room.
  MonotonicTime avoided_until{};
  /// Until then, only tasks suspected of having crashed the VM's worker are
  /// placed here: nothing is lost if they crash it again.
  MonotonicTime reserved_for_suspects_until{};

  /// A hold has ended without the room; until then, no room is held here.
  MonotonicTime not_held_until{};
  /// The data centre of the VM is evacuated; see ApplyEvacuations.
  bool evacuated = false;
  /// No start is sent, since the planner does not know which data centres are
  /// evacuated.
  bool starts_held = false;
  VmSpeed speed;
  /// When the VM became known to this planner.
  MonotonicTime listed_at{};
  /// Earliest time of the next update of the fillers' speed limits.
  MonotonicTime next_pace_at{};
  /// Share of the VM's CPU that fillers used, by image, at the last report.
  std::map<std::string, double> filler_cpu_shares;
};

/// Room of a VM that is held for a lasting task: nothing else takes it until
/// the task fits.
struct RoomHold {
  TaskKey task;
  MonotonicTime since{};
};

/// How long a serving task may miss its latency target while fillers run on the
/// same VM.
inline constexpr Duration kDefaultTailLimit{4'000};

/// What came of waits for a place near the data, or for one rack.
struct NearWaits {
  uint64_t begun = 0;
  /// Ended at such a place.
  uint64_t won = 0;
  /// Time that these gained, as expected.
  Duration gained{};
  /// Gangs that were spread over racks instead.
  uint64_t spread_gangs = 0;
};

/// In-memory state of the planner of one shard. The functions below operate on
/// it and do no I/O.
struct ShardState {
  PlannerEpoch epoch;
  /// No earlier planner has proven its ownership after this time.
  MonotonicTime last_earlier_proof_at{};
  /// When the last successful commit or claim was sent; this planner still
  /// owned the shard then.
  MonotonicTime ownership_proven_at{};
  /// When it was known that no earlier planner grants leases any more; zero
  /// until then.
  MonotonicTime earlier_planners_stopped_at{};
  /// Runs of an earlier planner may execute on VMs that have not reported, as
  /// of the latest planning pass.
  bool recovering = false;
  std::map<JobId, JobEntity> jobs;
  /// Jobs that have not ended, a small part of `jobs`: ended ones are kept for
  /// minutes.
  std::set<JobId> open_jobs;
  /// Tasks of open jobs with runs that may have crashed their worker, and those
  /// of them that are suspected of it.
  std::set<TaskKey> crashed_tasks;
  std::set<TaskKey> suspects;
  std::map<VmId, VmEntity> vms;
  std::map<QueueId, QueueTerms> queues;
  PlanningFeatures features;
  Evacuations evacuations;
  /// Earliest time at which another lasting task may be stopped because of a
  /// capacity that has shrunk.
  MonotonicTime next_lasting_stop_at{};
  Duration tail_limit = kDefaultTailLimit;
  InterferenceModel interference;
  /// Load of the jobs that have serving tasks.
  std::map<JobId, JobLoad> loads;
  /// In memory only: the next planner begins anew.
  std::map<VmId, RoomHold> room_holds;
  /// Earliest time of the next search for room to hold.
  MonotonicTime next_hold_search_at{};
  /// Run times of the steps that ended last, by queue.
  std::map<QueueId, QueueRunTimes> run_times;
  /// Mean error of the learnt and of the declared run times, as the logarithm
  /// of the ratio to the actual ones. For metrics only.
  double run_time_error = 0;
  double declared_time_error = 0;
  /// Earliest time of the next update of the VMs' speeds, and of the next
  /// search for runs that leave slow VMs.
  MonotonicTime next_speed_update_at{};
  MonotonicTime next_leave_slow_at{};
  /// Lasting tasks that were stopped because of a slow VM and have not been
  /// placed again.
  std::set<TaskKey> leaving_slow;
  /// Number of runs stopped because of a slow VM. For metrics only.
  uint64_t runs_left_slow = 0;
  uint64_t starts = 0;
  NearWaits near_waits;
  /// Number of the latest progress change, and of the latest one in the store.
  uint64_t change = 0;
  uint64_t recorded_change = 0;
  /// Jobs whose progress row must be written.
  std::set<JobId> dirty;
  /// Earliest time of the next scan for tasks that wait.
  MonotonicTime next_wait_scan_at{};
  /// Earliest time of the next scan for runs to copy.
  MonotonicTime next_copy_scan_at{};
  /// Ended jobs, oldest first, that are deleted from the store later.
  std::deque<JobId> ended;
  /// Unix time minus monotonic time, in ms.
  int64_t unix_offset_ms = 0;
};

/// A scheduling decision, written to the log as one line.
struct Decision {
  enum class Kind : uint8_t {
    kPlaced,
    kEnded,
    kJobEnded,
    kVmSynced,
    kVmLost,
    kVmSetAside,
    kTakenBack,
    kPaced,
    kAdopted,
    kMissing,
    kSuspected,
    kCleared,
    kGivenUp,
    kWaiting,
    kOverTarget,
    kWithinTarget,
    kCopyStarted,
    kCopyAdopted,
    kCopyPromoted,
    kCopyWon,
    kCopyWasted,
    kVmSlow,
    kVmUsual,
    kLeftSlowVm,
    kNearWait,
    kRoomHeld,
  };
  Kind kind = Kind::kPlaced;
  TaskKey task;
  JobId job;
  VmId vm;
  RunNumber run;
  std::string outcome;
  std::string reason;
  int64_t age_ms = 0;
};
using Decisions = std::vector<Decision>;

// Jobs.

/// @return a job as AddJob would add it.
JobEntity MakeJob(const ShardState& shard, MonotonicTime now,
                  const JobRecord& record);
/// Adds a job that is being accepted or was loaded from the store.
JobEntity& AddJob(ShardState& shard, MonotonicTime now,
                  const JobRecord& record);
/// Applies a stored progress row to a job that was just added.
void ApplyProgress(ShardState& shard, MonotonicTime now, JobEntity& job,
                   const JobProgress& progress);
/// Removes a job that could not be written to the store.
void RemoveJob(ShardState& shard, const JobId& job);
void CancelJob(ShardState& shard, MonotonicTime now, JobEntity& job);
/// @return the number of accepted jobs of a queue that have not started.
int64_t CountPendingJobs(const ShardState& shard, const QueueId& queue);
/// Starts the occurrences that are due.
/// @return the due time of the next occurrence, if there is one.
std::optional<MonotonicTime> StartDueOccurrences(ShardState& shard,
                                                 MonotonicTime now);
/// Applies queue terms from a new configuration.
void SetQueues(ShardState& shard, std::map<QueueId, QueueTerms> queues);

/// Copies the fields of a run that come from the job's spec.
void SetRunSpec(VmRun& run, const StepSpec& step);
/// @return null if the task does not exist, or if its occurrence has not been
/// started by this planner.
TaskEntity* FindTask(ShardState& shard, const TaskKey& key);
/// Returns a task that an agent has reported. Its occurrence is added if only
/// an earlier planner has started it.
/// @return null if the job has no such task.
TaskEntity* FindReportedTask(ShardState& shard, MonotonicTime now,
                             const TaskKey& key);
/// @return null if the job or the step does not exist.
const StepSpec* FindStep(const ShardState& shard, const TaskKey& key);

// Reports of agents.

/// Applies a report from the agent of `vm`.
void ApplyReport(ShardState& shard, MonotonicTime now, VmEntity& vm,
                 const SyncReport& report, Decisions& log);
/// Returns the tasks of VMs whose leases have ended to the idle state.
void ExpireVmLeases(ShardState& shard, MonotonicTime now, Decisions& log);
/// Records that the store has written all changes up to `change`.
void MarkChangesRecorded(ShardState& shard, uint64_t change);

// Decisions.

/// Closes the VMs of evacuated data centres to starts, and takes back the runs
/// there whose start was not sent. Holds all starts while it is not known which
/// data centres are evacuated. What runs there runs on.
void ApplyEvacuations(ShardState& shard, MonotonicTime now, Decisions& log);
/// Assigns idle tasks of ready steps to VMs.
void PlaceTasks(ShardState& shard, MonotonicTime now, Decisions& log);
/// For metrics.
struct MissedTargets {
  /// Serving tasks that miss their target, and the longest time for which one
  /// has.
  int64_t runs = 0;
  Duration longest{};
  /// Fillers that are to be paused.
  int64_t fillers_paused = 0;
};
MissedTargets CountMissedTargets(const ShardState& shard, MonotonicTime now);
/// Updates the speed limits of the fillers that share a VM with serving tasks.
void UpdateFillerSpeedLimits(ShardState& shard, MonotonicTime now,
                             Decisions& log);
/// Stops runs that should move to another VM: those on draining VMs, paused
/// fillers that could run elsewhere, and those that a VM whose capacity has
/// shrunk no longer has room for. Drops runs that were cancelled before
/// their start was sent.
void StopRunsToMove(ShardState& shard, MonotonicTime now, Decisions& log);

/// Logs ready tasks that have not run for over 3 s, lasting ones for over 1 s,
/// with the reason. Logs one task of a step, and a limited number at a time.
void LogWaitingTasks(ShardState& shard, MonotonicTime now, Decisions& log);
/// Logs serving tasks that began to miss their target, with the fillers beside
/// them, and those that meet it again.
void LogTargetMisses(ShardState& shard, Decisions& log);

// Orders to agents.

/// @return true if there are orders to send to the agent of `vm`.
bool HasUnsentOrders(const VmEntity& vm);
/// Moves the unsent orders of `vm` into a request and marks them as sent.
void CollectOrders(ShardState& shard, VmEntity& vm, SyncRequest& request);
/// @return the lowest fencing number that the agent may use for calls to the
/// worker of `vm`.
uint64_t FencingBase(const ShardState& shard, const VmEntity& vm);
/// Marks the orders of a batch as unsent because the batch may be lost.
void MarkOrdersUnsent(VmEntity& vm, uint64_t batch);

// Rows in the store.

namespace table {
inline constexpr const char* kJobs = "jobs";
inline constexpr const char* kProgress = "progress";
inline constexpr const char* kAgents = "agents";
inline constexpr const char* kHead = "head";
}  // namespace table

/// Longest lease that a row is believed to state.
inline constexpr Duration kMaxRecordedLease{600'000};

/// Row of an agent: the address at which the planner reaches it.
struct AgentRow {
  std::string address;
  DataCentreId data_centre;
  /// Runs of the VM may go on for this long after the row was read, whatever
  /// leases planners have granted; see SyncReport::former_lease_ms. 0 if no
  /// lease lasts for longer than a planner can grant one.
  int64_t former_lease_ms = 0;
  /// Nothing runs on the VM, and its agent starts nothing before it has written
  /// the row again.
  bool drained = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AgentRow, address, data_centre,
                                                former_lease_ms, drained)

/// Decodes the row of an agent and validates its address.
/// @param why receives the reason if the row is not that of an agent.
std::optional<AgentRow> DecodeAgentRow(const std::string& bytes,
                                       JobReason& why);

/// @return the progress row of a job, built from its current state.
JobProgress MakeProgressRow(const JobEntity& job);

}  // namespace almondtally::sched
