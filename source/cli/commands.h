#pragma once

#include <string>
#include <vector>

namespace almondtally {

/// Exit codes of all commands.
namespace exit_code {
inline constexpr int kOk = 0;
/// The entry refused the request, or the requested object does not exist.
inline constexpr int kRefused = 1;
/// Invalid command line.
inline constexpr int kUsage = 2;
/// No answer, a server error, or an unknown outcome.
inline constexpr int kUnavailable = 3;
}  // namespace exit_code

/// Runs one operator command.
/// @return an exit code, or -1 if there is no such command.
int RunCommand(const std::string& command,
               const std::vector<std::string>& args);

/// @return the table of commands for the usage text.
std::string CommandHelp();

}  // namespace almondtally
