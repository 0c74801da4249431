#pragma once

#include <string>

#include "sched/messages.h"

/// Helpers shared by the files of this package.
namespace almondtally::sched {

/// @return an answer to a caller; an unavailable one says when to come back.
JobAnswer MakeAnswer(JobVerdict verdict, std::string reason = "");

}  // namespace almondtally::sched
