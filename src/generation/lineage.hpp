#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "api/checkpoint_messages.hpp"

namespace cyclamen::generation {

/// Records which owner produced which tokens of an answer. Each owner has a branch; two answers
/// whose lineages share a branch are identical up to the point where one of them leaves it.
class lineage {
  public:
    lineage() = default;
    explicit lineage(std::vector<api::lineage_part> parts) : parts_{std::move(parts)} {}

    /// @param branch branch name of the new owner
    /// @param first position of the first token that the new owner produces
    /// @return this lineage with the new owner appended
    [[nodiscard]] lineage extended(std::string branch, std::uint64_t first) const;

    /// @param branch branch of the last token that the caller received; empty if unknown
    /// @param held how many tokens the caller has
    /// @param size how many tokens this answer has now
    /// @return true if the caller's tokens are certain to be the first ones of this answer
    [[nodiscard]] bool covers(std::string_view branch, std::uint64_t held,
                              std::uint64_t size) const;

    /// @return branch name of the current owner, empty if there is none
    [[nodiscard]] std::string branch() const;

    [[nodiscard]] const std::vector<api::lineage_part>& parts() const { return parts_; }

    auto operator<=>(const lineage&) const = default;

  private:
    std::vector<api::lineage_part> parts_;
};

} // namespace cyclamen::generation
