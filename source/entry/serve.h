#pragma once

#include <string>
#include <vector>

namespace almondtally {

/// Runs an entry process until SIGTERM.
/// @return the exit code: 0, 1 if it cannot listen, 2 for bad settings.
int Serve(const std::vector<std::string>& args);

}  // namespace almondtally
