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

/// Phase in the life cycle of a run on this VM.
enum class RunPhase : uint8_t {
  /// Admitted; the worker has not confirmed the start.
  kStarting,
  kRunning,
  /// The run is to be stopped; the worker has not confirmed the stop.
  kStopping,
  /// The worker no longer runs it; the outcome is not committed yet.
  kEnded,
};

/// One run of a task on this VM.
struct Run {
  StartItem item;
  RunPhase phase = RunPhase::kStarting;
  /// Valid once the run is stopping or has ended.
  RunOutcome outcome = RunOutcome::kFinished;
  std::string checkpoint;
  std::string reason;
  Resources used;
  int64_t speed = 100;
  uint16_t port = 0;
  /// When the worker last confirmed this run. Distinguishes listings made
  /// before the start from later ones.
  MonotonicTime confirmed_at{};
  MonotonicTime next_call_at{};
  bool call_in_flight = false;
  /// Whether a start call was ever sent to the worker.
  bool start_sent = false;
  /// Until this time, a start call whose answer was lost may still reach the
  /// worker. Afterwards the lease in that call has expired.
  MonotonicTime start_may_arrive_until{};
  /// The entry that last requested this run, and the checkpoint announced to
  /// it.
  EntryId entry;
  std::string announced_checkpoint;
  MonotonicTime next_checkpoint_at{};
  /// Whether an announcement of the end to `entry` was scheduled.
  bool end_announced = false;
};

/// Record of a run that must not start again.
struct Tombstone {
  StartVerdict verdict = StartVerdict::kRefused;
  MonotonicTime since{};
};

/// The runs of one VM, as plain data. The functions below change it and return
/// the calls to make; none of them performs I/O.
struct TaskTable {
  Incarnation incarnation;
  MonotonicTime started_at{};
  /// The generation under which exclusive runs are admitted; 0 before the
  /// first proof.
  Generation generation;
  /// A newer generation, adopted once all older exclusive runs have ended.
  Generation pending_generation;
  /// Proof that this VM was not fenced beyond `pending_generation`.
  NotFencedProof proof;
  /// Validity of the proof at the last check, to log changes.
  bool proof_was_valid = false;
  /// Whether a task list of the worker was received.
  bool worker_listed = false;
  bool draining = false;
  Resources capacity;
  Resources used;
  /// The worker's clock in the latest listing, and when that was received.
  WorkerTime worker_time;
  MonotonicTime worker_time_received_at{};
  std::map<WorkerRun, Run> runs;
  std::map<WorkerRun, Tombstone> tombstones;
};

/// @return the total claims of all admitted runs that have not ended.
Resources CommittedResources(const TaskTable& table);

/// @return the total over those runs of the greater of claim and measured use.
Resources ReservedResources(const TaskTable& table);

/// @return true if exclusive runs may be admitted and may run at `now`.
bool MayRunExclusive(const TaskTable& table, MonotonicTime now);

/// Decides whether to admit one item of a start message.
/// @param request the message that contains the item.
StartResult AdmitRun(TaskTable& table, MonotonicTime now,
                     const StartRequest& request, const StartItem& item);

/// Updates the runs from the worker's task list.
/// @param asked_at when the list was requested.
void ApplyWorkerListing(TaskTable& table, MonotonicTime asked_at,
                        MonotonicTime received_at, const WorkerState& state);

/// Change that a proof brought about.
enum class ProofEffect : uint8_t { kNone, kAdopted, kFenced, kStale };

/// Processes an entry's proof of the generation in which this VM is fenced.
ProofEffect ApplyFenceProof(TaskTable& table, MonotonicTime asked_at,
                            const FenceProof& proof);

/// @return the start calls to send to the worker now, marked as in flight.
std::vector<WorkerStart> CollectStarts(TaskTable& table, MonotonicTime now);

/// Processes the worker's answer to a start call.
void ApplyStartReply(TaskTable& table, const WorkerRun& run, MonotonicTime now,
                     bool done, const PlatformReason& why);

/// A stop call to the worker.
struct StopCall {
  WorkerRun run;
  bool with_checkpoint = false;
};

/// @return the stop calls to send to the worker now, marked as in flight.
std::vector<StopCall> CollectStops(TaskTable& table, MonotonicTime now);

/// Processes the worker's answer to a stop call.
/// @param stopped empty if the call failed.
void ApplyStopReply(TaskTable& table, const WorkerRun& run, MonotonicTime now,
                    const std::optional<WorkerStopped>& stopped);

/// Marks a run to be stopped. A run that was never sent to the worker ends at
/// once.
/// @return false if there is no such run or it is already stopping or ended.
bool Stop(TaskTable& table, const WorkerRun& run, RunOutcome outcome,
          const std::string& reason);

/// Stops a run whose job was cancelled. A run unknown to this VM is recorded as
/// ended, so that a start message that arrives late is not admitted.
void CancelRun(TaskTable& table, const WorkerRun& run, MonotonicTime now);

/// A lease extension for several runs, in the worker's time.
struct Renewal {
  std::vector<WorkerRun> runs;
  WorkerTime until;
};

/// @return at most two renewals: one for exclusive runs, whose leases end with
/// the proof, and one for services, whose leases do not depend on it.
std::vector<Renewal> Renewals(const TaskTable& table, MonotonicTime now);

/// @return the ended runs whose outcome is not committed yet.
std::vector<EndedRun> EndedRuns(const TaskTable& table);

/// @return new checkpoints to announce to `entry`, which resumes from them if
/// this VM is lost. Marks them as announced.
std::vector<RunCheckpoint> CollectCheckpoints(TaskTable& table,
                                              const EntryId& entry,
                                              MonotonicTime now);

/// Removes a run whose end is committed and leaves a tombstone.
/// @return true if the run existed and had ended.
bool Acknowledge(TaskTable& table, const WorkerRun& run, MonotonicTime now);

/// Drops old tombstones, and adopts the pending generation once no exclusive
/// run of an older one is left.
void RunMaintenance(TaskTable& table, MonotonicTime now);

/// @return true if no run is active and every outcome is committed.
bool IsEmpty(const TaskTable& table);

}  // namespace almondtally
