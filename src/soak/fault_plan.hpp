#pragma once

#include <compare>
#include <cstdint>
#include <string_view>
#include <vector>

#include "core/time.hpp"

namespace cyclamen::soak {

/// Disturbance that a soak test causes.
enum class fault_kind {
    /// Signals to an instance: SIGKILL, SIGSTOP, SIGTERM and SIGHUP.
    instance_killed,
    instance_paused,
    instance_stopped,
    instance_reloaded,
    /// Faults of the proxy between one instance and the store.
    store_delayed,
    store_reset,
    store_cut,
    store_one_way,
    /// Faults of the proxy between a runner and all instances.
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
    /// A new configuration revision with one more route.
    configured,
    /// The store is away for the length of the fault and comes back from a copy.
    store_restored,
    /// The open connections of a runner carry no more answers; new ones work.
    runner_channels_silent,
    /// A runner reads and sends nothing for at most a second, and its runs go on.
    runner_paused,
};

/// Number of fault kinds.
inline constexpr std::uint32_t fault_kind_count =
    static_cast<std::uint32_t>(fault_kind::runner_paused) + 1;

/// @return the name of a fault kind, for reports
[[nodiscard]] std::string_view to_text(fault_kind kind);

/// A fault with its time and subject.
struct planned_fault {
    /// Start, relative to the start of the traffic.
    const core::duration at;
    const fault_kind kind;
    /// Index of the instance or runner, modulo their number.
    const std::uint32_t subject;
    /// Duration, if the fault has one.
    const core::duration length;

    auto operator<=>(const planned_fault&) const = default;
};

/// @param seed seed of the random generator; the same seed gives the same plan
/// @param length length of the traffic; all faults end at least 3 s before its end
/// @return faults in the order of their start; they may overlap
[[nodiscard]] std::vector<planned_fault> plan_faults(std::uint64_t seed, core::duration length);

/// Plans runners and connections that fall silent beside changes of the configuration, and nothing
/// else, so that every stream must end whole.
/// @param seed seed of the random generator; the same seed gives the same plan
/// @param length length of the traffic; all faults end at least 3 s before its end
/// @return faults in the order of their start; they may overlap
[[nodiscard]] std::vector<planned_fault> plan_silences(std::uint64_t seed, core::duration length);

} // namespace cyclamen::soak
