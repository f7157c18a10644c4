#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "core/identifier.hpp"

namespace cyclamen::membership {

/// Membership changes that are still to be sent to peers. Each change is sent in a number of rounds
/// that grows with the logarithm of the number of instances.
class update_queue {
  public:
    /// @param extra_rounds rounds in addition to that logarithm
    explicit update_queue(std::size_t extra_rounds) : extra_rounds_{extra_rounds} {}

    /// Adds a change, or resets the number of rounds of a change that is already queued.
    /// @param name the instance that changed
    /// @param instances number of instances in the system
    void add(const core::instance_name& name, std::size_t instances);

    /// Takes the changes for one round.
    /// @param max_updates largest number of changes to take
    /// @return the names of the instances that changed, those sent least often first
    [[nodiscard]] std::vector<core::instance_name> take_round(std::size_t max_updates);

    [[nodiscard]] bool empty() const { return rounds_left_.empty(); }

  private:
    const std::size_t extra_rounds_;
    std::map<core::instance_name, std::size_t> rounds_left_;
};

} // namespace cyclamen::membership
