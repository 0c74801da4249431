#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/reason.h"
#include "base/resources.h"

namespace almondtally {

/// A job as submitted by a team. The executors of a service are also modelled
/// as a job, whose tasks never finish and are not exclusive.
struct JobSpec {
  JobId id;
  TeamId team;
  ServiceId service;
  uint32_t count = 1;
  /// Resources reserved for one task.
  Resources each;
  bool urgent = false;
  /// Declared run time of one task at full speed, in ms.
  int64_t work_ms = 1'000;
  std::string command;

  bool exclusive() const { return service.empty(); }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(JobSpec, id, team, service,
                                                count, each, urgent, work_ms,
                                                command)

/// The table row of a job.
struct JobRow {
  JobSpec spec;
  bool cancelled = false;
  int64_t submitted_at_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(JobRow, spec, cancelled,
                                                submitted_at_ms)

enum class TaskState : uint8_t {
  kPending,
  kAssigned,
  kDone,
  kFailed,
  kCancelled,
};

/// @return a human-readable name, such as "assigned".
std::string_view ToString(TaskState state);

/// @return true if the task cannot leave this state any more.
inline bool IsTerminal(TaskState state) {
  return state == TaskState::kDone || state == TaskState::kFailed ||
         state == TaskState::kCancelled;
}

/// The state of one task as stored in the table.
struct TaskRecord {
  TaskState state = TaskState::kPending;
  Epoch epoch;
  VmId vm;
  Generation generation;
  uint32_t failures = 0;
  uint32_t evictions = 0;
  std::string checkpoint;

  bool operator==(const TaskRecord&) const = default;
};

/// Consecutive tasks of one job, stored in one row so that starting many tasks
/// at once takes few row writes.
struct Chunk {
  JobId job;
  uint32_t first = 0;
  std::vector<TaskRecord> tasks;
};

constexpr uint32_t kTasksPerChunk = 64;

enum class JobError : uint8_t { kNone, kBadValue, kBadRow };
using JobReason = Reason<JobError>;

/// Validates a submitted job.
/// @return false, with the invalid field in `why`.
bool ValidateJobSpec(const JobSpec& spec, JobReason& why);

std::string JobKey(const JobId& job);
std::string ChunkKey(const JobId& job, uint32_t first);
std::string ChunkPrefix(const JobId& job);
std::string DoneKey(const JobId& job);

std::string Encode(const JobRow& row);
std::optional<JobRow> DecodeJobRow(const std::string& text, JobReason& why);
std::string Encode(const Chunk& chunk);
std::optional<Chunk> DecodeChunk(const std::string& text, JobReason& why);

/// @return the chunks of a new job, with all tasks pending.
std::vector<Chunk> MakeChunks(const JobSpec& spec);

/// @return the id of the job whose tasks are the executors of `service`.
JobId ServiceJobId(const ServiceId& service);

}  // namespace almondtally
