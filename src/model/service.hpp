#pragma once

#include <compare>
#include <vector>

#include "core/identifier.hpp"

namespace cyclamen::model {

/// The kind of work that the targets of a service do.
enum class service_kind {
    /// They generate tokens. The service is a model, which callers specify in `model`.
    generation,
    /// They answer plain HTTP requests, which callers send to `/services/NAME/`.
    plain,
};

/// A named group of targets; callers address requests to it by name.
struct service {
    const core::service_name name;
    const service_kind kind;
    /// The version that serves the traffic that no rollout moves.
    const core::version_name version;

    auto operator<=>(const service&) const = default;
};

} // namespace cyclamen::model
