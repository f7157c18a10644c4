#pragma once

#include <functional>
#include <string>

#include <absl/status/statusor.h>

#include "experiment/experiment_settings.hpp"
#include "experiment/measures.hpp"

namespace cyclamen::experiment {

/// Runs an experiment with one policy.
/// @param settings the experiment
/// @param policy policy of the instances: `standard` or `naive`
/// @param progress called about once a second with the number of finished requests
/// @return the result, or the error if the system can't be started
[[nodiscard]] absl::StatusOr<run_result>
run_experiment(const experiment_settings& settings, const std::string& policy,
               const std::function<void(std::uint64_t)>& progress);

} // namespace cyclamen::experiment
