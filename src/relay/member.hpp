#pragma once

#include <compare>
#include <string>
#include <vector>

#include "core/identifier.hpp"
#include "core/socket_address.hpp"

namespace cyclamen::relay {

/// An instance that accepts requests.
struct member {
    const core::instance_name name;
    /// Address to which callers connect.
    const core::socket_address entry;
    const core::failure_domain_name domain;
    /// Address at which it reports whether it accepts requests.
    const core::socket_address readiness_address;

    auto operator<=>(const member&) const = default;
};

/// Chooses the addresses to which a caller should connect.
/// @param members instances that accept requests
/// @param domain failure domain of the caller
/// @param fewest number of instances in the caller's domain that is sufficient
/// @return the instances of the caller's domain if there are enough, otherwise all
[[nodiscard]] std::vector<core::socket_address>
choose_entries(const std::vector<member>& members, const core::failure_domain_name& domain,
               std::size_t min_nearby);

} // namespace cyclamen::relay
