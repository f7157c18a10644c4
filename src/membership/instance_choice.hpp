#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "api/peer_messages.hpp"
#include "core/socket_address.hpp"
#include "core/time.hpp"

namespace cyclamen::membership {

/// Which instance a caller should use.
struct instance_choice {
    const core::socket_address preferred;
    /// Second choices, best first: those of other failure domains stand before those of the same.
    const std::vector<core::socket_address> alternates;
    /// How long the caller should keep the answer.
    const core::duration cache_time;

    auto operator<=>(const instance_choice&) const = default;
};

/// Chooses evenly among the instances that serve: answers are kept and stale, so a choice by load
/// would send many callers to the one that looked idle.
/// @param members all instances known, this one among them
/// @param self address of this instance, which is named where none serves
/// @param random a random number; it alone makes two answers differ
/// @return the choice
[[nodiscard]] instance_choice choose_instance(const std::vector<api::member>& members,
                                              const core::socket_address& self,
                                              std::uint64_t random);

} // namespace cyclamen::membership
