#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/socket_address.hpp"
#include "core/time.hpp"

/// @file
/// Documents that a soak test writes: configurations, and settings files of instances.

namespace cyclamen::soak {

/// Names of the services in the configurations.
inline constexpr const char* engine_service = "engines";
inline constexpr const char* plain_service = "desk";

/// Prompt part, and body, of requests that crash runners.
inline constexpr const char* deadly_part = "deadly";
inline constexpr const char* deadly_body = "fatal";

/// Time between SIGTERM and the kill, as in the settings of the instances.
inline constexpr core::duration shutdown_limit = std::chrono::seconds{3};

/// Listen addresses of an instance.
struct instance_addresses {
    const core::socket_address entry;
    const core::socket_address ready;
    const core::socket_address directory;
    const core::socket_address metrics;
    const core::socket_address feed;
};

/// @param revision revision number of the configuration
/// @return a configuration with one additional route for each revision up to this one
[[nodiscard]] std::string configuration_text(std::uint64_t revision);

/// @param name name of the instance
/// @param domain its failure domain
/// @param at its listen addresses
/// @param store address at which it reaches the store
/// @param seeds feed addresses of instances to contact first
/// @return the text of its settings file
[[nodiscard]] std::string settings_text(const std::string& name, const std::string& domain,
                                        const instance_addresses& at,
                                        const core::socket_address& store,
                                        const std::vector<std::string>& seeds);

} // namespace cyclamen::soak
