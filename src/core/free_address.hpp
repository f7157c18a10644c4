#pragma once

#include <absl/status/statusor.h>

#include "core/socket_address.hpp"

namespace cyclamen::core {

/// @return a loopback address that is free now, or unavailable
[[nodiscard]] absl::StatusOr<socket_address> find_free_loopback_address();

/// @param first first port that is tried
/// @return the first loopback address from it on that is free now, or unavailable
[[nodiscard]] absl::StatusOr<socket_address>
find_free_loopback_address_from(std::uint16_t first_port);

} // namespace cyclamen::core
