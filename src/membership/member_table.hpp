#pragma once

#include <map>
#include <optional>
#include <vector>

#include "api/peer_messages.hpp"
#include "core/cell.hpp"
#include "core/time.hpp"

namespace cyclamen::membership {

/// @return true where the second report on one instance takes the place of the first: it is of a
/// later life, a later statement of that life, or the graver of two reports on one statement
[[nodiscard]] bool supersedes(const api::member& known, const api::member& reported);

/// What one instance knows of the others. Merging is commutative, associative and idempotent, so
/// that reports may come in any order and more than once.
class member_table {
  public:
    /// One other instance.
    struct entry {
        const api::member member;
        /// When its state last changed here.
        const core::instant state_since;

        auto operator<=>(const entry&) const = default;
    };

    /// Takes a report over where it is newer than what is known. An unknown instance that is gone
    /// is not taken over, so that those who left are forgotten in the end.
    /// @return true where something changed
    bool merge(const api::member& reported, core::instant now);

    /// Marks the instances gone that an address was taken from by a later life.
    /// @return the names of those that it changed
    std::vector<core::instance_name> mark_replaced(const api::member& newcomer, core::instant now);

    /// Forgets those that have been gone for long.
    void forget_gone(core::instant before);

    /// @return what is known of an instance, null where nothing is
    [[nodiscard]] const entry* find(const core::instance_name& name) const;

    /// @return all other instances, sorted by name, those that are gone too
    [[nodiscard]] const std::map<core::instance_name, core::cell<entry>>& all() const
    {
        return entries_;
    }

    /// @return those that are not gone
    [[nodiscard]] std::vector<api::member> present() const;

  private:
    std::map<core::instance_name, core::cell<entry>> entries_;

    void put(const api::member& member, core::instant now);
};

} // namespace cyclamen::membership
