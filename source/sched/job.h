#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/reason.h"
#include "base/resources.h"

/// Scheduling of jobs made of dependent steps, with all durable state in a
/// partitioned store.
namespace almondtally::sched {

using QueueId = StrongId<struct QueueTag>;
/// One life of a VM's worker.
using WorkerId = StrongId<struct WorkerTag>;
/// Counts the starts of one task; grows with each.
using RunNumber = StrongNumber<struct RunNumberTag, uint64_t>;
/// Counts the takeovers of a shard; orders of an older planner are void.
using PlannerEpoch = StrongNumber<struct PlannerEpochTag, uint64_t>;

/// Tasks of one kind within a job.
struct StepSpec {
  uint32_t count = 1;
  Resources each;
  /// Declared run time of one task at full speed; often far off.
  int64_t estimate_ms = 0;
  /// Steps whose tasks must all be done first.
  std::vector<uint32_t> after;
  bool checkpoints = false;
  /// The tasks make progress only together and end together.
  bool gang = false;
  /// Spreading the tasks over racks slows them down.
  bool one_rack = false;
  /// Label that a worker must carry; empty for any.
  std::string required_label;
  /// Rack that holds the input data; empty for none.
  std::string data_rack;
  /// At most this many tasks of the step on one VM; 0 for no limit.
  uint32_t max_per_vm = 0;
  /// Several runs of one task may coexist; the first to finish counts.
  bool copies_allowed = false;
  /// Runs until the job is cancelled and is restarted however it ends.
  bool lasting = false;
  /// Program that the tasks run; tasks of one image behave alike.
  std::string image;
  /// Tail latency that a lasting task owes its own users; 0 for none.
  int64_t tail_target_ms = 0;
  /// Uses only processor time that other tasks leave idle.
  bool filler = false;
  /// How many lasting tasks the scheduler may take down at a time; negative
  /// if the job sets no such limit.
  int64_t disruption_limit = -1;

  bool operator==(const StepSpec&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    StepSpec, count, each, estimate_ms, after, checkpoints, gang, one_rack,
    required_label, data_rack, max_per_vm, copies_allowed, lasting, image,
    tail_target_ms, filler, disruption_limit)

/// What a caller submitted.
struct JobSpec {
  JobId id;
  QueueId queue;
  /// Passed to the tasks unchanged.
  std::string payload;
  std::vector<StepSpec> steps;
  /// 0 for a job that runs once, at once.
  uint32_t occurrences = 0;
  /// Unix time at which occurrence 0 is due, and the time between two.
  int64_t first_due_ms = 0;
  int64_t period_ms = 0;

  uint32_t times() const { return occurrences == 0 ? 1 : occurrences; }
  bool operator==(const JobSpec&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(JobSpec, id, queue, payload,
                                                steps, occurrences,
                                                first_due_ms, period_ms)

/// How a queue's jobs are treated.
struct QueueTerms {
  /// Pool of VMs that run the jobs.
  ServiceId service;
  /// 0 comes first and may preempt the others.
  int64_t priority = 0;
  /// Runs of one task that may end in failure before the job fails.
  uint32_t max_attempts = 1;
  /// A job is on time within `stretch` times its critical path and
  /// `latency_target_ms` more.
  double stretch = 1;
  int64_t latency_target_ms = 0;

  bool operator==(const QueueTerms&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(QueueTerms, service, priority,
                                                max_attempts, stretch,
                                                latency_target_ms)

/// An accepted job's row in the store; never changes.
struct JobRecord {
  JobSpec spec;
  /// As they were when the job was accepted; newer terms of the same queue
  /// go first.
  QueueTerms terms;
  int64_t accepted_at_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(JobRecord, spec, terms,
                                                accepted_at_ms)

/// Names one task of a job.
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

/// @return a name for people, such as "running".
std::string_view ToString(JobState state);

/// @return true once nothing more will happen to the job.
inline bool IsFinal(JobState state) { return state >= JobState::kCompleted; }

/// Failed runs of one task, by number: workers may list an end again, and the
/// end of an earlier run may be heard after that of a later one.
struct TaskFailures {
  uint32_t index = 0;
  std::vector<RunNumber> runs;
};
inline void to_json(nlohmann::json& out, const TaskFailures& it) {
  out = {it.index, it.runs};
}
inline void from_json(const nlohmann::json& in, TaskFailures& it) {
  in.at(0).get_to(it.index);
  in.at(1).get_to(it.runs);
}

/// Durable progress of one step of one occurrence.
struct StepProgress {
  uint32_t occurrence = 0;
  uint32_t step = 0;
  /// One character a task: '1' if done.
  std::string done;
  std::vector<TaskFailures> failures;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StepProgress, occurrence, step,
                                                done, failures)

/// A job's progress row. Absent until there is something to record.
struct JobProgress {
  /// Final states only; kPending otherwise.
  JobState state = JobState::kPending;
  int64_t ended_at_ms = 0;
  std::vector<StepProgress> steps;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(JobProgress, state, ended_at_ms,
                                                steps)

enum class JobError : uint8_t { kNone, kBadValue, kBadRow };
using JobReason = Reason<JobError>;

/// Checks a job as submitted.
/// @param why names the field at fault.
bool CheckJob(const JobSpec& spec, JobReason& why);

/// @return the row as CBOR.
template <typename T>
std::string EncodeRow(const T& row) {
  const auto bytes = nlohmann::json::to_cbor(nlohmann::json(row));
  return {bytes.begin(), bytes.end()};
}

/// Reads a row written by EncodeRow.
template <typename T>
std::optional<T> DecodeRow(const std::string& bytes, JobReason& why) {
  try {
    return nlohmann::json::from_cbor(bytes).get<T>();
  } catch (const nlohmann::json::exception& error) {
    why.Set(JobError::kBadRow, error.what());
    return std::nullopt;
  }
}

}  // namespace almondtally::sched
