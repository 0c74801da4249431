#pragma once

#include <string>

#include "sched/messages.h"

/// Helpers shared by the files of this library.
namespace almondtally::sched {

/// @return an answer to a caller; with kUnavailable it includes a retry delay.
JobAnswer MakeAnswer(JobVerdict verdict, std::string reason = "");

}  // namespace almondtally::sched
