#pragma once

#include <compare>
#include <cstdint>

#include "core/time.hpp"

namespace cyclamen::routing {

/// Load of a target, as reported by that target.
struct load_report {
    /// Requests in the running batch.
    const std::uint32_t running;
    /// Requests queued for the batch.
    const std::uint32_t waiting;
    /// Maximum number of requests in the batch; 0 if the target does not report it.
    const std::uint32_t capacity;
    /// Age of the figures at the time the report was sent.
    const core::duration age;

    auto operator<=>(const load_report&) const = default;
};

} // namespace cyclamen::routing
