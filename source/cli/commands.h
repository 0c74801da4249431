#pragma once

#include <string>
#include <vector>

namespace almondtally {

/// Exit codes of all commands.
namespace exit_code {
inline constexpr int kOk = 0;
/// The entry refused, or the thing asked for does not exist.
inline constexpr int kRefused = 1;
/// The command line is wrong.
inline constexpr int kUsage = 2;
/// No answer, or one that says that the outcome is not known.
inline constexpr int kUnavailable = 3;
}  // namespace exit_code

/// Runs one operators' command.
/// @return an exit code, or -1 if there is no such command.
int RunCommand(const std::string& command,
               const std::vector<std::string>& args);

/// @return a list of the commands for people.
std::string CommandHelp();

}  // namespace almondtally
