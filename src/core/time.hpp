#pragma once

#include <chrono>

namespace cyclamen::core {

using duration = std::chrono::nanoseconds;

/// A point of the monotonic clock of one process.
using instant = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// A point of civil time, for deadlines that operators state and for logs.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

/// @return the duration in seconds
[[nodiscard]] constexpr double to_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

/// @return the duration in milliseconds
[[nodiscard]] constexpr double to_milliseconds(duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

/// @return the duration of a number of seconds
[[nodiscard]] constexpr duration from_seconds(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

/// @return the part of a duration
[[nodiscard]] constexpr duration fraction_of(duration whole, double fraction)
{
    return from_seconds(to_seconds(whole) * fraction);
}

} // namespace cyclamen::core
