#pragma once

#include <compare>

#include "core/identifier.hpp"
#include "core/socket_address.hpp"

namespace cyclamen::replica {

/// An instance that tables can be had from.
struct feed_peer {
    /// Empty where only the address is known.
    const core::instance_name name;
    const core::failure_domain_name domain;
    /// Where it hands tables on.
    const core::socket_address feed;
    /// Processor cores that it has; may be a fraction.
    const double capacity;

    auto operator<=>(const feed_peer&) const = default;
};

} // namespace cyclamen::replica
