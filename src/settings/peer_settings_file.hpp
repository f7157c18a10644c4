#pragma once

#include <compare>
#include <optional>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/socket_address.hpp"
#include "peer/peer_settings.hpp"
#include "json/schema.hpp"

namespace cyclamen::settings {

/// What an instance needs to know to find its peers.
struct peers_section {
    /// Where peers reach it; empty for an instance that stays alone.
    const std::optional<core::socket_address> listen;
    /// Peers to begin with.
    const std::vector<core::socket_address> seeds;
    const std::optional<peer::curve_keys> keys;

    auto operator<=>(const peers_section&) const = default;
};

/// @return the JSON schema of the part `peers` of the settings of an instance
[[nodiscard]] const nlohmann::json& peers_schema();

/// Decodes the part `peers`, which fits its schema.
/// @param body the part; an empty object for an instance that stays alone
/// @param faults is extended by what is wrong with it
/// @return the part, as far as it is right
[[nodiscard]] peers_section decode_peers(const nlohmann::json& body,
                                         std::vector<json::validation_error>& errors);

} // namespace cyclamen::settings
