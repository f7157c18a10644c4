#pragma once

#include <cstddef>
#include <vector>

#include "replica/feed_peer.hpp"

namespace cyclamen::replica {

/// How many instances read the store for the others.
struct source_choice_settings {
    /// Instances of a failure domain that one reader serves: a poll each of a few hundred bytes
    /// costs a reader about 0.1 ms of processor time.
    const std::size_t max_followers = 64;
    /// Readers of the whole fleet at least, so that one may be lost.
    const std::size_t min_readers = 2;

    auto operator<=>(const source_choice_settings&) const = default;
};

/// Where an instance has its tables from.
struct source_plan {
    /// True where it reads the store, and hands on.
    const bool reads_store;
    /// Readers to ask, best first; without the instance itself.
    const std::vector<feed_peer> readers;

    auto operator<=>(const source_plan&) const = default;
};

/// Chooses the readers of a fleet: in each failure domain the instances with most capacity. All
/// instances that know the same members choose the same readers. The instances of a domain spread
/// over its readers and have those of other domains in reserve.
/// @param members instances that take requests
/// @param self name of the instance that asks
/// @param domain its failure domain
/// @param settings limits
[[nodiscard]] source_plan choose_sources(const std::vector<feed_peer>& members,
                                         const core::instance_name& self,
                                         const core::failure_domain_name& domain,
                                         const source_choice_settings& settings);

} // namespace cyclamen::replica
