#pragma once

#include <string>
#include <vector>

#include "experiment/experiment_settings.hpp"
#include "experiment/experiment_system.hpp"
#include "load/load_report.hpp"

namespace cyclamen::experiment {

/// Raw results of one run of an experiment.
struct run_result {
    const load::load_report report;
    const engine_work work;
    /// Processor time used by all instances.
    const core::duration processor_time;
};

/// A named measurement of a run.
struct measure {
    const std::string name;
    const double value;
    const std::string unit;

    auto operator<=>(const measure&) const = default;
};

/// Computes the measures of a run, always in the same order.
[[nodiscard]] std::vector<measure> compute_measures(const run_result& result);

/// Formats the measures of both policies.
/// @param settings the experiment, with its bounds
/// @param standard measures with the standard policy
/// @param naive measures with the naive policy, in the same order
/// @return one JSON line per measure
[[nodiscard]] std::vector<std::string> to_lines(const experiment_settings& settings,
                                                const std::vector<measure>& standard,
                                                const std::vector<measure>& naive);

/// @return names of the measures that exceed their bounds
[[nodiscard]] std::vector<std::string> exceeded_bounds(const experiment_settings& settings,
                                                       const std::vector<measure>& standard);

} // namespace cyclamen::experiment
