#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/identifier.hpp"
#include "core/socket_address.hpp"
#include "core/time.hpp"

/// @file
/// Messages between the decision task and the status task, which queries the status of targets.

namespace cyclamen::api {

/// Command: query a target for its load and the changes of its cache.
struct ask_target {
    const core::target_name target;
    const core::socket_address address;
    /// Number of the last known change of its cache, 0 if none is known.
    const std::uint64_t last_change;

    auto operator<=>(const ask_target&) const = default;
};

/// Commands of the decision task to the status task.
using target_command = std::variant<ask_target>;

/// A target reported its load.
struct target_load_report {
    const core::target_name target;
    /// Requests in the running batch.
    const std::uint32_t running;
    /// Requests queued for the batch.
    const std::uint32_t waiting;
    /// Maximum number of requests in a batch; 0 if the target doesn't report it.
    const std::uint32_t capacity;
    /// Age of these figures.
    const core::duration age;
    /// True if the target accepts no new work because it is about to stop.
    const bool leaving;

    auto operator<=>(const target_load_report&) const = default;
};

/// A target reported one change of its cache.
struct target_cache_change {
    const core::target_name target;
    /// Sequence number of the change.
    const std::uint64_t number;
    /// Hashes of the prefix blocks that were added, as computed by model::prefix_blocks().
    const std::vector<std::uint64_t> stored;
    /// Hashes of the prefix blocks that were evicted.
    const std::vector<std::uint64_t> dropped;
    /// Time since the change.
    const core::duration age;

    auto operator<=>(const target_cache_change&) const = default;
};

/// A query of a target got no usable answer.
struct target_query_failed {
    const core::target_name target;
    const std::string detail;

    auto operator<=>(const target_query_failed&) const = default;
};

/// Events of the status task for the decision task.
using target_event = std::variant<target_load_report, target_cache_change, target_query_failed>;

} // namespace cyclamen::api
