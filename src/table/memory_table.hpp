#pragma once

#include <map>
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

    /// @return number of rows
    [[nodiscard]] std::size_t size() const { return rows_.size(); }

  private:
    struct stored_row {
        std::string value;
        api::row_version version;
    };

    std::map<api::row_key, stored_row> rows_;

    /// @return the row; one with an empty value and version 0 if it is absent
    [[nodiscard]] api::row current_row(const api::row_key& key) const;
};

} // namespace cyclamen::table
