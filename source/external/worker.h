#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/resources.h"
#include "external/table.h"

namespace almondtally {

/// A time on the worker's own monotonic clock, in milliseconds.
using WorkerTime = StrongNumber<struct WorkerTimeTag, int64_t>;

enum class WorkerTaskState : uint8_t {
  kRunning,
  /// The lease has expired: the task makes no progress.
  kFrozen,
  kFinished,
  kFailed,
};
NLOHMANN_JSON_SERIALIZE_ENUM(WorkerTaskState,
                             {{WorkerTaskState::kRunning, "running"},
                              {WorkerTaskState::kFrozen, "frozen"},
                              {WorkerTaskState::kFinished, "finished"},
                              {WorkerTaskState::kFailed, "failed"}})

/// The state of a task as reported by its worker.
struct WorkerTask {
  TaskId task;
  Epoch epoch;
  Generation generation;
  WorkerTaskState state = WorkerTaskState::kRunning;
  bool exclusive = true;
  ServiceId service;
  Resources claimed;
  Resources used;
  /// Name of the object that holds the latest checkpoint; empty if there is
  /// none.
  std::string checkpoint;
  /// Current speed in percent of full speed.
  int64_t speed = 100;
  /// Port on which the executor of a service listens; 0 for batch tasks.
  uint16_t port = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WorkerTask, task, epoch,
                                                generation, state, exclusive,
                                                service, claimed, used,
                                                checkpoint, speed, port)

/// The state of a worker and its tasks, as returned by `Worker::list`.
struct WorkerState {
  WorkerTime now_ms;
  Resources capacity;
  Resources used;
  std::vector<WorkerTask> tasks;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WorkerState, now_ms, capacity,
                                                used, tasks)

/// A request to a worker to run a task.
struct WorkerStart {
  TaskId task;
  Epoch epoch;
  Generation generation;
  bool exclusive = true;
  ServiceId service;
  Resources claimed;
  /// Run time at full speed in milliseconds; 0 for a service.
  int64_t work_ms = 0;
  std::string command;
  std::string checkpoint;
  WorkerTime lease_until_ms;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WorkerStart, task, epoch,
                                                generation, exclusive, service,
                                                claimed, work_ms, command,
                                                checkpoint, lease_until_ms)

/// Identifies one run of a task on a worker.
struct WorkerRun {
  TaskId task;
  Epoch epoch;

  auto operator<=>(const WorkerRun&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WorkerRun, task, epoch)

/// A worker's response after it stopped a task.
struct WorkerStopped {
  WorkerTaskState state = WorkerTaskState::kFinished;
  std::string checkpoint;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WorkerStopped, state,
                                                checkpoint)

/// The worker of one VM. The operations are plain functions so that tests can
/// replace them. A failed call reports a reason; with `kRefused` the operation
/// was not performed.
struct Worker {
  using StateFn =
      std::function<void(std::optional<WorkerState>, const PlatformReason&)>;
  using DoneFn = std::function<void(bool done, const PlatformReason&)>;
  using StoppedFn =
      std::function<void(std::optional<WorkerStopped>, const PlatformReason&)>;

  std::function<void(StateFn)> list;
  std::function<void(const WorkerStart&, DoneFn)> start;
  /// Extends the leases of these runs to `until`, a time on the worker's clock.
  std::function<void(const std::vector<WorkerRun>&, WorkerTime until, DoneFn)>
      renew;
  /// Stops a run, after a checkpoint if `with_checkpoint` is set.
  std::function<void(const WorkerRun&, bool with_checkpoint, StoppedFn)> stop;
  /// Sets the speed of a run in percent.
  std::function<void(const WorkerRun&, int64_t percent, DoneFn)> throttle;
  /// Deletes the worker's record of an ended run.
  std::function<void(const WorkerRun&)> forget;
};

}  // namespace almondtally
