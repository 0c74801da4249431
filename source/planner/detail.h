#pragma once

#include <string>

#include "base/clock.h"
#include "sched/messages.h"

/// Helpers shared by the files of this library.
namespace almondtally::sched {

/// The owner is considered lost if successful reads show an unchanged head row
/// for this long: three heartbeats. A planner whose last proof of ownership is
/// older than this may have been replaced.
inline constexpr Duration kOwnerTimeout{1'300};

/// @return an answer to a caller; with kUnavailable it includes a retry delay.
JobAnswer MakeAnswer(JobVerdict verdict, std::string reason = "");

}  // namespace almondtally::sched
