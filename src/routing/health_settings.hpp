#pragma once

#include <compare>
#include <cstdint>

#include "core/time.hpp"

namespace cyclamen::routing {

/// When targets are ejected and how they come back.
struct health_settings {
    /// A target is ejected when its score, which each loss raises by 1, comes to this.
    const double ejection_threshold = 2.0;
    /// What a success leaves of the score.
    const double success_decay = 0.8;
    /// Largest part of the targets of one version that may be ejected at a time.
    const double max_ejected_fraction = 0.5;
    /// How long a target that lost work is the last choice.
    const core::duration suspect_time = std::chrono::seconds{2};
    /// How long a target is ejected; each further ejection in a row takes twice as long.
    const core::duration base_ejection_time = std::chrono::seconds{4};
    const core::duration max_ejection_time = std::chrono::seconds{64};
    /// A target that comes back gets its full part of the work no sooner than this.
    const core::duration ramp_time = std::chrono::seconds{10};
    /// Successes that it must show meanwhile; without them the ramp takes longer.
    const std::uint32_t ramp_successes = 4;
    const core::duration unproven_ramp_time = std::chrono::seconds{60};
    /// Part of the work that it gets at first.
    const double initial_weight = 0.1;

    auto operator<=>(const health_settings&) const = default;
};

} // namespace cyclamen::routing
