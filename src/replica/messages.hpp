#pragma once

#include <compare>
#include <string>
#include <variant>
#include <vector>

#include "replica/feed_peer.hpp"
#include "replica/row.hpp"

/// @file
/// Messages between the replica task and those that read the platform's store and use its tables.

namespace cyclamen::replica {

// ---- to the replica task ----

/// The store has answered for a table; without rows where nothing has changed.
struct store_answered {
    const table_update update;

    auto operator<=>(const store_answered&) const = default;
};

/// A call of the store for a table has failed.
struct store_failed {
    const std::string table;

    auto operator<=>(const store_failed&) const = default;
};

/// The list of instances has changed.
struct peers_listed {
    /// True where instances that are not here are gone.
    const bool complete;
    const std::vector<feed_peer> present;
    const std::vector<core::instance_name> gone;

    auto operator<=>(const peers_listed&) const = default;
};

/// What the replica task receives.
using replica_message = std::variant<store_answered, store_failed, peers_listed>;

// ---- from the replica task ----

/// Has tables read from the store. Those that are not here are not read any more.
struct follow_tables {
    /// With what is known of each already.
    const std::vector<table_state> wanted;

    auto operator<=>(const follow_tables&) const = default;
};

} // namespace cyclamen::replica
