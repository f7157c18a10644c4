#pragma once

#include <compare>
#include <cstdint>

#include "core/time.hpp"

namespace cyclamen::generation {

/// Time limits and bounds of the generations of one instance.
struct generation_settings {
    /// Upper bound of the time to first token of an attempt, whatever the timeout policy derives.
    const core::duration first_token_limit = std::chrono::seconds{10};
    /// Upper bound of the gap between two tokens of an attempt, whatever the timeout policy
    /// derives.
    const core::duration token_gap_limit = std::chrono::milliseconds{1500};
    /// How long a generation may wait for a target.
    const core::duration placement_limit = std::chrono::seconds{10};
    /// Maximum number of attempts of a generation.
    const std::uint32_t max_attempts = 8;
    /// How long a finished answer with a request key is kept for a repeated request.
    const core::duration retention = std::chrono::seconds{60};
    /// How long the last tokens of a stream are held back until a peer holds them.
    const core::duration commit_limit = std::chrono::milliseconds{500};
    /// How long a generation with a request key continues without a caller, so that the caller can
    /// reconnect.
    const core::duration caller_reconnect_limit = std::chrono::seconds{3};
    /// Rate and burst at which generations that lost their attempt may be placed again.
    const double resumes_per_second = 200.0;
    const double resume_burst = 50.0;

    auto operator<=>(const generation_settings&) const = default;
};

} // namespace cyclamen::generation
