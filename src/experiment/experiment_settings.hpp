#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include "core/time.hpp"
#include "load/load_settings.hpp"
#include "standin/engine_task.hpp"

namespace cyclamen::experiment {

/// The kind of process that a fault affects.
enum class fault_place {
    engine,
    /// An entry instance. `killed` stops all its tasks.
    instance,
};

/// A fault and its schedule.
struct planned_fault {
    /// Start time, from the start of the load.
    const core::duration at;
    const fault_place place;
    /// Index of the engine or instance.
    const std::size_t index;
    const standin::fault_kind kind;
    /// Slowdown factor of a slow engine.
    const double factor;
    /// Zero if the fault is permanent.
    const core::duration duration;

    auto operator<=>(const planned_fault&) const = default;
};

/// A reproducible experiment: the system to start, the load to send and the faults to inject.
struct experiment_settings {
    const std::string name;
    const std::string deployment;
    const std::vector<std::string> failure_domains;
    const std::size_t instances;
    const std::size_t engines;
    /// Time between two tokens of a stream that runs alone on an engine.
    const core::duration token_gap;
    /// What each open stream of an engine adds to that time.
    const core::duration gap_per_stream;
    /// Network delay of each token from an engine.
    const core::duration link_delay;
    const load::load_settings load;
    const std::vector<planned_fault> faults;
    /// Upper bounds by name of the measure.
    const std::vector<std::pair<std::string, double>> bounds;
};

/// Decodes an experiment.
/// @param document JSON document, as in bench/
/// @param source file name, for error messages
/// @return the experiment, or an invalid_argument error that lists every schema violation with its
/// JSON pointer
[[nodiscard]] absl::StatusOr<experiment_settings> decode_experiment(const nlohmann::json& document,
                                                                    std::string_view source);

} // namespace cyclamen::experiment
