#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "core/time.hpp"

namespace cyclamen::routing {

/// A change in the prefix cache of a target, as reported by that target.
struct cache_change {
    /// Sequence number, incremented by one for each change; a gap means that changes were lost.
    const std::uint64_t number;
    /// Hashes of the blocks that were added, as computed by model::prefix_blocks().
    const std::vector<std::uint64_t> stored;
    /// Hashes of the blocks that were evicted.
    const std::vector<std::uint64_t> dropped;
    /// Age of the change at the time the report was sent.
    const core::duration age;

    auto operator<=>(const cache_change&) const = default;
};

} // namespace cyclamen::routing
