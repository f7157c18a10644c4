#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "replica/row.hpp"

namespace cyclamen::replica {

/// What an instance knows of one table. It never goes back: what is older than what is known is
/// dropped. Removed rows are kept for a while, so that changes can be handed on. Used by the
/// replica task.
class table_copy {
  public:
    /// @param name the table
    /// @param max_tombstones removed rows that are kept
    explicit table_copy(std::string name, std::size_t max_tombstones = 1000);

    /// Takes in what a source tells.
    /// @return what has changed, empty where nothing has; whole for the first news
    [[nodiscard]] std::optional<table_update> apply(const table_update& update);

    /// @param version version that the asker knows, 0 for none
    /// @return what has changed since, whole where the changes are no longer known
    [[nodiscard]] table_update changes_since(std::uint64_t version) const;

    /// @return true where changes_since() would return rows
    [[nodiscard]] bool has_changes_since(std::uint64_t version) const;

    [[nodiscard]] const std::string& name() const { return name_; }

    /// @return number of the newest transaction that is taken in, 0 before the first news
    [[nodiscard]] std::uint64_t version() const { return version_; }

  private:
    const std::string name_;
    const std::size_t max_tombstones_;
    std::map<std::string, row> rows_;
    /// Keys of removed rows by the version that removed them.
    std::multimap<std::uint64_t, std::string> tombstones_;
    std::uint64_t version_ = 0;
    /// Newest change of a row.
    std::uint64_t last_change_ = 0;
    /// Changes up to this version are not all known any more.
    std::uint64_t history_start_ = 0;

    bool put(const row& changed);
    void erase_tombstone(const std::string& key);
};

} // namespace cyclamen::replica
