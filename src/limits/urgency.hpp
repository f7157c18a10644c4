#pragma once

#include <algorithm>
#include <cstdint>

namespace cyclamen::limits {

/// Rank of a request among those of its service; 0 is served first.
using urgency_rank = std::uint32_t;

/// Number of ranks that engines distinguish.
inline constexpr urgency_rank urgency_count = 10;

/// @return the rank, or the last one if it exceeds that
[[nodiscard]] constexpr urgency_rank bounded_urgency(std::uint32_t rank)
{
    return std::min(rank, urgency_count - 1);
}

} // namespace cyclamen::limits
