#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace cyclamen::replica {

/// A row of a table of the platform's store.
struct row {
    const std::string key;
    const std::string value;
    /// Number of the transaction that last changed it.
    const std::uint64_t version;
    const bool removed;

    auto operator<=>(const row&) const = default;
};

/// Rows of one table as a source tells them.
struct table_update {
    const std::string table;
    /// Number of the newest transaction that is taken in.
    const std::uint64_t version;
    /// True where rows that are not here don't exist.
    const bool complete;
    const std::vector<row> rows;

    auto operator<=>(const table_update&) const = default;
};

/// How far a table is known.
struct table_state {
    const std::string table;
    /// 0 where nothing is known of it.
    const std::uint64_t version;

    auto operator<=>(const table_state&) const = default;
};

} // namespace cyclamen::replica
