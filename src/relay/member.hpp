#pragma once

#include <compare>
#include <string>
#include <vector>

#include "core/identifier.hpp"
#include "core/socket_address.hpp"

namespace cyclamen::relay {

/// An instance that takes requests.
struct member {
    const core::instance_name name;
    /// Where callers connect.
    const core::socket_address entry;
    const core::failure_domain_name domain;
    /// Where it says whether it takes requests.
    const core::socket_address readiness_address;

    auto operator<=>(const member&) const = default;
};

/// Chooses where a caller should connect.
/// @param members instances that take requests
/// @param domain failure domain of the caller
/// @param fewest how many instances of the caller's own domain are enough
/// @return the instances of the caller's domain where there are enough, otherwise all
[[nodiscard]] std::vector<core::socket_address>
choose_entries(const std::vector<member>& members, const core::failure_domain_name& domain,
               std::size_t min_nearby);

} // namespace cyclamen::relay
