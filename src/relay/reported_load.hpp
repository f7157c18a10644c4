#pragma once

#include <compare>
#include <cstdint>

namespace cyclamen::relay {

/// What an engine says of its own load; some hundred milliseconds old when it arrives.
struct reported_load {
    const std::uint32_t waiting;
    const std::uint32_t running;
    /// Tokens in memory that can't be dropped.
    const std::uint64_t memory_used;
    const std::uint64_t memory_total;

    auto operator<=>(const reported_load&) const = default;
};

} // namespace cyclamen::relay
