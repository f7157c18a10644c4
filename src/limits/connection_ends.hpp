#pragma once

#include <compare>
#include <cstdint>

namespace cyclamen::limits {

/// Numbers of callers' connections that were ended by a limit.
struct connection_ends {
    /// Gave way to a new connection.
    const std::uint64_t displaced = 0;
    /// Were not accepted, as requests were being answered on all others.
    const std::uint64_t refused = 0;
    /// Held too much memory.
    const std::uint64_t given_up = 0;

    auto operator<=>(const connection_ends&) const = default;
};

/// @return the sum of both
[[nodiscard]] constexpr connection_ends operator+(const connection_ends& left,
                                                  const connection_ends& right)
{
    return {left.displaced + right.displaced, left.refused + right.refused,
            left.given_up + right.given_up};
}

/// @return what came to `later` after `earlier`
[[nodiscard]] constexpr connection_ends operator-(const connection_ends& later,
                                                  const connection_ends& earlier)
{
    return {later.displaced - earlier.displaced, later.refused - earlier.refused,
            later.given_up - earlier.given_up};
}

} // namespace cyclamen::limits
