#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "sched/job.h"

namespace almondtally::sched {

/// How a run ended at its worker.
enum class RunEnd : uint8_t {
  kDone,
  kFailed,
  kStopped,
  /// The lease ran out.
  kLapsed,
  /// Another member of its gang ended.
  kGangBroken,
  /// The other members of its gang did not arrive in time.
  kGangIncomplete,
  /// The worker's life ended with the run on it.
  kWorkerLost,
  /// It never started.
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

/// A run as its worker lists it.
struct WorkerRun {
  TaskKey task;
  RunNumber run;
  /// Newest checkpoint; empty if there is none.
  std::string checkpoint;
  /// Share of full speed at which it works; 0 while it starts or waits.
  int64_t percent = 0;
  /// Over the last half second: tail latency in ms of a task that serves
  /// users, thousandths of a processor for the others. Negative if unknown.
  int64_t measure = -1;
};

/// An end as its worker lists it.
struct WorkerEnd {
  /// Counts the ends of one life of the worker, from 1.
  uint64_t number = 0;
  TaskKey task;
  RunNumber run;
  RunEnd end = RunEnd::kDone;
  std::string checkpoint;
};

struct WorkerListing {
  /// The worker's monotonic clock, in ms since it started.
  int64_t clock_ms = 0;
  /// Unix time of the worker's start; 0 if it did not say.
  int64_t born_ms = 0;
  std::vector<WorkerRun> running;
  std::vector<WorkerEnd> ended;
};

/// Identifies who is called and under which authority.
struct WorkerCall {
  WorkerId worker;
  /// Calls with a lower number than the worker has seen have no effect.
  uint64_t fencing = 0;
  /// On the worker's clock: when the leases of all its runs end.
  int64_t lease_until_ms = 0;
};

struct WorkerStart {
  TaskKey task;
  RunNumber run;
  std::string payload;
  std::string checkpoint;
  /// Permission of the queue's policy; empty where there is none.
  std::string permit;
};

/// What became of a call to a worker.
enum class CallOutcome : uint8_t {
  kOk,
  /// Surely without effect; the text says why.
  kRejected,
  /// The call carried a fencing number that is too low.
  kFenced,
  /// Another life of the worker answered, or none listens.
  kWrongWorker,
  /// No answer: it may have taken effect, or may still.
  kUnknown,
};

struct CallResult {
  CallOutcome outcome = CallOutcome::kOk;
  std::string text;
};

/// The worker of one VM, as plain functions so that tests can put their own
/// in place.
struct RunWorker {
  using DoneFn = std::function<void(const CallResult&)>;
  using ListFn =
      std::function<void(std::optional<WorkerListing>, const CallResult&)>;

  std::function<void(const WorkerCall&, const WorkerStart&, DoneFn)> start;
  std::function<void(const WorkerCall&, const TaskKey&, RunNumber, DoneFn)>
      stop;
  /// Limits a run to a share of full speed.
  std::function<void(const WorkerCall&, const TaskKey&, RunNumber,
                     int64_t percent, DoneFn)>
      pace;
  /// Renews all leases, forgets ends up to `acknowledged` and lists the rest.
  /// Answers at once or, if `wait` is not zero, when there is a new end.
  std::function<void(const WorkerCall&, uint64_t acknowledged, Duration wait,
                     ListFn)>
      renew;
};

}  // namespace almondtally::sched
