#pragma once

#include <compare>
#include <cstdint>

#include "core/identifier.hpp"
#include "core/time.hpp"
#include "model/selector.hpp"

namespace cyclamen::model {

/// Identifies one start of a rollout. A veto applies to one key: a changed version or a higher
/// attempt number starts the rollout afresh.
struct rollout_key {
    const core::rollout_name name;
    const core::version_name to;
    const std::uint32_t attempt;

    auto operator<=>(const rollout_key&) const = default;
};

/// Declares that selected traffic of a service moves from one version to another by a deadline.
struct rollout {
    const core::rollout_name name;
    const core::service_name service;
    const core::version_name from;
    const core::version_name to;
    /// Selects the targets of the new version that will serve the traffic, by their labels.
    const selector targets;
    /// Selects the traffic that moves, by the labels of its client account.
    const selector traffic;
    /// When all selected traffic should be on the new version.
    const core::wall_time deadline;
    /// How long the new version is monitored after all traffic has moved.
    const core::duration watch;
    /// Largest share of the selected traffic before the version is proven, in permille.
    const std::uint32_t exposure_permille;
    /// Increased by the operator to restart a rollout that was rolled back.
    const std::uint32_t attempt;
    /// Size of the model weights that each target loads, in bytes.
    const std::uint64_t weights_bytes;

    auto operator<=>(const rollout&) const = default;

    /// @return the key of the vetoes and the evidence that belong to this start
    [[nodiscard]] rollout_key key() const { return {name, to, attempt}; }

    /// @return the largest share of traffic before the version is proven, as a fraction of 1
    [[nodiscard]] double exposure_limit() const
    {
        constexpr double permille = 1000;
        return exposure_permille / permille;
    }
};

} // namespace cyclamen::model
