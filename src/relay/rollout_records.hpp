#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "core/identifier.hpp"
#include "core/store_version.hpp"
#include "core/time.hpp"

namespace cyclamen::relay {

/// The operator's order to move a service to a new version.
struct rollout_order {
    const core::service_name service;
    const core::version_name version;
    /// Time in which the order is to be completed or rolled back.
    const core::duration time_limit;
    /// Position of the order among all changes of the store.
    const core::store_version store_version;

    auto operator<=>(const rollout_order&) const = default;

    /// @return true if the other order asks for the same; its position may differ
    [[nodiscard]] bool repeats(const rollout_order& other) const
    {
        return service == other.service && version == other.version &&
               time_limit == other.time_limit;
    }
};

enum class rollout_state { running, completed, rolled_back };

/// State of a rollout, as written by an instance.
struct rollout_outcome {
    const core::service_name service;
    const core::version_name version;
    const rollout_state state;
    /// Position among all changes of the store; an outcome before its order belongs to an earlier
    /// one.
    const core::store_version store_version;

    auto operator<=>(const rollout_outcome&) const = default;
};

/// Numbers of requests that an instance has seen end well or badly during a rollout.
struct version_counts {
    const std::uint32_t old_good = 0;
    const std::uint32_t old_bad = 0;
    const std::uint32_t new_good = 0;
    const std::uint32_t new_bad = 0;

    auto operator<=>(const version_counts&) const = default;
};

/// What an instance has seen of a rollout.
struct rollout_evidence {
    const core::service_name service;
    const core::version_name version;
    const core::instance_name instance;
    /// Position of the order to which it belongs.
    const core::store_version order;
    const version_counts counts;

    auto operator<=>(const rollout_evidence&) const = default;
};

/// Which targets of a service a request may be sent to.
struct version_rule {
    const core::version_name version;
    /// True if only targets of that version are chosen, false if all others are.
    const bool required;

    [[nodiscard]] bool admits(const core::version_name& candidate) const
    {
        return (candidate == version) == required;
    }

    auto operator<=>(const version_rule&) const = default;
};

} // namespace cyclamen::relay
