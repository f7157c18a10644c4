#pragma once

#include <string>
#include <vector>

namespace cyclamen::cli {

/// Exit status of a command that failed while running.
constexpr int exit_failure = 1;
/// Exit status for an invalid command line or input file; nothing was started.
constexpr int exit_usage = 2;

/// Parses the command line and runs the command.
/// @param arguments command line without the program name
/// @return exit status
int run(const std::vector<std::string>& arguments);

} // namespace cyclamen::cli
