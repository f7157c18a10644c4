#pragma once

#include <compare>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "core/identifier.hpp"
#include "core/socket_address.hpp"

namespace cyclamen::peer {

/// CURVE keys of an instance, each as 40 characters in the Z85 encoding of ZeroMQ.
struct curve_keys {
    const std::string public_key;
    const std::string secret_key;
    /// The key that peers prove to have when this instance connects to them.
    const std::string peers_key;
    /// Public keys of the peers that may connect.
    const std::vector<std::string> allowed;

    auto operator<=>(const curve_keys&) const = default;
};

/// How a peer task is set up.
struct peer_settings {
    const core::instance_name name;
    const core::incarnation incarnation;
    const core::socket_address listen;
    /// Empty: messages are plain, which is allowed on loopback only.
    const std::optional<curve_keys> keys;
    /// Messages that wait for one peer; further ones are dropped.
    const int max_pending_messages = 1000;
    const std::size_t max_message_bytes = 64'000'000;

    auto operator<=>(const peer_settings&) const = default;
};

} // namespace cyclamen::peer
