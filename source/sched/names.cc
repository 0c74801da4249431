#include "sched/messages.h"
#include "sched/worker.h"

namespace almondtally::sched {

std::string_view ToString(RunEnd end) {
  switch (end) {
    case RunEnd::kDone:
      return "done";
    case RunEnd::kFailed:
      return "failed";
    case RunEnd::kStopped:
      return "stopped";
    case RunEnd::kLapsed:
      return "lapsed";
    case RunEnd::kGangBroken:
      return "gang_broken";
    case RunEnd::kGangIncomplete:
      return "gang_incomplete";
    case RunEnd::kWorkerLost:
      return "worker_lost";
    case RunEnd::kNotStarted:
      return "not_started";
  }
  return "unknown";
}

std::string_view ToString(JobVerdict verdict) {
  switch (verdict) {
    case JobVerdict::kOk:
      return "ok";
    case JobVerdict::kUnknownJob:
      return "unknown_job";
    case JobVerdict::kRejected:
      return "rejected";
    case JobVerdict::kUnavailable:
      return "unavailable";
    case JobVerdict::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace almondtally::sched
