#pragma once

#include <compare>

#include "core/identifier.hpp"
#include "core/socket_address.hpp"

namespace cyclamen::replica {

/// An instance from which tables can be replicated.
struct feed_peer {
    /// Empty if only the address is known.
    const core::instance_name name;
    const core::failure_domain_name domain;
    /// Address at which it serves tables.
    const core::socket_address feed;
    /// Number of processor cores; may be fractional.
    const double capacity;

    auto operator<=>(const feed_peer&) const = default;
};

} // namespace cyclamen::replica
