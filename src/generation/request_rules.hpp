#pragma once

#include <string>

#include <absl/status/status.h>

#include "api/caller_messages.hpp"

namespace cyclamen::generation::detail {

/// @return the way into a version that a request takes
[[nodiscard]] std::string route_of(const api::generation_request& request);

/// @return hash of what was asked; a repeat with the same key must ask the same
[[nodiscard]] std::uint64_t hash_of(const api::generation_request& request);

/// @return the refusal of a key that names another request
[[nodiscard]] absl::Status key_reused();

/// @param held how many tokens the caller has
/// @return the refusal to go on with an answer that isn't the caller's
[[nodiscard]] absl::Status position_unknown(std::uint64_t held);

/// @return the refusal of a request that crashes targets
[[nodiscard]] absl::Status quarantined();

/// @return the refusal of an answer that isn't whole by its deadline
[[nodiscard]] absl::Status deadline_missed();

} // namespace cyclamen::generation::detail
