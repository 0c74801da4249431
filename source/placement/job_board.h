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

/// What an entry knows of one task besides its row.
struct TaskNote {
  /// The life of the target process that said it has the run; 0 for none.
  /// A later life must be asked again.
  Incarnation confirmed_by;
  MonotonicTime next_send{};
  /// VMs that refused the task or on which it failed lately.
  std::vector<VmId> avoid;
  std::string reason;
  /// Newest checkpoint heard of; used if the VM is lost.
  std::string checkpoint;
};

/// One chunk row as this entry last knew it, with what it wants it to become.
struct ChunkEntity {
  RowVersion version;
  Chunk committed;
  Chunk wanted;
  bool dirty = false;
  bool in_flight = false;
  /// The row must be read again before anything is done with it.
  bool stale = false;
  /// When the newest read or commit that confirmed `committed` was sent.
  MonotonicTime validated_at{};
  std::vector<TaskNote> notes;
};

/// One job that this entry looks after.
struct JobEntity {
  JobRow row;
  RowVersion version;
  std::map<uint32_t, ChunkEntity> chunks;
  std::string parked;
  bool finishing = false;
  /// The job's row must be read again.
  bool stale = false;
};

/// The jobs that one entry looks after: entities in tables. The functions
/// below are run over them each tick and return what is to be done; nothing
/// here does any I/O. What is in `committed` was in the table at
/// `validated_at`; only that is acted upon.
struct JobBoard {
  std::map<JobId, JobEntity> jobs;
  /// When each VM was first seen fenced through a generation by this entry.
  std::map<VmId, std::pair<Generation, MonotonicTime>> fences_seen;
};

/// Everything about the surroundings that decisions need.
struct BoardView {
  VmTable& vms;
  const Config& config;
  MonotonicTime now;
};

/// Puts a job on the board, or brings it up to date.
void TakeJobRow(JobBoard& board, const JobRow& row, RowVersion version);

/// Takes over a chunk row that was read.
/// @param sent when the read was sent.
void TakeChunkRow(JobBoard& board, const Chunk& chunk, RowVersion version,
                  MonotonicTime sent);

/// Marks everything as to be read again, after a pause of this process.
void MarkAllStale(JobBoard& board);

/// @return the keys of rows to be read again.
std::vector<std::string> StaleKeys(const JobBoard& board);

enum class EndedEffect : uint8_t {
  /// Committed, or of no interest any more: the target may forget it.
  kAcknowledge,
  /// Staged or under way; the target is to report it again.
  kWait,
  /// The job is not on this board.
  kUnknownJob,
};

/// Takes over a target's report of an ended run.
EndedEffect TakeEnded(JobBoard& board, BoardView view, const VmId& vm,
                      const EndedRun& ended);

/// Takes over a target's answer to a start.
/// @param asked the life of the target process that the start was meant for.
void TakeStartResult(JobBoard& board, BoardView view, const VmId& vm,
                     Incarnation asked, const StartResult& result);

/// Takes over a running task's newest checkpoint.
void TakeCheckpoint(JobBoard& board, const VmId& vm,
                    const RunCheckpoint& checkpoint);

/// Gives back room that was reserved for assignments which did not come
/// about. Call about once a second.
void SweepReservations(const JobBoard& board, VmTable& vms);

/// Places pending tasks, urgent ones first, each team within its quota.
/// @param most how many tasks at most.
void PlacePending(JobBoard& board, BoardView view, size_t most);

/// Keeps the number of executors of each service of `teams` as configured.
/// @return services that have no job yet.
std::vector<JobRow> SyncServices(JobBoard& board, const Config& config,
                                 const std::set<TeamId>& teams);

/// Places again what was on a VM whose fence wait is over.
void ReleaseFenced(JobBoard& board, BoardView view);

/// @return VMs that hold tasks of this board, have been silent for too long
/// and are not fenced in the generation that the tasks were assigned under.
std::vector<std::pair<VmId, Generation>> VmsToFence(const JobBoard& board,
                                                    BoardView view);

/// A commit of several chunks at once.
struct CommitBatch {
  Transaction transaction;
  std::vector<std::pair<JobId, uint32_t>> chunks;
  MonotonicTime sent{};
};

/// @return the staged changes as one transaction, now marked as in flight.
std::optional<CommitBatch> TakeCommit(JobBoard& board, MonotonicTime now);

/// Takes over the outcome of a commit.
void TakeCommitted(JobBoard& board, const CommitBatch& batch,
                   const std::optional<Committed>& done);

/// Start messages for one VM.
struct StartBatch {
  VmId vm;
  StartRequest request;
};

/// @return start messages for committed assignments that no VM has confirmed.
std::vector<StartBatch> TakeStartMessages(JobBoard& board, BoardView view,
                                          const EntryId& self);

/// @return for each VM the runs that are to be stopped: of cancelled jobs,
/// and executors that their service no longer needs.
std::map<VmId, std::vector<WorkerRun>> RunsToStop(const JobBoard& board,
                                                  const Config& config);

/// A job whose tasks have all ended, with the transaction that retires it.
struct FinishedJob {
  JobId job;
  Transaction transaction;
};

/// @return jobs to retire, now marked so.
std::vector<FinishedJob> TakeFinished(JobBoard& board);

/// @return the number of tasks in each state, of `wanted`.
std::map<TaskState, uint32_t> CountTasks(const JobEntity& job);

/// @return resources of assigned tasks, by team.
std::map<TeamId, Resources> UseByTeam(const JobBoard& board);

}  // namespace almondtally
