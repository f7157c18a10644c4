#pragma once

#include <compare>
#include <string>

#include "core/socket_address.hpp"

namespace cyclamen::relay {

/// Names a copy of a run's memory.
struct run_copy {
    /// Address of the target that names it.
    const core::socket_address issuer;
    const std::string name;

    auto operator<=>(const run_copy&) const = default;
};

} // namespace cyclamen::relay
