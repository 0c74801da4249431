#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "peer/messages.h"
#include "state/lease.h"

namespace almondtally {

/// Where a run is on its way through this VM.
enum class RunPhase : uint8_t {
  /// Admitted; the worker has not confirmed the start.
  kStarting,
  kRunning,
  /// The worker has been asked to end it.
  kStopping,
  /// The worker no longer runs it; the outcome waits to be committed.
  kEnded,
};

/// One run of a task on this VM.
struct Run {
  StartItem item;
  RunPhase phase = RunPhase::kStarting;
  /// Outcome, once stopping or ended.
  RunOutcome outcome = RunOutcome::kFinished;
  std::string checkpoint;
  std::string reason;
  Resources used;
  int64_t speed = 100;
  uint16_t port = 0;
  /// When the worker last confirmed this run, to tell a listing made before
  /// the start from one made after it.
  MonotonicTime confirmed_at{};
  MonotonicTime next_call_at{};
  bool call_in_flight = false;
  /// Whether the worker was ever asked to start it.
  bool called = false;
  /// Until then a start whose answer was lost may still reach the worker;
  /// afterwards the lease that it carries has lapsed.
  MonotonicTime uncertain_until{};
  /// The entry that last asked for this run, and what it knows.
  EntryId entry;
  std::string announced_checkpoint;
  MonotonicTime next_checkpoint_at{};
  /// Its entry was told of its end.
  bool told = false;
};

/// Remembers a run that will not start again.
struct Tombstone {
  StartVerdict verdict = StartVerdict::kRefused;
  MonotonicTime since{};
};

/// Admission to one VM, as a table of runs. Plain data: the functions below
/// change it and return what is to be done; nothing here does any I/O.
struct TaskTable {
  Incarnation incarnation;
  MonotonicTime started_at{};
  /// The generation under which exclusive runs are admitted; 0 before the
  /// first proof.
  Generation generation;
  /// A newer generation that is adopted once all older runs have ended.
  Generation fenced_to;
  Proof proof;
  bool was_valid = false;
  bool listed = false;
  bool draining = false;
  Resources capacity;
  Resources used;
  /// Worker time and our time of the same listing.
  WorkerTime worker_time;
  MonotonicTime worker_time_at{};
  std::map<WorkerRun, Run> runs;
  std::map<WorkerRun, Tombstone> tombstones;
};

/// @return what admitted runs claim in all, ended ones excepted.
Resources CommittedResources(const TaskTable& table);

/// @return the greater of claim and measured use of each run, summed.
Resources ReservedResources(const TaskTable& table);

/// @return true if exclusive runs may be admitted and run at `now`.
bool MayRunExclusive(const TaskTable& table, MonotonicTime now);

/// Decides on one start message.
/// @param request the message the item came in.
StartResult Admit(TaskTable& table, MonotonicTime now,
                  const StartRequest& request, const StartItem& item);

/// Takes over the worker's list.
/// @param asked_at when it was asked for.
void TakeListing(TaskTable& table, MonotonicTime asked_at,
                 MonotonicTime received_at, const WorkerState& state);

/// What a proof changed.
enum class ProofEffect : uint8_t { kNone, kAdopted, kFenced, kStale };

/// Takes over what an entry said about fences of this VM.
ProofEffect TakeProof(TaskTable& table, MonotonicTime asked_at,
                      const FenceProof& proof);

/// @return the runs that the worker is now to be told to start. Marks them as
/// being called.
std::vector<WorkerStart> TakeStarts(TaskTable& table, MonotonicTime now);

/// Takes over the worker's answer to a start.
void TakeStarted(TaskTable& table, const WorkerRun& run, MonotonicTime now,
                 bool done, const PlatformReason& why);

/// A run that the worker is to be told to end.
struct StopCall {
  WorkerRun run;
  bool with_checkpoint = false;
};

/// @return the runs that the worker is now to be told to end. Marks them as
/// being called.
std::vector<StopCall> TakeStops(TaskTable& table, MonotonicTime now);

/// Takes over the worker's answer to a stop.
void TakeStopped(TaskTable& table, const WorkerRun& run, MonotonicTime now,
                 const std::optional<WorkerStopped>& stopped);

/// Marks a run to be ended.
/// @return false if there is no such run that could be ended.
bool Stop(TaskTable& table, const WorkerRun& run, RunOutcome outcome,
          const std::string& reason);

/// Ends a run on behalf of an entry whose job was cancelled. A run that this
/// VM does not have is noted as ended, so that a late start is refused.
void CancelRun(TaskTable& table, const WorkerRun& run, MonotonicTime now);

/// Leases to be moved, in the worker's time.
struct Renewal {
  std::vector<WorkerRun> runs;
  WorkerTime until;
};

/// @return at most two renewals: one for exclusive runs, which ends with the
/// proof, and one for services, which does not depend on it.
std::vector<Renewal> Renewals(const TaskTable& table, MonotonicTime now);

/// @return ended runs that are not yet committed.
std::vector<EndedRun> Ended(const TaskTable& table);

/// @return checkpoints that `entry` should know in case this VM is lost, now
/// marked as announced.
std::vector<RunCheckpoint> TakeCheckpoints(TaskTable& table,
                                           const EntryId& entry,
                                           MonotonicTime now);

/// Forgets a run whose end is committed, leaving a tombstone.
/// @return true if the run was there.
bool Acknowledge(TaskTable& table, const WorkerRun& run, MonotonicTime now);

/// Drops old tombstones and adopts a new generation once nothing of an older
/// one is left.
void Tidy(TaskTable& table, MonotonicTime now);

/// @return true if nothing is running and every end is committed.
bool IsEmpty(const TaskTable& table);

}  // namespace almondtally
