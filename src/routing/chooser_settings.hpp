#pragma once

#include <compare>
#include <cstdint>

#include "core/identifier.hpp"
#include "routing/health_settings.hpp"

namespace cyclamen::routing {

/// How an informed chooser weighs what it knows. Costs are in requests: a cost of 1 counts as much
/// as one more request at the target.
struct chooser_settings {
    /// Failure domain of this instance.
    const core::failure_domain_name failure_domain;
    /// How many random targets are compared, besides those that hold the prefix.
    const std::uint32_t random_choices = 2;
    /// What a prefix block that the target must prefill costs.
    const double block_cost = 0.1;
    /// For resumed work, whose caller waits in the middle of an answer.
    const double resumed_block_cost = 0.2;
    /// What another failure domain costs.
    const double domain_cost = 0.5;
    /// What a request past the capacity of the batch costs.
    const double waiting_cost = 2.0;
    const health_settings health = {};

    auto operator<=>(const chooser_settings&) const = default;
};

} // namespace cyclamen::routing
