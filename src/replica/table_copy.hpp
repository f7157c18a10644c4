#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "replica/row.hpp"

namespace cyclamen::replica {

/// An instance's copy of one table. Its version never decreases: older updates and rows are
/// dropped. Removed rows are kept as tombstones for a while, so that removals can be served as
/// changes. Used by the replica task.
class table_copy {
  public:
    /// @param name name of the table
    /// @param max_tombstones maximum number of removed rows that are kept
    explicit table_copy(std::string name, std::size_t max_tombstones = 1000);

    /// Applies an update from a source.
    /// @return the changes, empty if there are none; the first update is returned as complete
    [[nodiscard]] std::optional<table_update> apply(const table_update& update);

    /// @param version version that the follower knows, 0 for none
    /// @return changes since that version, or the complete table if those are no longer known
    [[nodiscard]] table_update changes_since(std::uint64_t version) const;

    /// @return true if changes_since() would return rows
    [[nodiscard]] bool has_changes_since(std::uint64_t version) const;

    [[nodiscard]] const std::string& name() const { return name_; }

    /// @return number of the newest transaction that was applied, 0 before the first update
    [[nodiscard]] std::uint64_t version() const { return version_; }

  private:
    const std::string name_;
    const std::size_t max_tombstones_;
    std::map<std::string, row> rows_;
    /// Keys of removed rows, by the version that removed them.
    std::multimap<std::uint64_t, std::string> tombstones_;
    std::uint64_t version_ = 0;
    /// Highest version of a row.
    std::uint64_t last_change_ = 0;
    /// Changes since earlier versions are no longer known completely.
    std::uint64_t history_start_ = 0;

    bool put(const row& changed);
    void erase_tombstone(const std::string& key);
};

} // namespace cyclamen::replica
