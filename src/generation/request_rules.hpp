#pragma once

#include <string>

#include <absl/status/status.h>

#include "api/caller_messages.hpp"

namespace cyclamen::generation::detail {

/// @return the route of a request, as in attempt_subject::route
[[nodiscard]] std::string route_of(const api::generation_request& request);

/// @return hash of service, prompt and token limit; requests with the same key must have the same
///         hash
[[nodiscard]] std::uint64_t hash_of(const api::generation_request& request);

/// @return the error for a request key that belongs to a different request
[[nodiscard]] absl::Status key_reused();

/// @param held how many tokens the caller has
/// @return the error for a caller whose tokens are not the start of a known answer
[[nodiscard]] absl::Status position_unknown(std::uint64_t held);

/// @return the error for a quarantined request
[[nodiscard]] absl::Status quarantined();

/// @return the error for an answer that was not complete by its deadline
[[nodiscard]] absl::Status deadline_missed();

} // namespace cyclamen::generation::detail
