#pragma once

#include <compare>
#include <cstdint>

#include "core/time.hpp"

namespace cyclamen::relay {

/// Load that an engine reports of itself. It is a few hundred milliseconds old on arrival.
struct reported_load {
    /// Requests without an event yet.
    const std::uint32_t waiting;
    const std::uint32_t running;
    /// Tokens in memory that can't be evicted.
    const std::uint64_t memory_used;
    const std::uint64_t memory_total;
    /// Start time of the incarnation that answered; the epoch if unknown.
    const core::wall_time started_at;
    const bool leaving;

    auto operator<=>(const reported_load&) const = default;
};

} // namespace cyclamen::relay
