#pragma once

#include <absl/status/statusor.h>

#include "core/socket_address.hpp"

namespace cyclamen::core {

/// Finds an unused loopback address. Nothing reserves it: another process may bind it first.
/// @return an address with a port chosen by the operating system, or unavailable
[[nodiscard]] absl::StatusOr<socket_address> find_free_loopback_address();

/// Finds an unused loopback address with the lowest port in a range of 1000 ports.
/// @param first_port start of the range
/// @return the address, or unavailable if every port of the range is in use
[[nodiscard]] absl::StatusOr<socket_address>
find_free_loopback_address_from(std::uint16_t first_port);

} // namespace cyclamen::core
