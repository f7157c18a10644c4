#pragma once

#include <cstdint>
#include <deque>
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
/// of changes that can be dropped. Its latest transactions can be undone as if the store came back
/// from a copy; the writes of the operator and the runners are returned then to be applied again.
class row_store {
  public:
    /// Maximum number of transactions that can be undone.
    static constexpr std::size_t max_undone_transactions = 4096;

    /// Applies all writes, or none if a condition does not hold.
    /// @return true if the writes were applied
    bool commit(const std::vector<row_condition>& conditions, const std::vector<row_write>& writes);

    /// Applies writes of the operator or the runners, which a restored copy does not lose for good.
    void write_externally(const std::vector<row_write>& writes);

    /// Returns to the state at an earlier version, or to the oldest one that is known. Later
    /// versions are given out again, in a new era.
    /// @return the undone writes of the operator and the runners, by transaction, oldest first
    std::vector<std::vector<row_write>> restore(std::uint64_t version);

    /// Reads a part of a table, in the order of its keys.
    /// @param first_key key to start from
    /// @param max_rows maximum number of rows to return
    [[nodiscard]] replica::table_update read(const std::string& table, const std::string& first_key,
                                             std::size_t max_rows) const;

    /// @return the changes to a table after a version, empty if the history does not reach back to
    ///         this version or the version does not exist
    [[nodiscard]] std::optional<replica::table_update> changes(const std::string& table,
                                                               std::uint64_t after) const;

    /// Drops the history: changes before the current version are no longer known.
    void drop_history();

    [[nodiscard]] std::uint64_t version() const { return version_; }
    /// @return 1, plus the number of times that a copy was restored
    [[nodiscard]] std::uint64_t era() const { return era_; }

  private:
    using row_key = std::pair<std::string, std::string>;

    /// A transaction with what is needed to undo it.
    struct transaction {
        std::uint64_t version;
        bool external;
        std::vector<row_write> writes;
        /// Replaced rows in the order of the writes, empty if there was none.
        std::vector<std::pair<row_key, std::optional<replica::row>>> replaced;
    };

    std::map<row_key, replica::row> rows_;
    std::vector<std::pair<std::string, replica::row>> history_;
    std::deque<transaction> transactions_;
    std::uint64_t version_ = 0;
    std::uint64_t history_start_ = 0;
    std::uint64_t era_ = 1;

    void apply(const std::vector<row_write>& writes, bool external);
    void undo(const transaction& undone);
};

} // namespace cyclamen::standin
