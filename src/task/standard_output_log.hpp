#pragma once

#include <compare>
#include <cstddef>

namespace cyclamen::task {

/// Limits on the log output of a process.
struct log_limits {
    /// Maximum lines per second of one event; further lines are counted and dropped. An instance at
    /// its usual load logs a few dozen lines per second in total.
    const std::size_t max_lines_per_event = 200;

    auto operator<=>(const log_limits&) const = default;
};

/// Redirects the log of this process to standard output. Logging never blocks: lines are counted
/// and dropped if standard output isn't being read or if an event exceeds its rate limit.
/// @param limits the rate limit
void log_to_standard_output(const log_limits& limits = {});

} // namespace cyclamen::task
