#pragma once

#include <compare>
#include <cstdint>

#include "core/time.hpp"

namespace cyclamen::routing {

/// Passive health checks: when a target is ejected and how it returns to service.
struct health_settings {
    /// A target is ejected when its loss score reaches this value. Each lost attempt adds 1.
    const double ejection_threshold = 2.0;
    /// Factor that each success applies to the loss score.
    const double success_decay = 0.8;
    /// Maximum fraction of the targets of one version that may be ejected at the same time.
    const double max_ejected_fraction = 0.5;
    /// How long a target that lost an attempt is used only if no ready target is left.
    const core::duration suspect_time = std::chrono::seconds{2};
    /// Duration of the first ejection; it doubles with each consecutive ejection.
    const core::duration base_ejection_time = std::chrono::seconds{4};
    const core::duration max_ejection_time = std::chrono::seconds{64};
    /// Minimum time after an ejection until the target gets its full share of work (slow start).
    const core::duration ramp_time = std::chrono::seconds{10};
    /// Successes needed to complete the ramp within `ramp_time`.
    const std::uint32_t ramp_successes = 4;
    /// Length of the ramp if too few attempts succeed, for example because there is little work.
    const core::duration unproven_ramp_time = std::chrono::seconds{60};
    /// Fraction of the usual work that the target gets at the start of the ramp.
    const double initial_weight = 0.1;

    auto operator<=>(const health_settings&) const = default;
};

} // namespace cyclamen::routing
