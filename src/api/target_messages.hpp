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
/// What the decision task and the status task, which asks targets how they are, tell each other.

namespace cyclamen::api {

/// Ask a target for its load and the changes of its cache.
struct ask_target {
    const core::target_name target;
    const core::socket_address address;
    /// Number of the last change of its cache that is known, 0 for none.
    const std::uint64_t last_change;

    auto operator<=>(const ask_target&) const = default;
};

using target_command = std::variant<ask_target>;

/// A target told its load.
struct target_load_report {
    const core::target_name target;
    const std::uint32_t running;
    const std::uint32_t waiting;
    /// Requests that its batch holds at most; 0 where it does not say.
    const std::uint32_t capacity;
    /// How old the figures are.
    const core::duration age;
    /// True where the target takes no new work because it is about to stop.
    const bool leaving;

    auto operator<=>(const target_load_report&) const = default;
};

/// A target told one change of its cache.
struct target_cache_change {
    const core::target_name target;
    const std::uint64_t number;
    /// Hashes by model::prefix_blocks().
    const std::vector<std::uint64_t> stored;
    const std::vector<std::uint64_t> dropped;
    const core::duration age;

    auto operator<=>(const target_cache_change&) const = default;
};

/// A target gave no usable answer.
struct target_query_failed {
    const core::target_name target;
    const std::string detail;

    auto operator<=>(const target_query_failed&) const = default;
};

using target_event = std::variant<target_load_report, target_cache_change, target_query_failed>;

} // namespace cyclamen::api
