#pragma once

#include <vector>

#include "replica/row.hpp"
#include "routing/pace_source.hpp"

namespace cyclamen::replica {

/// Receives changes of the tables. Called on the replica task.
class replica_listener {
  public:
    virtual ~replica_listener() = default;

    /// Rows of a table have changed. The first update of a table is complete.
    virtual void on_update(const table_update& update) = 0;

    /// The store was restored from a copy: rows may be lost, removed rows may be back. Changes of
    /// rows that follow from this are passed to on_update() afterwards.
    /// @param restored the complete table as it is in the store
    virtual void on_restored(const table_update& restored) = 0;

    /// A source has confirmed that the copy of the first table is current.
    /// @param source instance that was asked, empty for the store itself
    /// @param at when the store last answered that source; never earlier than in the call before
    virtual void on_confirmed(const core::instance_name& source, core::instant at) = 0;

    /// Other instances have reported how fast targets are. Ignored by listeners that place no
    /// requests.
    virtual void on_paces(const std::vector<routing::pace_report>& /*merged*/) {}
};

} // namespace cyclamen::replica
