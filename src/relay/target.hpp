#pragma once

#include <compare>
#include <cstdint>

#include "core/identifier.hpp"
#include "core/socket_address.hpp"
#include "core/time.hpp"

namespace cyclamen::relay {

/// A target as it was last listed.
struct target_record {
    const core::target_name name;
    const core::service_name service;
    const core::socket_address address;
    const core::failure_domain_name domain;
    const core::version_name version;
    /// When this life of the target began; a later life knows nothing of an earlier one.
    const core::wall_time started_at;
    /// Numbers what this life of the target has said of itself.
    const std::uint64_t sequence;
    /// Announced that it takes no new work.
    const bool leaving;

    auto operator<=>(const target_record&) const = default;
};

} // namespace cyclamen::relay
