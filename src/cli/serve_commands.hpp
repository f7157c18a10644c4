#pragma once

#include <string>

namespace cyclamen::cli {

/// Runs one entry instance until SIGTERM.
/// @param config path of the settings file
/// @param charts folder of chart files, empty for the charts embedded in the binary
/// @return exit status, exit_failure if the instance ended with unfinished work
int route(const std::string& config, const std::string& charts);

/// Checks a settings file of an entry instance.
/// @param config path of the settings file
/// @return exit status
int check_settings(const std::string& config);

/// Runs a stand-in engine until SIGTERM.
/// @param config path of its settings file
/// @return exit status
int stand_in_engine(const std::string& config);

/// Runs a stand-in platform until SIGTERM.
/// @param config path of its settings file
/// @return exit status
int stand_in_platform(const std::string& config);

/// Runs a stand-in service until SIGTERM.
/// @param config path of its settings file
/// @return exit status
int stand_in_service(const std::string& config);

} // namespace cyclamen::cli
