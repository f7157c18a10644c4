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
    /// Public key that peers must prove to own when this instance connects to them.
    const std::string peers_key;
    /// Public keys of peers that may connect to this instance.
    const std::vector<std::string> allowed;

    auto operator<=>(const curve_keys&) const = default;
};

/// Settings of the peer task.
struct peer_settings {
    const core::instance_name name;
    const core::incarnation incarnation;
    const core::socket_address listen;
    /// Keys for encryption and authentication. If empty, messages are sent in plain text, which is
    /// allowed on loopback only.
    const std::optional<curve_keys> keys;
    /// Maximum number of messages queued for one peer; further ones are dropped.
    const int max_pending_messages = 1000;
    const std::size_t max_message_bytes = 64'000'000;

    auto operator<=>(const peer_settings&) const = default;
};

} // namespace cyclamen::peer
