#include "peer/messages.h"

namespace almondtally {

std::string_view ToString(RunOutcome outcome) {
  switch (outcome) {
    case RunOutcome::kFinished:
      return "finished";
    case RunOutcome::kFailed:
      return "failed";
    case RunOutcome::kEvicted:
      return "evicted";
    case RunOutcome::kCancelled:
      return "cancelled";
    case RunOutcome::kNotStarted:
      return "not_started";
  }
  return "unknown";
}

}  // namespace almondtally
