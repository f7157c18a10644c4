#pragma once

#include <compare>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "api/peer_messages.hpp"

namespace cyclamen::peer {

/// A message with its sender and recipient, as sent over the wire.
struct envelope {
    const api::peer_identity from;
    /// The recipient. An empty name means any instance at the address, incarnation 0 any
    /// incarnation.
    const api::peer_identity to;
    const api::peer_message message;

    auto operator<=>(const envelope&) const = default;
};

/// @return the encoded message
[[nodiscard]] std::string encode(const envelope& sent);

/// @param bytes the received bytes
/// @return the message, or invalid_argument if it is malformed or unknown to this version
[[nodiscard]] absl::StatusOr<envelope> decode(std::string_view bytes);

} // namespace cyclamen::peer
