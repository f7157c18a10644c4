#pragma once

#include <map>
#include <utility>

#include "api/table_messages.hpp"

namespace cyclamen::table {

/// A transactional table in memory: what the stand-in serves and what tests ask instead of the
/// platform's. Opens no socket and reads no clock. Used by one owner.
class memory_table {
  public:
    /// Writes all rows of a transaction or none.
    /// @return table_committed, or table_conflict with the rows whose conditions failed
    [[nodiscard]] api::table_event commit(const api::table_commit& transaction);

    /// @return table_rows with the rows that are there, in the order of the keys
    [[nodiscard]] api::table_event read(const api::table_read& query) const;

    /// @return table_rows with the rows whose names start with the prefix, sorted by name
    [[nodiscard]] api::table_event scan(const api::table_scan& query) const;

    /// Does what the command says.
    /// @return the answer
    [[nodiscard]] api::table_event apply(const api::table_command& command);

    /// @return how many rows there are
    [[nodiscard]] std::size_t size() const { return rows_.size(); }

  private:
    struct stored_row {
        std::string value;
        api::row_version version;
    };

    std::map<api::row_key, stored_row> rows_;

    [[nodiscard]] api::row current_row(const api::row_key& key) const;
};

} // namespace cyclamen::table
