#include "state/jobs.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "base/untrusted_json.h"

namespace almondtally {
namespace {

using nlohmann::json;

const std::string kServiceJobPrefix = "service:";
constexpr uint32_t kMaxTasksPerJob = 100'000;
constexpr size_t kMaxIdLength = 96;
constexpr size_t kMaxCommandLength = 4'096;
constexpr int64_t kMaxWorkMs = 30LL * 24 * 3'600 * 1'000;

bool Reject(JobReason& why, std::string text) {
  why.Set(JobError::kBadValue, std::move(text));
  return false;
}

bool IsValidId(const std::string& text) {
  if (text.empty() || text.size() > kMaxIdLength) return false;
  return std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == ':';
  });
}

// A task is encoded as an array without field names to keep rows small: a
// chunk holds many tasks and is rewritten often.
json ToJson(const TaskRecord& task) {
  return {static_cast<int>(task.state),
          task.epoch,
          task.vm,
          task.generation,
          task.failures,
          task.evictions,
          task.checkpoint};
}

TaskRecord TaskFromJson(const json& input) {
  TaskRecord task;
  const int state = input.at(0).get<int>();
  if (state < 0 || state > static_cast<int>(TaskState::kCancelled)) {
    throw json::out_of_range::create(0, "unknown task state", &input);
  }
  task.state = static_cast<TaskState>(state);
  input.at(1).get_to(task.epoch);
  input.at(2).get_to(task.vm);
  input.at(3).get_to(task.generation);
  input.at(4).get_to(task.failures);
  input.at(5).get_to(task.evictions);
  input.at(6).get_to(task.checkpoint);
  return task;
}

}  // namespace

std::string_view ToString(TaskState state) {
  switch (state) {
    case TaskState::kPending:
      return "pending";
    case TaskState::kAssigned:
      return "assigned";
    case TaskState::kDone:
      return "done";
    case TaskState::kFailed:
      return "failed";
    case TaskState::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

bool ValidateJobSpec(const JobSpec& spec, JobReason& why) {
  if (!IsValidId(spec.id.value)) {
    return Reject(why,
                  "id: give 1 to 96 letters, digits, '-', '_', '.' or ':'");
  }
  if (spec.exclusive() && spec.id.value.starts_with(kServiceJobPrefix)) {
    return Reject(why, "id: names that begin with \"service:\" are reserved");
  }
  if (spec.team.empty()) return Reject(why, "team: a job needs a team");
  if (spec.count < 1 || spec.count > kMaxTasksPerJob) {
    return Reject(why, "count: give 1 to 100000");
  }
  if (spec.each.cpu.value < 1) return Reject(why, "each.cpu: give at least 1");
  if (spec.each.memory.value < 0 || spec.each.accelerators.value < 0) {
    return Reject(why, "each: memory and accelerators must not be negative");
  }
  if (spec.exclusive() && (spec.work_ms < 1 || spec.work_ms > kMaxWorkMs)) {
    return Reject(why, "work_ms: give 1 ms to 30 days");
  }
  if (spec.command.size() > kMaxCommandLength) {
    return Reject(why, "command: at most 4096 bytes");
  }
  return true;
}

std::string JobKey(const JobId& job) { return "job/" + job.value; }

std::string ChunkPrefix(const JobId& job) { return "chunk/" + job.value + "/"; }

std::string ChunkKey(const JobId& job, uint32_t first) {
  char buf[16];
  std::snprintf(buf, sizeof buf, "%08u", first);
  return ChunkPrefix(job) + buf;
}

std::string DoneKey(const JobId& job) { return "done/" + job.value; }

std::string Encode(const JobRow& row) { return json(row).dump(); }

std::optional<JobRow> DecodeJobRow(const std::string& text, JobReason& why) {
  const json input = ParseJson(text);
  try {
    if (input.is_object()) return input.get<JobRow>();
    why.Set(JobError::kBadRow, "a job row is not a JSON object");
  } catch (const json::exception& error) {
    why.Set(JobError::kBadRow, error.what());
  }
  return std::nullopt;
}

std::string Encode(const Chunk& chunk) {
  json tasks = json::array();
  for (const TaskRecord& task : chunk.tasks) tasks.push_back(ToJson(task));
  return json{{"job", chunk.job}, {"first", chunk.first}, {"tasks", tasks}}
      .dump();
}

std::optional<Chunk> DecodeChunk(const std::string& text, JobReason& why) {
  const json input = ParseJson(text);
  try {
    Chunk chunk;
    input.at("job").get_to(chunk.job);
    input.at("first").get_to(chunk.first);
    for (const json& task : input.at("tasks")) {
      chunk.tasks.push_back(TaskFromJson(task));
    }
    return chunk;
  } catch (const json::exception& error) {
    why.Set(JobError::kBadRow, error.what());
    return std::nullopt;
  }
}

std::vector<Chunk> MakeChunks(const JobSpec& spec) {
  std::vector<Chunk> chunks;
  for (uint32_t first = 0; first < spec.count; first += kTasksPerChunk) {
    Chunk chunk{spec.id, first, {}};
    chunk.tasks.resize(std::min(kTasksPerChunk, spec.count - first));
    chunks.push_back(std::move(chunk));
  }
  return chunks;
}

JobId ServiceJobId(const ServiceId& service) {
  return JobId(kServiceJobPrefix + service.value);
}

}  // namespace almondtally
