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

/// What a fault hits.
enum class fault_place {
    engine,
    /// An entry instance; `killed` stops all its tasks.
    instance,
};

/// A fault with its time.
struct planned_fault {
    /// From the start of the load.
    const core::duration at;
    const fault_place place;
    /// Index of the engine or instance.
    const std::size_t index;
    const standin::fault_kind kind;
    /// For slow engines.
    const double factor;
    /// When it ends, from its start; zero where it lasts.
    const core::duration duration;

    auto operator<=>(const planned_fault&) const = default;
};

/// A fixed run: what is started, what is sent, what fails when.
struct experiment_settings {
    const std::string name;
    const std::string deployment;
    const std::vector<std::string> failure_domains;
    const std::size_t instances;
    const std::size_t engines;
    /// Gap between two tokens of a stream that runs alone at an engine.
    const core::duration token_gap;
    const core::duration gap_per_stream;
    /// What every token is delayed on its way from an engine.
    const core::duration link_delay;
    const load::load_settings load;
    const std::vector<planned_fault> faults;
    /// Bounds by measure.
    const std::vector<std::pair<std::string, double>> bounds;
};

/// Decodes an experiment.
/// @param document the JSON form, see bench/
/// @param source file name, for error messages
/// @return the experiment, or invalid_argument that lists every fault with its JSON pointer
[[nodiscard]] absl::StatusOr<experiment_settings> decode_experiment(const nlohmann::json& document,
                                                                    std::string_view source);

} // namespace cyclamen::experiment
