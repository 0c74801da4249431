#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "external/table.h"
#include "peer/messages.h"
#include "placement/vm_table.h"
#include "state/config.h"
#include "state/jobs.h"
#include "state/lease.h"

namespace almondtally {

/// Per-task state that an entry keeps in memory only; it is not stored.
struct TaskRuntimeState {
  /// Incarnation of the target process that confirmed the run; 0 if none did.
  /// A restarted target process has to confirm it again.
  Incarnation confirmed_by;
  /// Earliest time to send the start message again.
  MonotonicTime next_start_at{};
  /// VMs that recently refused the task or on which it failed.
  std::vector<VmId> avoided_vms;
  /// Reason for the placement, or of the target's last answer.
  std::string reason;
  /// Newest checkpoint that the target reported; used if the VM is lost.
  std::string checkpoint;
};

/// Cached copy of one chunk row, together with its desired contents.
struct TrackedChunk {
  RowVersion version;
  Chunk committed;
  Chunk wanted;
  bool dirty = false;
  bool in_flight = false;
  /// The row must be read again before this entry acts on it.
  bool stale = false;
  /// Send time of the latest read or commit that confirmed `committed`.
  MonotonicTime validated_at{};
  std::vector<TaskRuntimeState> notes;
};

/// One job that this entry manages.
struct JobEntity {
  JobRow row;
  RowVersion version;
  std::map<uint32_t, TrackedChunk> chunks;
  /// Why the job's tasks cannot be placed; empty if they can.
  std::string parked;
  /// The transaction that retires the job has been handed out.
  bool finishing = false;
  /// The job row must be read again.
  bool stale = false;
};

/// The jobs that one entry manages, as plain data. The functions below run on
/// every tick and return the work to do; none of them performs I/O. The
/// contents of `committed` were in the table at `validated_at`, and only they
/// are acted upon.
struct JobTable {
  std::map<JobId, JobEntity> jobs;
  /// For each fenced VM, its generation and when this entry first saw it.
  std::map<VmId, std::pair<Generation, MonotonicTime>> observed_fences;
};

/// Inputs to placement decisions besides the jobs themselves.
struct PlacementContext {
  VmTable& vms;
  const Config& config;
  MonotonicTime now;
};

/// Adds a job or updates it from its stored row.
void ApplyJobRow(JobTable& job_table, const JobRow& row, RowVersion version);

/// Updates a chunk from its stored row.
/// @param sent when the read was sent.
void ApplyChunkRow(JobTable& job_table, const Chunk& chunk, RowVersion version,
                   MonotonicTime sent);

/// Marks all rows as stale, for use after this process was suspended.
void MarkAllStale(JobTable& job_table);

/// @return the keys of the rows that must be read again.
std::vector<std::string> StaleKeys(const JobTable& job_table);

enum class EndedEffect : uint8_t {
  /// Committed or obsolete: the target may discard the run.
  kAcknowledge,
  /// Not committed yet; the target has to report the end again.
  kWait,
  /// This entry does not manage the job.
  kUnknownJob,
};

/// Processes a target's report of an ended run.
EndedEffect ApplyEndedRun(JobTable& job_table, PlacementContext view,
                          const VmId& vm, const EndedRun& ended);

/// Processes a target's answer to a start message.
/// @param asked incarnation of the target process the start was addressed to.
void ApplyStartResult(JobTable& job_table, PlacementContext view,
                      const VmId& vm, Incarnation asked,
                      const StartResult& result);

/// Records the newest checkpoint of a running task.
void RecordCheckpoint(JobTable& job_table, const VmId& vm,
                      const RunCheckpoint& checkpoint);

/// Releases reservations of assignments that were not carried out. Call about
/// once a second.
void ReleaseUnusedReservations(const JobTable& job_table, VmTable& vms);

/// Places pending tasks, urgent ones first, each team within its quota.
/// @param most maximum number of tasks to place.
void PlacePending(JobTable& job_table, PlacementContext view, size_t most);

/// Scales each service of `teams` to its configured number of executors.
/// @return rows to create for services that have no job yet.
std::vector<JobRow> SyncServices(JobTable& job_table, const Config& config,
                                 const std::set<TeamId>& teams);

/// Returns tasks to pending once the fence wait of their VM is over, and
/// executors of services once their VM is silent.
void RequeueLostTasks(JobTable& job_table, PlacementContext view);

/// @return VMs that hold tasks of these jobs, have been silent for too long and
/// are not yet fenced in the generation under which the tasks were assigned.
std::vector<std::pair<VmId, Generation>> VmsToFence(const JobTable& job_table,
                                                    PlacementContext view);

/// One transaction that writes several chunks.
struct CommitBatch {
  Transaction transaction;
  std::vector<std::pair<JobId, uint32_t>> chunks;
  MonotonicTime sent{};
};

/// Builds one transaction from the staged changes and marks their chunks as in
/// flight.
/// @return nothing if there are no changes to write.
std::optional<CommitBatch> TakeCommit(JobTable& job_table, MonotonicTime now);

/// Processes the outcome of a commit.
/// @param done empty if the commit failed or its answer was lost.
void TakeCommitted(JobTable& job_table, const CommitBatch& batch,
                   const std::optional<Committed>& done);

/// Start messages for one VM.
struct StartBatch {
  VmId vm;
  StartRequest request;
};

/// @return start messages for committed assignments that the target has not
/// confirmed and whose resend interval has elapsed.
std::vector<StartBatch> CollectStartMessages(JobTable& job_table,
                                             PlacementContext view,
                                             const EntryId& self);

/// @return the runs to stop on each VM: those of cancelled jobs, and executors
/// that their service no longer needs.
std::map<VmId, std::vector<WorkerRun>> RunsToStop(const JobTable& job_table,
                                                  const Config& config);

/// A job whose tasks have all ended, and the transaction that retires it.
struct FinishedJob {
  JobId job;
  Transaction transaction;
};

/// @return the jobs to retire, now marked as finishing.
std::vector<FinishedJob> CollectFinishedJobs(JobTable& job_table);

/// @return the number of tasks in each desired state, committed or not.
std::map<TaskState, uint32_t> CountTasks(const JobEntity& job);

/// @return the resources claimed by assigned tasks, for each team.
std::map<TeamId, Resources> UsageByTeam(const JobTable& job_table);

}  // namespace almondtally
