#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "api/peer_messages.hpp"
#include "core/socket_address.hpp"
#include "core/time.hpp"

namespace cyclamen::membership {

/// Recommendation to a caller: the instance to use and the ones to fall back on.
struct instance_choice {
    const core::socket_address preferred;
    /// Fallbacks in order of preference: instances in other failure domains than the preferred one
    /// come before those in the same.
    const std::vector<core::socket_address> alternates;
    /// How long the caller should cache the answer.
    const core::duration cache_time;

    auto operator<=>(const instance_choice&) const = default;
};

/// Chooses uniformly at random among the serving instances. Callers cache the answer, so a choice
/// by load would act on stale data and send many callers to the instance that looked idle.
/// @param members all known instances, including this one
/// @param self caller address of this instance; the answer if no instance is serving
/// @param random a random number; for equal members the choice depends on it alone
/// @return the preferred instance, its alternates and how long to cache the answer
[[nodiscard]] instance_choice choose_instance(const std::vector<api::member>& members,
                                              const core::socket_address& self,
                                              std::uint64_t random);

} // namespace cyclamen::membership
