#pragma once

#include <compare>

#include "core/identifier.hpp"
#include "core/socket_address.hpp"
#include "model/label_set.hpp"

namespace cyclamen::model {

/// A target: a model engine or a plain service at one address.
struct target {
    const core::target_name name;
    const core::service_name service;
    /// The version that it serves; empty for a plain service without versions.
    const core::version_name version;
    const core::socket_address address;
    const core::failure_domain_name failure_domain;
    const label_set labels;
    /// True if the target rejects orders with an outdated fencing number.
    const bool checks_fencing;

    auto operator<=>(const target&) const = default;
};

} // namespace cyclamen::model
