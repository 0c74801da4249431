#include "sched/job.h"

namespace almondtally::sched {
namespace {

constexpr size_t kMaxSteps = 64;
constexpr uint32_t kMaxTasksPerStep = 10'000;
constexpr uint32_t kMaxOccurrences = 100'000;

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
  if (spec.occurrences > kMaxOccurrences || spec.period_ms < 0) {
    why.Set(JobError::kBadValue, "bad schedule");
    return false;
  }
  for (size_t i = 0; i < spec.steps.size(); ++i) {
    if (!ValidateStep(spec, i, why)) return false;
  }
  return true;
}

}  // namespace almondtally::sched
