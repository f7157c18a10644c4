#pragma once

#include <compare>
#include <map>
#include <optional>
#include <set>

#include "core/identifier.hpp"
#include "relay/reported_load.hpp"
#include "relay/target.hpp"

namespace cyclamen::relay {

/// What a request needs of a target.
struct placement_query {
    const core::service_name service;
    /// Tokens that an engine must read before the first event; 0 for plain services.
    const std::uint64_t prompt_tokens;
    /// Requests with the same key prefer the same engines, which may still hold their prompt; empty
    /// where that gains nothing.
    const std::string prompt_key;
    /// Targets that have been tried; they come last.
    const std::set<core::target_name> tried;
    /// Failure domain of the target that was tried last; others go first.
    const std::optional<core::failure_domain_name> lost_domain;
    /// Target that holds a copy of the request's memory.
    const std::optional<core::target_name> copy_holder;
    /// True where a second target in another failure domain should get a copy.
    const bool wants_standby;
    /// Loads of the candidates that have answered; where there are some, only these are chosen.
    const std::map<core::target_name, reported_load> loads;

    bool operator==(const placement_query&) const = default;
};

/// Where a request goes.
struct placement {
    const target_record target;
    const std::optional<target_record> standby;
    /// True where the target goes on from its copy.
    const bool from_copy;

    auto operator<=>(const placement&) const = default;
};

} // namespace cyclamen::relay
