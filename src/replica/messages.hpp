#pragma once

#include <compare>
#include <string>
#include <variant>
#include <vector>

#include "replica/feed_peer.hpp"
#include "replica/row.hpp"
#include "routing/pace_source.hpp"

/// @file
/// Messages between the replica task, the store task and the users of the tables.

namespace cyclamen::replica {

// ---- to the replica task ----

/// The store has answered for a table; the update has no rows if nothing has changed.
struct store_answered {
    const table_update update;

    auto operator<=>(const store_answered&) const = default;
};

/// A request to the store for a table has failed.
struct store_failed {
    const std::string table;

    auto operator<=>(const store_failed&) const = default;
};

/// The list of instances has changed.
struct peers_listed {
    /// True if the list is complete: instances missing from it are gone.
    const bool complete;
    const std::vector<feed_peer> present;
    const std::vector<core::instance_name> gone;

    auto operator<=>(const peers_listed&) const = default;
};

/// What this instance has observed of the paces of targets since the last such message.
struct paces_observed {
    const std::vector<routing::pace_report> paces;
    const core::instant at;

    auto operator<=>(const paces_observed&) const = default;
};

/// Messages to the replica task.
using replica_message = std::variant<store_answered, store_failed, peers_listed, paces_observed>;

// ---- from the replica task ----

/// Sets the tables to read from the store; all others are no longer read.
struct follow_tables {
    /// The tables and the version of each that is already known.
    const std::vector<table_state> wanted;
    /// True if other instances read the store and hand the tables on, so that a store that doesn't
    /// answer may be asked less often.
    const bool relaxed = false;

    auto operator<=>(const follow_tables&) const = default;
};

} // namespace cyclamen::replica
