#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "core/identifier.hpp"

namespace cyclamen::membership {

/// The changes that are still to be told, each for a number of rounds that grows with the logarithm
/// of the number of instances.
class update_queue {
  public:
    /// @param extra_rounds rounds beyond that logarithm
    explicit update_queue(std::size_t extra_rounds) : extra_rounds_{extra_rounds} {}

    /// Adds a change, or begins to tell it anew.
    /// @param name whom it concerns
    /// @param instances how many instances there are
    void add(const core::instance_name& name, std::size_t instances);

    /// @return the changes for one round, those told least first
    [[nodiscard]] std::vector<core::instance_name> take_round(std::size_t max_updates);

    [[nodiscard]] bool empty() const { return rounds_left_.empty(); }

  private:
    const std::size_t extra_rounds_;
    std::map<core::instance_name, std::size_t> rounds_left_;
};

} // namespace cyclamen::membership
