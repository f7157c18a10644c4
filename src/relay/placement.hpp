#pragma once

#include <compare>
#include <map>
#include <optional>
#include <set>

#include "core/identifier.hpp"
#include "relay/reported_load.hpp"
#include "relay/rollout_records.hpp"
#include "relay/target.hpp"

namespace cyclamen::relay {

/// What a request requires of a target.
struct placement_query {
    const core::service_name service;
    /// Tokens that an engine must process before the first event; 0 for plain services.
    const std::uint64_t prompt_tokens;
    /// Requests with the same key prefer the same engines, which may still have the prompt in their
    /// memory. Empty if there is no benefit.
    const std::string prompt_key;
    /// Targets that have been tried; they are chosen last.
    const std::set<core::target_name> tried;
    /// Failure domain of the target that was tried last; other domains are preferred.
    const std::optional<core::failure_domain_name> lost_domain;
    /// Target that has a copy of the request's memory.
    const std::optional<core::target_name> copy_holder;
    /// True if a standby in another failure domain should get a copy.
    const bool wants_standby;
    /// Loads that candidates have reported; if not empty, those candidates are preferred.
    const std::map<core::target_name, reported_load> loads;
    /// Versions that may be chosen, empty if any will do.
    const std::optional<version_rule> rule = {};

    bool operator==(const placement_query&) const = default;
};

/// The targets that were selected for a request.
struct placement {
    const target_record target;
    const std::optional<target_record> standby;
    /// True if the target resumes from its copy.
    const bool from_copy;

    auto operator<=>(const placement&) const = default;
};

} // namespace cyclamen::relay
