#pragma once

#include <cstddef>
#include <vector>

#include "replica/feed_peer.hpp"

namespace cyclamen::replica {

/// Limits that determine how many instances read the store for the others.
struct source_choice_settings {
    /// Maximum number of instances of a failure domain per reader. Each poll has a few hundred
    /// bytes and costs the reader about 0.1 ms of processor time.
    const std::size_t max_followers = 64;
    /// Minimum number of readers in the fleet, so that one may be lost.
    const std::size_t min_readers = 2;

    auto operator<=>(const source_choice_settings&) const = default;
};

/// The source of an instance's tables.
struct source_plan {
    /// True if the instance reads the store and serves the tables to others.
    const bool reads_store;
    /// Other readers to ask, in order of preference.
    const std::vector<feed_peer> readers;
    /// All other instances, in an order that differs from instance to instance. They may read the
    /// store while the readers can't.
    const std::vector<feed_peer> others;

    auto operator<=>(const source_plan&) const = default;
};

/// Chooses the readers of a fleet: in each failure domain the instances with the highest capacity.
/// All instances that know the same members choose the same readers. The instances of a domain are
/// spread over its readers and fall back to those of other domains.
/// @param members instances that accept requests
/// @param self name of the instance for which the plan is made
/// @param domain its failure domain
/// @param settings limits
/// @return the plan for that instance
[[nodiscard]] source_plan choose_sources(const std::vector<feed_peer>& members,
                                         const core::instance_name& self,
                                         const core::failure_domain_name& domain,
                                         const source_choice_settings& settings);

} // namespace cyclamen::replica
