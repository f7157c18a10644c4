#pragma once

#include <compare>
#include <string>

#include "core/socket_address.hpp"

namespace cyclamen::relay {

/// Handle of a copy of a request's memory.
struct run_copy {
    /// Address of the target that issued the handle.
    const core::socket_address issuer;
    const std::string name;

    auto operator<=>(const run_copy&) const = default;
};

} // namespace cyclamen::relay
