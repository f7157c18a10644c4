#pragma once

#include <string>

namespace cyclamen::cli {

/// Runs one instance on the users' platform until SIGTERM.
/// @param config path of the settings file, empty for the one that the platform names
/// @param charts folder of chart files, empty for those of the binary
/// @return exit status
int relay(const std::string& config, const std::string& charts);

/// Checks a settings file of the command relay.
/// @param config path of the settings file
/// @return exit status
int check_relay_settings(const std::string& config);

} // namespace cyclamen::cli
