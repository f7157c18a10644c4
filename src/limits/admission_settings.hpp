#pragma once

#include <compare>
#include <cstdint>

#include "core/time.hpp"

namespace cyclamen::limits {

/// Limits and periods by which an instance claims its part of the service capacity.
struct admission_settings {
    /// Number of instances to assume while the real number is unknown.
    const std::uint32_t default_instance_count = 20;
    /// An instance uses at most this many times its even part of the capacity, whatever its peers
    /// report. All instances together never start more than this many times the capacity.
    const double max_borrow_factor = 2.0;
    /// Fraction of its limit by which an instance may exceed it for accounts with nothing open.
    const double first_slot_margin = 0.05;
    /// How long the demand report of a peer remains valid.
    const core::duration report_ttl = std::chrono::seconds{3};
    /// How often the shares are recomputed under load.
    const core::duration share_update_period = std::chrono::milliseconds{100};
    /// Minimum time between two recomputations that are caused by a request without a free slot.
    const core::duration min_share_update_period = std::chrono::milliseconds{10};
    /// Maximum number of waiting requests of one account.
    const std::size_t max_waiting_per_account = 1000;
    /// Maximum retry delay given to a refused caller.
    const core::duration max_retry_after = std::chrono::seconds{60};
    /// Safety factor on the estimated duration of a request before it is compared with the
    /// deadline.
    const double duration_margin = 1.1;

    auto operator<=>(const admission_settings&) const = default;
};

} // namespace cyclamen::limits
