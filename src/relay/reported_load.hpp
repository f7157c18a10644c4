#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "core/time.hpp"
#include "limits/urgency.hpp"

namespace cyclamen::relay {

/// Running requests of one urgency.
struct runs_of_urgency {
    const limits::urgency_rank urgency;
    const std::uint32_t count;
    /// Tokens in memory.
    const std::uint64_t tokens;

    auto operator<=>(const runs_of_urgency&) const = default;
};

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
    /// Running requests by urgency, in ascending order; empty if the engine doesn't list them.
    const std::vector<runs_of_urgency> runs = {};

    auto operator<=>(const reported_load&) const = default;
};

} // namespace cyclamen::relay
