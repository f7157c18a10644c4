#pragma once

#include <map>
#include <optional>
#include <vector>

#include "api/peer_messages.hpp"
#include "core/cell.hpp"
#include "core/time.hpp"

namespace cyclamen::membership {

/// @return true if the second report on an instance replaces the first. A report replaces another
/// if it has a later incarnation, a higher version within the same incarnation, or a greater
/// member_state (such as suspect over serving) for the same version.
[[nodiscard]] bool supersedes(const api::member& known, const api::member& reported);

/// The other instances as this instance knows them. Merging is commutative, associative and
/// idempotent, so reports may arrive in any order and more than once.
class member_table {
  public:
    /// One other instance.
    struct entry {
        const api::member member;
        /// When its state last changed in this table.
        const core::instant state_since;

        auto operator<=>(const entry&) const = default;
    };

    /// Stores a report if it supersedes what is known. A report that an unknown instance is gone is
    /// ignored; otherwise peers would pass departed instances around forever.
    /// @return true if the table changed
    bool merge(const api::member& reported, core::instant now);

    /// Marks instances as gone whose peer address now belongs to a newcomer with a later
    /// incarnation.
    /// @return the names of the instances that were marked
    std::vector<core::instance_name> mark_replaced(const api::member& newcomer, core::instant now);

    /// Removes the instances that have been gone since before the given instant.
    void forget_gone(core::instant before);

    /// @return the entry of an instance, null if it is unknown
    [[nodiscard]] const entry* find(const core::instance_name& name) const;

    /// @return all other instances, including those that are gone, sorted by name
    [[nodiscard]] const std::map<core::instance_name, core::cell<entry>>& all() const
    {
        return entries_;
    }

    /// @return the instances that are not gone
    [[nodiscard]] std::vector<api::member> present() const;

  private:
    std::map<core::instance_name, core::cell<entry>> entries_;

    void put(const api::member& member, core::instant now);
};

} // namespace cyclamen::membership
