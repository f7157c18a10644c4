#pragma once

#include <absl/status/status.h>

#include "model/configuration.hpp"
#include "rollout/judgement.hpp"

namespace cyclamen::rollout {

/// Parameters of the duration of a rollout.
struct schedule_settings {
    /// Throughput of the weight store, in bytes per second.
    std::uint64_t store_bytes_per_second = 1'000'000'000;
    /// Time that a target needs to load weights after it has received them.
    core::duration load_time = std::chrono::seconds{60};
    /// Time in which the share grows from the exposure limit to all traffic.
    core::duration move_time = std::chrono::minutes{4};
    /// Time kept free before the deadline.
    core::duration margin = std::chrono::minutes{2};

    auto operator<=>(const schedule_settings&) const = default;
};

/// @return when the share must start to grow for all traffic to have moved by the deadline
[[nodiscard]] core::wall_time move_start(const schedule_settings& settings,
                                         const model::rollout& declared);

/// @param targets number of targets that load the weights
/// @return time until all have loaded them, given the throughput of the weight store
[[nodiscard]] core::duration loading_time(const schedule_settings& settings,
                                          const model::rollout& declared, std::size_t targets);

/// @param targets number of selected targets
/// @param now when the rollout is declared
/// @return the earliest time by which all traffic can have moved
[[nodiscard]] core::wall_time earliest_end(const schedule_settings& settings,
                                           const judgement_settings& limits,
                                           const model::rollout& declared, std::size_t targets,
                                           core::wall_time now);

/// @return number of targets that a rollout selects
[[nodiscard]] std::size_t selected_targets(const model::configuration& configuration,
                                           const model::rollout& declared);

/// Checks the deadlines of new or changed rollouts before a configuration is accepted.
/// @param configuration the declarations
/// @param previous the configuration in force, null if there is none; rollouts that it contains
/// unchanged are not checked again
/// @param now wall-clock time
/// @return OK, or the error unprocessable, which names each deadline that can't be met and the
/// earliest possible one
[[nodiscard]] absl::Status check_deadlines(const schedule_settings& settings,
                                           const judgement_settings& limits,
                                           const model::configuration& configuration,
                                           const model::configuration* previous,
                                           core::wall_time now);

} // namespace cyclamen::rollout
