#pragma once

#include <compare>
#include <cstddef>

namespace cyclamen::task {

/// Limits of what a process logs.
struct log_limits {
    /// Lines of one event in a second; more are counted and left out. An instance at its usual load
    /// logs a few dozen lines a second in all.
    const std::size_t max_lines_per_event = 200;

    auto operator<=>(const log_limits&) const = default;
};

/// Sends the log of this process to standard output from now on. Lines are dropped and counted
/// rather than waited for where nobody reads them, and where one event comes too often.
void log_to_standard_output(const log_limits& limits = {});

} // namespace cyclamen::task
