#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "replica/row.hpp"

namespace cyclamen::standin {

/// A row that must have this version for a transaction to be applied.
struct row_condition {
    const std::string table;
    const std::string key;
    /// 0 if the row must not exist.
    const std::uint64_t version;

    auto operator<=>(const row_condition&) const = default;
};

/// A row that a transaction writes or removes.
struct row_write {
    const std::string table;
    const std::string key;
    const std::string value;
    const bool removed;

    auto operator<=>(const row_write&) const = default;
};

/// In-memory rows of the stand-in store: tables, one version counter for all of them, and a history
/// of changes that can be dropped.
class row_store {
  public:
    /// Applies all writes, or none if a condition does not hold.
    /// @return true if the writes were applied
    bool commit(const std::vector<row_condition>& conditions, const std::vector<row_write>& writes);

    /// Reads a part of a table, in the order of its keys.
    /// @param first_key key to start from
    /// @param max_rows maximum number of rows to return
    [[nodiscard]] replica::table_update read(const std::string& table, const std::string& first_key,
                                             std::size_t max_rows) const;

    /// @return the changes to a table after a version, empty if the history does not reach back to
    ///         this version
    [[nodiscard]] std::optional<replica::table_update> changes(const std::string& table,
                                                               std::uint64_t after) const;

    /// Drops the history: changes before the current version are no longer known.
    void drop_history();

    [[nodiscard]] std::uint64_t version() const { return version_; }

  private:
    using row_key = std::pair<std::string, std::string>;

    std::map<row_key, replica::row> rows_;
    std::vector<std::pair<std::string, replica::row>> history_;
    std::uint64_t version_ = 0;
    std::uint64_t history_start_ = 0;
};

} // namespace cyclamen::standin
