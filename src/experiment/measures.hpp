#pragma once

#include <string>
#include <vector>

#include "experiment/experiment_settings.hpp"
#include "experiment/experiment_system.hpp"
#include "load/load_report.hpp"

namespace cyclamen::experiment {

/// What one run of an experiment gave.
struct run_result {
    const load::load_report report;
    const engine_work work;
    /// Processor time of all instances.
    const core::duration processor_time;
};

/// One figure of a run.
struct measure {
    const std::string name;
    const double value;
    const std::string unit;

    auto operator<=>(const measure&) const = default;
};

/// @param result what a run gave
/// @return its figures
[[nodiscard]] std::vector<measure> compute_measures(const run_result& result);

/// @param settings the experiment, with its bounds
/// @param ours figures with the standard policy
/// @param naive figures with the naive policy, in the same order
/// @return one line of JSON a figure
[[nodiscard]] std::vector<std::string> to_lines(const experiment_settings& settings,
                                                const std::vector<measure>& standard,
                                                const std::vector<measure>& naive);

/// @return names of the figures that are over their bounds
[[nodiscard]] std::vector<std::string> exceeded_bounds(const experiment_settings& settings,
                                                       const std::vector<measure>& standard);

} // namespace cyclamen::experiment
