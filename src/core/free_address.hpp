#pragma once

#include <absl/status/statusor.h>

#include "core/socket_address.hpp"

namespace cyclamen::core {

/// Finds an unused loopback address for a listener of this process or of a child process. No two
/// calls in a process return the same address, and no other process is given it. Any thread may
/// call it.
/// @return the address, or unavailable if every port is in use
[[nodiscard]] absl::StatusOr<socket_address> find_free_loopback_address();

} // namespace cyclamen::core
