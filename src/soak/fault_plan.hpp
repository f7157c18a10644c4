#pragma once

#include <compare>
#include <cstdint>
#include <string_view>
#include <vector>

#include "core/time.hpp"

namespace cyclamen::soak {

/// What a soak does to the system.
enum class fault_kind {
    /// Signals to an instance.
    instance_killed,
    instance_paused,
    instance_stopped,
    instance_reloaded,
    /// What the proxy before the store does to one instance.
    store_delayed,
    store_reset,
    store_cut,
    store_one_way,
    /// What the proxy before a runner does to all.
    runner_delayed,
    runner_reset,
    runner_cut,
    runner_one_way,
    /// Faults of the store itself.
    store_silent,
    store_down,
    store_busy,
    store_losing,
    store_slow,
    history_dropped,
    /// Faults of a runner itself.
    runner_killed,
    runner_dark,
    runner_leaving,
    runner_shedding,
    runner_failing,
    runner_losing,
    runner_cutting,
    runner_mixing,
    runner_garbling,
    runner_ambiguous,
    /// A new configuration with one more route.
    configured,
};

/// Number of kinds.
inline constexpr std::uint32_t fault_kind_count =
    static_cast<std::uint32_t>(fault_kind::configured) + 1;

/// @return its name, as in the report
[[nodiscard]] std::string_view to_text(fault_kind kind);

/// One thing that a soak does.
struct planned_fault {
    /// Since the start of traffic.
    const core::duration at;
    const fault_kind kind;
    /// Which instance or runner, to be taken modulo their number.
    const std::uint32_t subject;
    /// How long it lasts, where it ends by itself.
    const core::duration length;

    auto operator<=>(const planned_fault&) const = default;
};

/// @param seed decides everything
/// @param length length of the soak; faults end a little before
/// @return faults in the order of their begin: some in series, some that overlap
[[nodiscard]] std::vector<planned_fault> plan_faults(std::uint64_t seed, core::duration length);

} // namespace cyclamen::soak
