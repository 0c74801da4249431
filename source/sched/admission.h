#pragma once

#include <deque>
#include <map>
#include <string>

#include "base/clock.h"
#include "sched/shard_state.h"

/// Decides whether a submitted job is accepted.
namespace almondtally::sched {

/// Room that the VMs of a service give to a job, and work that uses it first.
struct RoomAhead {
  /// VMs whose total capacity fits a task of the job's first steps.
  int64_t fitting_vms = 0;
  /// One of them has room for such a task now.
  bool has_free_vm = false;
  /// Capacity that lasting tasks leave.
  Resources room;
  /// Lower bound of the time until the work ahead leaves room for the job.
  Duration wait{};
  /// Time in which the room does the job's own work.
  Duration own_work{};
};

/// A caller who was told to come back.
struct RejectedCaller {
  MonotonicTime first_seen_at{};
  MonotonicTime due_back_at{};
  ServiceId service;
  /// Time in which the room does the job's work.
  Duration work{};
};

/// What is known of the recent jobs of a queue.
struct QueueAdmission {
  /// Work of the latest jobs in CPU-ms, oldest first.
  std::deque<double> sizes;
  /// Recent decisions, those on large jobs also by themselves. Old decisions
  /// count less.
  double decided = 0;
  double rejected = 0;
  double large_decided = 0;
  double large_rejected = 0;
  MonotonicTime counted_at{};
  /// Some job of the queue was surely too late, and the later ones still are.
  bool rejecting = false;
};

/// What the planner of a shard remembers of its decisions. It is not stored.
struct AdmissionState {
  /// Bounded by kMaxRejectedCallers.
  std::map<JobId, RejectedCaller> rejected;
  std::map<QueueId, QueueAdmission> queues;
};

inline constexpr size_t kMaxRejectedCallers = 4'096;

struct AdmissionDecision {
  bool rejected = false;
  /// Why the job is accepted or rejected, for the log.
  std::string reason;
  /// The caller's first attempt, as far as it is known.
  MonotonicTime first_seen_at{};
  Duration retry_after{};
  RoomAhead room;
  /// Lower bound of the time until the job ends.
  Duration needed{};
  /// Time until the job is of no value.
  Duration left{};
  /// Whether the queue rejects jobs, and whether that has changed.
  bool rejecting = false;
  bool rejecting_changed = false;
};

/// @param job as it would be added to `shard`.
RoomAhead EstimateRoomAhead(ShardState& shard, MonotonicTime now,
                            const JobEntity& job);

/// Decides about a job that the shard does not have.
/// @param job as it would be added to `shard`.
AdmissionDecision DecideAdmission(ShardState& shard, AdmissionState& state,
                                  MonotonicTime now, const JobEntity& job);

}  // namespace almondtally::sched
