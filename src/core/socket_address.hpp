#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

namespace cyclamen::core {

/// An IPv4 address with a port.
struct socket_address {
    const std::string ip;
    const std::uint16_t port;

    auto operator<=>(const socket_address&) const = default;
};

/// @return the address as `ip:port`
[[nodiscard]] std::string to_string(const socket_address& address);

/// @param text `ip:port`
/// @return the address, or invalid_argument
[[nodiscard]] absl::StatusOr<socket_address> parse_socket_address(std::string_view text);

} // namespace cyclamen::core
