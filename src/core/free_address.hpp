#pragma once

#include <absl/status/statusor.h>

#include "core/socket_address.hpp"

namespace cyclamen::core {

/// @return a loopback address that is free now, or unavailable
[[nodiscard]] absl::StatusOr<socket_address> free_loopback_address();

/// @param first first port that is tried
/// @return the first loopback address from it on that is free now, or unavailable
[[nodiscard]] absl::StatusOr<socket_address> free_loopback_address_from(std::uint16_t first);

} // namespace cyclamen::core
