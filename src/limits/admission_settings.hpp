#pragma once

#include <compare>
#include <cstdint>

#include "core/time.hpp"

namespace cyclamen::limits {

/// How an instance takes its part of the capacity.
struct admission_settings {
    /// How many instances share the capacity while their number is not known.
    const std::uint32_t default_instance_count = 20;
    /// An instance uses at most this many times its even part, whatever its peers report. The
    /// fleet together never starts more than this many times the capacity.
    const double max_borrow_factor = 2.0;
    /// Part of its limit that an instance goes over for accounts that have nothing open.
    const double first_slot_margin = 0.05;
    /// How long a peer's report counts.
    const core::duration report_ttl = std::chrono::seconds{3};
    /// How often the parts are formed anew under load.
    const core::duration share_update_period = std::chrono::milliseconds{100};
    /// How soon the parts may be formed anew where new work finds no room.
    const core::duration min_share_update_period = std::chrono::milliseconds{10};
    /// How much work of one account may wait.
    const std::size_t max_waiting_per_account = 1000;
    /// Longest that a refused caller is told to wait.
    const core::duration max_retry_after = std::chrono::seconds{60};
    /// Estimates of how long work takes are multiplied by this before a deadline is held against
    /// them.
    const double duration_margin = 1.1;

    auto operator<=>(const admission_settings&) const = default;
};

} // namespace cyclamen::limits
