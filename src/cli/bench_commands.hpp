#pragma once

#include <string>

namespace cyclamen::cli {

/// Sends a load to running instances and prints the results as JSON.
/// @param config path of the load settings, which list the addresses under `instances`
/// @return exit status, 0 if every request got a whole answer or was refused
int send_load(const std::string& config);

/// Runs an experiment with the standard and with the naive policy, and prints one JSON line per
/// measure.
/// @param config path of the experiment file
/// @return exit status, 0 if no measure of the standard policy exceeds its bound
int run_experiment(const std::string& config);

} // namespace cyclamen::cli
