#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/socket_address.hpp"
#include "core/time.hpp"

/// @file
/// What a soak writes for the system: configurations and settings of instances.

namespace cyclamen::soak {

/// Services of a soak's configurations.
inline constexpr const char* engine_service = "engines";
inline constexpr const char* plain_service = "desk";

/// Time from SIGTERM to the kill that an instance is told.
inline constexpr core::duration shutdown_limit = std::chrono::seconds{3};

/// Addresses of an instance.
struct instance_addresses {
    const core::socket_address entry;
    const core::socket_address ready;
    const core::socket_address directory;
    const core::socket_address metrics;
    const core::socket_address feed;
};

/// @param revision number of the configuration
/// @return a configuration with a route for each revision up to this one
[[nodiscard]] std::string configuration_text(std::uint64_t revision);

/// @param name name of the instance
/// @param domain its failure domain
/// @param at its addresses
/// @param store where it reaches the store
/// @param seeds feed addresses of instances
/// @return its settings file
[[nodiscard]] std::string settings_text(const std::string& name, const std::string& domain,
                                        const instance_addresses& at,
                                        const core::socket_address& store,
                                        const std::vector<std::string>& seeds);

} // namespace cyclamen::soak
