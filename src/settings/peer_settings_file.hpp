#pragma once

#include <compare>
#include <optional>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/socket_address.hpp"
#include "peer/peer_settings.hpp"
#include "json/schema.hpp"

namespace cyclamen::settings {

/// The `peers` section of an instance's settings: how it and its peers reach each other.
struct peers_section {
    /// Address for peers; empty for an instance without peers.
    const std::optional<core::socket_address> listen;
    /// Addresses of peers to contact first.
    const std::vector<core::socket_address> seeds;
    /// May be empty only if the instance has no peers or listens for them on loopback.
    const std::optional<peer::curve_keys> keys;

    auto operator<=>(const peers_section&) const = default;
};

/// @return the JSON schema of the `peers` section of an instance's settings
[[nodiscard]] const nlohmann::json& peers_schema();

/// Decodes the `peers` section, which must be valid under its schema.
/// @param body the section; an empty object for an instance without peers
/// @param errors errors in the section are appended to it
/// @return the section, without the addresses that couldn't be parsed
[[nodiscard]] peers_section decode_peers(const nlohmann::json& body,
                                         std::vector<json::validation_error>& errors);

} // namespace cyclamen::settings
