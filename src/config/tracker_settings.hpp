#pragma once

#include <compare>
#include <cstddef>

#include "core/time.hpp"

namespace cyclamen::config {

/// Periods and limits of configuration_tracker.
struct tracker_settings {
    /// A verification that is older is refreshed from the table, unless a peer's report refreshes
    /// it first.
    const core::duration refresh_after = std::chrono::milliseconds{2000};
    /// Upper bound of the delay that each instance adds to refresh_after, so that few instances
    /// read the table and the others learn the result from them.
    const core::duration refresh_jitter = std::chrono::milliseconds{1500};
    /// Minimum time from the answer to one read until the next read.
    const core::duration read_pause = std::chrono::milliseconds{1000};
    /// A read without an answer is given up after this.
    const core::duration read_limit = std::chrono::milliseconds{3000};
    /// With an older verification the configuration no longer counts as in force.
    const core::duration max_verification_age = std::chrono::seconds{10};
    /// Time that a peer has to send a requested configuration before another peer may be asked.
    const core::duration copy_limit = std::chrono::milliseconds{500};
    /// After a pause new work waits at most this long for fresh knowledge.
    const core::duration hold_limit = std::chrono::seconds{2};
    /// Number of peers that are notified of a new revision or asked for the newest one.
    const std::size_t fan_out = 4;
    /// Number of earlier revisions that an instance keeps, so that it can write them again to a
    /// table that has lost them.
    const std::size_t max_earlier = 8;

    auto operator<=>(const tracker_settings&) const = default;
};

} // namespace cyclamen::config
