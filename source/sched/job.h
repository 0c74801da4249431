#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/reason.h"
#include "base/resources.h"
#include "base/untrusted_json.h"

/// Schedules jobs that consist of dependent steps. All durable state is in a
/// partitioned store.
namespace almondtally::sched {

using QueueId = StrongId<struct QueueTag>;
/// Identifies one worker process on a VM; a restarted worker has a new id.
using WorkerId = StrongId<struct WorkerTag>;
/// Number of a run of a task; each new run has a higher number.
using RunNumber = StrongNumber<struct RunNumberTag, uint64_t>;
/// Incremented with each takeover of a shard. Orders from planners with a lower
/// epoch are rejected.
using PlannerEpoch = StrongNumber<struct PlannerEpochTag, uint64_t>;

/// A group of identical tasks within a job.
struct StepSpec {
  uint32_t count = 1;
  /// Resources that one task needs.
  Resources each;
  /// Declared run time of one task at full speed; often inaccurate.
  int64_t estimate_ms = 0;
  /// Indexes of the steps that must be done before this one is ready.
  std::vector<uint32_t> after;
  /// The tasks write checkpoints from which a new run can resume.
  bool checkpoints = false;
  /// The tasks make progress only while all of them run, and end together.
  bool gang = false;
  /// All tasks must be on one rack: spreading them slows them down.
  bool one_rack = false;
  /// Label that the worker must have; empty for any worker.
  std::string required_label;
  /// Rack that holds the input data; empty for none.
  std::string data_rack;
  /// Maximum number of tasks of the step on one VM; 0 for no limit.
  uint32_t max_per_vm = 0;
  /// Several runs of one task may exist at a time; the first to finish counts.
  bool copies_allowed = false;
  /// The tasks run until the job is cancelled, and are restarted however they
  /// end.
  bool lasting = false;
  /// Program that the tasks run. Tasks with the same image are assumed to
  /// behave alike.
  std::string image;
  /// Tail latency that a lasting task should not exceed for its users; 0 for
  /// none. A task with such a target is a "serving" task.
  int64_t tail_target_ms = 0;
  /// The tasks use only CPU that other tasks leave idle.
  bool filler = false;
  /// Maximum number of lasting tasks that the scheduler may take down at a
  /// time; negative for no limit.
  int64_t disruption_limit = -1;

  bool operator==(const StepSpec&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    StepSpec, count, each, estimate_ms, after, checkpoints, gang, one_rack,
    required_label, data_rack, max_per_vm, copies_allowed, lasting, image,
    tail_target_ms, filler, disruption_limit)

/// Largest number of steps of a job.
inline constexpr size_t kMaxSteps = 64;

/// A job as submitted by a caller.
struct JobSpec {
  JobId id;
  QueueId queue;
  /// Passed to the tasks unchanged.
  std::string payload;
  std::vector<StepSpec> steps;
  /// Number of scheduled occurrences; 0 for a job that runs once, immediately.
  uint32_t occurrences = 0;
  /// Unix time at which occurrence 0 is due, and the interval between
  /// occurrences.
  int64_t first_due_ms = 0;
  int64_t period_ms = 0;

