#pragma once

#include <chrono>

namespace cyclamen::core {

using duration = std::chrono::nanoseconds;

/// A point in time of the monotonic clock; comparable only within one process.
using instant = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// A point in wall-clock time, for logs and for deadlines that operators declare.
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

/// @return the number of seconds as a duration
[[nodiscard]] constexpr duration from_seconds(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

/// @param whole a duration
/// @param fraction factor, which may exceed 1
/// @return the duration multiplied by the factor
[[nodiscard]] constexpr duration fraction_of(duration whole, double fraction)
{
    return from_seconds(to_seconds(whole) * fraction);
}

} // namespace cyclamen::core
