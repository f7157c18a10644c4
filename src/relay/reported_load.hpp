#pragma once

#include <compare>
#include <cstdint>

#include "core/time.hpp"

namespace cyclamen::relay {

/// What an engine says of its own load; some hundred milliseconds old when it arrives.
struct reported_load {
    const std::uint32_t waiting;
    const std::uint32_t running;
    /// Tokens in memory that can't be dropped.
    const std::uint64_t memory_used;
    const std::uint64_t memory_total;
    /// When the life of the engine that answered began.
    const core::wall_time started_at;
    const bool leaving;

    auto operator<=>(const reported_load&) const = default;
};

} // namespace cyclamen::relay
