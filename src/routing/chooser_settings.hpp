#pragma once

#include <compare>
#include <cstdint>

#include "core/identifier.hpp"
#include "routing/health_settings.hpp"

namespace cyclamen::routing {

/// Cost weights of informed_chooser. Costs are in requests: a cost of 1 counts as much as one more
/// request at the target.
struct chooser_settings {
    /// Failure domain of this instance.
    const core::failure_domain_name failure_domain;
    /// Number of randomly drawn targets to compare, besides those that hold the prefix.
    const std::uint32_t random_choices = 2;
    /// Cost of each prefix block that the target does not hold and must prefill.
    const double block_cost = 0.1;
    /// The same for a resumed generation: higher, since its caller waits in the middle of an
    /// answer.
    const double resumed_block_cost = 0.2;
    /// Cost of a target in another failure domain than this instance.
    const double domain_cost = 0.5;
    /// Cost of each request that exceeds the batch capacity of the target and has to queue.
    const double waiting_cost = 2.0;
    const health_settings health = {};

    auto operator<=>(const chooser_settings&) const = default;
};

} // namespace cyclamen::routing
