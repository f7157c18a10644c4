#pragma once

#include <compare>
#include <cstdint>

#include "core/time.hpp"

namespace cyclamen::generation {

/// Limits of the generations of one instance.
struct generation_settings {
    /// How long an attempt may take to produce its first token, whatever is usual.
    const core::duration first_token_limit = std::chrono::seconds{10};
    /// Longest gap between two tokens of an attempt, whatever is usual.
    const core::duration token_gap_limit = std::chrono::milliseconds{1500};
    /// How long a generation may wait for a target.
    const core::duration placement_limit = std::chrono::seconds{10};
    /// How many attempts a generation may use.
    const std::uint32_t max_attempts = 8;
    /// How long a finished answer with a request key is kept for a repeat of its request.
    const core::duration retention = std::chrono::seconds{60};
    /// How long the last tokens of a stream wait for a peer to hold them.
    const core::duration commit_limit = std::chrono::milliseconds{500};
    /// How long the work of a caller who gave a key goes on after its connection ended.
    const core::duration caller_reconnect_limit = std::chrono::seconds{3};
    /// How many lost generations may be placed again in a second, and how many at once.
    const double resumes_per_second = 200.0;
    const double resume_burst = 50.0;

    auto operator<=>(const generation_settings&) const = default;
};

} // namespace cyclamen::generation
