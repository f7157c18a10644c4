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
    /// Start time of this incarnation of the target; a new incarnation keeps no state of earlier
    /// ones.
    const core::wall_time started_at;
    /// Sequence number of the record within this incarnation.
    const std::uint64_t sequence;
    /// True if the target has announced that it accepts no new work.
    const bool leaving;
    /// Requests that the target runs at the same time, 0 if unknown.
    const std::uint32_t slots = 0;

    auto operator<=>(const target_record&) const = default;
};

} // namespace cyclamen::relay
