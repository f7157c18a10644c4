#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "replica/row.hpp"

namespace cyclamen::replica {

/// What an update has changed in the copy of a table.
struct table_change {
    /// The changed rows; complete if the update was the first one.
    const table_update update;
    /// True if the update is the first one of a newer era: the rows of the update are what the
    /// restored store has, and its removed rows are those that the store has lost.
    const bool restored;
    /// Keys of the rows that the copy knew as removed and that a restored store has again.
    const std::set<std::string> revived;

    auto operator<=>(const table_change&) const = default;
};

/// An instance's copy of one table. Its version never decreases: older updates and rows are
/// dropped. The first update of a newer era must be complete. Removed rows are kept as tombstones
/// for a while, so that removals can be served as changes. Used by the replica task.
class table_copy {
  public:
    /// @param name name of the table
    /// @param max_tombstones maximum number of removed rows that are kept
    explicit table_copy(std::string name, std::size_t max_tombstones = 1000);

    /// Applies an update from a source.
    /// @return what it has changed, empty if nothing
    [[nodiscard]] std::optional<table_change> apply(const table_update& update);

    /// @param version version that the follower knows, the default value for none
    /// @return changes since that version, or the complete table if those are no longer known
    [[nodiscard]] table_update changes_since(const core::store_version& version) const;

    /// @return true if changes_since() would return rows
    [[nodiscard]] bool has_changes_since(const core::store_version& version) const;

    [[nodiscard]] const std::string& name() const { return name_; }

    /// @return newest transaction that was applied, the default value before the first update
    [[nodiscard]] const core::store_version& version() const { return version_; }

  private:
    const std::string name_;
    const std::size_t max_tombstones_;
    std::map<std::string, row> rows_;
    /// Keys of removed rows, by the version that removed them.
    std::multimap<core::store_version, std::string> tombstones_;
    core::store_version version_;
    /// Highest version of a row.
    core::store_version last_change_;
    /// Changes since earlier versions are no longer known completely.
    core::store_version history_start_;

    bool put(const row& changed);
    void erase_tombstone(const std::string& key);
};

} // namespace cyclamen::replica