  uint32_t occurrence_count() const {
    return occurrences == 0 ? 1 : occurrences;
  }
  bool operator==(const JobSpec&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(JobSpec, id, queue, payload,
                                                steps, occurrences,
                                                first_due_ms, period_ms)

/// Scheduling terms of the jobs in a queue.
struct QueueTerms {
  /// Pool of VMs that run the jobs.
  ServiceId service;
  /// 0 is the highest priority and may preempt the others.
  int64_t priority = 0;
  /// Number of failed runs of one task after which the job fails.
  uint32_t max_attempts = 1;
  /// A job is on time if it completes within `stretch` times its critical path
  /// plus `latency_target_ms`.
  double stretch = 1;
  int64_t latency_target_ms = 0;

  bool operator==(const QueueTerms&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(QueueTerms, service, priority,
                                                max_attempts, stretch,
                                                latency_target_ms)

/// Row of an accepted job in the store. It is never updated.
struct JobRecord {
  JobSpec spec;
  /// Terms at the time the job was accepted. Newer terms of the queue take
  /// precedence.
  QueueTerms terms;
  int64_t accepted_at_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(JobRecord, spec, terms,
                                                accepted_at_ms)

/// Identifies one task of a job.
struct TaskKey {
  JobId job;
  uint32_t occurrence = 0;
  uint32_t step = 0;
  uint32_t index = 0;

  auto operator<=>(const TaskKey&) const = default;
};

inline void to_json(nlohmann::json& out, const TaskKey& it) {
  out = {it.job, it.occurrence, it.step, it.index};
}
inline void from_json(const nlohmann::json& in, TaskKey& it) {
  in.at(0).get_to(it.job);
  in.at(1).get_to(it.occurrence);
  in.at(2).get_to(it.step);
  in.at(3).get_to(it.index);
}

/// @return "job.occurrence.step.index", for logs.
std::string ToString(const TaskKey& task);

enum class JobState : uint8_t {
  kPending,
  kRunning,
  kCompleted,
  kFailed,
  kCancelled
};
NLOHMANN_JSON_SERIALIZE_ENUM(JobState, {{JobState::kPending, "pending"},
                                        {JobState::kRunning, "running"},
                                        {JobState::kCompleted, "completed"},
                                        {JobState::kFailed, "failed"},
                                        {JobState::kCancelled, "cancelled"}})

/// @return the human-readable name, such as "running".
std::string_view ToString(JobState state);

/// @return true if the job has ended, so that its state can no longer change.
inline bool IsFinal(JobState state) { return state >= JobState::kCompleted; }

/// Runs of one task that count against it. Their numbers are kept instead of a
/// count because a worker may report the same end again, and the end of an
/// earlier run may arrive after that of a later one.
struct TaskRuns {
  uint32_t index = 0;
  std::vector<RunNumber> runs;
};
inline void to_json(nlohmann::json& out, const TaskRuns& it) {
  out = {it.index, it.runs};
}
inline void from_json(const nlohmann::json& in, TaskRuns& it) {
  in.at(0).get_to(it.index);
  in.at(1).get_to(it.runs);
}

/// How certain it is that a run had begun when its worker crashed.
enum class RunProof : uint8_t {
  kNone,
  /// The worker crashed before it answered the start call of an isolated
  /// suspect, the only task that was started at the time.
  kIsolated,
  /// The worker had confirmed the run.
  kConfirmed,
};

/// A run that may have crashed its worker.
struct CrashedRun {
  RunNumber run;
  RunProof proof = RunProof::kNone;
  /// Time from the start of the run to the crash; negative if not known.
  int64_t delay_ms = -1;
  /// The run was among those started last, or it is not known.
  bool started_last = true;
};

/// Runs of one task that may have crashed their workers. The first two fields
/// are stored like those of TaskRuns, which earlier versions read and write.
/// Rows of earlier versions lack the others.
struct TaskCrashes {
  uint32_t index = 0;
  std::vector<CrashedRun> runs;
};
inline void to_json(nlohmann::json& out, const TaskCrashes& it) {
  std::vector<RunNumber> runs;
  std::vector<int> proofs;
  std::vector<int64_t> delays_ms;
  std::vector<int> started_last;
  for (const CrashedRun& run : it.runs) {
    runs.push_back(run.run);
    proofs.push_back(static_cast<int>(run.proof));
    delays_ms.push_back(run.delay_ms);
    started_last.push_back(run.started_last ? 1 : 0);
  }
  out = {it.index, runs, proofs, delays_ms, started_last};
}
inline void from_json(const nlohmann::json& in, TaskCrashes& it) {
  in.at(0).get_to(it.index);
  std::vector<RunNumber> runs;
  in.at(1).get_to(runs);
  std::vector<int> proofs;
  if (in.size() > 2) in.at(2).get_to(proofs);
  proofs.resize(runs.size());
  std::vector<int64_t> delays_ms;
  if (in.size() > 3) in.at(3).get_to(delays_ms);
  delays_ms.resize(runs.size(), -1);
  std::vector<int> started_last;
  if (in.size() > 4) in.at(4).get_to(started_last);
  started_last.resize(runs.size(), 1);
  it.runs.clear();
  for (size_t i = 0; i < runs.size(); ++i) {
    const int proof =
        std::clamp(proofs[i], 0, static_cast<int>(RunProof::kConfirmed));
    const int64_t delay_ms = std::clamp<int64_t>(
        delays_ms[i], -1, std::numeric_limits<int32_t>::max());
    it.runs.push_back({runs[i], static_cast<RunProof>(proof), delay_ms,
                       started_last[i] != 0});
  }
}

/// Durable progress of one step of one occurrence.
struct StepProgress {
  uint32_t occurrence = 0;
  uint32_t step = 0;
  /// One character per task: '1' if it is done, otherwise '0'.
  std::string done;
  std::vector<TaskRuns> failures;
  /// Runs that may have crashed their worker.
  std::vector<TaskCrashes> crashes;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StepProgress, occurrence, step,
                                                done, failures, crashes)

/// Number of tasks of a job whose crashes are stored. Bounds the progress row;
/// the crashes of further tasks are forgotten when the planner changes.
inline constexpr size_t kMaxStoredSuspects = 64;
/// A task is given up after this many runs that may have crashed their worker,
/// whatever is known of them.
inline constexpr size_t kMaxCrashes = 5;

/// Progress row of a job in the store. It does not exist until there is
/// something to record.
struct JobProgress {
  /// The state if it is final, otherwise kPending.
  JobState state = JobState::kPending;
  int64_t ended_at_ms = 0;
  std::vector<StepProgress> steps;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(JobProgress, state, ended_at_ms,
                                                steps)

enum class JobError : uint8_t { kNone, kBadValue, kBadRow };
using JobReason = Reason<JobError>;

/// Validates a submitted job.
/// @param why receives the invalid field if the job is invalid.
bool ValidateJob(const JobSpec& spec, JobReason& why);

/// Largest value of a row that the store accepts, in bytes: 64 KiB of base64.
inline constexpr size_t kMaxRowBytes = 49'152;

/// Checks that the rows of a job fit into the store whatever its progress,
/// since one row that is too large makes the commits of all jobs fail.
/// @param why receives the reason if they do not.
bool ValidateRowSizes(const JobRecord& record, JobReason& why);

/// @return the row, encoded as CBOR.
template <typename T>
std::string EncodeRow(const T& row) {
  const auto bytes = nlohmann::json::to_cbor(nlohmann::json(row));
  return {bytes.begin(), bytes.end()};
}

/// Decodes a row encoded by EncodeRow.
template <typename T>
std::optional<T> DecodeRow(const std::string& bytes, JobReason& why) {
  std::string error;
  const auto in = ParseCbor(bytes, error);
  if (!in) {
    why.Set(JobError::kBadRow, error);
    return std::nullopt;
  }
  try {
    return in->get<T>();
  } catch (const nlohmann::json::exception& exception) {
    why.Set(JobError::kBadRow, exception.what());
    return std::nullopt;
  }
}

}  // namespace almondtally::sched
