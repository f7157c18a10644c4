#pragma once

#include <string>

namespace cyclamen::cli {

/// Runs one instance on the users' platform until SIGTERM.
/// @param config path of the settings file, empty for the path that the platform specifies
/// @param charts folder of chart files, empty for the charts embedded in the binary
/// @return exit status, exit_failure if the instance ended with unfinished work
int relay(const std::string& config, const std::string& charts);

/// Checks a settings file of the command relay.
/// @param config path of the settings file
/// @return exit status
int check_relay_settings(const std::string& config);

} // namespace cyclamen::cli
