#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "replica/row.hpp"

namespace cyclamen::standin {

/// A row that a transaction must find as it is.
struct row_condition {
    const std::string table;
    const std::string key;
    /// 0 where the row must not exist.
    const std::uint64_t version;

    auto operator<=>(const row_condition&) const = default;
};

/// A row that a transaction writes.
struct row_write {
    const std::string table;
    const std::string key;
    const std::string value;
    const bool removed;

    auto operator<=>(const row_write&) const = default;
};

/// The rows of the stand-in for the users' store: tables, one counter of versions, and a history of
/// changes that may be dropped.
class row_store {
  public:
    /// Applies all writes, or none where a condition does not hold.
    /// @return true where they were applied
    bool commit(const std::vector<row_condition>& conditions, const std::vector<row_write>& writes);

    /// @param from first key
    /// @param most rows that are returned at most
    [[nodiscard]] replica::table_update read(const std::string& table, const std::string& first_key,
                                             std::size_t max_rows) const;

    /// @return the changes after a version, empty where they are no longer known
    [[nodiscard]] std::optional<replica::table_update> changes(const std::string& table,
                                                               std::uint64_t after) const;

    /// Drops the history.
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
