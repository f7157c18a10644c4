#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>

#include "api/table_messages.hpp"

namespace cyclamen::table {

/// In-memory transactional table, served by the stand-in and used by tests in place of the
/// platform's table service. Opens no socket and reads no clock. Not thread-safe.
class memory_table {
  public:
    /// Writes all rows of a transaction, or none if a condition fails.
    /// @return table_committed, or table_conflict with the current rows whose conditions failed
    [[nodiscard]] api::table_event commit(const api::table_commit& transaction);

    /// @return table_rows with the existing rows, in the order of the requested keys
    [[nodiscard]] api::table_event read(const api::table_read& query) const;

    /// @return table_rows with the rows of the table whose names start with the prefix, sorted by
    /// name
    [[nodiscard]] api::table_event scan(const api::table_scan& query) const;

    /// Executes a commit, read or scan.
    /// @return the answer to the command
    [[nodiscard]] api::table_event apply(const api::table_command& command);

    /// Returns to an earlier state, and begins the next era.
    /// @param transactions number of transactions that are left; those after it are lost
    /// @return false if the table no longer knows that state, and is unchanged
    bool restore(std::uint64_t transactions);

    /// @return number of committed transactions, without those that a restore has lost
    [[nodiscard]] std::uint64_t transactions() const { return transactions_; }

    /// @return number of times the table was restored
    [[nodiscard]] api::table_era era() const { return era_; }

    /// @return number of rows
    [[nodiscard]] std::size_t size() const { return rows_.size(); }

  private:
    struct stored_row {
        std::string value;
        std::uint64_t writes = 0;
    };

    /// Rows as they were before a transaction; empty for an absent row.
    using previous_rows = std::map<api::row_key, std::optional<stored_row>>;

    std::map<api::row_key, stored_row> rows_;
    /// One entry for each of the last transactions, the newest last.
    std::deque<previous_rows> undo_;
    std::uint64_t transactions_ = 0;
    api::table_era era_;

    /// @return the row; one with an empty value and the number 0 as its version if it is absent
    [[nodiscard]] api::row current_row(const api::row_key& key) const;
    [[nodiscard]] bool holds(const api::row_write& write, const api::row& existing) const;
};

} // namespace cyclamen::table
