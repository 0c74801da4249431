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
#include "sched/interference.h"
#include "sched/job.h"
#include "sched/load.h"
#include "sched/messages.h"

namespace almondtally::sched {

/// How long a planner grants leases after its last proof of ownership.
inline constexpr Duration kProofLife{6'000};

enum class TaskPhase : uint8_t {
  /// Not on any VM; placed once its step is ready.
  kIdle,
  /// On a VM, from the order to the end of the run.
  kPlaced,
  kDone,
};

struct TaskEntity {
  TaskPhase phase = TaskPhase::kIdle;
  RunNumber run;
  /// The last run whose end was taken over; its end may be listed again.
  RunNumber ended_run;
  VmId vm;
  /// Runs that count as attempts, in the order in which they were heard of.
  std::vector<RunNumber> failed_runs;
  std::string checkpoint;
  /// Not placed before this time.
  MonotonicTime not_before{};
  /// When it became ready or was placed.
  MonotonicTime since{};
  /// VMs on which it failed.
  std::vector<VmId> failed_on;
};

struct StepEntity {
  std::vector<TaskEntity> tasks;
  uint32_t done = 0;
  bool ready = false;
};

struct OccurrenceEntity {
  std::vector<StepEntity> steps;
  uint32_t steps_done = 0;
  MonotonicTime due_at{};
};

struct JobEntity {
  JobRecord record;
  QueueTerms terms;
  /// From when an occurrence is due until it is late; by declared run times.
  Duration objective{};
  MonotonicTime accepted_at{};
  /// Started occurrences that are not complete, and the next one.
  std::map<uint32_t, OccurrenceEntity> occurrences;
  uint32_t next_occurrence = 0;
  uint32_t occurrences_done = 0;
  bool started = false;
  /// What happened; `recorded` is what the store holds and callers may see.
  JobState state = JobState::kPending;
  JobState recorded = JobState::kPending;
  int64_t ended_at_ms = 0;
  bool accepted = false;
  /// Its row was in the store before this planner took over.
  bool inherited = false;
  MonotonicTime ended_at{};
};

/// A run on a VM as the planner knows it.
struct VmRun {
  RunNumber run;
  Resources size;
  bool filler = false;
  bool known = false;
  /// Batch that carried the start; 0 if it is yet to be sent.
  uint64_t start_batch = 0;
  bool seen = false;
  RunPhase phase = RunPhase::kStarting;
  bool stop_wanted = false;
  uint64_t stop_batch = 0;
  int64_t pace_wanted = 100;
  int64_t pace_sent = 100;
  /// Since when its speed limit has been 0.
  MonotonicTime stopped_since{};
  /// For a serving task: since when it has been over its target.
  MonotonicTime over_since{};
  /// For a serving task: its last measure as a share of its target.
  double last_tail = 0;
  bool size_wanted = false;
  int64_t percent = 0;
  int64_t measure = -1;
  MonotonicTime running_since{};
};

/// Ends that are recorded once the store has a change.
struct PendingEnd {
  uint64_t number = 0;
  uint64_t change = 0;
};

struct VmEntity {
  VmId id;
  Address agent;
  DataCentreId data_centre;
  RowVersion row_version;

  /// A complete report of this life was taken over under our epoch.
  bool synced = false;
  /// Listed when this planner took over, and not synced since: runs of an
  /// earlier planner may go on there unseen.
  bool unaccounted = false;
  AgentLife life;
  /// The agent's present life; until it is synced, `life` is the former one.
  AgentLife present_life;
  /// Lives seen under this epoch; part of the fencing numbers.
  uint64_t lives = 0;
  AgentTime stamp;
  MonotonicTime heard_at{};
  /// When every lease that was granted will have ended.
  MonotonicTime lease_ends_at{};
  uint64_t seen_version = 0;
  uint64_t seen_end = 0;
  uint64_t ends_recorded = 0;
  std::deque<PendingEnd> pending_ends;
  uint64_t batch_sent = 0;
  bool batch_in_flight = false;

  WorkerReport worker;
  MonotonicTime leaves_at{};
  std::map<TaskKey, VmRun> runs;

  /// Failed runs in a row, from different jobs.
  std::set<JobId> failing_jobs;
  MonotonicTime set_aside_until{};

  /// When the speed limits of its fillers may next change.
  MonotonicTime next_pace_at{};
  /// Share of the processors that fillers used, by image, at the last report.
  std::map<std::string, double> filler_uses;
};

/// How long a serving task may miss its target while fillers run beside it.
inline constexpr Duration kDefaultTailLimit{4'000};

/// Everything that the planner of a shard knows: entities in tables. The
/// functions below run over them; nothing here does any I/O.
struct Board {
  PlannerEpoch epoch;
  MonotonicTime took_over_at{};
  std::map<JobId, JobEntity> jobs;
  std::map<VmId, VmEntity> vms;
  std::map<QueueId, QueueTerms> queues;
  Duration tail_limit = kDefaultTailLimit;
  Interference interference;
  /// Of jobs with tasks that serve users.
  std::map<JobId, JobLoad> loads;
  uint64_t starts = 0;
  /// Numbers changes of progress, and the newest that the store has.
  uint64_t change = 0;
  uint64_t recorded_change = 0;
  std::set<JobId> dirty;
  /// Jobs that ended, oldest first, to be deleted from the store later.
  std::deque<JobId> ended;
  /// Unix time minus monotonic time, in ms.
  int64_t unix_offset_ms = 0;
};

/// One line for the log about a decision.
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

/// Adds a job that is being accepted or was read from the store.
JobEntity& AddJob(Board& board, MonotonicTime now, const JobRecord& record);
/// Applies a progress row to a job just added.
void ApplyProgress(Board& board, MonotonicTime now, JobEntity& job,
                   const JobProgress& progress);
/// Drops a job that could not be recorded.
void ForgetJob(Board& board, const JobId& job);
void CancelJob(Board& board, MonotonicTime now, JobEntity& job);
/// @return the number of accepted jobs of a queue that have not begun.
int64_t CountPending(const Board& board, const QueueId& queue);
/// Starts occurrences that are due.
/// @return when the next one will be due.
std::optional<MonotonicTime> StartDueOccurrences(Board& board,
                                                 MonotonicTime now);
/// Takes over terms of queues that a configuration changed.
void SetQueues(Board& board, std::map<QueueId, QueueTerms> queues);

TaskEntity* FindTask(Board& board, const TaskKey& key);
/// @return null if the step or its job is not there.
const StepSpec* FindStep(const Board& board, const TaskKey& key);

// Reports of agents.

void TakeReport(Board& board, MonotonicTime now, VmEntity& vm,
                const SyncReport& report, Decisions& log);
/// Ends the runs of VMs whose leases have run out.
void ExpireVms(Board& board, MonotonicTime now, Decisions& log);
/// @return true while runs of the previous planner may go on unseen.
bool IsRecovering(const Board& board, MonotonicTime now);
/// Takes over that changes up to a number are in the store.
void TakeRecorded(Board& board, uint64_t change);

// Decisions.

/// Places idle tasks of ready steps.
void PlaceTasks(Board& board, MonotonicTime now, Decisions& log);
/// @return the largest share of full speed at which a filler could run on a
/// VM without harm to what serves there, over what its other fillers take;
/// negative if these harm it already.
double AllowedShare(const Board& board, const VmEntity& vm,
                    const StepSpec& filler, const TaskKey& key);
/// Sets the speed limits of fillers beside tasks that serve users.
void PaceFillers(Board& board, MonotonicTime now, Decisions& log);
/// Moves runs off VMs that leave, and stops what is not wanted any more.
void TakeBack(Board& board, MonotonicTime now, Decisions& log);

// Orders to agents.

/// @return true if `vm` has orders to be sent.
bool HasOrders(const VmEntity& vm);
/// Fills a request with orders not sent yet, now marked as sent.
void TakeOrders(Board& board, VmEntity& vm, SyncRequest& request);
/// @return the least fencing number for calls to the worker of `vm`.
uint64_t FencingBase(const Board& board, const VmEntity& vm);
/// The batch may not have arrived: its orders will be sent again.
void TakeOrderFailure(VmEntity& vm, uint64_t batch);

// Rows of the store.

namespace table {
inline constexpr const char* kJobs = "jobs";
inline constexpr const char* kProgress = "progress";
inline constexpr const char* kAgents = "agents";
inline constexpr const char* kHead = "head";
}  // namespace table

/// An agent's row: where the planner reaches it.
struct AgentRow {
  std::string address;
  DataCentreId data_centre;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AgentRow, address, data_centre)

/// @return the row that records what has become of a job.
JobProgress ProgressOf(const JobEntity& job);

}  // namespace almondtally::sched
