#pragma once

#include <compare>
#include <string>
#include <vector>

#include "core/store_version.hpp"

namespace cyclamen::replica {

/// A row of a table of the platform's store.
struct row {
    const std::string key;
    const std::string value;
    /// Transaction that last changed the row.
    const core::store_version version;
    const bool removed;

    auto operator<=>(const row&) const = default;
};

/// Rows of one table as sent by a source: the complete table or changes.
struct table_update {
    const std::string table;
    /// Newest transaction that is included.
    const core::store_version version;
    /// True if the update is the complete table: rows missing from it don't exist.
    const bool complete;
    const std::vector<row> rows;

    auto operator<=>(const table_update&) const = default;
};

/// Version of a table that is known.
struct table_state {
    const std::string table;
    /// The default value if nothing is known of the table.
    const core::store_version version;

    auto operator<=>(const table_state&) const = default;
};

} // namespace cyclamen::replica
