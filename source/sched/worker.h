#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "sched/job.h"

namespace almondtally::sched {

/// How a run ended.
enum class RunEnd : uint8_t {
  kDone,
  kFailed,
  kStopped,
  /// The lease expired.
  kLapsed,
  /// Another task of the gang ended.
  kGangBroken,
  /// The other tasks of the gang did not start in time.
  kGangIncomplete,
  /// The worker process ended while the run was on it.
  kWorkerLost,
  /// The run never started.
  kNotStarted,
};
NLOHMANN_JSON_SERIALIZE_ENUM(RunEnd,
                             {{RunEnd::kDone, "done"},
                              {RunEnd::kFailed, "failed"},
                              {RunEnd::kStopped, "stopped"},
                              {RunEnd::kLapsed, "lapsed"},
                              {RunEnd::kGangBroken, "gang_broken"},
                              {RunEnd::kGangIncomplete, "gang_incomplete"},
                              {RunEnd::kWorkerLost, "worker_lost"},
                              {RunEnd::kNotStarted, "not_started"}})

/// @return the name used in logs and metrics.
std::string_view ToString(RunEnd end);

/// A run in a worker's listing.
struct WorkerRun {
  TaskKey task;
  RunNumber run;
  /// Latest checkpoint; empty if there is none.
  std::string checkpoint;
  /// Progress speed in percent of full speed; 0 while the run starts or waits.
  int64_t percent = 0;
  /// Measurement over the last half second: for serving tasks the tail latency
  /// in ms, for all others the CPU use in thousandths. Negative if unknown.
  int64_t measurement = -1;
};

/// The end of a run in a worker's listing.
struct WorkerRunEnd {
  /// Sequence number of the end within one worker process, from 1.
  uint64_t number = 0;
  TaskKey task;
  RunNumber run;
  RunEnd end = RunEnd::kDone;
  std::string checkpoint;
};

/// The runs and run ends that a worker lists.
struct WorkerListing {
  /// Reading of the worker's monotonic clock, in ms since it started.
  int64_t clock_ms = 0;
  /// Unix time at which the worker started; 0 if unknown.
  int64_t born_ms = 0;
  std::vector<WorkerRun> running;
  std::vector<WorkerRunEnd> ended;
  /// False if a run that is in neither list may still run or may have ended:
  /// the worker lists a limited number of ends at a time.
  bool complete = true;
};

/// A call without an answer may be carried out as late as this.
inline constexpr Duration kMaxCallDelay{15'000};

/// Longest lease that a worker gives unless it is configured otherwise.
inline constexpr Duration kDefaultMaxWorkerLease{10'000};

/// Parameters of every call to a worker: the recipient and the caller's
/// authority.
struct WorkerCall {
  WorkerId worker;
  /// The worker rejects calls with a lower number than it has already seen.
  uint64_t fencing = 0;
  /// When the leases of all its runs end, on the worker's clock.
  int64_t lease_until_ms = 0;
};

struct WorkerStart {
  TaskKey task;
  RunNumber run;
  std::string payload;
  std::string checkpoint;
  /// Permission from the queue's policy; empty if there is none.
  std::string permit;
};

/// Outcome of a call to a worker.
enum class CallOutcome : uint8_t {
  kOk,
  /// The call definitely had no effect; `text` has the reason.
  kRejected,
  /// The fencing number of the call was too low.
  kFenced,
  /// A different worker process answered, or no worker is listening.
  kWrongWorker,
  /// No answer: the call may have taken effect or may still do so.
  kUnknown,
};

struct CallResult {
  CallOutcome outcome = CallOutcome::kOk;
  std::string text;
};

/// Calls to the worker of one VM, as function objects that tests can replace.
struct WorkerCalls {
  using DoneFn = std::function<void(const CallResult&)>;
  using ListFn =
      std::function<void(std::optional<WorkerListing>, const CallResult&)>;

  std::function<void(const WorkerCall&, const WorkerStart&, DoneFn)> start;
  std::function<void(const WorkerCall&, const TaskKey&, RunNumber, DoneFn)>
      stop;
  /// Limits a run to a percentage of full speed.
  std::function<void(const WorkerCall&, const TaskKey&, RunNumber,
                     int64_t percent, DoneFn)>
      pace;
  /// Renews all leases, discards run ends up to `acknowledged` and lists the
  /// runs and remaining ends. Answers at once or, if `wait` is not zero, when
  /// there is a new end.
  std::function<void(const WorkerCall&, uint64_t acknowledged, Duration wait,
                     ListFn)>
      renew;
};

}  // namespace almondtally::sched
