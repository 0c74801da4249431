#include "sched/job.h"

#include <algorithm>

namespace almondtally::sched {
namespace {

constexpr uint32_t kMaxTasksPerStep = 10'000;
constexpr uint32_t kMaxOccurrences = 100'000;
/// Bounds that keep sums over the tasks of all jobs within 64 bits: a million
/// processors, a PiB of memory, a million accelerators, 30 days.
constexpr Resources kMaxTaskSize{
    MilliCpu(1'000'000'000), Mebibytes(1'073'741'824), Accelerators(1'000'000)};
constexpr int64_t kMaxEstimateMs = 30LL * 24 * 3'600 * 1'000;
/// Largest distance between Unix time 0 and an occurrence: 1,000 years.
constexpr int64_t kMaxUnixMs = 1'000LL * 366 * 24 * 3'600 * 1'000;
/// Upper bounds of the encoded size of parts of a progress row, in bytes.
constexpr size_t kProgressRowBytes = 64;
constexpr size_t kProgressBytesPerStep = 64;
constexpr size_t kProgressBytesPerFailedTask = 8;
constexpr size_t kProgressBytesPerFailure = 9;
/// A crashed run has its proof, the delay of the crash and whether it was
/// started last besides its number.
constexpr size_t kProgressBytesPerCrash = kProgressBytesPerFailure + 5;

bool ValidateStep(const JobSpec& spec, size_t i, JobReason& why) {
  const StepSpec& step = spec.steps[i];
  const std::string name = "step " + std::to_string(i);
  if (step.count < 1 || step.count > kMaxTasksPerStep) {
    why.Set(JobError::kBadValue, name + ": count must be from 1 to " +
                                     std::to_string(kMaxTasksPerStep));
    return false;
  }
  const Resources none;
  if (!Fits(none, step.each)) {
    why.Set(JobError::kBadValue, name + ": resources must not be negative");
    return false;
  }
  if (!Fits(step.each, kMaxTaskSize)) {
    why.Set(JobError::kBadValue, name + ": resources are larger than any VM");
    return false;
  }
  if (step.estimate_ms < 0 || step.estimate_ms > kMaxEstimateMs) {
    why.Set(JobError::kBadValue, name + ": run time must be from 0 to " +
                                     std::to_string(kMaxEstimateMs) + " ms");
    return false;
  }
  for (const uint32_t predecessor : step.after) {
    if (predecessor < i) continue;
    why.Set(JobError::kBadValue, name +
                                     ": depends on a step that is not "
                                     "before it");
    return false;
  }
  return true;
}

}  // namespace

std::string ToString(const TaskKey& task) {
  return task.job.value + "." + std::to_string(task.occurrence) + "." +
         std::to_string(task.step) + "." + std::to_string(task.index);
}

std::string_view ToString(JobState state) {
  switch (state) {
    case JobState::kPending:
      return "pending";
    case JobState::kRunning:
      return "running";
    case JobState::kCompleted:
      return "completed";
    case JobState::kFailed:
      return "failed";
    case JobState::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

bool ValidateJob(const JobSpec& spec, JobReason& why) {
  if (spec.id.empty()) {
    why.Set(JobError::kBadValue, "id is missing");
    return false;
  }
  if (spec.steps.empty() || spec.steps.size() > kMaxSteps) {
    why.Set(JobError::kBadValue,
            "a job has 1 to " + std::to_string(kMaxSteps) + " steps");
    return false;
  }
  if (spec.occurrences > kMaxOccurrences || spec.period_ms < 0 ||
      spec.period_ms > kMaxUnixMs || spec.first_due_ms < -kMaxUnixMs ||
      spec.first_due_ms > kMaxUnixMs) {
    why.Set(JobError::kBadValue, "bad schedule");
    return false;
  }
  for (size_t i = 0; i < spec.steps.size(); ++i) {
    if (!ValidateStep(spec, i, why)) return false;
  }
  return true;
}

bool ValidateRowSizes(const JobRecord& record, JobReason& why) {
  const JobSpec& spec = record.spec;
  size_t tasks = 0;
  for (const StepSpec& step : spec.steps) tasks += step.count;
  const size_t bytes_per_occurrence =
      tasks + spec.steps.size() * kProgressBytesPerStep;
  const size_t bytes_per_task =
      kProgressBytesPerFailedTask +
      kProgressBytesPerFailure *
          std::max<uint32_t>(1, record.terms.max_attempts);
  const size_t bytes_of_crashes =
      kMaxStoredSuspects *
      (kProgressBytesPerFailedTask + kProgressBytesPerCrash * kMaxCrashes);
  const size_t progress = kProgressRowBytes + bytes_of_crashes +
                          spec.occurrence_count() * bytes_per_occurrence +
                          tasks * bytes_per_task;
  if (progress > kMaxRowBytes || EncodeRow(record).size() > kMaxRowBytes) {
    why.Set(JobError::kBadValue,
            "the job is too large: " + std::to_string(tasks) + " tasks in " +
                std::to_string(spec.steps.size()) + " steps, " +
                std::to_string(spec.occurrence_count()) + " occurrences");
    return false;
  }
  return true;
}

}  // namespace almondtally::sched
